//! Segments that wait at a balancer until they can be decided on.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::connection::flow_key::FlowKey;
use crate::connection::waiting_segments::WaitingSegment;
use crate::log_event;
use crate::process::events::Event;
use crate::process::metrics::count_many;
use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::balancer_forwarding::carry_out;
use crate::process::passthrough::balancer_state::DropReason;
use crate::process::passthrough::datagrams::MAX_DATAGRAM_BYTES;

/// Flows whose segments are forwarded at once after a wait: a balancer with 0.038 of a core spends 0.2 s
/// on searches for so many.
const MAX_RELEASED: usize = 64;

/// Pause between two looks at what waits: many agents start within it.
const RELEASE_PAUSE: Duration = Duration::from_millis(10);

/// Forwards what has waited and can be decided on, for as long as the process runs.
pub(super) async fn release_waiting(shared: Arc<Shared>) {
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        shared.release_soon.notified().await;
        let now_ms = shared.now_ms();
        let (expired, due) = {
            let mut state = shared.state();
            (state.waiting.expire(now_ms), state.take_due(MAX_RELEASED, now_ms))
        };
        if expired > 0 {
            let reason = DropReason::Waited.as_str();
            count_many(&shared.metrics.dropped, reason, expired);
            log_event!(Event::SegmentDropped, "reason={reason} segments={expired}");
        }
        release(&shared, due, &mut out).await;
        sleep(RELEASE_PAUSE).await;
    }
}

/// Forwards what has waited for a flow that is found.
pub(super) async fn release_flow(shared: &Shared, flow: &FlowKey, out: &mut Vec<u8>) {
    let due = shared.state().waiting.take_flow(flow);
    release(shared, due, out).await;
}

async fn release(shared: &Shared, due: Vec<WaitingSegment>, out: &mut Vec<u8>) {
    for WaitingSegment { segment, datagram, .. } in due {
        let forwarding = shared.state().forward(&segment, shared.now_ms());
        carry_out(shared, forwarding, &segment, &datagram, out).await;
    }
}
