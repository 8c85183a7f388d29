//! Control datagrams between balancers and agents, and their generated form.

use std::net::SocketAddrV4;

use prost::Message;

use crate::connection::flow_key::FlowKey;
use crate::connection::flow_key::pack_address;
use crate::connection::flow_key::unpack_address;
use crate::connection::target_gate::GateLimits;
use crate::connection::target_gate::TargetPhase;
use crate::version::balancer_table::BalancerUpdate;
use crate::version::balancer_table::ZoneUpdate;
use crate::version::target_status::TargetLoad;
use crate::version::target_status::TargetStatus;
use crate::version::target_status::TargetUpdate;
use crate::wire;
use crate::wire::node_message::Kind;

/// What a balancer tells an agent with each probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Control address of the balancer.
    pub balancer: SocketAddrV4,
    /// Revision of the configuration that the rest comes from; 0 where it has none.
    pub configuration_revision: u64,
    /// Whether the agent's zone is out.
    pub is_zone_out: bool,
    /// Service that the limits are about; empty where they are not known.
    pub service: String,
    /// Limits of that service.
    pub limits: GateLimits,
    /// Idle time after which a flow may be forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Newest run of the agent that the balancer knows of; 0 for none.
    pub known_incarnation: u64,
}

/// What a balancer tells other balancers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BalancerGossip {
    /// Control address.
    pub control: SocketAddrV4,
    /// Address of its exchange of configuration.
    pub exchange: SocketAddrV4,
    /// Availability zone.
    pub zone: String,
    /// Revision of the newest change that is in force there.
    pub newest_change_revision: u64,
    /// Grows with each state of the sender, also from one run to the next.
    pub stamp: u64,
    /// When a balancer of each zone was last heard.
    pub zones: Vec<ZoneUpdate>,
    /// Some of the balancers that it knows.
    pub balancers: Vec<BalancerUpdate>,
    /// Some of the agents that it knows.
    pub targets: Vec<TargetUpdate>,
    /// Loads of some targets of its zone.
    pub loads: Vec<TargetLoad>,
    /// Whether it stops.
    pub is_stopping: bool,
    /// Whether the receiver answers at once with all that it knows.
    pub requests_full_state: bool,
    /// Whether the sender's next state goes to the receiver, too; nothing where this is none of its regular
    /// ones.
    pub will_send_next: Option<bool>,
}

/// A segment whose flow no target of a chain holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReturnedSegment {
    /// Data address of the last agent of the chain.
    pub agent: SocketAddrV4,
    /// Number of the balancer's search; 0 where the flow should have been at that agent.
    pub search_id: u32,
    /// The segment.
    pub segment: Vec<u8>,
    /// Whether a target on the way was full.
    pub saw_full_target: bool,
}

/// One control datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NodeMessage {
    /// Balancer to agent.
    Probe(Probe),
    /// Agent to balancer.
    Status(TargetStatus),
    /// Agent to balancer: its target holds this flow, or has accepted its opening.
    Found {
        /// The flow.
        flow: FlowKey,
        /// Data address of the agent.
        holder: SocketAddrV4,
        /// Whether the caller has acknowledged the target.
        is_confirmed: bool,
    },
    /// Agent to balancer: no target of the chain holds the segment's flow.
    Returned(ReturnedSegment),
    /// Balancer to balancer.
    Balancer(BalancerGossip),
}

impl NodeMessage {
    /// The bytes of the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let kind = match self {
            NodeMessage::Probe(probe) => Kind::Probe(wire::Probe {
                balancer: pack_address(probe.balancer),
                configuration_revision: probe.configuration_revision,
                zone_out: probe.is_zone_out,
                service: probe.service.clone(),
                cold_openings_per_s: probe.limits.cold_openings_per_s.unwrap_or(0),
                max_flows: probe.limits.max_flows,
                idle_timeout_ms: u32::try_from(probe.idle_timeout_ms).unwrap_or(u32::MAX),
                known_lifetime: probe.known_incarnation,
            }),
            NodeMessage::Status(status) => Kind::Status(status_to_wire(status)),
            NodeMessage::Found { flow, holder, is_confirmed } => Kind::Found(wire::FlowFound {
                caller: pack_address(flow.caller),
                service: pack_address(flow.service),
                holder: pack_address(*holder),
                confirmed: *is_confirmed,
            }),
            NodeMessage::Returned(returned) => Kind::Returned(wire::SegmentReturned {
                agent: pack_address(returned.agent),
                search: returned.search_id,
                segment: returned.segment.clone(),
                met_full: returned.saw_full_target,
            }),
            NodeMessage::Balancer(state) => Kind::Balancer(balancer_to_wire(state)),
        };
        wire::NodeMessage { kind: Some(kind) }.encode_to_vec()
    }

    /// Reads a datagram; `None` where it is none of these.
    pub fn decode(bytes: &[u8]) -> Option<NodeMessage> {
        Some(match wire::NodeMessage::decode(bytes).ok()?.kind? {
            Kind::Probe(probe) => NodeMessage::Probe(Probe {
                balancer: unpack_address(probe.balancer)?,
                configuration_revision: probe.configuration_revision,
                is_zone_out: probe.zone_out,
                service: probe.service,
                limits: GateLimits {
                    cold_openings_per_s: Some(probe.cold_openings_per_s).filter(|limit| *limit > 0),
                    max_flows: probe.max_flows,
                },
                idle_timeout_ms: u64::from(probe.idle_timeout_ms),
                known_incarnation: probe.known_lifetime,
            }),
            Kind::Status(status) => NodeMessage::Status(status_from_wire(status)?),
            Kind::Found(found) => {
                let caller = unpack_address(found.caller)?;
                let service = unpack_address(found.service)?;
                NodeMessage::Found {
                    flow: FlowKey { caller, service },
                    holder: unpack_address(found.holder)?,
                    is_confirmed: found.confirmed,
                }
            }
            Kind::Returned(returned) => NodeMessage::Returned(ReturnedSegment {
                agent: unpack_address(returned.agent)?,
                search_id: returned.search,
                segment: returned.segment,
                saw_full_target: returned.met_full,
            }),
            Kind::Balancer(state) => NodeMessage::Balancer(balancer_from_wire(state)?),
        })
    }
}

