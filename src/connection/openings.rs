//! An agent's decisions on opening datagrams, with a cache of past decisions.
//!
//! A caller may retransmit its opening datagram. With the cache every retransmission gets the same decision
//! as the first datagram, so that a flow is counted once and is not split between two agents.
//!
//! The cache is bounded to `MAX_OPENINGS` decisions. When it is full, an opening without an entry is passed
//! on, or refused at the end of the chain.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::request::admission::Admission;
use crate::request::verdict::Refusal;

/// Maximum number of cached decisions.
pub const MAX_OPENINGS: usize = 16_384;

/// Time for which a decision is cached, in milliseconds.
pub const OPENING_RETENTION_MS: u64 = 10_000;

/// Margin above the mean load of the service, in percent, beyond which an opening is passed on.
const LOAD_MARGIN_PERCENT: u64 = 3;

const PERMILLE: u64 = 1000;

/// Identifies an opening across its retransmissions.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct OpeningKey {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Destination connection id that the caller chose for its first packets.
    pub connection_id: Vec<u8>,
}

/// Decision on an opening datagram.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OpeningDecision {
    /// This agent terminates the flow.
    Accept,
    /// The opening is passed on to the next candidate of the chain.
    PassOn,
    /// The opening is refused; the caller may retry later.
    Refuse(Refusal),
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Remembered {
    decision: OpeningDecision,
    at_ms: u64,
    claimed: bool,
}

/// Cached decisions on openings, and the estimated mean load of the service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Openings {
    #[serde(with = "indexmap::map::serde_seq")]
    remembered: IndexMap<OpeningKey, Remembered>,
    service_load_permille: Option<u64>,
    first_offers: u64,
    closings: u64,
}

impl Openings {
    /// Creates an empty cache without a load estimate.
    pub fn new() -> Openings {
        Openings::default()
    }

    /// Sets the mean load of the service's targets as a monitor has reported it: flows over the capacity for
    /// flows, in thousandths.
    pub fn set_service_load(&mut self, load_permille: u64) {
        self.service_load_permille = Some(load_permille);
        self.first_offers = 0;
        self.closings = 0;
    }

    /// Records that a flow of this agent has ended.
    pub fn note_flow_ended(&mut self) {
        self.closings += 1;
    }

    /// Decides on an opening. `position` is the index of this agent in a chain of `chain_length` candidates.
    pub fn decide(
        &mut self,
        key: &OpeningKey,
        position: usize,
        chain_length: usize,
        admission: &mut Admission,
        now_ms: u64,
    ) -> OpeningDecision {
        if let Some(remembered) = self.remembered.get(key) {
            return remembered.decision;
        }
        if position == 0 {
            self.first_offers += 1;
        }
        let has_next_candidate = position + 1 < chain_length;
        let decision = self.decide_new(has_next_candidate, admission);
        self.remember(key, decision, now_ms);
        decision
    }

    /// Claims the decision on an opening for its new connection, which from then on releases the admitted
    /// flow when it ends. Returns `None` if there is no decision or it has been claimed.
    pub fn claim(&mut self, key: &OpeningKey) -> Option<OpeningDecision> {
        let remembered = self.remembered.get_mut(key)?;
        if remembered.claimed {
            return None;
        }
        remembered.claimed = true;
        Some(remembered.decision)
    }

    /// Removes old decisions and releases the admitted flows of openings that no connection has claimed.
    pub fn expire(&mut self, admission: &mut Admission, now_ms: u64) {
        self.remembered.retain(|_, remembered| {
            let is_retained = now_ms.saturating_sub(remembered.at_ms) < OPENING_RETENTION_MS;
            let is_unclaimed =
                remembered.decision == OpeningDecision::Accept && !remembered.claimed;
            if !is_retained && is_unclaimed {
                admission.close_flow();
            }
            is_retained
        });
    }

    fn decide_new(&self, has_next_candidate: bool, admission: &mut Admission) -> OpeningDecision {
        let is_cache_full = self.remembered.len() >= MAX_OPENINGS;
        if has_next_candidate && (is_cache_full || self.would_exceed_mean_load(admission)) {
            return OpeningDecision::PassOn;
        }
        if is_cache_full {
            return OpeningDecision::Refuse(Refusal::NoConnection);
        }
        match admission.open_flow() {
            Ok(()) => OpeningDecision::Accept,
            Err(_) if has_next_candidate => OpeningDecision::PassOn,
            Err(reason) => OpeningDecision::Refuse(reason),
        }
    }

    /// Whether one more flow would put this target above the mean load of the service. The mean since the
    /// last report is estimated from local events: hashing gives each target an equal share of openings, so
    /// it grows by the openings first offered to this agent and shrinks by the flows that ended here.
    fn would_exceed_mean_load(&self, admission: &Admission) -> bool {
        let Some(reported_permille) = self.service_load_permille else {
            return false;
        };
        let capacity = u64::from(admission.capacity().connections.max(1));
        let grown_flows = reported_permille * capacity / PERMILLE + self.first_offers;
        let mean_flows = grown_flows.saturating_sub(self.closings);
        let max_flows = mean_flows + mean_flows * LOAD_MARGIN_PERCENT / 100 + 1;
        u64::from(admission.flows()) + 1 > max_flows
    }

    fn remember(&mut self, key: &OpeningKey, decision: OpeningDecision, now_ms: u64) {
        if self.remembered.len() < MAX_OPENINGS {
            let remembered = Remembered { decision, at_ms: now_ms, claimed: false };
            self.remembered.insert(key.clone(), remembered);
        }
    }
}
