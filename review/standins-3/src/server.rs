//! Stand-in of an application server: flows, slots, pings to the node on its machine.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::packet::Packet;
use crate::packet::ACK;
use crate::packet::BOUNCED;
use crate::packet::FIN;
use crate::packet::RST;
use crate::packet::SYN;
use crate::record::Record;

#[derive(Clone, Debug)]
pub struct ServerPlan {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub slots: usize,
    pub work: Duration,
    pub heartbeat: Duration,
    /// Time from the start, when the server takes flows, to its first ping.
    pub first_ping: Duration,
    pub cold: Duration,
}

/// A request that the server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub service: String,
    pub server: String,
    /// Address of the route that the client wrote to.
    pub route: SocketAddrV4,
    pub id: String,
}

/// The opening packet of a flow that the server took.
#[derive(Clone, Debug)]
pub struct Taken {
    pub at: Instant,
    pub service: String,
    pub server: String,
    pub route: SocketAddrV4,
    pub client: SocketAddrV4,
}

#[derive(Default)]
pub struct Ledger {
    pub runs: Vec<Run>,
    pub taken: Vec<Taken>,
    /// Packets whose sum was not that of their sender.
    pub forged: u64,
}

/// Flows that a server holds: the opened ones that neither end has reset or closed.
pub type Held = Arc<Mutex<HashSet<SocketAddrV4>>>;

struct Flow {
    seq: u32,
    is_open: bool,
    received: u32,
    sent: u32,
    answers: Vec<Packet>,
    has_ended: bool,
}

