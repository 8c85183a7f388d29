//! Stand-in of the clients of one machine and of the routers before the front nodes.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::packet::Packet;
use crate::packet::ACK;
use crate::packet::FIN;
use crate::packet::RST;
use crate::packet::SYN;

/// Routers: nodes in rotation, found by their readiness.
pub struct Routers {
    nodes: Vec<(SocketAddrV4, SocketAddrV4)>,
    in_rotation: Mutex<Vec<bool>>,
}

impl Routers {
    /// `nodes` are the data and the readiness addresses.
    pub fn start(nodes: Vec<(SocketAddrV4, SocketAddrV4)>, stop: Arc<AtomicBool>) -> Arc<Routers> {
        let in_rotation = Mutex::new(vec![false; nodes.len()]);
        let routers = Arc::new(Routers { nodes, in_rotation });
        for index in 0..routers.nodes.len() {
            let (routers, stop) = (Arc::clone(&routers), Arc::clone(&stop));
            thread::spawn(move || {
                let mut misses = 2;
                while !stop.load(Ordering::Relaxed) {
                    let began = Instant::now();
                    let ready = routers.nodes[index].1;
                    let answer =
                        http::call(ready, "GET", "/v1/readyz", "", Duration::from_millis(450));
                    misses = if answer.is_some_and(|(status, _)| status == 200) {
                        0
                    } else {
                        misses + 1
                    };
                    routers.in_rotation.lock().unwrap()[index] = misses < 2;
                    thread::sleep(Duration::from_millis(500).saturating_sub(began.elapsed()));
                }
            });
        }
        routers
    }

    pub fn ready_count(&self) -> usize {
        self.in_rotation.lock().unwrap().iter().filter(|ready| **ready).count()
    }

    fn node_for(&self, hash: u32) -> SocketAddrV4 {
        let in_rotation = self.in_rotation.lock().unwrap();
        let ready: Vec<usize> = (0..self.nodes.len()).filter(|index| in_rotation[*index]).collect();
        // With fewer than half of the nodes in rotation, all are used.
        let used: Vec<usize> = if ready.len() * 2 < self.nodes.len() {
            (0..self.nodes.len()).collect()
        } else {
            ready
        };
        self.nodes[used[hash as usize % used.len()]].0
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Pending,
    Answered,
    Reset,
    NotOpened,
    NoAnswer,
}

/// One flow, with one request after the other.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub route: SocketAddrV4,
    pub sent_at: Instant,
    pub opened_at: Option<Instant>,
    pub ended_at: Option<Instant>,
    pub outcome: Outcome,
    pub answer: String,
    /// Number of requests that were answered.
    pub answers: u32,
    /// Address and port of the client's end.
    pub client: SocketAddrV4,
    /// Requests that follow the current one, and the pause before each.
    further: u32,
    pause: Duration,
    /// Whether a request waits for its answer.
    is_waiting: bool,
    /// Bytes of earlier requests.
    sent_bytes: u32,
    asked_at: Instant,
    port: u16,
    isn: u32,
    server_seq: u32,
    data: Vec<u8>,
    syns: u32,
    next_send: Instant,
    interval: Duration,
    deadline: Duration,
}

impl Attempt {
    fn next_request(&mut self) {
        let now = Instant::now();
        self.further -= 1;
        self.sent_bytes = self.sent_bytes.wrapping_add(self.data.len() as u32);
        let (flow, number) = self.id.rsplit_once('.').expect("the requests of a flow are numbered");
        self.id = format!("{flow}.{}", number.parse::<u32>().unwrap_or(0) + 1);
        self.data = request_data(&self.id);
        (self.is_waiting, self.asked_at) = (true, now);
        self.interval = Duration::from_millis(200);
        self.next_send = now + self.interval;
    }
}

fn request_data(id: &str) -> Vec<u8> {
    let head =
        format!("POST /edit HTTP/1.1\r\nX-Attempt-Id: {id}\r\nContent-Length: 5\r\n\r\nedit\n");
    head.into_bytes()
}

#[derive(Default)]
struct State {
    by_port: HashMap<u16, usize>,
    attempts: Vec<Attempt>,
}

pub struct Clients {
    address: SocketAddrV4,
    socket: UdpSocket,
    routers: Arc<Routers>,
    state: Mutex<State>,
}

