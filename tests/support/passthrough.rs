//! Addresses, segments, target statuses and configurations for the tests of passthrough flows.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use rhubarbthread::connection::flow_key::FlowKey;
use rhubarbthread::connection::segment::Segment;
use rhubarbthread::connection::target_gate::TargetPhase;
use rhubarbthread::connection::target_report::TargetReport;
use rhubarbthread::process::passthrough::message::ReturnedSegment;
use rhubarbthread::version::routing::Configuration;
use rhubarbthread::version::routing::RouteRule;
use rhubarbthread::version::routing::ServiceLimits;
use rhubarbthread::version::routing::WeightedService;
use rhubarbthread::version::store_position::StorePosition;
use rhubarbthread::version::target_status::TargetStatus;

/// A port of the host 10.0.0.`last_octet`.
pub fn address(last_octet: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last_octet), port)
}

/// Address at which the agent of a host receives segments.
pub fn agent(last_octet: u8) -> SocketAddrV4 {
    address(last_octet, 8172)
}

/// A revision of a store that reports no era.
pub fn revision(revision: u64) -> StorePosition {
    StorePosition::new(0, revision)
}

/// A caller's segment without payload, on the flow from its port to the route's port.
pub fn segment_of(route_port: u16, caller_port: u16) -> Segment {
    Segment {
        flow: FlowKey { caller: address(1, caller_port), service: address(200, route_port) },
        opens: false,
        accepts: false,
        ends: false,
        resets: false,
        is_bounced: false,
        sequence: 100,
        acknowledged: 7,
        retransmission: 0,
        payload_bytes: 0,
        cookie: 0,
    }
}

/// The segment that opens the flow from a caller's port to the route's port.
pub fn opening_of(route_port: u16, caller_port: u16) -> Segment {
    Segment { opens: true, ..segment_of(route_port, caller_port) }
}

/// What an agent at the end of a chain says of a segment that it returns, where all agents of the chain know that
/// their targets do not hold the flow.
pub fn returned(agent: SocketAddrV4, search_id: u32, saw_full_target: bool) -> ReturnedSegment {
    let segment = Vec::new();
    ReturnedSegment { agent, search_id, segment, saw_full_target, is_ruled_out: true }
}

/// A report of a ready, warm target.
pub fn report_of(id: &str, started_ms: u64, sequence: u64) -> TargetReport {
    TargetReport {
        id: id.to_owned(),
        started_ms,
        sequence,
        service: "vypocet".to_owned(),
        is_leaving: false,
        cold_remaining_ms: 0,
        slots: 4,
    }
}

/// The first status of an idle target that accepts flows.
pub fn status_of(last_octet: u8, zone: &str, service: &str) -> TargetStatus {
    TargetStatus {
        data: agent(last_octet),
        control: address(last_octet, 7720),
        incarnation: u64::from(last_octet),
        sequence: 1,
        zone: zone.to_owned(),
        service: service.to_owned(),
        phase: TargetPhase::Serving,
        slots: 4,
        flows: 0,
        busy: 0,
        is_stopping: false,
        instance: None,
        load_by_priority: None,
        service_time_us: 0,
        is_failing: false,
    }
}

/// A configuration of two services. Each entry of `routes` is the port of a route to `service` and
/// whether its requests are idempotent.
pub fn configuration_of(version: u64, service: &str, routes: &[(u16, bool)]) -> Configuration {
    let limits = ServiceLimits { max_flows: 100, cold_openings_per_s: None };
    let rule = |is_idempotent| RouteRule {
        name: service.to_owned(),
        services: vec![WeightedService { service: service.to_owned(), weight: 1 }],
        is_idempotent,
        class: None,
    };
    let routes =
        routes.iter().map(|(port, is_idempotent)| (address(200, *port), rule(*is_idempotent)));
    Configuration {
        version,
        routes: routes.collect(),
        services: IndexMap::from([("vypocet".to_owned(), limits), ("zpravy".to_owned(), limits)]),
        idle_timeout_ms: 15_000,
    }
}
