//! Ranking of the targets to which a new flow is offered.
//!
//! New flows go to the balancer's local zone by bounded-load rendezvous hashing. When the local zone's
//! slots fill up, targets of all zones are ranked alike. Cold targets come after warm ones. This handles
//! callers that open unequal numbers of flows in each zone, and zones with fewer targets than usual.

use std::net::SocketAddrV4;

/// Upper bound of a target's flows per slot, in percent of the mean; targets above it are ranked after the
/// others of their group: the local zone, or all zones if new flows leave it.
const BOUND_PERCENT: u64 = 110;

/// Share of busy slots, in percent, below which new flows stay in the local zone.
const LOCAL_BUSY_PERCENT: u64 = 70;

/// Percentage points by which the local zone may be busier than the remote zones, above
/// [`LOCAL_BUSY_PERCENT`], before new flows leave it.
const LOCAL_MARGIN_PERCENT: u64 = 15;

/// A target that may take a new flow.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Data address of the target's agent.
    pub data: SocketAddrV4,
    /// Availability zone.
    pub zone: &'a str,
    /// Number of requests that the target processes concurrently when warm; at least 1.
    pub slots: u64,
    /// Number of flows that the target holds or was offered.
    pub flows: u64,
    /// Number of flows with a request in progress or expected.
    pub busy: u64,
    /// Whether the target is still in slow start.
    pub is_cold: bool,
    /// Rendezvous score of the target for the flow.
    pub score: u64,
}

/// Returns the best `limit` candidates, best first, for a flow that arrives in `local_zone`.
pub fn rank(
    mut candidates: Vec<Candidate<'_>>,
    local_zone: &str,
    limit: usize,
) -> Vec<SocketAddrV4> {
    let spills_over = !prefers_local(&candidates, local_zone);
    let bound = LoadBound::new(&candidates, local_zone, spills_over);
    candidates.sort_by_cached_key(|candidate| {
        let is_local = spills_over || candidate.zone == local_zone;
        (
            candidate.is_cold,
            !is_local,
            !bound.is_within_bound(candidate),
            u64::MAX - candidate.score,
        )
    });
    candidates.iter().take(limit).map(|candidate| candidate.data).collect()
}

/// Mean number of flows per slot among the warm candidates that are ranked alike.
struct LoadBound {
    flows: u64,
    slots: u64,
}

impl LoadBound {
    fn new(candidates: &[Candidate<'_>], local_zone: &str, spills_over: bool) -> LoadBound {
        let group = candidates
            .iter()
            .filter(|candidate| !candidate.is_cold)
            .filter(|candidate| spills_over || candidate.zone == local_zone);
        group.fold(LoadBound { flows: 0, slots: 0 }, |bound, candidate| LoadBound {
            flows: bound.flows + candidate.flows,
            slots: bound.slots + candidate.slots,
        })
    }

    fn is_within_bound(&self, candidate: &Candidate<'_>) -> bool {
        let allowed = (self.flows + 1) * candidate.slots * BOUND_PERCENT;
        (candidate.flows + 1) * self.slots * 100 <= allowed + self.slots * 100
    }
}

/// Whether new flows stay in the local zone.
fn prefers_local(candidates: &[Candidate<'_>], local_zone: &str) -> bool {
    let busy_percent = |is_local: bool| {
        let group = candidates
            .iter()
            .filter(|candidate| !candidate.is_cold)
            .filter(|candidate| (candidate.zone == local_zone) == is_local);
        let (busy, slots) = group.fold((0, 0), |(busy, slots), candidate| {
            (busy + candidate.busy, slots + candidate.slots)
        });
        (slots > 0).then(|| busy * 100 / slots)
    };
    match (busy_percent(true), busy_percent(false)) {
        (Some(local), Some(remote)) => {
            local < LOCAL_BUSY_PERCENT || local <= remote + LOCAL_MARGIN_PERCENT
        }
        (Some(_), None) => true,
        (None, _) => false,
    }
}
