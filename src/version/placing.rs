//! The order in which targets are offered a new flow.
//!
//! The load that it answers: callers of a zone that open flows in unequal numbers, and zones whose targets
//! are fewer than usual. Flows go to the balancer's own zone by bounded-load rendezvous hashing; as its
//! slots fill up, targets of all zones are weighed alike. Cold targets come after warm ones.

use std::net::SocketAddrV4;

/// Flows above the mean of its zone, in percent, from which a target is passed over.
const BOUND_PERCENT: u64 = 110;

/// Busy slots over slots, in percent, up to which new flows stay in the balancer's zone.
const LOCAL_BUSY_PERCENT: u64 = 70;

/// Busy slots, in percentage points, by which other zones must be better to be taken all the same.
const LOCAL_MARGIN_PERCENT: u64 = 15;

/// A target that may take a new flow.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Data address of its agent.
    pub data: SocketAddrV4,
    /// Availability zone.
    pub zone: &'a str,
    /// Requests that it runs at once when warm; at least 1.
    pub slots: u64,
    /// Flows that it holds or was offered.
    pub flows: u64,
    /// Flows whose caller waits for an answer.
    pub busy: u64,
    /// Whether it is cold.
    pub is_cold: bool,
    /// Rendezvous score for the flow.
    pub score: u64,
}

/// The `most` best of them, best first, for a flow that comes in at `local_zone`.
pub fn rank(
    mut candidates: Vec<Candidate<'_>>,
    local_zone: &str,
    most: usize,
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
    candidates.iter().take(most).map(|candidate| candidate.data).collect()
}

/// Mean flows a slot, among those that are weighed against each other.
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

/// Whether new flows stay in the balancer's zone.
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
