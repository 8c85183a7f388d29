//! Table of the tickets of one incarnation of an agent. It ensures that each runs at most once.
//!
//! Bound: at most `max_entries` entries, whose answers have at most `max_bytes` together. Above the
//! bound the oldest outcome is evicted and the floor rises above its ticket number. A ticket below
//! the floor that is not in the table may have run before, so it never runs.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// The stored answer of a finished request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers, in the order in which they were sent.
    pub headers: Vec<(String, String)>,
    /// Body; `None` where it was too large to store.
    pub body: Option<Vec<u8>>,
}

impl KeptAnswer {
    fn size_bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// How a request with a ticket ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TicketOutcome {
    /// The target gave a complete answer.
    Answered(KeptAnswer),
    /// The request reached the target, but no complete answer came back.
    Unknown,
}

/// What to do with a request that carries a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Claim {
    /// Run it. No later claim of the same ticket gets this result, unless this one is released.
    Run,
    /// The request is running now.
    StillRunning,
    /// The request has ended with this outcome.
    Ended(TicketOutcome),
    /// The request may have run; its outcome has been evicted.
    Forgotten,
    /// The ticket was issued by another incarnation, or its number was never issued.
    Elsewhere,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Entry {
    Running,
    Ended(TicketOutcome),
}

/// Bounds of the ticket table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketBounds {
    /// Maximum number of entries. Running ones count, but only ended ones are evicted.
    pub max_entries: usize,
    /// Maximum size of all stored answers together, in bytes.
    pub max_bytes: usize,
}

/// The issued and claimed tickets of one incarnation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TicketBook {
    incarnation: u64,
    next_number: u64,
    /// One above the highest ticket number that was evicted.
    floor: u64,
    /// Claimed tickets by number. Ended ones are in the order in which they finished.
    entries: IndexMap<u64, Entry>,
    /// Size of the stored answers.
    kept_bytes: usize,
    bounds: TicketBounds,
}

impl TicketBook {
    /// Creates an empty table for one incarnation.
    pub fn new(incarnation: u64, bounds: TicketBounds) -> TicketBook {
        TicketBook {
            incarnation,
            next_number: 0,
            floor: 0,
            entries: IndexMap::new(),
            kept_bytes: 0,
            bounds,
        }
    }

    /// Issues a ticket and returns its number.
    pub fn issue(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Claims the ticket `number` of `incarnation` for a request and decides whether it runs.
    pub fn claim(&mut self, incarnation: u64, number: u64) -> Claim {
        if incarnation != self.incarnation || number >= self.next_number {
            return Claim::Elsewhere;
        }
        match self.entries.get(&number) {
            Some(Entry::Running) => Claim::StillRunning,
            Some(Entry::Ended(outcome)) => Claim::Ended(outcome.clone()),
            None if number < self.floor => Claim::Forgotten,
            None => {
                self.entries.insert(number, Entry::Running);
                Claim::Run
            }
        }
    }

    /// Releases a claim: no byte of the request reached the target, so the ticket may be used
    /// again.
    pub fn release_claim(&mut self, number: u64) {
        if self.entries.get(&number) == Some(&Entry::Running) {
            self.entries.shift_remove(&number);
        }
    }

    /// Stores the outcome of a claimed ticket.
    pub fn finish(&mut self, number: u64, outcome: TicketOutcome) {
        if let TicketOutcome::Answered(answer) = &outcome {
            self.kept_bytes += answer.size_bytes();
        }
        // Inserting the entry anew moves it to the end, so that entries are evicted in the order in
        // which they finished.
        self.entries.shift_remove(&number);
        self.entries.insert(number, Entry::Ended(outcome));
        self.evict_oldest();
    }

    /// Incarnation of the agent that issued these tickets.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn evict_oldest(&mut self) {
        while self.entries.len() > self.bounds.max_entries
            || self.kept_bytes > self.bounds.max_bytes
        {
            let Some(number) = self.oldest_ended() else {
                return;
            };
            self.evict(number);
        }
    }

    fn oldest_ended(&self) -> Option<u64> {
        let is_ended = |(_, entry): &(&u64, &Entry)| matches!(entry, Entry::Ended(_));
        self.entries.iter().find(is_ended).map(|(number, _)| *number)
    }

    fn evict(&mut self, number: u64) {
        let removed = self.entries.shift_remove(&number);
        if let Some(Entry::Ended(TicketOutcome::Answered(answer))) = removed {
            self.kept_bytes -= answer.size_bytes();
        }
        self.floor = self.floor.max(number + 1);
    }
}
