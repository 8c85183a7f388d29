//! Discrete-event simulation of the gossip between many balancers in one process. It drives the real
//! [`GossipState`] of each balancer; calls take time, are counted in bytes, and time out across a network
//! partition.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::version::message;
use rhubarbthread::version::peer::GossipState;
use rhubarbthread::version::peer::OutgoingCall;
use rhubarbthread::version::peer::addresses_digest;
use rhubarbthread::version::record::BalancerRecord;
use rhubarbthread::version::record::Phase;
use rhubarbthread::version::record::Record;
use rhubarbthread::version::record::TargetRecord;
use rhubarbthread::wire;
use rhubarbthread::wire::control_request::Kind as RequestKind;
use rhubarbthread::wire::control_response::Kind as ResponseKind;

/// Time between two ticks of a balancer, in milliseconds of simulated time like all times here.
const TICK_INTERVAL_MS: u64 = 100;

/// Time between two reports of an agent, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_100;

/// Time-out of a call to an unreachable balancer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Bytes for QUIC, UDP and acknowledgements that are added to each message.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 90;

/// Node number of the first agent in [`Partition`]; smaller numbers are balancers.
pub const FIRST_AGENT: usize = 1_000_000;

/// Returns whether a message from the first node to the second is lost. Balancers are numbered from 0, agents
/// from [`FIRST_AGENT`].
pub type Partition = Box<dyn Fn(usize, usize) -> bool>;

enum Event {
    Tick(usize),
    Report(usize),
    RequestArrival { from: usize, call: OutgoingCall },
    ResponseArrival { to: usize, call: OutgoingCall, response: wire::ControlResponse },
    CallTimeout { to: usize, call: OutgoingCall },
}

/// Event in the queue. Events at the same time are handled in the order in which they were scheduled, so that
/// runs are reproducible.
struct ScheduledEvent {
    at_ms: u64,
    order: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at_ms, self.order).cmp(&(other.at_ms, other.order))
    }
}

/// Traffic of one balancer.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeTraffic {
    /// Bytes sent, including the overhead.
    pub sent_bytes: u64,
    /// Bytes received, including the overhead.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
}

/// Simulated agent, which reports its target to the balancers that monitor it.
#[derive(Clone, Debug)]
pub struct SimulatedAgent {
    /// Record that it reports.
    pub record: TargetRecord,
    /// Whether it still sends reports.
    pub is_alive: bool,
    /// Balancers that monitor it, as of the last answer; empty if no balancer answered the last report.
    monitors: Vec<SocketAddrV4>,
}

/// Simulated system of balancers and agents.
pub struct GossipSimulation {
    /// State machines of the balancers.
    pub peers: Vec<GossipState>,
    /// Whether each balancer is running.
    pub running: Vec<bool>,
    /// Agents; their node numbers start at [`FIRST_AGENT`].
    pub agents: Vec<SimulatedAgent>,
    /// Traffic of each balancer since the last reset.
    pub traffic: Vec<NodeTraffic>,
    /// Current network partition.
    pub partition: Partition,
    now_ms: u64,
    /// One-way delay of each message.
    delay_ms: u64,
    last_event_number: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    random: StdRng,
}

/// Control address of a balancer.
pub fn control_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(0x0a01_0000 + index as u32), 7001)
}

/// Data address of an agent.
pub fn agent_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(0x0a02_0000 + index as u32), 7000)
}

fn index_of(control: SocketAddrV4) -> usize {
    (control.ip().to_bits() - 0x0a01_0000) as usize
}

fn balancer(index: usize, zones: usize, incarnation: u64) -> BalancerRecord {
    BalancerRecord {
        control: control_address(index),
        incarnation,
        sequence: 0,
        lost: false,
        zone: format!("zone-{}", index % zones),
        admin: control_address(index),
        gone: false,
    }
}

