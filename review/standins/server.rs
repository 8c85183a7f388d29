//! An application server beside an agent: flows, pings and health checks.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Request;
use crate::packet::ACK;
use crate::packet::BOUNCED;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::world::APP;
use crate::world::CONTROL;
use crate::world::OUTBOUND;
use crate::world::Record;
use crate::world::World;

/// Time between two pings.
pub const HEARTBEAT: Duration = Duration::from_millis(770);

/// Time within which a ping or a leave call has to be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests that a server processes at once.
const SLOTS: u32 = 20;

/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(20);

/// Both ends of a flow: the client's and the route's.
type FlowKey = (SocketAddrV4, SocketAddrV4);

struct Flow {
    own_start: u32,
    own_next: u32,
    client_next: u32,
    is_open: bool,
    last_answer: Vec<u8>,
}

/// An opening that a server took.
#[derive(Clone, Copy, Debug)]
pub struct Opening {
    pub at: Instant,
    pub client: SocketAddrV4,
}

/// One lifetime of a server.
pub struct Server {
    pub id: String,
    pub born_ms: u64,
    /// Number of requests that it ran.
    pub runs: Arc<AtomicU64>,
    pub openings: Arc<Mutex<Vec<Opening>>>,
    control: SocketAddrV4,
    record: Record,
    is_stopped: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    /// Number of pings that were answered with success.
    pub confirmed_pings: Arc<AtomicU64>,
    /// Number of pings with the state `draining` that were answered with success.
    confirmed_drains: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    /// Starts a lifetime of a server on a side machine.
    pub fn start(world: &World, host: u8, service: &str, zone: &str, id: &str) -> Server {
        Server::start_with(world, host, service, zone, id, Duration::ZERO, Duration::ZERO)
    }

    /// Starts a lifetime that is cold for some time.
    pub fn start_cold(
        world: &World,
        host: u8,
        service: &str,
        zone: &str,
        id: &str,
        cold: Duration,
    ) -> Server {
        Server::start_with(world, host, service, zone, id, cold, Duration::ZERO)
    }

    /// Starts a lifetime on a machine whose time of day is `ahead`.
    pub fn start_with(
        world: &World,
        host: u8,
        service: &str,
        zone: &str,
        id: &str,
        cold: Duration,
        ahead: Duration,
    ) -> Server {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970");
        let born = born + ahead;
        let mut server = Server {
            id: id.to_owned(),
            born_ms: born.as_millis() as u64,
            runs: Arc::default(),
            openings: Arc::default(),
            control: world.at(host, CONTROL),
            record: world.record.clone(),
            is_stopped: Arc::default(),
            is_draining: Arc::default(),
            confirmed_pings: Arc::default(),
            confirmed_drains: Arc::default(),
            threads: Vec::new(),
        };
        server.note(&format!("starts on host {host}, service {service}"));
        let app = world.at(host, APP);
        let socket = bind(app);
        let is_draining = Arc::clone(&server.is_draining);
        let health = Arc::new(move |_: &Request| {
            let status = if is_draining.load(Ordering::Relaxed) { 503 } else { 200 };
            (status, String::new(), String::new())
        });
        server.threads.push(http::serve(app, Arc::clone(&server.is_stopped), health));
        let engine = Engine {
            id: server.id.clone(),
            service: service.to_owned(),
            outbound: world.at(host, OUTBOUND),
            socket,
            flows: HashMap::new(),
            runs: Arc::clone(&server.runs),
            openings: Arc::clone(&server.openings),
            record: world.record.clone(),
            is_draining: Arc::clone(&server.is_draining),
        };
        let is_stopped = Arc::clone(&server.is_stopped);
        server.threads.push(thread::spawn(move || engine.run(&is_stopped)));
        let pings = server.pings(service, zone, app, Instant::now() + cold);
        server.threads.push(thread::spawn(pings));
        server
    }

