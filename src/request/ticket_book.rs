//! Memory of the tickets of one incarnation: each runs at most once.
//!
//! Bound: at most `max_entries` outcomes of at most `max_bytes` together. At the bound the oldest
//! finished outcome is dropped and the floor rises above its number; a ticket below the floor that
//! is not remembered never runs.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// The kept answer of a finished request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers in the order sent.
    pub headers: Vec<(String, String)>,
    /// Body; `None` where it was too large to keep.
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
    /// The target gave a whole answer.
    Answered(KeptAnswer),
    /// The request reached the target and no whole answer came back.
    Unknown,
}

/// What to do with a request that carries a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Claim {
    /// Run it; this is the only time.
    Run,
    /// It is running.
    StillRunning,
    /// It has ended so.
    Ended(TicketOutcome),
    /// It may have run; the outcome is no longer kept.
    Forgotten,
    /// The ticket is of another incarnation.
    Elsewhere,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Entry {
    Running,
    Ended(TicketOutcome),
}

/// Bounds of the memory.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketBounds {
    /// Finished outcomes kept.
    pub max_entries: usize,
    /// Bytes of kept answers together.
    pub max_bytes: usize,
}

/// The tickets of one incarnation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TicketBook {
    incarnation: u64,
    next_number: u64,
    floor: u64,
    entries: IndexMap<u64, Entry>,
    kept_bytes: usize,
    bounds: TicketBounds,
}

impl TicketBook {
    /// Creates an empty book for one incarnation.
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

    /// Returns the number of a fresh ticket.
    pub fn issue(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Decides on a request with the ticket `number` of `incarnation`.
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

    /// Takes a claim back: no byte of the request reached the target, so it may run later.
    pub fn release_claim(&mut self, number: u64) {
        if self.entries.get(&number) == Some(&Entry::Running) {
            self.entries.shift_remove(&number);
        }
    }

    /// Keeps the outcome of a claimed ticket.
    pub fn finish(&mut self, number: u64, outcome: TicketOutcome) {
        if let TicketOutcome::Answered(answer) = &outcome {
            self.kept_bytes += answer.size_bytes();
        }
        // The entry moves to the end, so that the order is that of the outcomes.
        self.entries.shift_remove(&number);
        self.entries.insert(number, Entry::Ended(outcome));
        self.evict_oldest();
    }

    /// Incarnation that this book is of.
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
        let ended = |(_, entry): &(&u64, &Entry)| matches!(entry, Entry::Ended(_));
        self.entries.iter().find(ended).map(|(number, _)| *number)
    }

    fn evict(&mut self, number: u64) {
        let removed = self.entries.shift_remove(&number);
        if let Some(Entry::Ended(TicketOutcome::Answered(answer))) = removed {
            self.kept_bytes -= answer.size_bytes();
        }
        self.floor = self.floor.max(number + 1);
    }
}