impl GossipSimulation {
    /// Creates balancers that know only the three seed balancers, and agents that no balancer monitors yet.
    pub fn new(
        balancers: usize,
        agents: usize,
        services: usize,
        zones: usize,
        seed: u64,
    ) -> GossipSimulation {
        let seeds = [control_address(0), control_address(1), control_address(2)];
        let peers = (0..balancers).map(|index| GossipState::new(balancer(index, zones, 1), &seeds));
        let agent = |index: usize| SimulatedAgent {
            record: TargetRecord {
                data: agent_address(index),
                incarnation: 1,
                sequence: 0,
                lost: false,
                service: format!("service-{}", index % services),
                zone: format!("zone-{}", index % zones),
                slots: 9,
                connections: 2_000,
                phase: Phase::Serving,
            },
            is_alive: true,
            monitors: Vec::new(),
        };
        let mut simulation = GossipSimulation {
            peers: peers.collect(),
            running: vec![true; balancers],
            agents: (0..agents).map(agent).collect(),
            traffic: vec![NodeTraffic::default(); balancers],
            partition: Box::new(|_, _| false),
            now_ms: 0,
            delay_ms: 2,
            last_event_number: 0,
            queue: BinaryHeap::new(),
            random: StdRng::seed_from_u64(seed),
        };
        for index in 0..balancers {
            let at_ms = simulation.random.random_range(0..TICK_INTERVAL_MS);
            simulation.schedule(at_ms, Event::Tick(index));
        }
        for index in 0..agents {
            let at_ms = simulation.random.random_range(0..REPORT_INTERVAL_MS);
            simulation.schedule(at_ms, Event::Report(index));
        }
        simulation
    }

    /// Loads all records into every balancer, as after a long run.
    pub fn preload(&mut self, configuration: &[Record]) {
        let balancers = self.peers.iter().map(|peer| Record::Balancer(peer.own_record().clone()));
        let targets = self.agents.iter().map(|agent| Record::Target(agent.record.clone()));
        let all: Vec<Record> =
            balancers.chain(targets).chain(configuration.iter().cloned()).collect();
        for peer in &mut self.peers {
            peer.preload(&all);
        }
    }

    /// Current simulated time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Replaces a balancer by a new instance that knows only the seed balancers.
    pub fn replace_balancer(&mut self, index: usize, zones: usize) {
        let seeds = [control_address(0), control_address(1), control_address(2)];
        let incarnation = self.peers[index].own_record().incarnation + 1;
        self.peers[index] = GossipState::new(balancer(index, zones, incarnation), &seeds);
        self.running[index] = true;
    }

    /// Resets the traffic counters.
    pub fn reset_traffic(&mut self) {
        self.traffic.fill(NodeTraffic::default());
    }

