//! Control datagrams between balancers and agents, and their conversion to and from the generated types.

use std::net::SocketAddrV4;

use prost::Message;

use crate::connection::flow_key::FlowKey;
use crate::connection::flow_key::pack_address;
use crate::connection::flow_key::unpack_address;
use crate::connection::request_class::LoadByPriority;
use crate::connection::target_gate::TargetLimits;
use crate::connection::target_gate::TargetPhase;
use crate::connection::target_instance::KnownInstance;
use crate::connection::target_instance::TargetInstanceSummary;
use crate::log_event;
use crate::process::events::Event;
use crate::version::balancer_table::BalancerUpdate;
use crate::version::balancer_table::ZoneUpdate;
use crate::version::store_position::ReportedPosition;
use crate::version::target_status::TargetLoadReport;
use crate::version::target_status::TargetStatus;
use crate::version::target_status::TargetUpdate;
use crate::wire;
use crate::wire::node_message::Kind;

/// Probe of an agent by a balancer. It carries the configuration that concerns the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Control address of the balancer.
    pub balancer: SocketAddrV4,
    /// Position of the configuration that the following fields are taken from; revision 0 if the balancer
    /// has none.
    pub configuration: ReportedPosition,
    /// Whether the agent's availability zone is taken out of service.
    pub is_zone_out: bool,
    /// Remaining time for which the balancer holds that zone out though the store may have no mark of it, in
    /// milliseconds; `None` if it does not hold the zone.
    pub zone_held_ms: Option<u64>,
    /// Service that the limits apply to; empty if the balancer does not know the target's service.
    pub service: String,
    /// Limits of that service.
    pub limits: TargetLimits,
    /// Idle time-out of the service's flows, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Newest incarnation of the agent that the balancer knows; 0 if it knows none.
    pub known_incarnation: u64,
    /// Instance of the agent's target that the balancer remembers.
    pub known_instance: Option<KnownInstance>,
}

/// Gossip of a balancer: its own state, and updates on other balancers, zones and agents.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BalancerGossip {
    /// Control address of the sender.
    pub control: SocketAddrV4,
    /// Address at which the sender serves its configuration to other balancers.
    pub exchange: SocketAddrV4,
    /// Availability zone of the sender.
    pub zone: String,
    /// Position of the newest change that is in force at the sender.
    pub newest_change: ReportedPosition,
    /// Version of the configuration in force at the sender; 0 if it has none.
    pub configuration_version: u64,
    /// Order of the sender's messages: grows with each one, also across restarts.
    pub stamp: u64,
    /// For each zone, when a balancer of it was last seen.
    pub zones: Vec<ZoneUpdate>,
    /// Updates on some of the balancers that the sender knows.
    pub balancers: Vec<BalancerUpdate>,
    /// Updates on some of the agents that the sender knows.
    pub targets: Vec<TargetUpdate>,
    /// Loads of some targets of the sender's zone.
    pub loads: Vec<TargetLoadReport>,
    /// Whether the sender is stopping.
    pub is_stopping: bool,
    /// Whether the receiver shall answer at once with its full state.
    pub requests_full_state: bool,
    /// Whether the sender's next periodic message goes to this receiver, too; `None` if the message is not
    /// a periodic one.
    pub will_send_next: Option<bool>,
}

/// A segment that an agent returns to its balancer: no target of the chain holds its flow or accepted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReturnedSegment {
    /// Data address of the last agent of the chain.
    pub agent: SocketAddrV4,
    /// Id of the balancer's search or offer; 0 if the balancer expected the flow at that agent.
    pub search_id: u32,
    /// Bytes of the segment.
    pub segment: Vec<u8>,
    /// Whether a target of the chain was busy or full, so that the balancer may offer an opening again.
    pub saw_full_target: bool,
    /// Whether each agent of the chain knows that its target does not hold the flow. Agents of earlier builds do not
    /// report it.
    pub is_ruled_out: bool,
}

/// Payload of a control datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NodeMessage {
    /// Balancer to agent: a probe.
    Probe(Probe),
    /// Agent to balancer: the answer to a probe, or a change of the target's status.
    Status(TargetStatus),
    /// Agent to balancer: its target holds this flow, or has accepted its opening.
    FlowFound {
        /// The flow.
        flow: FlowKey,
        /// Data address of the agent.
        holder: SocketAddrV4,
        /// Whether the caller has acknowledged the target.
        is_confirmed: bool,
    },
    /// Agent to balancer: no target of the chain holds the segment's flow, or accepted the opening.
    Returned(ReturnedSegment),
    /// Balancer to balancer: gossip.
    Balancer(BalancerGossip),
}

