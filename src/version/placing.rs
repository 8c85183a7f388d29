//! The order in which targets are offered a new flow.
//!
//! The load that it answers: callers of a zone that open flows in unequal numbers, and zones whose targets
//! are fewer than usual. Flows go to the balancer's own zone by bounded-load rendezvous hashing; as its
//! slots fill up, targets of all zones are weighed alike. Cold targets come after warm ones.

use std::net::SocketAddrV4;

/// Flows above the mean of its zone, in percent, from which a target is passed over.
const BOUND_PERCENT: u64 = 110;

/// Busy slots over slots, in percent, up to which new flows stay in the balancer's zone.
const HOME_BUSY_PERCENT: u64 = 70;

/// Busy slots, in percentage points, by which other zones must be better to be taken all the same.
const HOME_MARGIN_PERCENT: u64 = 15;

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

/// The `most` best of them, best first, for a flow that comes in at `home_zone`.
pub fn order(
    mut candidates: Vec<Candidate<'_>>,
    home_zone: &str,
    most: usize,
) -> Vec<SocketAddrV4> {
    let spills = !prefers_home(&candidates, home_zone);
    let bounds = Bounds::new(&candidates, home_zone, spills);
    candidates.sort_by_cached_key(|candidate| {
        let is_home = spills || candidate.zone == home_zone;
        (candidate.is_cold, !is_home, !bounds.fits(candidate), u64::MAX - candidate.score)
    });
    candidates.iter().take(most).map(|candidate| candidate.data).collect()
}

/// Mean flows a slot, among those that are weighed against each other.
struct Bounds {
    flows: u64,
    slots: u64,
}

impl Bounds {
    fn new(candidates: &[Candidate<'_>], home_zone: &str, spills: bool) -> Bounds {
        let group = candidates
            .iter()
            .filter(|candidate| !candidate.is_cold)
            .filter(|candidate| spills || candidate.zone == home_zone);
        group.fold(Bounds { flows: 0, slots: 0 }, |bounds, candidate| Bounds {
            flows: bounds.flows + candidate.flows,
            slots: bounds.slots + candidate.slots,
        })
    }

    fn fits(&self, candidate: &Candidate<'_>) -> bool {
        let fair = (self.flows + 1) * candidate.slots * BOUND_PERCENT;
        (candidate.flows + 1) * self.slots * 100 <= fair + self.slots * 100
    }
}

/// Whether new flows stay in the balancer's zone.
fn prefers_home(candidates: &[Candidate<'_>], home_zone: &str) -> bool {
    let busy_percent = |is_home: bool| {
        let group = candidates
            .iter()
            .filter(|candidate| !candidate.is_cold)
            .filter(|candidate| (candidate.zone == home_zone) == is_home);
        let (busy, slots) = group.fold((0, 0), |(busy, slots), candidate| {
            (busy + candidate.busy, slots + candidate.slots)
        });
        (slots > 0).then(|| busy * 100 / slots)
    };
    match (busy_percent(true), busy_percent(false)) {
        (Some(home), Some(away)) => home < HOME_BUSY_PERCENT || home <= away + HOME_MARGIN_PERCENT,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
