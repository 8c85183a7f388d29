//! Receives segments on the agent's sockets and carries out the decisions of [`AgentState`].
//!
//! [`AgentState`]: crate::process::passthrough::agent_state::AgentState

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::connection::flow_key::FlowKey;
use crate::connection::request_class::RequestClass;
use crate::connection::segment::Segment;
use crate::connection::segment::Sender;
use crate::log_event;
use crate::process::events::Event;
use crate::process::metrics::count;
use crate::process::passthrough::agent::Shared;
use crate::process::passthrough::agent_state::Action;
use crate::process::passthrough::agent_state::NotHeldReason;
use crate::process::passthrough::agent_state::QueueEvent;
use crate::process::passthrough::agent_state::ReturnCause;
use crate::process::passthrough::datagrams::MAX_DATAGRAM_BYTES;
use crate::process::passthrough::datagrams::receive;
use crate::process::passthrough::datagrams::send;
use crate::process::passthrough::message::NodeMessage;
use crate::process::passthrough::message::ReturnedSegment;
use crate::process::passthrough::segment_header;

const MS_PER_S: f64 = 1_000.0;

impl Shared {
    /// Notifies a balancer that this agent's target holds the flow.
    async fn notify_flow_found(&self, flow: FlowKey, balancer: SocketAddrV4) {
        let is_confirmed = self.state().flows.is_confirmed(&flow);
        let holder = self.settings.node.data_address;
        let found = NodeMessage::FlowFound { flow, holder, is_confirmed };
        send(&self.control_socket, &found.encode(), balancer).await;
    }

    /// Counts and logs why a segment goes to `next`, or back to its balancer, and not to the target. Flows that
    /// the agent does not track are only counted: each search passes many such agents.
    fn record_return(&self, cause: ReturnCause, flow: &FlowKey, next: Option<SocketAddrV4>) {
        let (event, counter, reason) = match cause {
            ReturnCause::Refused(refusal) => {
                (Event::OpeningRefused, &self.metrics.refused_openings, refusal.as_str())
            }
            ReturnCause::NotHeld(reason) => {
                (Event::FlowNotHeld, &self.metrics.flows_not_held, reason.as_str())
            }
        };
        count(counter, reason);
        if let ReturnCause::NotHeld(NotHeldReason::UnknownFlow | NotHeldReason::Untracked) = cause {
            return;
        }
        let next = next.map_or_else(|| "none".to_owned(), |next| next.to_string());
        let details = format!("caller={} route={} next={next}", flow.caller, flow.service);
        log_event!(event, "reason={reason} {details}");
    }

    /// Counts a refused opening by its priority.
    fn count_refused(&self, action: &Action, class: Option<RequestClass>) {
        if let Action::ForwardToAgent(_, _, ReturnCause::Refused(refusal))
        | Action::ReturnToBalancer { cause: ReturnCause::Refused(refusal), .. } = action
            && let Some(class) = class
        {
            self.metrics.note_refused_by_priority(&class, refusal.as_str());
        }
    }

    /// Carries out what has become of queued requests. `out` is the reused buffer for a datagram to another agent.
    pub(super) async fn carry_out_queue_events(&self, out: &mut Vec<u8>) {
        let events = self.state().take_queue_events();
        for event in events {
            let segments = match event {
                QueueEvent::Started(started) => {
                    self.metrics.note_queued_request_started(
                        &started.class,
                        started.queued_ms,
                        started.is_in_time,
                    );
                    log_event!(
                        Event::QueuedRequestStarted,
                        "caller={} route={} priority={} queued_ms={} in_time={}",
                        started.flow.caller,
                        started.flow.service,
                        started.class.priority,
                        started.queued_ms,
                        started.is_in_time
                    );
                    started.segments
                }
                QueueEvent::Dropped { flow, class, queued_ms, reason } => {
                    self.metrics.note_queued_request_dropped(&class, queued_ms, reason.as_str());
                    log_event!(
                        Event::QueuedRequestDropped,
                        "reason={} caller={} route={} priority={} queued_ms={queued_ms}",
                        reason.as_str(),
                        flow.caller,
                        flow.service,
                        class.priority
                    );
                    continue;
                }
                QueueEvent::NotHeld(segments) => segments,
            };
            for mut released in segments {
                let action = released.action;
                self.execute(action, &released.segment, &mut released.datagram, out).await;
            }
        }
    }

