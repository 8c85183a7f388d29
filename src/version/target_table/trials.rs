//! Trial openings at failing targets.

use std::net::SocketAddrV4;

use crate::version::failing_targets;
use crate::version::routing::Routing;
use crate::version::target_table::TargetTable;

impl TargetTable {
    /// Whether so many targets of a service fail that none counts as failing.
    pub fn ignores_health(&self, routing: &Routing, service: &str, now_ms: u64) -> bool {
        self.counted_failing(routing, service, now_ms).is_none()
    }

    /// Determines the failing target that an opening from `local_zone` is offered to first, as a trial, and notes the
    /// trial. `is_idempotent` says whether requests of the opening's route may be repeated.
    pub fn begin_trial(
        &mut self,
        routing: &Routing,
        service: &str,
        local_zone: &str,
        is_idempotent: bool,
        now_ms: u64,
    ) -> Option<SocketAddrV4> {
        let mut trial = None;
        for data in self.counted_failing(routing, service, now_ms)? {
            let entry = &mut self.targets[&data];
            let since_ms = now_ms.saturating_sub(*entry.trial_offered_ms.get_or_insert(now_ms));
            let is_preferred = is_idempotent && entry.zone == local_zone;
            if trial.is_none() && failing_targets::is_trial_due(since_ms, is_preferred) {
                entry.trial_offered_ms = Some(now_ms);
                trial = Some(data);
            }
        }
        self.trial_offers += u64::from(trial.is_some());
        trial
    }

    /// Number of openings that this balancer has offered to a failing target as a trial.
    pub fn trial_offers(&self) -> u64 {
        self.trial_offers
    }

    /// The failing targets of a service that accept flows; `None` if they are too many to count as failing.
    fn counted_failing(
        &self,
        routing: &Routing,
        service: &str,
        now_ms: u64,
    ) -> Option<Vec<SocketAddrV4>> {
        if self.failing_count() == 0 {
            return Some(Vec::new());
        }
        let mut candidates = self.unlimited_candidates(routing, service, None, 0, now_ms);
        failing_targets::apply_limit(&mut candidates).then(|| {
            let failing = candidates.iter().filter(|candidate| candidate.is_failing);
            failing.map(|candidate| candidate.data).collect()
        })
    }

    /// Number of agents whose last status says that their target is failing.
    pub fn failing_count(&self) -> usize {
        self.targets.values().filter(|entry| entry.is_failing()).count()
    }
}
