//! Flows: codecs of their datagrams, flow tables, and admission and health checks of the target that they
//! end at. This module does no I/O, reads no clock and starts no tasks.

pub mod answer_tracker;
pub mod datagram;
pub mod envelope;
pub mod flow_key;
pub mod flow_locations;
pub mod offering;
pub mod opening_refusal;
pub mod openings;
pub mod request_class;
pub mod request_queue;
pub mod segment;
pub mod tag;
pub mod target_gate;
pub mod target_health;
pub mod target_instance;
pub mod target_instances;
pub mod target_pace;
pub mod target_report;
pub mod tracked_flows;
pub mod usual_answers;
pub mod waiting_segments;
