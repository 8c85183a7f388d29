//! Stand-in for clients and for the routers, which pass each packet to a balancer in rotation.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::packet::Head;
use crate::packet::ACK;
use crate::packet::RST;
use crate::packet::SYN;
use crate::record::Record;

const FIRST_SEQ: u32 = 1_000;
const PAUSE: Duration = Duration::from_millis(300);

/// Balancers, and whether each is in rotation.
pub struct Router {
    balancers: Vec<(SocketAddrV4, SocketAddrV4)>,
    in_rotation: Mutex<Vec<bool>>,
}

impl Router {
    /// `balancers` have the addresses for packets and for the check of readiness.
    pub fn start(balancers: Vec<(SocketAddrV4, SocketAddrV4)>) -> Arc<Router> {
        let in_rotation = Mutex::new(vec![false; balancers.len()]);
        let router = Arc::new(Router { balancers, in_rotation });
        for index in 0..router.balancers.len() {
            let router = Arc::clone(&router);
            thread::spawn(move || {
                let mut misses = 2;
                loop {
                    let status = http::call(router.balancers[index].1, "GET", "/v1/readyz", "");
                    misses = if status == Some(200) { 0 } else { misses + 1 };
                    router.in_rotation.lock().unwrap()[index] = misses < 2;
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
        router
    }

    pub fn ready_count(&self) -> usize {
        self.in_rotation.lock().unwrap().iter().filter(|in_rotation| **in_rotation).count()
    }

    fn balancer(&self, port: u16) -> SocketAddrV4 {
        let in_rotation = self.in_rotation.lock().unwrap();
        let ready: Vec<usize> =
            (0..in_rotation.len()).filter(|index| in_rotation[*index]).collect();
        let all: Vec<usize> = (0..in_rotation.len()).collect();
        let used = if ready.len() * 2 < in_rotation.len() { all } else { ready };
        self.balancers[used[usize::from(port) % used.len()]].0
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum State {
    Opening,
    Open,
    Ended,
}

pub struct Flow {
    pub state: State,
    own_seq: u32,
    server_next: u32,
    /// Bytes of the request in progress, the time of its last transmission, and the next interval.
    request: Option<(Vec<u8>, Instant, Duration)>,
    next_request: Instant,
    requests: u32,
    started: Instant,
    copies: u32,
    pub answers: u32,
}

/// Flows by the client's port.
pub type Flows = Arc<Mutex<BTreeMap<u16, Flow>>>;

pub struct Client {
    socket: UdpSocket,
    address: SocketAddrV4,
    route: SocketAddrV4,
    router: Arc<Router>,
    record: Record,
    pub flows: Flows,
    /// Ports of open flows that were reset.
    pub resets: Mutex<Vec<u16>>,
}

impl Client {
    pub fn start(
        address: SocketAddrV4,
        route: SocketAddrV4,
        router: Arc<Router>,
        record: Record,
    ) -> std::io::Result<Arc<Client>> {
        let socket = UdpSocket::bind(address)?;
        let (flows, resets) = (Flows::default(), Mutex::default());
        let client = Arc::new(Client { socket, address, route, router, record, flows, resets });
        let receiving = Arc::clone(&client);
        thread::spawn(move || receiving.receive());
        let ticking = Arc::clone(&client);
        thread::spawn(move || loop {
            ticking.tick();
            thread::sleep(Duration::from_millis(10));
        });
        Ok(client)
    }

    /// Opens a flow from a port.
    pub fn open(&self, port: u16) {
        let now = Instant::now();
        let flow = Flow {
            state: State::Opening,
            own_seq: FIRST_SEQ.wrapping_add(1),
            server_next: 0,
            request: None,
            next_request: now,
            requests: 0,
            started: now,
            copies: 0,
            answers: 0,
        };
        self.flows.lock().unwrap().insert(port, flow);
        self.send(port, FIRST_SEQ, 0, SYN, &[]);
    }

    fn send(&self, port: u16, seq: u32, ack: u32, flags: u8, data: &[u8]) {
        let from = SocketAddrV4::new(*self.address.ip(), port);
        let head = Head { from, to: self.route, seq, ack, flags, len: data.len() };
        let _ = self.socket.send_to(&head.write(data), self.router.balancer(port));
    }

    fn tick(&self) {
        let now = Instant::now();
        for (port, flow) in self.flows.lock().unwrap().iter_mut() {
            let age = now.duration_since(flow.started);
            match flow.state {
                State::Opening => {
                    let due = [200, 600].get(flow.copies as usize).copied();
                    if due.is_some_and(|due_ms| age >= Duration::from_millis(due_ms)) {
                        flow.copies += 1;
                        self.send(*port, FIRST_SEQ, flow.copies, SYN, &[]);
                    }
                    if age >= Duration::from_millis(1_400) {
                        flow.state = State::Ended;
                        self.record.line(&format!("port {port} was not opened"));
                    }
                }
                State::Open => match &mut flow.request {
                    Some((data, sent, interval)) if now.duration_since(*sent) >= *interval => {
                        *sent = now;
                        *interval = (*interval * 2).min(Duration::from_millis(1_600));
                        let seq = flow.own_seq.wrapping_sub(data.len() as u32);
                        self.send(*port, seq, flow.server_next, ACK, data);
                    }
                    None if now >= flow.next_request => {
                        flow.requests += 1;
                        let data = format!("request {port}-{}", flow.requests).into_bytes();
                        self.record
                            .line(&format!("port {port} sends request {port}-{}", flow.requests));
                        self.send(*port, flow.own_seq, flow.server_next, ACK, &data);
                        flow.own_seq = flow.own_seq.wrapping_add(data.len() as u32);
                        flow.request = Some((data, now, Duration::from_millis(200)));
                    }
                    _ => {}
                },
                State::Ended => {}
            }
        }
    }

    fn receive(&self) {
        let mut buffer = [0; 2_000];
        while let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
            let Some(head) = Head::read(&buffer[..length]) else { continue };
            let port = head.to.port();
            let mut flows = self.flows.lock().unwrap();
            let Some(flow) = flows.get_mut(&port) else { continue };
            if head.flags & RST != 0 {
                let was_open = flow.state == State::Open;
                flow.state = State::Ended;
                self.record.line(&format!("port {port} gets a reset, open: {was_open}"));
                if was_open {
                    self.resets.lock().unwrap().push(port);
                }
                continue;
            }
            if head.flags & SYN != 0 {
                if flow.state == State::Opening {
                    flow.state = State::Open;
                    flow.server_next = head.seq.wrapping_add(1);
                    self.send(port, flow.own_seq, flow.server_next, ACK, &[]);
                }
                continue;
            }
            if head.len > 0 && head.seq == flow.server_next && flow.request.is_some() {
                flow.server_next = flow.server_next.wrapping_add(head.len as u32);
                flow.request = None;
                flow.answers += 1;
                flow.next_request = Instant::now() + PAUSE;
                let body = String::from_utf8_lossy(&buffer[34..34 + head.len]).into_owned();
                self.record.line(&format!("port {port} gets: {body}"));
            }
        }
    }
}
