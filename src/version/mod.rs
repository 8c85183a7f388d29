//! What is known in one version, and how versions merge. No I/O, no clock, no task.

pub mod balancer_table;
pub mod digest;
pub mod hash;
pub mod introduction;
pub mod message;
pub mod monitor;
pub mod peer;
pub mod placing;
pub mod record;
pub mod records;
pub mod rendezvous;
pub mod rotation;
pub mod routing;
pub mod service;
pub mod table;
pub mod target_status;
pub mod target_table;
