//! Stand-in for a server on a `side` machine: flows over UDP, status checks over TCP, pings to its node.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::packet::Head;
use crate::packet::ACK;
use crate::packet::BOUNCED;
use crate::packet::FLAGS;
use crate::packet::SYN;
use crate::record::Record;

#[derive(Clone)]
pub struct Plan {
    pub id: &'static str,
    pub service: &'static str,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub heartbeat: Duration,
    pub cold: Duration,
}

struct Flow {
    own_seq: u32,
    expected: u32,
    is_open: bool,
    last_answer: Vec<u8>,
}

pub struct Server {
    /// Time at which the first ping was acknowledged.
    pub acknowledged: Mutex<Option<Instant>>,
    /// Client's port of each flow that is open here.
    pub open_flows: Mutex<Vec<u16>>,
}

impl Server {
    pub fn start(plan: Plan, record: Record) -> std::io::Result<Arc<Server>> {
        let server =
            Arc::new(Server { acknowledged: Mutex::default(), open_flows: Mutex::default() });
        http::serve(plan.app, "", |call| match call.path.as_str() {
            "/healthz" => (200, String::new()),
            _ => (404, String::new()),
        })?;
        let socket = UdpSocket::bind(plan.app)?;
        let (flows, flow_plan, flow_record) = (Arc::clone(&server), plan.clone(), record.clone());
        thread::spawn(move || flows.serve(&socket, &flow_plan, &flow_record));
        let pings = Arc::clone(&server);
        thread::spawn(move || pings.ping(&plan, &record));
        Ok(server)
    }

    fn serve(&self, socket: &UdpSocket, plan: &Plan, record: &Record) {
        let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
        let mut buffer = [0; 2_000];
        let mut next_seq = 1_000_000;
        while let Ok((length, _)) = socket.recv_from(&mut buffer) {
            let Some(head) = Head::read(&buffer[..length]) else { continue };
            let opens = head.flags & SYN != 0 && head.flags & ACK == 0;
            let key = (head.from, head.to);
            if opens {
                let flow = flows.entry(key).or_insert_with(|| {
                    next_seq += 100_000;
                    let expected = head.seq.wrapping_add(1);
                    Flow { own_seq: next_seq, expected, is_open: false, last_answer: Vec::new() }
                });
                let seq = flow.own_seq;
                let answer = Head {
                    from: head.to,
                    to: head.from,
                    seq,
                    ack: flow.expected,
                    flags: SYN | ACK,
                    len: 0,
                };
                let _ = socket.send_to(&answer.write(&[]), plan.outbound);
                continue;
            }
            let Some(flow) = flows.get_mut(&key) else {
                buffer[FLAGS] |= BOUNCED;
                buffer[29..32].fill(0);
                let _ = socket.send_to(&buffer[..length], plan.outbound);
                record.line(&format!("{} bounces a packet of port {}", plan.id, head.from.port()));
                continue;
            };
            if !flow.is_open && head.ack == flow.own_seq.wrapping_add(1) {
                flow.is_open = true;
                flow.own_seq = flow.own_seq.wrapping_add(1);
                self.open_flows.lock().unwrap().push(head.from.port());
                record.line(&format!("{} has the open flow of port {}", plan.id, head.from.port()));
            }
            if head.len == 0 || !flow.is_open {
                continue;
            }
            if head.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(head.len as u32);
                let request = String::from_utf8_lossy(&buffer[34..34 + head.len]).into_owned();
                record.line(&format!("{} runs {request}", plan.id));
                let body = format!("{} ran {request}", plan.id);
                let (seq, ack) = (flow.own_seq, flow.expected);
                let answer = Head { from: head.to, to: head.from, seq, ack, flags: ACK, len: 0 };
                flow.last_answer = answer.write(body.as_bytes());
                flow.own_seq = flow.own_seq.wrapping_add(body.len() as u32);
            }
            let _ = socket.send_to(&flow.last_answer, plan.outbound);
        }
    }

    /// Pings the node every heartbeat. `seq` counts the calls, from 0.
    fn ping(&self, plan: &Plan, record: &Record) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let started = Instant::now();
        for seq in 0.. {
            let cold_left_ms = plan.cold.saturating_sub(started.elapsed()).as_millis();
            let body = format!(
                r#"{{"service":"{}","addr":"{}","zone":"a","version":"v1","slots":9,"state":"ready","cold_left_ms":{cold_left_ms},"seq":{seq},"born":{born}}}"#,
                plan.service, plan.app
            );
            let called = Instant::now();
            let path = format!("/v1/Instances.Heartbeat/{}", plan.id);
            let status = http::call(plan.control, "POST", &path, &body);
            record.line(&format!("{} pings with seq {seq}: {status:?}", plan.id));
            if status == Some(200) {
                self.acknowledged.lock().unwrap().get_or_insert_with(Instant::now);
            }
            thread::sleep(plan.heartbeat.saturating_sub(called.elapsed()));
        }
    }
}