impl NodeMessage {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let kind = match self {
            NodeMessage::Probe(probe) => Kind::Probe(wire::Probe {
                balancer: pack_address(probe.balancer),
                configuration_revision: probe.configuration.revision,
                era: probe.configuration.era,
                zone_out: probe.is_zone_out,
                zone_held_ms: probe.zone_held_ms.map(duration_to_wire),
                service: probe.service.clone(),
                cold_openings_per_s: probe.limits.cold_openings_per_s.unwrap_or(0),
                max_flows: probe.limits.max_flows,
                idle_timeout_ms: u32::try_from(probe.idle_timeout_ms).unwrap_or(u32::MAX),
                known_lifetime: probe.known_incarnation,
                known_instance: probe.known_instance.map(|known| wire::TargetInstance {
                    hash: known.hash,
                    leaving: known.is_leaving,
                    other_leaving: known.is_other_leaving,
                }),
                known_instance_lifetime: probe.known_instance.map_or(0, |known| known.as_of.0),
                known_instance_sequence: probe.known_instance.map_or(0, |known| known.as_of.1),
            }),
            NodeMessage::Status(status) => Kind::Status(status_to_wire(status)),
            NodeMessage::FlowFound { flow, holder, is_confirmed } => Kind::Found(wire::FlowFound {
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
                ruled_out: returned.is_ruled_out,
            }),
            NodeMessage::Balancer(gossip) => Kind::Balancer(gossip_to_wire(gossip)),
        };
        wire::NodeMessage { kind: Some(kind) }.encode_to_vec()
    }

    /// Decodes a datagram. Returns `None` if it is no valid control message.
    pub fn decode(bytes: &[u8]) -> Option<NodeMessage> {
        Some(match wire::NodeMessage::decode(bytes).ok()?.kind? {
            Kind::Probe(probe) => NodeMessage::Probe(Probe {
                balancer: unpack_address(probe.balancer)?,
                configuration: ReportedPosition {
                    era: probe.era,
                    revision: probe.configuration_revision,
                },
                is_zone_out: probe.zone_out,
                zone_held_ms: probe.zone_held_ms.map(u64::from),
                service: probe.service,
                limits: TargetLimits {
                    cold_openings_per_s: Some(probe.cold_openings_per_s).filter(|limit| *limit > 0),
                    max_flows: probe.max_flows,
                },
                idle_timeout_ms: u64::from(probe.idle_timeout_ms),
                known_incarnation: probe.known_lifetime,
                known_instance: probe.known_instance.map(|known| KnownInstance {
                    hash: known.hash,
                    is_leaving: known.leaving,
                    is_other_leaving: known.other_leaving,
                    as_of: (probe.known_instance_lifetime, probe.known_instance_sequence),
                }),
            }),
            Kind::Status(status) => NodeMessage::Status(status_from_wire(status)?),
            Kind::Found(found) => {
                let caller = unpack_address(found.caller)?;
                let service = unpack_address(found.service)?;
                NodeMessage::FlowFound {
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
                is_ruled_out: returned.ruled_out,
            }),
            Kind::Balancer(gossip) => NodeMessage::Balancer(gossip_from_wire(gossip)?),
        })
    }
}

fn status_to_wire(status: &TargetStatus) -> wire::TargetStatus {
    wire::TargetStatus {
        data: pack_address(status.data),
        control: pack_address(status.control),
        lifetime: status.incarnation,
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
        instance: status.instance.map(|instance| wire::TargetInstance {
            hash: instance.hash,
            leaving: instance.is_leaving,
            other_leaving: instance.is_other_leaving,
        }),
        load_by_priority: load_to_wire(status.load_by_priority),
        service_time_us: status.service_time_us,
        is_failing: status.is_failing,
    }
}

fn status_from_wire(status: wire::TargetStatus) -> Option<TargetStatus> {
    Some(TargetStatus {
        data: unpack_address(status.data)?,
        control: unpack_address(status.control)?,
        incarnation: status.lifetime,
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
        instance: status.instance.map(|instance| TargetInstanceSummary {
            hash: instance.hash,
            is_leaving: instance.leaving,
            is_other_leaving: instance.other_leaving,
        }),
        load_by_priority: LoadByPriority::from_cumulative(&status.load_by_priority),
        service_time_us: status.service_time_us,
        is_failing: status.is_failing,
    })
}

