//! Hosts and segments of the tests of passed-through flows.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use rhubarbthread::connection::flow_key::FlowKey;
use rhubarbthread::connection::segment::Segment;

/// A port of a host.
pub fn address(last: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), port)
}

/// A caller's segment without data, of the flow from its port to the route's.
pub fn segment_of(route_port: u16, caller_port: u16) -> Segment {
    Segment {
        flow: FlowKey { caller: address(1, caller_port), service: address(200, route_port) },
        opens: false,
        accepts: false,
        ends: false,
        resets: false,
        bounced: false,
        sequence: 100,
        acknowledged: 7,
        copy: 0,
        payload_bytes: 0,
        slot: 0,
    }
}