fn status_to_wire(status: &TargetStatus) -> wire::TargetStatus {
    wire::TargetStatus {
        data: pack_address(status.data),
        control: pack_address(status.control),
        lifetime: status.lifetime,
        sequence: status.sequence,
        zone: status.zone.clone(),
        service: status.service.clone(),
        phase: match status.phase {
            TargetPhase::Unknown => 0,
            TargetPhase::Serving => 1,
            TargetPhase::Cold => 2,
            TargetPhase::Leaving => 3,
            TargetPhase::Ended => 4,
            TargetPhase::Introducing => 5,
        },
        slots: status.slots,
        flows: status.flows,
        busy: status.busy,
        stopping: status.is_stopping,
    }
}

fn status_from_wire(status: wire::TargetStatus) -> Option<TargetStatus> {
    Some(TargetStatus {
        data: unpack_address(status.data)?,
        control: unpack_address(status.control)?,
        lifetime: status.lifetime,
        sequence: status.sequence,
        zone: status.zone,
        service: status.service,
        phase: match status.phase {
            0 => TargetPhase::Unknown,
            1 => TargetPhase::Serving,
            2 => TargetPhase::Cold,
            3 => TargetPhase::Leaving,
            4 => TargetPhase::Ended,
            5 => TargetPhase::Introducing,
            _ => return None,
        },
        slots: status.slots,
        flows: status.flows,
        busy: status.busy,
        is_stopping: status.stopping,
    })
}

fn balancer_to_wire(state: &BalancerGossip) -> wire::BalancerState {
    let balancer = |news: &BalancerUpdate| wire::BalancerNews {
        control: pack_address(news.control),
        exchange: pack_address(news.exchange),
        zone: news.zone.clone(),
        stamp: news.stamp,
        silent: news.is_down,
    };
    let target = |news: &TargetUpdate| wire::TargetNews {
        status: Some(status_to_wire(&news.status)),
        age_ms: age_to_wire(news.age_ms),
        silent: news.is_suspected,
    };
    let zone = |news: &ZoneUpdate| wire::ZoneNews {
        zone: news.zone.clone(),
        age_ms: age_to_wire(news.age_ms),
    };
    let load = |load: &TargetLoad| wire::TargetLoad {
        data: pack_address(load.data),
        sequence: load.sequence,
        flows: load.flows,
        busy: load.busy,
    };
    wire::BalancerState {
        control: pack_address(state.control),
        exchange: pack_address(state.exchange),
        newest_change: state.newest_change_revision,
        zone: state.zone.clone(),
        stamp: state.stamp,
        zones: state.zones.iter().map(zone).collect(),
        balancers: state.balancers.iter().map(balancer).collect(),
        targets: state.targets.iter().map(target).collect(),
        loads: state.loads.iter().map(load).collect(),
        stopping: state.is_stopping,
        asks: state.requests_full_state,
        follows: state.will_send_next,
    }
}

fn balancer_from_wire(state: wire::BalancerState) -> Option<BalancerGossip> {
    let balancer = |news: wire::BalancerNews| {
        Some(BalancerUpdate {
            control: unpack_address(news.control)?,
            exchange: unpack_address(news.exchange)?,
            zone: news.zone,
            stamp: news.stamp,
            is_down: news.silent,
        })
    };
    let target = |news: wire::TargetNews| {
        Some(TargetUpdate {
            status: status_from_wire(news.status?)?,
            age_ms: u64::from(news.age_ms),
            is_suspected: news.silent,
        })
    };
    let zone =
        |news: wire::ZoneNews| ZoneUpdate { zone: news.zone, age_ms: u64::from(news.age_ms) };
    let load = |load: wire::TargetLoad| {
        Some(TargetLoad {
            data: unpack_address(load.data)?,
            sequence: load.sequence,
            flows: load.flows,
            busy: load.busy,
        })
    };
    Some(BalancerGossip {
        control: unpack_address(state.control)?,
        exchange: unpack_address(state.exchange)?,
        zone: state.zone,
        newest_change_revision: state.newest_change,
        stamp: state.stamp,
        zones: state.zones.into_iter().map(zone).collect(),
        balancers: state.balancers.into_iter().map(balancer).collect::<Option<_>>()?,
        targets: state.targets.into_iter().map(target).collect::<Option<_>>()?,
        loads: state.loads.into_iter().map(load).collect::<Option<_>>()?,
        is_stopping: state.stopping,
        requests_full_state: state.asks,
        will_send_next: state.follows,
    })
}

fn age_to_wire(age_ms: u64) -> u32 {
    u32::try_from(age_ms).unwrap_or(u32::MAX)
}
