//! Forwarding table of a balancer, built from one version of the records.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::datagram;
use crate::connection::datagram::PacketHeader;
use crate::connection::envelope::MAX_CHAIN;
use crate::connection::tag::Tag;
use crate::connection::tag::TagKeys;
use crate::version::hash::hash64;
use crate::version::hash::hash64_with_seed;
use crate::version::hash::zone_fingerprint;
use crate::version::record::TargetRecord;
use crate::version::records::Records;
use crate::version::records::accepts_new_flows;
use crate::version::rendezvous;
use crate::version::rendezvous::Candidate;

/// Reason for which a balancer drops a datagram.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ForwardDrop {
    /// The destination is not the address of a service.
    UnknownService,
    /// The datagram is not QUIC.
    NotQuic,
    /// The connection id of a short-header packet carries no valid flow tag.
    BadTag,
    /// The flow tag belongs to another service than the destination address.
    OtherService,
    /// The availability zone of the target is out of service.
    ZoneOut,
    /// A long-header packet without a flow tag that cannot open a flow.
    NotAnOpening,
    /// The service has no target that accepts new flows.
    NoTarget,
}

impl ForwardDrop {
    /// All reasons; the documentation of the metrics lists each of them.
    pub const ALL: [ForwardDrop; 7] = [
        ForwardDrop::UnknownService,
        ForwardDrop::NotQuic,
        ForwardDrop::BadTag,
        ForwardDrop::OtherService,
        ForwardDrop::ZoneOut,
        ForwardDrop::NotAnOpening,
        ForwardDrop::NoTarget,
    ];

    /// Value of the label `reason` in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ForwardDrop::UnknownService => "unknown-service",
            ForwardDrop::NotQuic => "not-quic",
            ForwardDrop::BadTag => "bad-tag",
            ForwardDrop::OtherService => "other-service",
            ForwardDrop::ZoneOut => "zone-out",
            ForwardDrop::NotAnOpening => "not-an-opening",
            ForwardDrop::NoTarget => "no-target",
        }
    }
}

/// Decision of a balancer on a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardingDecision {
    /// Forward it unchanged to the agent named in its flow tag.
    Established(SocketAddrV4),
    /// Forward it to the first of these candidate agents, together with the list.
    Opening(Vec<SocketAddrV4>),
    /// Drop it for this reason.
    Drop(ForwardDrop),
}

#[derive(Clone, Debug)]
struct TargetEntry {
    data: SocketAddrV4,
    id: u64,
    weight: u32,
    zone: String,
}

#[derive(Clone, Debug)]
struct ServiceEntry {
    number: u16,
    targets: Vec<TargetEntry>,
}

impl ServiceEntry {
    fn new(number: u16) -> ServiceEntry {
        ServiceEntry { number, targets: Vec::new() }
    }
}

/// Services by address, with their targets that accept new flows.
#[derive(Clone, Debug, Default)]
pub struct ForwardingTable {
    services: IndexMap<SocketAddr, ServiceEntry>,
    zones_out: Vec<u16>,
}

impl ForwardingTable {
    /// Builds the table from the records of one version.
    ///
    /// Datagrams of established flows are still forwarded to the zones in `draining`, which operators have
    /// just taken out of service.
    pub fn new(records: &Records, draining: &[String]) -> ForwardingTable {
        let zones_out = records.zones().filter(|zone| zone.out && !draining.contains(&zone.name));
        let mut table = ForwardingTable {
            services: IndexMap::new(),
            zones_out: zones_out.map(|zone| zone_fingerprint(&zone.name)).collect(),
        };
        let mut names = IndexMap::new();
        // Established flows of a removed service are forwarded until another service uses its address;
        // the second loop then replaces the entry.
        for service in records.services().filter(|service| service.removed) {
            table.services.insert(service.address, ServiceEntry::new(service.number));
        }
        for service in records.services().filter(|service| !service.removed) {
            table.services.insert(service.address, ServiceEntry::new(service.number));
            names.insert(service.name.as_str(), service);
        }
        let is_eligible = |target: &&TargetRecord| {
            let zones = names.get(target.service.as_str()).map(|service| &service.zones);
            zones.is_some_and(|zones| zones.is_empty() || zones.contains(&target.zone))
                && !records.is_zone_out(&target.zone)
        };
        let mut lost = Vec::new();
        for target in records.targets().filter(is_eligible) {
            let address = names[target.service.as_str()].address;
            if accepts_new_flows(target) {
                table.services[&address].targets.push(target_entry(target));
            } else if target.lost && target.phase.accepts_new_flows() {
                lost.push((address, target_entry(target)));
            }
        }
        table.fall_back_to_lost_targets(lost);
        table
    }