fn gossip_to_wire(gossip: &BalancerGossip) -> wire::BalancerState {
    let balancer = |update: &BalancerUpdate| wire::BalancerNews {
        control: pack_address(update.control),
        exchange: pack_address(update.exchange),
        zone: update.zone.clone(),
        stamp: update.stamp,
        silent: update.is_down,
    };
    let target = |update: &TargetUpdate| wire::TargetNews {
        status: Some(status_to_wire(&update.status)),
        age_ms: duration_to_wire(update.age_ms),
        silent: update.is_suspected,
    };
    let zone = |update: &ZoneUpdate| wire::ZoneNews {
        zone: update.zone.clone(),
        age_ms: duration_to_wire(update.age_ms),
    };
    let load = |load: &TargetLoadReport| wire::TargetLoad {
        data: pack_address(load.data),
        sequence: load.sequence,
        flows: load.flows,
        busy: load.busy,
        load_by_priority: load_to_wire(load.load_by_priority),
        service_time_us: load.service_time_us,
        is_failing: load.is_failing,
    };
    wire::BalancerState {
        control: pack_address(gossip.control),
        exchange: pack_address(gossip.exchange),
        newest_change: gossip.newest_change.revision,
        era: gossip.newest_change.era,
        configuration_version: gossip.configuration_version,
        zone: gossip.zone.clone(),
        stamp: gossip.stamp,
        zones: gossip.zones.iter().map(zone).collect(),
        balancers: gossip.balancers.iter().map(balancer).collect(),
        targets: gossip.targets.iter().map(target).collect(),
        loads: gossip.loads.iter().map(load).collect(),
        stopping: gossip.is_stopping,
        asks: gossip.requests_full_state,
        follows: gossip.will_send_next,
    }
}

fn gossip_from_wire(gossip: wire::BalancerState) -> Option<BalancerGossip> {
    let balancer = |update: wire::BalancerNews| {
        Some(BalancerUpdate {
            control: unpack_address(update.control)?,
            exchange: unpack_address(update.exchange)?,
            zone: update.zone,
            stamp: update.stamp,
            is_down: update.silent,
        })
    };
    let target = |update: wire::TargetNews| {
        Some(TargetUpdate {
            status: status_from_wire(update.status?)?,
            age_ms: u64::from(update.age_ms),
            is_suspected: update.silent,
        })
    };
    let zone =
        |update: wire::ZoneNews| ZoneUpdate { zone: update.zone, age_ms: u64::from(update.age_ms) };
    let load = |load: wire::TargetLoad| {
        Some(TargetLoadReport {
            data: unpack_address(load.data)?,
            sequence: load.sequence,
            flows: load.flows,
            busy: load.busy,
            load_by_priority: LoadByPriority::from_cumulative(&load.load_by_priority),
            service_time_us: load.service_time_us,
            is_failing: load.is_failing,
        })
    };
    Some(BalancerGossip {
        control: unpack_address(gossip.control)?,
        exchange: unpack_address(gossip.exchange)?,
        zone: gossip.zone,
        newest_change: ReportedPosition { era: gossip.era, revision: gossip.newest_change },
        configuration_version: gossip.configuration_version,
        stamp: gossip.stamp,
        zones: gossip.zones.into_iter().map(zone).collect(),
        balancers: decode_entries("balancers", gossip.balancers, balancer),
        targets: decode_entries("targets", gossip.targets, target),
        loads: decode_entries("loads", gossip.loads, load),
        is_stopping: gossip.stopping,
        requests_full_state: gossip.asks,
        will_send_next: gossip.follows,
    })
}

/// Decodes the entries of a list. Those that do not decode are skipped, so that they hide no other.
fn decode_entries<W, T>(list: &str, entries: Vec<W>, decode: impl Fn(W) -> Option<T>) -> Vec<T> {
    let entry_count = entries.len();
    let decoded: Vec<T> = entries.into_iter().filter_map(decode).collect();
    if decoded.len() < entry_count {
        let skipped = entry_count - decoded.len();
        log_event!(Event::CallFailed, "a peer sent invalid entries, skipped {skipped} of {list}");
    }
    decoded
}

fn load_to_wire(load: Option<LoadByPriority>) -> Vec<u32> {
    load.map_or_else(Vec::new, |load| load.cumulative().to_vec())
}

/// Duration in milliseconds as messages have it, or the longest that they can have.
pub(super) fn duration_to_wire(duration_ms: u64) -> u32 {
    u32::try_from(duration_ms).unwrap_or(u32::MAX)
}
