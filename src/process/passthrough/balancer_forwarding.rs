//! Carries out a balancer's forwarding decisions: sends, queues, resets and drops segments.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::connection::segment::Segment;
use crate::connection::segment::Sender;
use crate::log_event;
use crate::process::events::Event;
use crate::process::metrics::count;
use crate::process::metrics::count_many;
use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::balancer_state::DropReason;
use crate::process::passthrough::balancer_state::ForwardingDecision;
use crate::process::passthrough::balancer_state::ResetReason;
use crate::process::passthrough::balancer_state::WaitReason;
use crate::process::passthrough::datagrams::MAX_DATAGRAM_BYTES;
use crate::process::passthrough::datagrams::receive;
use crate::process::passthrough::datagrams::send;
use crate::process::passthrough::message::ReturnedSegment;
use crate::process::passthrough::segment_header;
use crate::process::passthrough::segment_header::SegmentHeader;

/// Maximum number of agents in one log line.
const MAX_LOGGED_AGENTS: usize = 8;

/// Forwards segments from callers until the process ends.
pub(super) async fn forward_segments(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let length = receive(&shared.data_socket, &mut buffer).await;
        forward_segment(&shared, &buffer[..length], &mut out).await;
    }
}

async fn forward_segment(shared: &Shared, datagram: &[u8], out: &mut Vec<u8>) {
    let Ok(segment) = shared.platform.segment_codec.decode(datagram, Sender::Caller) else {
        log_event!(Event::SegmentDropped, "reason=malformed bytes={}", datagram.len());
        return;
    };
    let decision = shared.state().decide(&segment, shared.now_ms());
    apply_decision(shared, decision, &segment, datagram, out).await;
}

/// Handles a segment that an agent returned because no target of its chain holds the flow.
pub(super) async fn handle_returned_segment(
    shared: &Shared,
    returned: ReturnedSegment,
    out: &mut Vec<u8>,
) {
    let datagram = &returned.segment;
    let Ok(segment) = shared.platform.segment_codec.decode(datagram, Sender::Caller) else {
        log_event!(Event::SegmentDropped, "reason=malformed bytes={}", datagram.len());
        return;
    };
    let decision = shared.state().handle_returned_segment(&segment, &returned, shared.now_ms());
    apply_decision(shared, decision, &segment, datagram, out).await;
}

/// Carries out a forwarding decision on one segment.
pub(super) async fn apply_decision(
    shared: &Shared,
    decision: ForwardingDecision,
    segment: &Segment,
    datagram: &[u8],
    out: &mut Vec<u8>,
) {
    match decision {
        ForwardingDecision::Send(destinations) => {
            note_offer(shared, segment, &destinations);
            send_to_agents(shared, &destinations, datagram, out).await
        }
        ForwardingDecision::SendAndWait(destinations, reason) => {
            queue_segment(shared, segment, datagram, reason);
            send_to_agents(shared, &destinations, datagram, out).await;
        }
        ForwardingDecision::Wait(reason) => queue_segment(shared, segment, datagram, reason),
        ForwardingDecision::Reset(reason) => reset_flow(shared, segment, reason).await,
        ForwardingDecision::Drop(DropReason::Searching) => {
            count(&shared.metrics.segments_dropped, DropReason::Searching.as_str());
        }
        ForwardingDecision::Drop(reason) => {
            count(&shared.metrics.segments_dropped, reason.as_str());
            log_not_forwarded(shared, Event::SegmentDropped, segment, reason.as_str());
        }
    }
}

async fn send_to_agents(
    shared: &Shared,
    destinations: &[(SocketAddrV4, SegmentHeader)],
    datagram: &[u8],
    out: &mut Vec<u8>,
) {
    count(&shared.metrics.segments, "forwarded");
    if destinations.iter().any(|(_, header)| header.search_id != 0) {
        shared.metrics.searches.inc();
    }
    for (agent, header) in destinations {
        segment_header::encode(header, datagram, out);
        send(&shared.data_socket, out, *agent).await;
    }
}

/// Counts the offer of an opening whose route has a request class, and logs one that leaves the zone.
fn note_offer(shared: &Shared, segment: &Segment, destinations: &[(SocketAddrV4, SegmentHeader)]) {
    let Some((agent, SegmentHeader { class: Some(class), .. })) = destinations.first() else {
        return;
    };
    if !segment.opens {
        return;
    }
    let zone = shared.state().targets.agent(*agent).map(|agent| agent.zone.to_owned());
    let is_local = zone.as_ref() == Some(&shared.settings.node.availability_zone);
    shared.metrics.count_opening(if is_local { "local-zone" } else { "other-zone" }, *class);
    if !is_local {
        let (flow, priority) = (segment.flow, class.priority);
        log_event!(
            Event::OfferedInOtherZone,
            "caller={} route={} priority={priority} agent={agent} zone={}",
            flow.caller,
            flow.service,
            zone.unwrap_or_default()
        );
    }
}

fn queue_segment(shared: &Shared, segment: &Segment, datagram: &[u8], reason: WaitReason) {
    count(&shared.metrics.segments_waited, reason.as_str());
    let (has_room, outranked) = shared.state().queue(segment, datagram, shared.now_ms());
    if outranked > 0 {
        let reason = DropReason::Outranked.as_str();
        count_many(&shared.metrics.segments_dropped, reason, outranked);
        log_event!(Event::SegmentDropped, "reason={reason} segments={outranked}");
    }
    if !has_room {
        count(&shared.metrics.segments_dropped, DropReason::WaitLimitExceeded.as_str());
    }
    if reason != WaitReason::SearchInProgress {
        log_not_forwarded(shared, Event::SegmentQueued, segment, reason.as_str());
    }
}

fn log_not_forwarded(shared: &Shared, event: Event, segment: &Segment, reason: &str) {
    let flow = segment.flow;
    let unavailable_agents = || {
        let mut unavailable_agents = shared.state().targets.unavailable_agents(shared.now_ms());
        unavailable_agents.truncate(MAX_LOGGED_AGENTS);
        unavailable_agents
    };
    log_event!(
        event,
        "reason={reason} caller={} route={} unanswering={:?}",
        flow.caller,
        flow.service,
        unavailable_agents()
    );
}

async fn reset_flow(shared: &Shared, segment: &Segment, reason: ResetReason) {
    count(&shared.metrics.resets, reason.as_str());
    let class = shared.state().request_class(segment).filter(|_| segment.opens);
    if let Some(class) = class {
        shared.metrics.count_opening(reason.as_str(), class);
    }
    let flow = segment.flow;
    log_event!(
        Event::FlowReset,
        "reason={} caller={} route={} opening={}",
        reason.as_str(),
        flow.caller,
        flow.service,
        segment.opens
    );
    let datagram = shared.platform.segment_codec.reset(&flow, segment.acknowledged);
    send(&shared.data_socket, &datagram, shared.settings.node.caller_address(&flow)).await;
}
