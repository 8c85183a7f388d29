//! rhubarbthread: a layer-4 load balancer for a large number of small services.
//!
//! The modules that make decisions do no I/O, read no clock and start no task, so that other programs
//! can embed them; `examples/embed.rs` calls them without any socket:
//!
//! - [`version`]: versioned records of services, zones, targets and balancers, how they merge, the
//!   gossip that replicates them, failure detection, the forwarding table, and rendezvous hashing;
//! - [`connection`]: flow tags, envelopes, flow tracking, and the decision on datagrams that open a flow;
//! - [`request`]: admission of requests, tickets, deadlines, and verdicts;
//! - [`process::agent_state`]: all decisions of one agent behind a single function.
//!
//! [`process`] contains the daemons and the operators' tool, [`caller`] the client library for callers,
//! and [`wire`] the generated message types.

pub mod caller;
pub mod connection;
pub mod error;
pub mod process;
pub mod request;
pub mod version;
pub mod wire;
