//! What an agent does with segments, once it is decided.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::connection::flow_key::FlowKey;
use crate::connection::segment::Segment;
use crate::connection::segment::Sender;
use crate::connection::target_gate::RefusalReason;
use crate::log_event;
use crate::process::events::Event;
use crate::process::metrics::count;
use crate::process::passthrough::agent::Shared;
use crate::process::passthrough::agent_state::Step;
use crate::process::passthrough::datagrams::MAX_DATAGRAM_BYTES;
use crate::process::passthrough::datagrams::receive;
use crate::process::passthrough::datagrams::send;
use crate::process::passthrough::message::NodeMessage;
use crate::process::passthrough::message::Returned;
use crate::process::passthrough::segment_header;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

impl Shared {
    async fn tell_found(&self, flow: FlowKey, balancer: SocketAddrV4) {
        let is_confirmed = self.state().flows.is_confirmed(&flow);
        let holder = self.settings.node.data_address;
        let found = NodeMessage::Found { flow, holder, is_confirmed };
        send(&self.control, &found.encode(), balancer).await;
    }

    fn note_refused(&self, refused: RefusalReason, flow: &FlowKey, next: Option<SocketAddrV4>) {
        let reason = refused.as_str();
        count(&self.metrics.refused_openings, reason);
        let next = next.map_or_else(|| "none".to_owned(), |next| next.to_string());
        let details = format!("caller={} route={} next={next}", flow.caller, flow.service);
        log_event!(Event::OpeningRefused, "reason={reason} {details}");
    }

    /// Carries out a decision. `out` is room for a datagram to another agent.
    async fn carry_out(
        &self,
        step: Step,
        segment: &Segment,
        datagram: &mut [u8],
        out: &mut Vec<u8>,
    ) {
        let flow = segment.flow;
        match step {
            Step::GiveToTarget { slot, tell, hops } => {
                count(&self.metrics.segments, "to-target");
                self.metrics.hops.observe(f64::from(hops));
                self.platform.segments.prepare(datagram, slot);
                send(&self.from_target, datagram, self.settings.target_address).await;
                if let Some(balancer) = tell {
                    self.tell_found(flow, balancer).await;
                }
            }
            Step::GiveToCaller { tell, waited_ms } => {
                count(&self.metrics.segments, "to-caller");
                if let Some(waited_ms) = waited_ms {
                    self.metrics.answers_s.observe(waited_ms as f64 / MS_PER_S);
                }
                send(&self.data, datagram, self.settings.node.address_of_caller(&flow)).await;
                if let Some(balancer) = tell {
                    self.tell_found(flow, balancer).await;
                }
            }
            Step::PassOn(next, way, refused) => {
                count(&self.metrics.segments, "passed-on");
                if let Some(refused) = refused {
                    self.note_refused(refused, &flow, Some(next));
                }
                self.platform.segments.prepare(datagram, 0);
                segment_header::encode(&way, datagram, out);
                send(&self.data, out, next).await;
            }
            Step::GiveBack { balancer, search, met_full, refused } => {
                if let Some(refused) = refused {
                    self.note_refused(refused, &flow, None);
                }
                count(&self.metrics.segments, "given-back");
                self.platform.segments.prepare(datagram, 0);
                let returned = NodeMessage::Returned(Returned {
                    agent: self.settings.node.data_address,
                    search,
                    segment: datagram.to_vec(),
                    met_full,
                });
                send(&self.control, &returned.encode(), balancer).await;
            }
            Step::Drop => count(&self.metrics.dropped, "ended"),
        }
    }
}

/// Takes what balancers and other agents send, for as long as the process runs.
pub(super) async fn read_nodes(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let length = receive(&shared.data, &mut buffer).await;
        let (way, start) = match segment_header::decode(&buffer[..length]) {
            Ok(decoded) => decoded,
            Err(fault) => {
                log_event!(Event::SegmentDropped, "reason={} bytes={length}", fault.as_str());
                continue;
            }
        };
        let datagram = &mut buffer[start..length];
        let Ok(segment) = shared.platform.segments.decode(datagram, Sender::Caller) else {
            log_event!(Event::SegmentDropped, "reason=malformed bytes={length}");
            continue;
        };
        let step = shared.state().from_node(&segment, way, shared.now_ms());
        shared.carry_out(step, &segment, datagram, &mut out).await;
    }
}

/// Takes what the target sends, for as long as the process runs.
pub(super) async fn read_target(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let length = receive(&shared.from_target, &mut buffer).await;
        let datagram = &mut buffer[..length];
        let Ok(segment) = shared.platform.segments.decode(datagram, Sender::Target) else {
            log_event!(Event::SegmentDropped, "reason=malformed bytes={length}");
            continue;
        };
        let step = shared.state().from_target(&segment, shared.now_ms());
        shared.carry_out(step, &segment, datagram, &mut out).await;
    }
}
