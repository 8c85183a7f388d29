//! A client: opens flows, sends requests on them, and retransmits as the platform's pages say.

use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use crate::packet::ACK;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::server::header;
use crate::server::start_sequence;
use crate::world::DATAGRAM;
use crate::world::Record;
use crate::world::Router;
use crate::world::World;

/// Times of the copies of an opening, and the end of the attempt, after the first.
const OPENING_TIMES: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(600), Duration::from_millis(1_400)];

/// First and longest time between two transmissions of a packet.
const RETRANSMISSION: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_600));

/// Distance of a valid reset's sequence number from the client's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer, by the server with this id.
    Answered { server: String, text: String },
    /// The system has reset the flow.
    ResetBySystem,
    /// The server has reset the flow.
    ResetByServer,
    /// No answer in time.
    Deadline,
}

/// An open flow.
#[derive(Clone, Debug)]
pub struct Flow {
    pub port: u16,
    route: SocketAddrV4,
    sequence: u32,
    acknowledged: u32,
}

/// A client on a host of its own; it uses its flows one after the other.
pub struct Client {
    name: String,
    zone: String,
    own: SocketAddrV4,
    socket: UdpSocket,
    router: Router,
    record: Record,
    next_port: u16,
    requests: u32,
    /// When the first packet of each flow was sent.
    pub openings_sent: Vec<(SocketAddrV4, Instant)>,
}

impl Client {
    pub fn new(world: &World, router: &Router, host: u8, zone: &str) -> Client {
        let own = world.at(host, DATAGRAM);
        let socket = UdpSocket::bind(own).expect("the address is free");
        Client {
            name: format!("client-{host}"),
            zone: zone.to_owned(),
            own,
            socket,
            router: router.clone(),
            record: world.record.clone(),
            next_port: 1_024,
            requests: 0,
            openings_sent: Vec::new(),
        }
    }

    /// Opens a flow from a new port.
    pub fn open(&mut self, route: SocketAddrV4) -> Option<Flow> {
        let port = self.next_port;
        self.next_port += 1;
        let start = start_sequence();
        let mut opening = Packet::new(self.end(port), route, SYN);
        opening.sequence = start;
        let begun = Instant::now();
        self.openings_sent.push((self.end(port), begun));
        for (copy, until) in OPENING_TIMES.into_iter().enumerate() {
            opening.acknowledged = copy as u32;
            self.transmit(&opening);
            while let Some(packet) = self.receive(port, begun + until) {
                if packet.flags & RST != 0 {
                    self.note(&format!("port {port} to {route}: opening reset"));
                    return None;
                }
                if packet.flags & SYN != 0 {
                    let sequence = start.wrapping_add(1);
                    let acknowledged = packet.sequence.wrapping_add(1);
                    let flow = Flow { port, route, sequence, acknowledged };
                    self.transmit(&self.packet(&flow, Vec::new()));
                    return Some(flow);
                }
            }
        }
        self.note(&format!("port {port} to {route}: opening not answered"));
        None
    }

    /// Sends a request on an open flow and waits for its answer.
    pub fn request(&mut self, flow: &mut Flow, deadline: Duration) -> Outcome {
        self.requests += 1;
        let attempt = format!("{}-{}", self.name, self.requests);
        let text = format!("GET /x HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: {attempt}\r\n\r\n");
        let request = self.packet(flow, text.into_bytes());
        let length = request.data.len() as u32;
        let (begun, mut pause) = (Instant::now(), RETRANSMISSION.0);
        self.note(&format!("port {}: sends {attempt}", flow.port));
        loop {
            self.transmit(&request);
            let until = (Instant::now() + pause).min(begun + deadline);
            while let Some(packet) = self.receive(flow.port, until) {
                let outcome = self.outcome(flow, &packet, &attempt, length);
                if let Some(outcome) = outcome {
                    self.note(&format!("port {}: {attempt} ends: {outcome:?}", flow.port));
                    return outcome;
                }
            }
            if begun.elapsed() >= deadline {
                self.note(&format!("port {}: {attempt} has no answer in time", flow.port));
                return Outcome::Deadline;
            }
            pause = (pause * 2).min(RETRANSMISSION.1);
        }
    }

    /// Closes a flow whose last request was answered.
    pub fn close(&mut self, flow: &Flow) {
        let mut end = self.packet(flow, Vec::new());
        end.flags |= FIN;
        self.transmit(&end);
        let until = Instant::now() + RETRANSMISSION.0;
        while let Some(packet) = self.receive(flow.port, until) {
            if packet.flags & FIN != 0 {
                return;
            }
        }
    }

    fn outcome(
        &self,
        flow: &mut Flow,
        packet: &Packet,
        attempt: &str,
        length: u32,
    ) -> Option<Outcome> {
        if packet.flags & RST != 0 {
            if packet.is_genuine {
                return Some(Outcome::ResetByServer);
            }
            let distance = packet.sequence.wrapping_sub(flow.acknowledged);
            let is_valid = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
            return (packet.has_no_sum && is_valid).then_some(Outcome::ResetBySystem);
        }
        if packet.data.is_empty() || packet.sequence != flow.acknowledged {
            return None;
        }
        flow.sequence = flow.sequence.wrapping_add(length);
        flow.acknowledged = flow.acknowledged.wrapping_add(packet.data.len() as u32);
        let acknowledgement = self.packet(flow, Vec::new());
        self.transmit(&acknowledgement);
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        if header(&text, "X-Response-Stamp: ") != Some(attempt) {
            self.note(&format!("port {}: answer of another request: {text:?}", flow.port));
        }
        let server = header(&text, "X-Instance-Id: ").unwrap_or_default().to_owned();
        Some(Outcome::Answered { server, text })
    }

    fn packet(&self, flow: &Flow, data: Vec<u8>) -> Packet {
        let mut packet = Packet::new(self.end(flow.port), flow.route, ACK);
        (packet.sequence, packet.acknowledged) = (flow.sequence, flow.acknowledged);
        packet.data = data;
        packet
    }

    fn end(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(*self.own.ip(), port)
    }

    fn transmit(&self, packet: &Packet) {
        let hash = u32::from(packet.from.port()).wrapping_mul(0x9e37_79b9)
            ^ u32::from(packet.to.port()).wrapping_add(packet.from.ip().to_bits())
            ^ packet.to.ip().to_bits();
        let hash = hash ^ hash >> 15;
        let _ = self.socket.send_to(&packet.encode(), self.router.next_hop(&self.zone, hash));
    }

    /// Receives the next packet of a flow before `until`.
    fn receive(&self, port: u16, until: Instant) -> Option<Packet> {
        let mut buffer = [0; 2_000];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(1) {
                return None;
            }
            self.socket.set_read_timeout(Some(left)).expect("a socket takes a time-out");
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else { continue };
            let packet = Packet::decode(&buffer[..length]);
            if let Some(packet) = packet.filter(|packet| packet.to.port() == port) {
                return Some(packet);
            }
        }
    }

    fn note(&self, text: &str) {
        self.record.note(&format!("{} {text}", self.name));
    }
}
