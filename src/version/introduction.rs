//! Whether all balancers know of an agent.
//!
//! A balancer resets a flow that every agent it knows has given back, so a flow must not open at an
//! agent that some balancer does not know yet. Balancers that register later read the agent's entry,
//! which is written before the balancers are read.

use std::net::SocketAddrV4;

use indexmap::IndexSet;

/// Time that a balancer has to answer, in milliseconds: it is told each 15 ms, four times. One that has
/// not answered by then is gone, cut off, or slow and has the datagrams in its queue, before any that
/// would make it reset a flow. After a loss of power openings wait this long for each balancer that does
/// not come back.
const PROBE_WAIT_MS: u64 = 60;

/// Time that the balancer that probes first has to tell all others, in milliseconds, where the store
/// does not name them: it does so at once, and with the states that balancers send each 600 ms.
const DISSEMINATION_MS: u64 = 700;

/// Which balancers know of this agent.
#[derive(Debug, Default)]
pub struct Introduction {
    registered: Option<(IndexSet<SocketAddrV4>, u64)>,
    probed_by: IndexSet<SocketAddrV4>,
    first_probe_ms: Option<u64>,
    is_done: bool,
}

impl Introduction {
    /// Nobody knows of the agent.
    pub fn new() -> Introduction {
        Introduction::default()
    }

    /// The store names these balancers, by control address, after it has taken the agent's entry.
    pub fn note_registered_balancers(&mut self, balancers: IndexSet<SocketAddrV4>, now_ms: u64) {
        self.registered.get_or_insert((balancers, now_ms));
    }

    /// A balancer has probed the agent.
    pub fn note_probe_from(&mut self, balancer: SocketAddrV4, now_ms: u64) {
        if !self.is_done {
            self.probed_by.insert(balancer);
            self.first_probe_ms.get_or_insert(now_ms);
        }
    }

    /// Balancers to tell of the agent.
    pub fn balancers_to_notify(&self) -> Vec<SocketAddrV4> {
        let registered = self.registered.iter().flat_map(|(registered, _)| registered);
        registered.filter(|balancer| !self.probed_by.contains(*balancer)).copied().collect()
    }

    /// Whether openings may come; once true, it stays true.
    pub fn is_done(&mut self, now_ms: u64) -> bool {
        let has_passed = |since_ms: u64, limit_ms| now_ms.saturating_sub(since_ms) >= limit_ms;
        self.is_done |= match &self.registered {
            Some((registered, registered_ms)) => {
                registered.is_subset(&self.probed_by) || has_passed(*registered_ms, PROBE_WAIT_MS)
            }
            None => {
                self.first_probe_ms.is_some_and(|probe_ms| has_passed(probe_ms, DISSEMINATION_MS))
            }
        };
        self.is_done
    }
}
