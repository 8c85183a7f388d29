//! rhubarbthread: a layer-4 load balancer for very many tiny services.
//!
//! The decisions do no I/O, read no clock and start no task, so that other programs can embed them;
//! `examples/embed.rs` drives them without any socket:
//!
//! - [`version`]: records of services, zones, targets and balancers, their merge, the forwarding
//!   table, rendezvous hashing, keepers, and the spreading of records;
//! - [`connection`]: flow tags, envelopes, and the decision on opening datagrams;
//! - [`request`]: admission, tickets, deadlines, verdicts;
//! - [`process::agent_state`]: all decisions of one agent behind one entrance.
//!
//! [`process`] holds the daemons and the operators' tool, [`caller`] the caller library, [`wire`]
//! the generated messages.

pub mod caller;
pub mod connection;
pub mod error;
pub mod process;
pub mod request;
pub mod version;
pub mod wire;