pub struct Server {
    pub id: String,
    stop: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    /// Milliseconds since the start at which a draining ping was first confirmed; 0 if none was.
    pub drain_confirmed_ms: Arc<AtomicU64>,
    /// Clients' ends of the flows that are open here.
    pub held: Held,
    ends_checks: Arc<AtomicBool>,
    /// Address that the pings go to.
    control: Arc<Mutex<SocketAddrV4>>,
    threads: Vec<thread::JoinHandle<()>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Server {
    pub fn start(plan: ServerPlan, ledger: Arc<Mutex<Ledger>>, record: Arc<Record>) -> Server {
        let socket = retry(|| UdpSocket::bind(plan.app));
        let listener = retry(|| TcpListener::bind(plan.app));
        let stop = Arc::new(AtomicBool::new(false));
        let is_draining = Arc::new(AtomicBool::new(false));
        let drain_confirmed_ms = Arc::new(AtomicU64::new(0));
        let born = unix_ms();
        let id = format!("i-{}-{born:x}", plan.name);
        record.line(&format!("server {id} of {} starts at {}", plan.service, plan.app));
        let mut threads = Vec::new();
        // Status check over TCP; also what tells the host that a process listens.
        listener.set_nonblocking(true).unwrap();
        let (stopped, draining) = (Arc::clone(&stop), Arc::clone(&is_draining));
        let ends_checks = Arc::new(AtomicBool::new(false));
        let ends_checks_at_drain = Arc::clone(&ends_checks);
        threads.push(thread::spawn(move || {
            let has_to_listen = || {
                let is_draining = draining.load(Ordering::Relaxed);
                !stopped.load(Ordering::Relaxed)
                    && !(ends_checks_at_drain.load(Ordering::Relaxed) && is_draining)
            };
            while has_to_listen() {
                match listener.accept() {
                    Ok((mut stream, _)) => {
                        let status = if draining.load(Ordering::Relaxed) { 503 } else { 200 };
                        thread::spawn(move || {
                            use std::io::Read;
                            use std::io::Write;
                            let _ = stream.set_nonblocking(false);
                            let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
                            if stream.read(&mut [0; 1_024]).is_ok_and(|length| length > 0) {
                                let answer =
                                    format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
                                let _ = stream.write_all(answer.as_bytes());
                            }
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        }));
        let held = Held::default();
        let serving = Serving {
            plan: plan.clone(),
            socket,
            ledger,
            record: Arc::clone(&record),
            stop: Arc::clone(&stop),
            is_draining: Arc::clone(&is_draining),
            held: Arc::clone(&held),
        };
        threads.push(thread::spawn(move || serving.run()));
        let control = Arc::new(Mutex::new(plan.control));
        let pings = Pings {
            control: Arc::clone(&control),
            plan,
            id: id.clone(),
            born,
            stop: Arc::clone(&stop),
            is_draining: Arc::clone(&is_draining),
            drain_confirmed_ms: Arc::clone(&drain_confirmed_ms),
            record,
        };
        thread::spawn(move || pings.run());
        Server { id, stop, is_draining, drain_confirmed_ms, held, ends_checks, control, threads }
    }

    pub fn is_drain_confirmed(&self) -> bool {
        self.drain_confirmed_ms.load(Ordering::Relaxed) > 0
    }

    /// Sends the further pings to this address.
    pub fn ping_through(&self, address: SocketAddrV4) {
        *self.control.lock().unwrap() = address;
    }

    /// Sets whether the server takes no further connections for status checks once it drains.
    pub fn set_ends_checks(&self, ends_checks: bool) {
        self.ends_checks.store(ends_checks, Ordering::Relaxed);
    }

    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Ends at once, without a word to anybody; its sockets close.
    pub fn crash(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.crash();
    }
}

fn retry<T>(bind: impl Fn() -> std::io::Result<T>) -> T {
    for _ in 0..100 {
        if let Ok(bound) = bind() {
            return bound;
        }
        thread::sleep(Duration::from_millis(10));
    }
    bind().expect("the address is free")
}

struct Pings {
    control: Arc<Mutex<SocketAddrV4>>,
    plan: ServerPlan,
    id: String,
    born: u64,
    stop: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    drain_confirmed_ms: Arc<AtomicU64>,
    record: Arc<Record>,
}

impl Pings {
    fn run(self) {
        let started = Instant::now();
        self.pause(self.plan.first_ping, false);
        let mut seq = 0;
        while !self.stop.load(Ordering::Relaxed) {
            seq += 1;
            let is_draining = self.is_draining.load(Ordering::Relaxed);
            let cold = self.plan.cold.saturating_sub(started.elapsed());
            let body = format!(
                r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":{},"state":"{}","cold_left_ms":{},"seq":{seq},"born":{}}}"#,
                self.plan.service,
                self.plan.app,
                self.plan.zone,
                self.plan.slots,
                if is_draining { "draining" } else { "ready" },
                cold.as_millis(),
                self.born
            );
            let path = format!("/v1/Instances.Heartbeat/{}", self.id);
            let sent = Instant::now();
            let control = *self.control.lock().unwrap();
            let answer = http::call(control, "POST", &path, &body, Duration::from_secs(1));
            let status = answer.map_or("no answer".to_owned(), |(status, _)| status.to_string());
            if seq <= 3 || status != "200" {
                self.record.line_at(
                    sent,
                    &format!("ping {seq} of {} ({}): {status}", self.id, self.plan.service),
                );
            }
            if is_draining
                && status == "200"
                && self.drain_confirmed_ms.load(Ordering::Relaxed) == 0
            {
                self.drain_confirmed_ms
                    .store(started.elapsed().as_millis().max(1) as u64, Ordering::Relaxed);
                self.record.line(&format!("draining of {} confirmed", self.id));
            }
            self.pause(self.plan.heartbeat.saturating_sub(sent.elapsed()), is_draining);
        }
    }

    fn pause(&self, time: Duration, was_draining: bool) {
        let until = Instant::now() + time;
        while Instant::now() < until
            && !self.stop.load(Ordering::Relaxed)
            && self.is_draining.load(Ordering::Relaxed) == was_draining
        {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

struct Serving {
    plan: ServerPlan,
    socket: UdpSocket,
    ledger: Arc<Mutex<Ledger>>,
    record: Arc<Record>,
    stop: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    held: Held,
}

type Key = (SocketAddrV4, SocketAddrV4);

impl Serving {
    fn run(self) {
        self.socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let mut flows: HashMap<Key, Flow> = HashMap::new();
        let mut working: Vec<(Instant, Key, String)> = Vec::new();
        let mut queue: VecDeque<(Key, String)> = VecDeque::new();
        let mut next_seq: u32 = (unix_ms() as u32).wrapping_mul(2_654_435_761);
        let mut buffer = [0; 4_096];
        while !self.stop.load(Ordering::Relaxed) {
            let now = Instant::now();
            let (done, rest): (Vec<_>, Vec<_>) =
                working.drain(..).partition(|(end, ..)| *end <= now);
            working = rest;
            for (_, key, id) in done {
                self.answer(&mut flows, &key, &id);
            }
            while working.len() < self.plan.slots
                && let_some(&mut queue, |(key, id)| {
                    self.begin(&key, &id);
                    working.push((Instant::now() + self.plan.work, key, id));
                })
            {}
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else { continue };
            let Some((packet, is_whole)) = Packet::decode(&buffer[..length]) else { continue };
            if !is_whole {
                self.ledger.lock().unwrap().forged += 1;
                self.record.line(&format!("FORGED packet at {}", self.plan.name));
                continue;
            }
            let key = (packet.src, packet.dst);
            if packet.is(SYN) {
                let flow = flows.entry(key).or_insert_with(|| {
                    next_seq = next_seq.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                    let (service, server) = (self.plan.service.clone(), self.plan.name.clone());
                    let (route, client) = (packet.dst, packet.src);
                    self.ledger.lock().unwrap().taken.push(Taken {
                        at: Instant::now(),
                        service,
                        server,
                        route,
                        client,
                    });
                    Flow {
                        seq: next_seq,
                        is_open: false,
                        received: packet.seq,
                        sent: next_seq,
                        answers: Vec::new(),
                        has_ended: false,
                    }
                });
                if !flow.is_open {
                    self.send(&Packet::new(
                        packet.dst,
                        packet.src,
                        flow.seq,
                        packet.seq,
                        SYN | ACK,
                        &[],
                    ));
                }
                continue;
            }
            let Some(flow) = flows.get_mut(&key) else {
                let mut bytes = buffer[..length].to_vec();
                bytes[28] |= BOUNCED;
                bytes[29..32].fill(0);
                let _ = self.socket.send_to(&bytes, self.plan.outbound);
                continue;
            };
            if packet.is(RST) {
                flows.remove(&key);
                self.held.lock().unwrap().remove(&key.0);
                queue.retain(|(queued, _)| *queued != key);
                continue;
            }
            if !flow.is_open {
                if packet.ack.wrapping_sub(flow.seq) > 76_800 {
                    // The flow is open at another server.
                    self.send(&Packet::new(packet.dst, packet.src, 0, packet.seq, RST, &[]));
                    flows.remove(&key);
                    continue;
                }
                flow.is_open = true;
                self.held.lock().unwrap().insert(key.0);
            }
            if flow.has_ended && !packet.data.is_empty() {
                self.send(&Packet::new(packet.dst, packet.src, flow.sent, flow.received, RST, &[]));
                continue;
            }
            if !packet.data.is_empty() {
                if packet.seq == flow.received {
                    flow.received = flow.received.wrapping_add(packet.data.len() as u32);
                    let id = request_id(&packet.data);
                    if working.len() < self.plan.slots {
                        self.begin(&key, &id);
                        working.push((Instant::now() + self.plan.work, key, id));
                    } else {
                        queue.push_back((key, id));
                    }
                } else if let Some(answer) = flow.answers.last() {
                    self.send(&answer.clone());
                }
            }
            if packet.is(FIN) {
                flow.has_ended = true;
                self.held.lock().unwrap().remove(&key.0);
                self.send(&Packet::new(
                    packet.dst,
                    packet.src,
                    flow.sent,
                    flow.received,
                    FIN | ACK,
                    &[],
                ));
            }
        }
    }

    fn begin(&self, key: &Key, id: &str) {
        let (service, server) = (self.plan.service.clone(), self.plan.name.clone());
        let run = Run { at: Instant::now(), service, server, route: key.1, id: id.to_owned() };
        self.ledger.lock().unwrap().runs.push(run);
    }

    fn answer(&self, flows: &mut HashMap<Key, Flow>, key: &Key, id: &str) {
        let Some(flow) = flows.get_mut(key) else { return };
        let body = format!("{id} by {} of {}", self.plan.name, self.plan.service);
        let close =
            if self.is_draining.load(Ordering::Relaxed) { "Connection: close\r\n" } else { "" };
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Response-Stamp: {}\r\n{close}Content-Length: {}\r\n\r\n{body}",
            self.plan.service,
            body.len()
        );
        let packet = Packet::new(key.1, key.0, flow.sent, flow.received, ACK, text.as_bytes());
        let mut packet = packet;
        if self.is_draining.load(Ordering::Relaxed) {
            // A draining server closes each flow after its next response.
            packet.flags |= FIN;
        }
        flow.sent = flow.sent.wrapping_add(packet.data.len() as u32);
        flow.answers.push(packet.clone());
        self.send(&packet);
    }

    fn send(&self, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), self.plan.outbound);
    }
}

/// Takes the first entry of a queue, if there is one.
fn let_some<T>(queue: &mut VecDeque<T>, mut take: impl FnMut(T)) -> bool {
    match queue.pop_front() {
        Some(entry) => {
            take(entry);
            true
        }
        None => false,
    }
}

fn request_id(data: &[u8]) -> String {
    let text = String::from_utf8_lossy(data);
    let line = text.lines().find_map(|line| line.strip_prefix("X-Attempt-Id: "));
    line.unwrap_or("?").trim().to_owned()
}