impl Clients {
    pub fn start(
        address: SocketAddrV4,
        routers: Arc<Routers>,
        stop: Arc<AtomicBool>,
    ) -> Arc<Clients> {
        let socket = UdpSocket::bind(address).expect("the clients' address is free");
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let clients = Arc::new(Clients { address, socket, routers, state: Mutex::default() });
        let (receiver, stopped) = (Arc::clone(&clients), Arc::clone(&stop));
        thread::spawn(move || {
            let mut buffer = [0; 4_096];
            while !stopped.load(Ordering::Relaxed) {
                if let Ok((length, _)) = receiver.socket.recv_from(&mut buffer) {
                    if let Some((packet, _)) = Packet::decode(&buffer[..length]) {
                        receiver.receive(&packet);
                    }
                }
            }
        });
        let sender = Arc::clone(&clients);
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                sender.send_due();
                thread::sleep(Duration::from_millis(3));
            }
        });
        clients
    }

    /// Opens a flow to a route and sends one request on it.
    pub fn request(&self, route: SocketAddrV4, id: &str, deadline: Duration) {
        self.requests(route, id, deadline, 1, Duration::ZERO);
    }

    /// Opens a flow to a route and sends requests on it, each a pause after the answer to the one before.
    pub fn requests(
        &self,
        route: SocketAddrV4,
        id: &str,
        deadline: Duration,
        count: u32,
        pause: Duration,
    ) {
        let mut state = self.state.lock().unwrap();
        let number = state.attempts.len();
        let port = 20_000 + (number % 40_000) as u16;
        let now = Instant::now();
        let id = if count > 1 { format!("{id}.1") } else { id.to_owned() };
        let isn = (number as u32).wrapping_mul(2_246_822_519).wrapping_add(374_761_393);
        let attempt = Attempt {
            data: request_data(&id),
            id,
            route,
            sent_at: now,
            opened_at: None,
            ended_at: None,
            outcome: Outcome::Pending,
            answer: String::new(),
            answers: 0,
            client: SocketAddrV4::new(*self.address.ip(), port),
            further: count - 1,
            pause,
            is_waiting: true,
            sent_bytes: 0,
            asked_at: now,
            port,
            isn,
            server_seq: 0,
            syns: 1,
            next_send: now + Duration::from_millis(200),
            interval: Duration::from_millis(200),
            deadline,
        };
        state.by_port.insert(port, number);
        self.send(&attempt, SYN, 0, &[]);
        state.attempts.push(attempt);
    }

    pub fn attempts(&self) -> Vec<Attempt> {
        self.state.lock().unwrap().attempts.clone()
    }

    fn send(&self, attempt: &Attempt, flags: u8, ack: u32, data: &[u8]) {
        let src = SocketAddrV4::new(*self.address.ip(), attempt.port);
        let mut seq = attempt.isn.wrapping_add(attempt.sent_bytes);
        if flags & FIN != 0 {
            seq = seq.wrapping_add(attempt.data.len() as u32);
        }
        let packet = Packet::new(src, attempt.route, seq, ack, flags, data);
        let hash = u32::from(attempt.port).wrapping_mul(2_654_435_761) >> 8;
        let _ = self.socket.send_to(&packet.encode(), self.routers.node_for(hash));
    }

    fn send_due(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let State { by_port, attempts } = &mut *state;
        by_port.retain(|_, number| {
            let attempt = &mut attempts[*number];
            if attempt.outcome != Outcome::Pending {
                return attempt.ended_at.is_some_and(|at| now - at < Duration::from_secs(2));
            }
            let age = now - attempt.sent_at;
            if attempt.opened_at.is_none() {
                if age >= Duration::from_millis(1_400) {
                    (attempt.outcome, attempt.ended_at) = (Outcome::NotOpened, Some(now));
                } else if now >= attempt.next_send && attempt.syns < 3 {
                    let copy = attempt.syns;
                    attempt.syns += 1;
                    attempt.next_send = attempt.sent_at + Duration::from_millis(600);
                    self.send(attempt, SYN, copy, &[]);
                }
            } else if !attempt.is_waiting {
                if now >= attempt.next_send {
                    attempt.next_request();
                    self.send(attempt, ACK, attempt.server_seq, &attempt.data);
                }
            } else if now - attempt.asked_at >= attempt.deadline {
                (attempt.outcome, attempt.ended_at) = (Outcome::NoAnswer, Some(now));
            } else if now >= attempt.next_send {
                attempt.interval = (attempt.interval * 2).min(Duration::from_millis(1_600));
                attempt.next_send = now + attempt.interval;
                self.send(attempt, ACK, attempt.server_seq, &attempt.data);
            }
            true
        });
    }

    fn receive(&self, packet: &Packet) {
        let mut state = self.state.lock().unwrap();
        let Some(number) = state.by_port.get(&packet.dst.port()).copied() else { return };
        let now = Instant::now();
        let attempt = &mut state.attempts[number];
        if attempt.outcome != Outcome::Pending {
            return;
        }
        if packet.is(RST) {
            let is_open = attempt.opened_at.is_some();
            if is_open && packet.seq.wrapping_sub(attempt.server_seq).wrapping_add(76_800) > 153_600
            {
                return;
            }
            (attempt.outcome, attempt.ended_at) = (Outcome::Reset, Some(now));
            return;
        }
        if packet.is(SYN) {
            if attempt.opened_at.is_none() {
                attempt.opened_at = Some(now);
                attempt.server_seq = packet.seq;
                attempt.interval = Duration::from_millis(200);
                attempt.next_send = now + attempt.interval;
                self.send(attempt, ACK, attempt.server_seq, &attempt.data);
            }
            return;
        }
        let is_next = packet.seq == attempt.server_seq && attempt.is_waiting;
        if attempt.opened_at.is_some() && !packet.data.is_empty() && is_next {
            attempt.answer =
                String::from_utf8_lossy(&packet.data).lines().last().unwrap_or("").to_owned();
            attempt.server_seq = packet.seq.wrapping_add(packet.data.len() as u32);
            attempt.answers += 1;
            if attempt.further == 0 || packet.is(FIN) {
                (attempt.outcome, attempt.ended_at) = (Outcome::Answered, Some(now));
                self.send(attempt, FIN | ACK, attempt.server_seq, &[]);
            } else {
                attempt.is_waiting = false;
                attempt.next_send = now + attempt.pause;
                self.send(attempt, ACK, attempt.server_seq, &[]);
            }
        }
    }
}
