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
const ANSWER_MS: u64 = 60;

/// Time that the balancer that probes first has to tell all others, in milliseconds, where the store
/// does not name them: it does so at once, and with the states that balancers send each 600 ms.
const SPREAD_MS: u64 = 700;

/// Which balancers know of this agent.
#[derive(Debug, Default)]
pub struct Introduction {
    named: Option<(IndexSet<SocketAddrV4>, u64)>,
    heard: IndexSet<SocketAddrV4>,
    first_heard_ms: Option<u64>,
    is_done: bool,
}

impl Introduction {
    /// Nobody knows of the agent.
    pub fn new() -> Introduction {
        Introduction::default()
    }

    /// The store names these balancers, by control address, after it has taken the agent's entry.
    pub fn note_named(&mut self, balancers: IndexSet<SocketAddrV4>, now_ms: u64) {
        self.named.get_or_insert((balancers, now_ms));
    }

    /// A balancer has probed the agent.
    pub fn note_heard(&mut self, balancer: SocketAddrV4, now_ms: u64) {
        if !self.is_done {
            self.heard.insert(balancer);
            self.first_heard_ms.get_or_insert(now_ms);
        }
    }

    /// Balancers to tell of the agent.
    pub fn unanswered(&self) -> Vec<SocketAddrV4> {
        let named = self.named.iter().flat_map(|(named, _)| named);
        named.filter(|balancer| !self.heard.contains(*balancer)).copied().collect()
    }

    /// Whether openings may come; once true, it stays true.
    pub fn is_done(&mut self, now_ms: u64) -> bool {
        let has_passed = |since_ms: u64, longest_ms| now_ms.saturating_sub(since_ms) >= longest_ms;
        self.is_done |= match &self.named {
            Some((named, named_ms)) => {
                named.is_subset(&self.heard) || has_passed(*named_ms, ANSWER_MS)
            }
            None => self.first_heard_ms.is_some_and(|heard_ms| has_passed(heard_ms, SPREAD_MS)),
        };
        self.is_done
    }
}