    /// Carries out a decision. `out` is the reused buffer for a datagram to another agent.
    async fn execute(
        &self,
        action: Action,
        segment: &Segment,
        datagram: &mut [u8],
        out: &mut Vec<u8>,
    ) {
        let flow = segment.flow;
        match action {
            Action::ForwardToTarget { cookie, notify, hops } => {
                count(&self.metrics.segments, "to-target");
                self.metrics.hops.observe(f64::from(hops));
                self.platform.segment_codec.prepare(datagram, cookie);
                send(&self.target_socket, datagram, self.settings.target_address).await;
                if let Some(balancer) = notify {
                    self.notify_flow_found(flow, balancer).await;
                }
            }
            Action::Queue { header, notify } => {
                count(&self.metrics.segments, "queued");
                let class = header.class;
                let is_new =
                    self.state().queue_segment(segment, header, datagram.to_vec(), self.now_ms());
                if let Some(class) = class.filter(|_| is_new) {
                    log_event!(
                        Event::RequestQueued,
                        "caller={} route={} priority={}",
                        flow.caller,
                        flow.service,
                        class.priority
                    );
                }
                if let Some(balancer) = notify {
                    self.notify_flow_found(flow, balancer).await;
                }
            }
            Action::ForwardToCaller { notify, answer_latency_ms, answer_quality } => {
                count(&self.metrics.segments, "to-caller");
                if let Some(answer_latency_ms) = answer_latency_ms {
                    self.metrics.answer_seconds.observe(answer_latency_ms as f64 / MS_PER_S);
                }
                if let Some(answer_quality) = answer_quality {
                    count(&self.metrics.answers_judged, answer_quality.as_str());
                }
                send(&self.data_socket, datagram, self.settings.node.caller_address(&flow)).await;
                if let Some(balancer) = notify {
                    self.notify_flow_found(flow, balancer).await;
                }
            }
            Action::ForwardToAgent(next, header, cause) => {
                count(&self.metrics.segments, "passed-on");
                self.record_return(cause, &flow, Some(next));
                self.platform.segment_codec.prepare(datagram, 0);
                segment_header::encode(&header, datagram, out);
                send(&self.data_socket, out, next).await;
            }
            Action::ReturnToBalancer {
                balancer,
                search_id,
                saw_full_target,
                is_ruled_out,
                cause,
            } => {
                self.record_return(cause, &flow, None);
                count(&self.metrics.segments, "given-back");
                self.platform.segment_codec.prepare(datagram, 0);
                let returned = NodeMessage::Returned(ReturnedSegment {
                    agent: self.settings.node.data_address,
                    search_id,
                    segment: datagram.to_vec(),
                    saw_full_target,
                    is_ruled_out,
                });
                send(&self.control_socket, &returned.encode(), balancer).await;
            }
            Action::Drop => count(&self.metrics.segments_dropped, "ended"),
        }
    }
}

/// Receives and forwards segments from balancers and other agents until the process ends.
pub(super) async fn receive_from_nodes(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let length = receive(&shared.data_socket, &mut buffer).await;
        let (header, start) = match segment_header::decode(&buffer[..length]) {
            Ok(decoded) => decoded,
            Err(error) => {
                log_event!(Event::SegmentDropped, "reason={} bytes={length}", error.as_str());
                continue;
            }
        };
        let datagram = &mut buffer[start..length];
        let Ok(segment) = shared.platform.segment_codec.decode(datagram, Sender::Caller) else {
            log_event!(Event::SegmentDropped, "reason=malformed bytes={length}");
            continue;
        };
        let class = header.class;
        let action = shared.state().handle_node_segment(&segment, header, shared.now_ms());
        shared.count_refused(&action, class);
        shared.execute(action, &segment, datagram, &mut out).await;
        shared.carry_out_queue_events(&mut out).await;
    }
}

/// Receives and forwards segments from the target until the process ends.
pub(super) async fn receive_from_target(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let length = receive(&shared.target_socket, &mut buffer).await;
        let datagram = &mut buffer[..length];
        let Ok(segment) = shared.platform.segment_codec.decode(datagram, Sender::Target) else {
            log_event!(Event::SegmentDropped, "reason=malformed bytes={length}");
            continue;
        };
        let action = shared.state().handle_target_segment(&segment, shared.now_ms());
        shared.execute(action, &segment, datagram, &mut out).await;
        shared.carry_out_queue_events(&mut out).await;
    }
}
