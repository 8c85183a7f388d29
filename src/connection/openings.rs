//! An agent's decision on opening datagrams, and its memory of the decisions.
//!
//! A caller may send its opening datagram several times. The memory makes every copy follow the
//! first, so that one flow is counted once and is not split between two agents.
//!
//! Bound: `MAX_OPENINGS` decisions. At the bound an opening that is not remembered is passed on,
//! or refused at the end of the chain.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::request::admission::Admission;
use crate::request::verdict::Refusal;

/// Most decisions that are remembered.
pub const MAX_OPENINGS: usize = 16_384;

/// How long a decision is remembered, in milliseconds.
pub const OPENING_RETENTION_MS: u64 = 10_000;

/// Load above the service's mean, in percent, from which an opening is passed on.
const LOAD_MARGIN_PERCENT: u64 = 3;

/// Thousandths in a whole.
const PERMILLE: u64 = 1000;

/// Identity of an opening: caller address and the connection id it chose.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct OpeningKey {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Connection id that the caller chose.
    pub connection_id: Vec<u8>,
}

/// What to do with an opening datagram.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OpeningDecision {
    /// End the flow here.
    Accept,
    /// Hand it to the next candidate.
    PassOn,
    /// Tell the caller to come back later.
    Refuse(Refusal),
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Remembered {
    decision: OpeningDecision,
    at_ms: u64,
    claimed: bool,
}

/// Memory of openings, and the estimate of the service's load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Openings {
    #[serde(with = "indexmap::map::serde_seq")]
    remembered: IndexMap<OpeningKey, Remembered>,
    service_load_permille: Option<u64>,
    first_offers: u64,
    closings: u64,
}

impl Openings {
    /// Creates an empty memory.
    pub fn new() -> Openings {
        Openings::default()
    }

    /// Takes in the mean of flows over capacity in the service, as a keeper reported it.
    pub fn set_service_load(&mut self, load_permille: u64) {
        self.service_load_permille = Some(load_permille);
        self.first_offers = 0;
        self.closings = 0;
    }

    /// Notes that a flow ended here.
    pub fn note_flow_ended(&mut self) {
        self.closings += 1;
    }

    /// Decides on one opening. `position` is the place of this agent in a chain of `chain_length`.
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

    /// Takes the place that an opening holds, once its connection exists: the end of the connection
    /// gives the place back. Returns the decision, or `None` where there is none left to take.
    pub fn claim(&mut self, key: &OpeningKey) -> Option<OpeningDecision> {
        let remembered = self.remembered.get_mut(key)?;
        if remembered.claimed {
            return None;
        }
        remembered.claimed = true;
        Some(remembered.decision)
    }

    /// Forgets old decisions and gives back the places of openings that became no connection.
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
        let is_memory_full = self.remembered.len() >= MAX_OPENINGS;
        if has_next_candidate && (is_memory_full || self.would_exceed_mean_load(admission)) {
            return OpeningDecision::PassOn;
        }
        if is_memory_full {
            return OpeningDecision::Refuse(Refusal::NoConnection);
        }
        match admission.open_flow() {
            Ok(()) => OpeningDecision::Accept,
            Err(_) if has_next_candidate => OpeningDecision::PassOn,
            Err(reason) => OpeningDecision::Refuse(reason),
        }
    }

    /// Whether one more flow would put this target above the service's mean load. Since the report
    /// the mean has grown by the first offers seen here, as hashing gives each target its fair share,
    /// and has shrunk by about as many flows as ended here.
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