    fn note(&self, text: &str) {
        self.record.note(&format!("server {} born {}: {text}", self.id, self.born_ms));
    }

    fn pings(
        &self,
        service: &str,
        zone: &str,
        app: SocketAddrV4,
        cold_until: Instant,
    ) -> impl FnOnce() + use<> {
        let (service, zone, id, born) =
            (service.to_owned(), zone.to_owned(), self.id.clone(), self.born_ms);
        let (control, is_stopped) = (self.control, Arc::clone(&self.is_stopped));
        let is_draining = Arc::clone(&self.is_draining);
        let confirmed_pings = Arc::clone(&self.confirmed_pings);
        let confirmed_drains = Arc::clone(&self.confirmed_drains);
        move || {
            for sequence in 1_u64.. {
                let started = Instant::now();
                let drains = is_draining.load(Ordering::Relaxed);
                let state = if drains { "draining" } else { "ready" };
                let cold_left = cold_until.saturating_duration_since(started);
                let body = ping_body(&service, app, &zone, state, cold_left, sequence, born);
                let path = format!("/v1/Instances.Heartbeat/{id}");
                let request = http::encode("POST", control, &path, &body);
                if http::call(control, &request, CALL_TIMEOUT) == Some(200) {
                    confirmed_pings.fetch_add(1, Ordering::Relaxed);
                    confirmed_drains.fetch_add(u64::from(drains), Ordering::Relaxed);
                }
                while started.elapsed() < HEARTBEAT && is_draining.load(Ordering::Relaxed) == drains
                {
                    if is_stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
            }
        }
    }

    /// Reports that the server drains, and serves on for `drain` after the confirmation.
    pub fn drain(&self, drain: Duration) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.note("drains");
        while self.confirmed_drains.load(Ordering::Relaxed) == 0 {
            thread::sleep(Duration::from_millis(5));
        }
        self.note("its draining is confirmed");
        thread::sleep(drain);
    }

