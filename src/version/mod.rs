//! Replicated state of nodes, and its use for forwarding: records and their exchange, balancer and target
//! tables, failure detection, routing. The code here does no I/O, reads no clock and starts no tasks.

pub mod balancer_table;
pub mod digest;
pub mod failing_targets;
pub mod hash;
pub mod introduction;
pub mod message;
pub mod monitor;
pub mod peer;
pub mod peer_query;
pub mod placing;
pub mod record;
pub mod records;
pub mod rendezvous;
pub mod rotation;
pub mod routing;
pub mod service;
pub mod store_position;
pub mod table;
pub mod target_status;
pub mod target_table;
pub mod zone_state;
pub mod zones_out;
