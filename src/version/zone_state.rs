//! State of an agent's availability zone, as balancers report it.

use crate::version::store_position::StorePosition;
use crate::version::zones_out::HOLD_MS;

/// What one balancer reports on the zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZoneReport {
    /// Position up to which the balancer has all changes in force.
    pub position: StorePosition,
    /// Whether the zone is out of service there.
    pub is_out: bool,
    /// Remaining time for which the balancer holds the zone out though the store may have no mark of it, in
    /// milliseconds; `None` if it does not hold the zone.
    pub held_ms: Option<u64>,
}

/// Whether the zone is out of service, and as of which position.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct ZoneState {
    position: StorePosition,
    is_out: bool,
    held_until_ms: u64,
}

impl ZoneState {
    /// Creates the state of a zone that is in service and of which no balancer has reported.
    pub fn new() -> ZoneState {
        ZoneState::default()
    }

    /// Position of the report in force; revision 0 before the first.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Whether the zone is out of service.
    pub fn is_out(&self) -> bool {
        self.is_out
    }

    /// Applies a report unless it is older than the one in force. Returns whether it was applied.
    ///
    /// Of two balancers that have read the store up to the same position, the one that holds the zone knows
    /// more: it ran before the store returned from an older copy.
    pub fn apply(&mut self, report: &ZoneReport, now_ms: u64) -> bool {
        if report.position < self.position {
            return false;
        }
        let held_until_ms = report.held_ms.map_or(0, |held_ms| now_ms + held_ms.min(HOLD_MS));
        self.held_until_ms = match report.position == self.position {
            true => held_until_ms.max(self.held_until_ms),
            false => held_until_ms,
        };
        self.position = report.position;
        self.is_out = report.is_out || now_ms < self.held_until_ms;
        true
    }
}