    /// Runs the simulation for `duration_ms`, or until `until` returns true; it is evaluated every
    /// `TICK_INTERVAL_MS`. Returns the simulated time that has passed, in milliseconds.
    pub fn run(&mut self, duration_ms: u64, until: impl Fn(&GossipSimulation) -> bool) -> u64 {
        let start_ms = self.now_ms;
        let end_ms = start_ms + duration_ms;
        let mut next_check_ms = start_ms;
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at_ms >= next_check_ms {
                self.now_ms = scheduled.at_ms;
                next_check_ms = scheduled.at_ms + TICK_INTERVAL_MS;
                if until(self) || scheduled.at_ms >= end_ms {
                    self.queue.push(Reverse(scheduled));
                    break;
                }
            }
            self.now_ms = scheduled.at_ms;
            self.handle(scheduled.event);
        }
        self.now_ms - start_ms
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.last_event_number += 1;
        self.queue.push(Reverse(ScheduledEvent { at_ms, order: self.last_event_number, event }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index) => self.tick(index),
            Event::Report(index) => self.report(index),
            Event::RequestArrival { from, call } => self.handle_arrival(from, call),
            Event::ResponseArrival { to, call, response } => {
                let size = response.encoded_len() as u64 + MESSAGE_OVERHEAD_BYTES;
                self.traffic[to].received_bytes += size;
                let calls = self.peers[to].handle_response(self.now_ms, &call, &response);
                self.send_all(to, calls);
            }
            Event::CallTimeout { to, call } => {
                let calls = self.peers[to].handle_failure(self.now_ms, &call);
                self.send_all(to, calls);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.schedule(self.now_ms + TICK_INTERVAL_MS, Event::Tick(index));
        if !self.running[index] {
            return;
        }
        let random = self.random.random();
        let calls = self.peers[index].tick(self.now_ms, random);
        self.send_all(index, calls);
    }

    fn send_all(&mut self, from: usize, calls: Vec<OutgoingCall>) {
        for call in calls {
            let size = call.request.encoded_len() as u64 + MESSAGE_OVERHEAD_BYTES;
            self.traffic[from].sent_bytes += size;
            self.traffic[from].sent_messages += 1;
            self.schedule(self.now_ms + self.delay_ms, Event::RequestArrival { from, call });
        }
    }

    fn handle_arrival(&mut self, from: usize, call: OutgoingCall) {
        let to = index_of(call.to);
        let reachable = to < self.peers.len() && self.running[to] && !(self.partition)(from, to);
        if !reachable {
            self.schedule(self.now_ms + CALL_TIMEOUT_MS, Event::CallTimeout { to: from, call });
            return;
        }
        let response = self.handle_request(to, &call.request);
        self.schedule(
            self.now_ms + self.delay_ms,
            Event::ResponseArrival { to: from, call, response },
        );
    }

    fn handle_request(
        &mut self,
        index: usize,
        request: &wire::ControlRequest,
    ) -> wire::ControlResponse {
        let response = self.peers[index].handle_request(self.now_ms, request);
        let traffic = &mut self.traffic[index];
        traffic.received_bytes += request.encoded_len() as u64 + MESSAGE_OVERHEAD_BYTES;
        traffic.sent_bytes += response.encoded_len() as u64 + MESSAGE_OVERHEAD_BYTES;
        traffic.sent_messages += 1;
        response
    }

    fn report(&mut self, index: usize) {
        self.schedule(self.now_ms + REPORT_INTERVAL_MS, Event::Report(index));
        let agent = self.agents[index].clone();
        if !agent.is_alive {
            return;
        }
        // An agent without monitors reports to a random seed balancer, which answers with its monitors.
        let seed = self.random.random_range(0..3.min(self.peers.len()));
        let peers =
            if agent.monitors.is_empty() { vec![control_address(seed)] } else { agent.monitors };
        let request = build_report(&agent.record, &peers);
        let mut is_answered = false;
        for peer in peers {
            let to = index_of(peer);
            if !self.running[to] || (self.partition)(FIRST_AGENT + index, to) {
                continue;
            }
            let response = self.handle_request(to, &request);
            if let Some(ResponseKind::Report(answer)) = response.kind {
                is_answered = true;
                apply_report_answer(&mut self.agents[index], &answer);
            }
        }
        if !is_answered {
            self.agents[index].monitors.clear();
        }
    }
}

fn build_report(record: &TargetRecord, monitors: &[SocketAddrV4]) -> wire::ControlRequest {
    let report = wire::Report {
        target: Some(message::target_to_message(record)),
        flows: 100,
        busy_slots: 3,
        configuration_digest: 0,
        keepers_digest: addresses_digest(monitors),
    };
    wire::ControlRequest { kind: Some(RequestKind::Report(report)) }
}

fn apply_report_answer(agent: &mut SimulatedAgent, answer: &wire::ReportAnswer) {
    let address = rhubarbthread::connection::envelope::from_hop;
    if !answer.keepers.is_empty() {
        agent.monitors = answer.keepers.iter().filter_map(address).collect();
    }
    if answer.known_lost {
        agent.record.sequence = answer.known_sequence + 1;
    }
}
