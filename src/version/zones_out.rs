//! Availability zones that operators have taken out of service, across eras of the store.
//!
//! A store that returns from an older copy may have lost the mark of a zone that is out, or show one that
//! operators have removed. A zone is then out if the copy says so or if it was out before: nothing goes to a
//! zone that operators hold out, at the price of its capacity. A zone that was out before returns when
//! operators remove its mark in the new era, or after [`HOLD_MS`]. A balancer that starts in the new era holds
//! what others hold, for the rest of their time.

use indexmap::IndexMap;
use indexmap::IndexSet;

/// Time for which a zone stays out although the copy has no mark of it, in milliseconds. Operators write
/// their marks again within seconds.
pub const HOLD_MS: u64 = 10_000;

/// A zone that a balancer holds out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldZone {
    /// Availability zone.
    pub zone: String,
    /// Remaining time of the hold, in milliseconds.
    pub remaining_ms: u64,
}

/// The zones out of service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZonesOut {
    era: u64,
    /// Marks in the store, with the revision of each.
    marks: IndexMap<String, u64>,
    /// Zones that were out before the current era, here or at another balancer, and the end of each hold.
    held: IndexMap<String, u64>,
    /// Zones whose mark operators have changed in the current era. A balancer that has not read the change
    /// may still hold them.
    changed: IndexSet<String>,
}

impl ZonesOut {
    /// Creates a record without zones.
    pub fn new() -> ZonesOut {
        ZonesOut::default()
    }

    /// Era of the marks.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Whether a zone is out of service.
    pub fn is_out(&self, zone: &str) -> bool {
        self.marks.contains_key(zone) || self.held.contains_key(zone)
    }

    /// Zones that are out of service.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let held = self.held().filter(|zone| !self.marks.contains_key(*zone));
        self.marks.keys().map(String::as_str).chain(held)
    }

    /// Zones that stay out although the store may have no mark of them.
    pub fn held(&self) -> impl Iterator<Item = &str> {
        self.held.keys().map(String::as_str)
    }

    /// Remaining time of a zone's hold, in milliseconds; `None` if the zone is not held.
    pub fn remaining_ms(&self, zone: &str, now_ms: u64) -> Option<u64> {
        self.held.get(zone).map(|until_ms| until_ms.saturating_sub(now_ms))
    }

    /// Replaces the marks by those that the store has, with their revisions. Returns whether a zone changed.
    pub fn apply_marks(&mut self, marks: IndexMap<String, u64>, era: u64, now_ms: u64) -> bool {
        let before: IndexSet<String> = self.names().map(str::to_owned).collect();
        if era == self.era {
            // Operators have written or removed a mark that differs from the one of the last read.
            let zones = self.marks.keys().chain(marks.keys());
            let changed = zones.filter(|zone| self.marks.get(*zone) != marks.get(*zone));
            let changed: Vec<String> = changed.cloned().collect();
            self.held.retain(|zone, _| !changed.contains(zone));
            self.changed.extend(changed);
        } else {
            let until_ms = now_ms + HOLD_MS;
            self.held = before.iter().map(|zone| (zone.clone(), until_ms)).collect();
            self.changed.clear();
            self.era = era;
        }
        self.marks = marks;
        before.len() != self.names().count() || before.iter().any(|zone| !self.is_out(zone))
    }

    /// Applies one change: the revision of a new mark, or `None` if the mark was removed. Returns whether
    /// the zone changed.
    pub fn apply_change(&mut self, zone: &str, mark: Option<u64>) -> bool {
        let was_out = self.is_out(zone);
        self.held.shift_remove(zone);
        self.changed.insert(zone.to_owned());
        match mark {
            Some(revision) => {
                self.marks.insert(zone.to_owned(), revision);
            }
            None => {
                self.marks.shift_remove(zone);
            }
        }
        was_out != self.is_out(zone)
    }

    /// Holds the zones that another balancer holds in `era`, unless operators have changed their mark since.
    /// It was asked at `asked_ms`, so that no hold lasts longer here than there. Returns whether a zone
    /// changed.
    pub fn adopt_holds(&mut self, holds: &[HeldZone], era: u64, asked_ms: u64) -> bool {
        if era != self.era {
            return false;
        }
        let mut is_changed = false;
        for HeldZone { zone, remaining_ms } in holds {
            if *remaining_ms == 0 || self.changed.contains(zone) {
                continue;
            }
            is_changed |= !self.is_out(zone);
            let until_ms = asked_ms + (*remaining_ms).min(HOLD_MS);
            let held_until_ms = self.held.entry(zone.clone()).or_insert(until_ms);
            *held_until_ms = until_ms.max(*held_until_ms);
        }
        is_changed
    }

    /// Ends the holds whose time is over. Returns whether a zone changed.
    pub fn release_held(&mut self, now_ms: u64) -> bool {
        let before = self.names().count();
        self.held.retain(|_, until_ms| now_ms < *until_ms);
        before != self.names().count()
    }
}
