//! Introduction of a starting agent: it accepts openings only once all balancers know of it.
//!
//! A balancer resets a flow when every agent that it knows has returned the flow's segment, so a flow must
//! not open at an agent that some balancer does not know yet. The agent writes its store entry before it
//! reads which balancers are registered; balancers that register later read that entry.
//!
//! Searches leave out an agent that has itself reported to the balancer that its target has ended. When
//! another target starts there, the agent takes a new incarnation and introduces itself again, to all
//! balancers that it has notified of the end.

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
#[derive(Debug)]
pub struct Introduction {
    /// Incarnation of the agent that balancers have to know.
    incarnation: u64,
    /// Balancers that have to know it; `None` before the store has named them.
    required: Option<IndexSet<SocketAddrV4>>,
    /// Time since when they are notified.
    notified_since_ms: Option<u64>,
    probed_by: IndexSet<SocketAddrV4>,
    first_probe_ms: Option<u64>,
    /// Balancers that the agent has notified that its target has ended.
    notified_of_end: IndexSet<SocketAddrV4>,
    is_complete: bool,
}

impl Introduction {
    /// Creates a record in which no balancer knows of the agent with this incarnation.
    pub fn new(incarnation: u64) -> Introduction {
        Introduction {
            incarnation,
            required: None,
            notified_since_ms: None,
            probed_by: IndexSet::new(),
            first_probe_ms: None,
            notified_of_end: IndexSet::new(),
            is_complete: false,
        }
    }

    /// Incarnation of the agent that balancers have to know.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes a later incarnation, which a balancer knows from an earlier process.
    pub fn raise_incarnation(&mut self, incarnation: u64) {
        self.incarnation = self.incarnation.max(incarnation);
    }

    /// Records that these balancers are notified that the target has ended.
    pub fn note_end_reported_to(&mut self, balancers: &[SocketAddrV4]) {
        self.notified_of_end.extend(balancers);
    }

    /// Starts over with a new incarnation if balancers were notified that the target has ended, since a target
    /// runs again.
    pub fn restart_after_end(&mut self, now_ms: u64) {
        if self.notified_of_end.is_empty() {
            return;
        }
        let notified = std::mem::take(&mut self.notified_of_end);
        if let Some(required) = &mut self.required {
            required.extend(notified);
        }
        self.notified_since_ms = Some(now_ms);
        self.incarnation += 1;
        self.probed_by.clear();
        self.first_probe_ms = None;
        self.is_complete = false;
    }

    /// Records the balancers registered in the store, by control address, as read after the agent's own
    /// entry was written. Later calls have no effect.
    pub fn note_registered_balancers(&mut self, balancers: IndexSet<SocketAddrV4>) {
        self.required.get_or_insert(balancers);
    }

    /// Records that the balancers are notified from now on, unless they are already.
    pub fn begin(&mut self, now_ms: u64) {
        self.notified_since_ms.get_or_insert(now_ms);
    }

    /// Records that a balancer has probed the agent, of which it knows `known_incarnation`.
    pub fn note_probe_from(&mut self, balancer: SocketAddrV4, known_incarnation: u64, now_ms: u64) {
        if !self.is_complete && known_incarnation == self.incarnation {
            self.probed_by.insert(balancer);
            self.first_probe_ms.get_or_insert(now_ms);
        }
    }

    /// Balancers that have not probed the agent and have to be notified of it.
    pub fn balancers_to_notify(&self) -> Vec<SocketAddrV4> {
        let required = self.required.iter().flatten();
        required.filter(|balancer| !self.probed_by.contains(*balancer)).copied().collect()
    }

    /// Whether the agent may accept openings; once true, it stays true until a balancer is notified that the
    /// target has ended.
    pub fn is_complete(&mut self, now_ms: u64) -> bool {
        if !self.notified_of_end.is_empty() {
            return false;
        }
        let has_passed = |since_ms: u64, limit_ms| now_ms.saturating_sub(since_ms) >= limit_ms;
        self.is_complete |= match &self.required {
            Some(required) => {
                let notified = |since_ms| has_passed(since_ms, PROBE_WAIT_MS);
                required.is_subset(&self.probed_by) || self.notified_since_ms.is_some_and(notified)
            }
            None => {
                self.first_probe_ms.is_some_and(|probe_ms| has_passed(probe_ms, DISSEMINATION_MS))
            }
        };
        self.is_complete
    }
}