    /// The leave call of this lifetime.
    pub fn leave_request(&self) -> Vec<u8> {
        let body = format!(r#"{{"born":{}}}"#, self.born_ms);
        http::encode("POST", self.control, &format!("/v1/Instances.Leave/{}", self.id), &body)
    }

    /// The latest ping of a lifetime, as another connection could still carry it.
    pub fn ping_request(
        &self,
        service: &str,
        zone: &str,
        app: SocketAddrV4,
        sequence: u64,
    ) -> Vec<u8> {
        let body = ping_body(service, app, zone, "ready", Duration::ZERO, sequence, self.born_ms);
        http::encode("POST", self.control, &format!("/v1/Instances.Heartbeat/{}", self.id), &body)
    }

    /// Ends the process: all flows are gone.
    pub fn end(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.note("has ended");
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Body of a ping.
pub fn ping_body(
    service: &str,
    app: SocketAddrV4,
    zone: &str,
    state: &str,
    cold_left: Duration,
    sequence: u64,
    born_ms: u64,
) -> String {
    let cold_left_ms = cold_left.as_millis();
    format!(
        r#"{{"service":"{service}","addr":"{app}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"{state}","cold_left_ms":{cold_left_ms},"seq":{sequence},"born":{born_ms}}}"#
    )
}

fn bind(address: SocketAddrV4) -> UdpSocket {
    for _ in 0..500 {
        if let Ok(socket) = UdpSocket::bind(address) {
            let timeout = Some(Duration::from_millis(20));
            socket.set_read_timeout(timeout).expect("a socket takes a time-out");
            return socket;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("cannot bind {address}");
}

/// Flows of one lifetime.
struct Engine {
    id: String,
    service: String,
    outbound: SocketAddrV4,
    socket: UdpSocket,
    flows: HashMap<FlowKey, Flow>,
    runs: Arc<AtomicU64>,
    openings: Arc<Mutex<Vec<Opening>>>,
    record: Record,
    is_draining: Arc<AtomicBool>,
}

impl Engine {
    fn run(mut self, is_stopped: &AtomicBool) {
        let mut buffer = [0; 2_000];
        while !is_stopped.load(Ordering::Relaxed) {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else { continue };
            let Some(packet) = Packet::decode(&buffer[..length]) else { continue };
            self.handle(&packet, &buffer[..length]);
        }
    }

    fn handle(&mut self, packet: &Packet, datagram: &[u8]) {
        let key = (packet.from, packet.to);
        if packet.flags & SYN != 0 && !self.flows.contains_key(&key) {
            let own_start = start_sequence();
            let client_next = packet.sequence.wrapping_add(1);
            let opening = Opening { at: Instant::now(), client: packet.from };
            self.openings.lock().unwrap().push(opening);
            self.flows.insert(
                key,
                Flow {
                    own_start,
                    own_next: own_start.wrapping_add(1),
                    client_next,
                    is_open: false,
                    last_answer: Vec::new(),
                },
            );
        }
        let Some(flow) = self.flows.get_mut(&key) else { return self.bounce(datagram) };
        let mut answer = Packet::new(packet.to, packet.from, ACK);
        if packet.flags & SYN != 0 {
            answer.flags = SYN | ACK;
            (answer.sequence, answer.acknowledged) = (flow.own_start, flow.client_next);
            return self.send(&answer.encode());
        }
        let distance = packet.acknowledged.wrapping_sub(flow.own_start);
        if !flow.is_open && (distance == 0 || distance > 76_800) {
            // The client has opened the flow at another server.
            self.flows.remove(&key);
            return self.bounce(datagram);
        }
        flow.is_open = true;
        if packet.flags & RST != 0 {
            self.flows.remove(&key);
            return;
        }
        if packet.data.is_empty() {
            if packet.flags & FIN != 0 {
                answer.flags |= FIN;
                (answer.sequence, answer.acknowledged) =
                    (flow.own_next, packet.sequence.wrapping_add(1));
                self.flows.remove(&key);
                self.send(&answer.encode());
            }
            return;
        }
        if packet.sequence == flow.client_next {
            flow.client_next = flow.client_next.wrapping_add(packet.data.len() as u32);
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let attempt = header(&text, "X-Attempt-Id: ").unwrap_or("none").to_owned();
            self.runs.fetch_add(1, Ordering::Relaxed);
            self.record.note(&format!("server {} ({}) runs {attempt}", self.id, self.service));
            thread::sleep(WORK_TIME);
            let body = format!("{attempt} by {} of {}", self.id, self.service);
            let close =
                if self.is_draining.load(Ordering::Relaxed) { "Connection: close\r\n" } else { "" };
            answer.data = format!(
                "HTTP/1.1 200 OK\r\nX-Response-Stamp: {attempt}\r\nX-Instance-Id: {}\r\n{close}Content-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            )
            .into_bytes();
            let flow = self.flows.get_mut(&key).expect("the flow is held");
            (answer.sequence, answer.acknowledged) = (flow.own_next, flow.client_next);
            flow.own_next = flow.own_next.wrapping_add(answer.data.len() as u32);
            if !close.is_empty() {
                answer.flags |= FIN;
            }
            flow.last_answer = answer.encode();
        }
        let datagram = self.flows[&key].last_answer.clone();
        self.send(&datagram);
    }

    fn bounce(&self, datagram: &[u8]) {
        let mut bounced = datagram.to_vec();
        bounced[28] |= BOUNCED;
        bounced[29..32].fill(0);
        self.send(&bounced);
    }

    fn send(&self, datagram: &[u8]) {
        let _ = self.socket.send_to(datagram, self.outbound);
    }
}

/// Value of a header line.
pub fn header<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let rest = &text[text.find(name)? + name.len()..];
    rest.split("\r\n").next()
}

/// A first sequence number that differs from flow to flow and from server to server.
pub fn start_sequence() -> u32 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let salt =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
    let step = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let mixed = (salt ^ step).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 32) as u32
}
