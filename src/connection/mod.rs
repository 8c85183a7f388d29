//! What lives as long as one connection. No I/O, no clock, no task.

pub mod datagram;
pub mod envelope;
pub mod flow_key;
pub mod found_flows;
pub mod held_flows;
pub mod offering;
pub mod openings;
pub mod segment;
pub mod tag;
pub mod target_gate;
pub mod target_health;
pub mod waiting_segments;
