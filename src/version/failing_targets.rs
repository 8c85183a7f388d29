//! Use of failing targets for new flows: they are ranked last, and get trial openings, unless so many targets of the
//! service fail that none counts as failing. The requests have to go somewhere, and the cause is then more likely one
//! that the targets share.

use crate::version::placing::Candidate;

/// A failing target counts as such if at most one in this many targets of its service fails.
const MIN_TARGETS_PER_FAILING: usize = 3;

/// Time between two trial openings that a balancer offers to a failing target, in milliseconds. The agent admits one
/// in this time from all balancers.
const TRIAL_INTERVAL_MS: u64 = 1_000;

/// Time after which a failing target is offered a trial opening that is not preferred, in milliseconds.
const ANY_TRIAL_INTERVAL_MS: u64 = 3_000;

/// Clears the mark of all failing candidates of a service if they are too many to count as failing. Returns whether
/// they count.
pub fn apply_limit(candidates: &mut [Candidate<'_>]) -> bool {
    let failing = candidates.iter().filter(|candidate| candidate.is_failing).count();
    let counts = failing * MIN_TARGETS_PER_FAILING <= candidates.len();
    if !counts {
        candidates.iter_mut().for_each(|candidate| candidate.is_failing = false);
    }
    counts
}

/// Whether a balancer offers an opening to a failing target as a trial, `since_ms` after the last one or after it
/// learned that the target fails. Preferred are openings of routes whose requests may be repeated, from the target's
/// zone.
pub fn is_trial_due(since_ms: u64, is_preferred: bool) -> bool {
    since_ms >= if is_preferred { TRIAL_INTERVAL_MS } else { ANY_TRIAL_INTERVAL_MS }
}
