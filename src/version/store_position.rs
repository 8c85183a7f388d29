//! Positions in the history of the store.

/// Era of a store that reports none.
pub const UNKNOWN_ERA: u64 = 0;

/// Position in the history of the store: a revision, and the era in which the store gave it out.
///
/// A store that returns from an older copy begins a new era and gives out revisions again, so that a
/// revision alone orders nothing.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StorePosition {
    /// Era of the store, or [`UNKNOWN_ERA`]; compared first.
    pub era: u64,
    /// Revision within the era; 0 where there is none.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position.
    pub fn new(era: u64, revision: u64) -> StorePosition {
        StorePosition { era, revision }
    }
}

/// Position in a message of another node. Builds that know no eras send none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedPosition {
    /// Era of the store at the sender; `None` if the message has none.
    pub era: Option<u64>,
    /// Revision within the era; 0 where there is none.
    pub revision: u64,
}

impl ReportedPosition {
    /// The position, in the receiver's era `own_era` if the message has none.
    pub fn or_in_era(self, own_era: u64) -> StorePosition {
        StorePosition::new(self.era.unwrap_or(own_era), self.revision)
    }
}

impl From<StorePosition> for ReportedPosition {
    fn from(position: StorePosition) -> ReportedPosition {
        ReportedPosition { era: Some(position.era), revision: position.revision }
    }
}
