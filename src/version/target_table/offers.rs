//! Openings that a balancer has offered to an agent since the agent's last status.

use std::collections::VecDeque;

use crate::connection::request_class::PRIORITY_LEVELS;
use crate::connection::request_class::RequestClass;

/// Time for which an offered opening counts as a request in progress, in milliseconds: about twice the service
/// time of a request, 30 to 61 ms, as it may have been queued.
const COUNTED_MS: u64 = 100;

/// Maximum number of offers that are counted: more than a target answers in [`COUNTED_MS`].
const MAX_COUNTED: usize = 64;

/// Recent offers to one agent, oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentOffers {
    /// Time and priority level of each offer.
    offers: VecDeque<(u64, usize)>,
}

impl RecentOffers {
    /// Notes the offer of an opening. Those without a class count as least urgent.
    pub(super) fn note(&mut self, class: Option<RequestClass>, now_ms: u64) {
        let is_outdated = |(offered_ms, _): &(u64, usize)| offered_ms + COUNTED_MS <= now_ms;
        while self.offers.front().is_some_and(is_outdated) || self.offers.len() >= MAX_COUNTED {
            self.offers.pop_front();
        }
        let level = class.map_or(PRIORITY_LEVELS - 1, |class| class.level());
        self.offers.push_back((now_ms, level));
    }

    /// Removes all offers, as a status of the agent includes them.
    pub(super) fn clear(&mut self) {
        self.offers.clear();
    }

    /// Number of recent offers that are ahead of a request of this class.
    pub(super) fn ahead_of(&self, class: &RequestClass, now_ms: u64) -> u64 {
        let is_ahead = |(offered_ms, level): &&(u64, usize)| {
            *level <= class.level() && offered_ms + COUNTED_MS > now_ms
        };
        self.offers.iter().filter(is_ahead).count() as u64
    }
}
