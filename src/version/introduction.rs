//! Introduction of a starting agent: it accepts openings only once all balancers know of it.
//!
//! A balancer resets a flow when every agent that it knows has returned the flow's segment, so a flow must
//! not open at an agent that some balancer does not know yet. The agent writes its store entry before it
//! reads which balancers are registered; balancers that register later read that entry.

use std::net::SocketAddrV4;

use indexmap::IndexSet;

/// Time within which each registered balancer is expected to probe the agent, in milliseconds; it is
/// notified four times, every 15 ms. A balancer that has not probed by then is gone, partitioned, or slow;
/// a slow one has the notifications in its queue ahead of any segment that would make it reset a flow.
/// After a power failure openings wait this long for balancers that do not come back.
const PROBE_WAIT_MS: u64 = 60;

/// Time within which the first balancer that probes the agent has spread its update to all others, in
/// milliseconds; used where the store did not name the balancers. The balancer sends the update
/// immediately, and again with the states that balancers send every 600 ms.
const DISSEMINATION_MS: u64 = 700;

/// Record of which balancers know of this agent.
#[derive(Debug, Default)]
pub struct Introduction {
    registered: Option<(IndexSet<SocketAddrV4>, u64)>,
    probed_by: IndexSet<SocketAddrV4>,
    first_probe_ms: Option<u64>,
    is_complete: bool,
}

impl Introduction {
    /// Creates a record in which no balancer knows of the agent.
    pub fn new() -> Introduction {
        Introduction::default()
    }

    /// Records the balancers registered in the store, by control address, as read after the agent's own
    /// entry was written. Later calls have no effect.
    pub fn note_registered_balancers(&mut self, balancers: IndexSet<SocketAddrV4>, now_ms: u64) {
        self.registered.get_or_insert((balancers, now_ms));
    }

    /// Records that a balancer has probed the agent and so knows of it.
    pub fn note_probe_from(&mut self, balancer: SocketAddrV4, now_ms: u64) {
        if !self.is_complete {
            self.probed_by.insert(balancer);
            self.first_probe_ms.get_or_insert(now_ms);
        }
    }

    /// Registered balancers that have not probed the agent and have to be notified of it.
    pub fn balancers_to_notify(&self) -> Vec<SocketAddrV4> {
        let registered = self.registered.iter().flat_map(|(registered, _)| registered);
        registered.filter(|balancer| !self.probed_by.contains(*balancer)).copied().collect()
    }

    /// Whether the agent may accept openings; once true, it stays true.
    pub fn is_complete(&mut self, now_ms: u64) -> bool {
        let has_passed = |since_ms: u64, limit_ms| now_ms.saturating_sub(since_ms) >= limit_ms;
        self.is_complete |= match &self.registered {
            Some((registered, registered_ms)) => {
                registered.is_subset(&self.probed_by) || has_passed(*registered_ms, PROBE_WAIT_MS)
            }
            None => {
                self.first_probe_ms.is_some_and(|probe_ms| has_passed(probe_ms, DISSEMINATION_MS))
            }
        };
        self.is_complete
    }
}
