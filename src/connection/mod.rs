//! What lives as long as one connection. No I/O, no clock, no task.

pub mod datagram;
pub mod envelope;
pub mod openings;
pub mod tag;
