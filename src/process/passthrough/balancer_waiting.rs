//! Retries queued segments of a balancer once they can be forwarded or refused.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::connection::flow_key::FlowKey;
use crate::connection::waiting_segments::WaitingSegment;
use crate::log_event;
use crate::process::events::Event;
use crate::process::metrics::count_many;
use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::balancer_forwarding::apply_decision;
use crate::process::passthrough::balancer_state::DropReason;
use crate::process::passthrough::datagrams::MAX_DATAGRAM_BYTES;

/// Maximum number of flows whose queued segments are retried in one pass. Searches for that many flows take
/// a balancer with 0.038 of a core 0.2 s.
const MAX_RELEASED_FLOWS: usize = 64;

/// Minimum time between two passes over the queue; many agents may start within it.
const RELEASE_INTERVAL: Duration = Duration::from_millis(10);

/// Retries queued segments that can be decided on, and drops expired ones, until the process ends.
pub(super) async fn release_waiting(shared: Arc<Shared>) {
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        shared.release_notify.notified().await;
        let now_ms = shared.now_ms();
        let (expired, releasable) = {
            let mut state = shared.state();
            (
                state.waiting_segments.expire(now_ms),
                state.take_releasable(MAX_RELEASED_FLOWS, now_ms),
            )
        };
        if expired > 0 {
            let reason = DropReason::WaitLimitExceeded.as_str();
            count_many(&shared.metrics.segments_dropped, reason, expired);
            log_event!(Event::SegmentDropped, "reason={reason} segments={expired}");
        }
        release(&shared, releasable, &mut out).await;
        sleep(RELEASE_INTERVAL).await;
    }
}

/// Forwards the queued segments of a flow whose holder was just found.
pub(super) async fn release_flow(shared: &Shared, flow: &FlowKey, out: &mut Vec<u8>) {
    let releasable = shared.state().waiting_segments.take_flow(flow);
    release(shared, releasable, out).await;
}

async fn release(shared: &Shared, releasable: Vec<WaitingSegment>, out: &mut Vec<u8>) {
    for WaitingSegment { segment, datagram, .. } in releasable {
        let decision = shared.state().decide_again(&segment, shared.now_ms());
        apply_decision(shared, decision, &segment, &datagram, out).await;
    }
}