    /// Adds the targets marked as lost to services that have no other targets. The mark may be wrong, and
    /// without any target the opening would be dropped anyway.
    fn fall_back_to_lost_targets(&mut self, lost: Vec<(SocketAddr, TargetEntry)>) {
        let without_targets: Vec<SocketAddr> = self
            .services
            .iter()
            .filter(|(_, service)| service.targets.is_empty())
            .map(|(address, _)| *address)
            .collect();
        for (address, target) in lost {
            if without_targets.contains(&address) {
                self.services[&address].targets.push(target);
            }
        }
    }

    /// Decides how to forward a datagram from `source` to the service address `destination`.
    pub fn route(
        &self,
        keys: &TagKeys,
        source: SocketAddr,
        destination: SocketAddr,
        datagram: &[u8],
    ) -> ForwardingDecision {
        let Some(service) = self.services.get(&destination) else {
            return ForwardingDecision::Drop(ForwardDrop::UnknownService);
        };
        match datagram::parse_header(datagram) {
            Err(_) => ForwardingDecision::Drop(ForwardDrop::NotQuic),
            Ok(PacketHeader::Short { connection_id }) => match keys.open(connection_id) {
                Some(tag) => self.route_tagged(service, &tag),
                None => ForwardingDecision::Drop(ForwardDrop::BadTag),
            },
            Ok(PacketHeader::Long { connection_id }) => match keys.open(connection_id) {
                Some(tag) => self.route_tagged(service, &tag),
                None => route_opening(service, source, connection_id, datagram.len()),
            },
        }
    }

    /// Candidate agents for a new flow, best first; empty where the service is unknown or has no targets.
    pub fn chain(&self, service: SocketAddr, flow_hash: u64) -> Vec<SocketAddrV4> {
        self.services.get(&service).map_or_else(Vec::new, |service| chain(service, flow_hash))
    }

    fn route_tagged(&self, service: &ServiceEntry, tag: &Tag) -> ForwardingDecision {
        if tag.service != service.number {
            return ForwardingDecision::Drop(ForwardDrop::OtherService);
        }
        if self.zones_out.contains(&tag.zone) {
            return ForwardingDecision::Drop(ForwardDrop::ZoneOut);
        }
        ForwardingDecision::Established(tag.agent)
    }
}

/// Hash of a new flow, from the caller's address and the connection id of its first packet.
pub fn flow_hash(source: SocketAddr, connection_id: &[u8]) -> u64 {
    let port = u64::from(source.port());
    let ip = match source.ip() {
        IpAddr::V4(ip) => hash64(&ip.octets()),
        IpAddr::V6(ip) => hash64(&ip.octets()),
    };
    hash64_with_seed(connection_id, ip.wrapping_add(port))
}

fn route_opening(
    service: &ServiceEntry,
    source: SocketAddr,
    connection_id: &[u8],
    datagram_bytes: usize,
) -> ForwardingDecision {
    if !datagram::may_open_flow(connection_id, datagram_bytes) {
        return ForwardingDecision::Drop(ForwardDrop::NotAnOpening);
    }
    let chain = chain(service, flow_hash(source, connection_id));
    if chain.is_empty() {
        return ForwardingDecision::Drop(ForwardDrop::NoTarget);
    }
    ForwardingDecision::Opening(chain)
}

fn chain(service: &ServiceEntry, flow_hash: u64) -> Vec<SocketAddrV4> {
    let candidate = |target| {
        let TargetEntry { id, weight, zone, .. }: &TargetEntry = target;
        Candidate { id: *id, weight: *weight, zone }
    };
    let candidates: Vec<Candidate<'_>> = service.targets.iter().map(candidate).collect();
    let chosen = rendezvous::choose(flow_hash, &candidates, MAX_CHAIN);
    chosen.into_iter().map(|index| service.targets[index].data).collect()
}

fn target_entry(target: &TargetRecord) -> TargetEntry {
    TargetEntry {
        data: target.data,
        id: hash64(target.data.to_string().as_bytes()),
        weight: target.connections.max(1),
        zone: target.zone.clone(),
    }
}
