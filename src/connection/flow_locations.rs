//! A balancer's cache of the agents that hold flows, and the state of its searches and offers.
//!
//! The cache saves hops and is not needed for correctness: a flow without an entry is searched for. It is
//! bounded to [`MAX_FLOW_LOCATIONS`] entries of about 150 bytes.

use std::net::SocketAddrV4;
use std::ops::RangeInclusive;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::offering;

/// Maximum number of cached flows. 16 million flows over 670 balancers are 24,000 each, and a balancer may
/// serve the flows of several others that are down.
pub const MAX_FLOW_LOCATIONS: usize = 131_072;

/// Maximum number of searches within [`SEARCH_WINDOW_MS`] that ask agents again for one flow while an agent is
/// starting or restarting. Each sends a segment to targets that do not hold the flow, and the platform
/// considers a flow lost after three of these within two seconds.
const MAX_SEARCHES: u32 = 2;

/// Window in which searches are counted, in milliseconds: the platform's two seconds plus a margin.
const SEARCH_WINDOW_MS: u64 = 2_200;

/// Maximum age of the last offer at which its refusal can still be passed on to the caller, in
/// milliseconds: callers retransmit after 200 ms.
const REFUSAL_DEADLINE_MS: u64 = 150;

/// Time for which the answers to a search count, in milliseconds; a caller may use its port again for another
/// flow later.
const RULED_OUT_MS: u64 = 5_000;

/// Time after which a search without a result has timed out, in milliseconds: a chain of agents answers
/// within a few milliseconds, and callers retransmit after 200 ms.
const SEARCH_TIMEOUT_MS: u64 = 150;

/// The agents that have been asked for a flow: those that were known at a change, but for some.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AskedAgents {
    /// Latest availability change up to which agents have been asked; 0 if none has.
    pub change: u64,
    /// Agents that were known by then and have not been asked.
    pub unasked: Vec<SocketAddrV4>,
}

#[derive(Clone, Debug)]
struct Entry {
    holder: Option<SocketAddrV4>,
    is_confirmed: bool,
    last_used_ms: u64,
    search_count: u32,
    search_window_start_ms: u64,
    search_id: u32,
    search_started_ms: u64,
    /// The last search asks the agents that became available by changes after this one.
    asked_change: u64,
    /// Agents that have been asked once the last search is complete.
    searched: AskedAgents,
    search_round: SearchRound,
    /// Whether a chain of the search has passed an agent that would have to ask its target.
    has_unasked_targets: bool,
    /// Whether unavailable agents get a copy of the segment at the end of the round.
    has_postponed_copies: bool,
    /// Agents that have answered that they do not hold the flow.
    ruled_out: AskedAgents,
    ruled_out_ms: u64,
    pending_chains: usize,
    /// Earliest time at which the caller can have sent its first opening segment; `None` if none was received.
    opened_ms: Option<u64>,
    last_offered_ms: u64,
    first_offered_ms: u64,
    offer_count: u32,
    /// Offers that have not been returned.
    pending_offers: u32,
    /// Id of the last offer that was returned; 0 before the first.
    returned_offer_id: u32,
}

impl Entry {
    /// Time since the pending search started, in milliseconds; `None` if no search is pending.
    fn pending_search_ms(&self, now_ms: u64) -> Option<u64> {
        let is_pending = self.pending_chains > 0 && !self.is_confirmed;
        is_pending.then(|| now_ms.saturating_sub(self.search_started_ms))
    }

    fn ruled_out(&self, now_ms: u64) -> Option<&AskedAgents> {
        let is_recent = now_ms.saturating_sub(self.ruled_out_ms) < RULED_OUT_MS;
        is_recent.then_some(&self.ruled_out)
    }

    fn ruled_out_change(&self, now_ms: u64) -> u64 {
        self.ruled_out(now_ms).map_or(0, |asked| asked.change)
    }

    /// Whether the window in which searches are counted has ended.
    fn is_search_window_over(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.search_window_start_ms) > SEARCH_WINDOW_MS
    }
}

/// How agents look for a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchRound {
    /// In their tables. An agent that does not track the flow passes the segment on.
    Tables,
    /// An agent that does not track the flow, and has not seen all flows of its target, asks the target.
    Targets,
}

/// State of a search after one of its chains has reported that it does not hold the flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchState {
    /// Other chains have not reported yet, the flow has been found, or a newer search has started.
    Pending,
    /// No agent on any chain tracks the flow, and some of their targets have to be asked.
    TargetsUnasked,
    /// No target on any chain holds the flow, but agents that an earlier search asked have not all answered.
    PartlyNotHeld,
    /// No target of an available agent holds the flow.
    NotHeld,
}

/// Flows with the agents that hold them.
#[derive(Debug, Default)]
pub struct FlowLocations {
    entries: IndexMap<FlowKey, Entry>,
    last_search_id: u32,
}

impl FlowLocations {
    /// Creates an empty cache.
    pub fn new() -> FlowLocations {
        FlowLocations::default()
    }

    /// Number of cached flows.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Agent that holds the flow, as far as this balancer knows. Marks the entry as used.
    pub fn holder(&mut self, flow: &FlowKey, now_ms: u64) -> Option<SocketAddrV4> {
        let entry = self.entries.get_mut(flow)?;
        entry.last_used_ms = now_ms;
        entry.holder
    }

    /// As [`FlowLocations::holder`], without marking the entry as used.
    pub fn peek_holder(&self, flow: &FlowKey) -> Option<SocketAddrV4> {
        self.entries.get(flow)?.holder
    }

    /// Whether the caller has acknowledged the target of the cached agent.
    pub fn is_confirmed(&self, flow: &FlowKey) -> bool {
        self.entries.get(flow).is_some_and(|entry| entry.is_confirmed)
    }

    /// Records that an agent holds the flow (`is_confirmed`), or that its target has accepted the opening. An
    /// unconfirmed holder does not replace a confirmed one.
    pub fn record_holder(
        &mut self,
        flow: FlowKey,
        holder: SocketAddrV4,
        is_confirmed: bool,
        now_ms: u64,
    ) {
        let entry = self.entry(flow, now_ms);
        if entry.is_confirmed && !is_confirmed {
            return;
        }
        entry.is_confirmed = is_confirmed;
        entry.holder = Some(holder);
        entry.search_count = 0;
        entry.ruled_out = AskedAgents::default();
        entry.searched.unasked = Vec::new();
    }

    /// Removes the entry of a flow.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.entries.swap_remove(flow);
    }

    /// Starts a round of a search along `chains` chains of the agents that became available by these changes, and
    /// returns its id. `unasked` are other agents that are known and have not been asked. The round at the targets
    /// that follows one in the tables counts as the same search.
    pub fn begin_search(
        &mut self,
        flow: FlowKey,
        round: SearchRound,
        chains: usize,
        changes: &RangeInclusive<u64>,
        unasked: Vec<SocketAddrV4>,
        now_ms: u64,
    ) -> u32 {
        let search_id = self.next_search_id();
        let entry = self.entry(flow, now_ms);
        if entry.is_search_window_over(now_ms) {
            entry.search_window_start_ms = now_ms;
            entry.search_count = 0;
        }
        let is_next_round = entry.pending_chains == 0 && entry.has_unasked_targets;
        if round == SearchRound::Tables || !is_next_round {
            entry.search_count += 1;
        }
        entry.search_round = round;
        entry.has_unasked_targets = false;
        entry.has_postponed_copies = false;
        entry.search_id = search_id;
        entry.search_started_ms = now_ms;
        entry.asked_change = changes.start() - 1;
        entry.searched = AskedAgents { change: *changes.end(), unasked };
        entry.pending_chains = chains;
        search_id
    }

    /// Notes that unavailable agents get a copy of the segment unless the round of the search finds the flow.
    pub fn postpone_copies(&mut self, flow: &FlowKey) {
        if let Some(entry) = self.entries.get_mut(flow) {
            entry.has_postponed_copies = true;
        }
    }

    /// Whether copies were postponed; they no longer are.
    pub fn take_postponed_copies(&mut self, flow: &FlowKey) -> bool {
        let entry = self.entries.get_mut(flow);
        entry.is_some_and(|entry| std::mem::take(&mut entry.has_postponed_copies))
    }

    /// Agents that have answered that they do not hold the flow.
    pub fn ruled_out(&self, flow: &FlowKey, now_ms: u64) -> AskedAgents {
        let ruled_out = self.entries.get(flow).and_then(|entry| entry.ruled_out(now_ms));
        ruled_out.cloned().unwrap_or_default()
    }

    /// Latest availability change whose agents the last search for the flow leaves out.
    pub fn asked_change(&self, flow: &FlowKey) -> u64 {
        self.entries.get(flow).map_or(0, |entry| entry.asked_change)
    }

    /// Notes that no agent that became available up to this change has to be asked.
    pub fn note_searched_up_to(&mut self, flow: &FlowKey, change: u64) {
        if let Some(entry) = self.entries.get_mut(flow) {
            entry.searched.change = entry.searched.change.max(change);
        }
    }

    /// Latest availability change of an agent that the last search for the flow asks; 0 without a search.
    pub fn search_change(&self, flow: &FlowKey) -> u64 {
        self.entries.get(flow).map_or(0, |entry| entry.searched.change)
    }

    /// Whether a search for the flow is pending and has not timed out.
    pub fn is_search_pending(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.pending_search_ms(flow, now_ms)
            .is_some_and(|pending_search_ms| pending_search_ms < SEARCH_TIMEOUT_MS)
    }

    /// Whether the limit on searches while an agent is starting or restarting allows to ask agents again.
    pub fn may_ask_again(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.entries.get(flow).is_none_or(|entry| {
            entry.search_count < MAX_SEARCHES || entry.is_search_window_over(now_ms)
        })
    }

    /// Whether the last search for a flow has timed out, which means that an agent on one of its chains is
    /// down.
    pub fn has_search_timed_out(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.pending_search_ms(flow, now_ms)
            .is_some_and(|pending_search_ms| pending_search_ms >= SEARCH_TIMEOUT_MS)
    }

    /// Number of searches for a flow in the current window since the flow was last found.
    pub fn search_count(&self, flow: &FlowKey) -> u32 {
        self.entries.get(flow).map_or(0, |entry| entry.search_count)
    }

    /// Records that the caller has sent an opening segment, its first or this retransmission of it. A first one
    /// long after the last begins another attempt at the same port.
    pub fn note_opening(&mut self, flow: FlowKey, retransmission: u32, now_ms: u64) {
        let sent_ms = now_ms.saturating_sub(offering::min_age_ms(retransmission));
        let entry = self.entry(flow, now_ms);
        let is_same_attempt =
            |opened_ms: &u64| now_ms.saturating_sub(*opened_ms) < offering::ATTEMPT_MS;
        let opened_ms = entry.opened_ms.filter(is_same_attempt);
        entry.opened_ms = Some(opened_ms.map_or(sent_ms, |opened_ms| opened_ms.min(sent_ms)));
    }

    /// Time at which the caller sent its first opening segment, as far as this balancer knows.
    pub fn opened_ms(&self, flow: &FlowKey) -> Option<u64> {
        self.entries.get(flow)?.opened_ms
    }

    /// Records an offer of a flow's opening and returns its id.
    pub fn begin_offer(&mut self, flow: FlowKey, now_ms: u64) -> u32 {
        let search_id = self.next_search_id();
        let entry = self.entry(flow, now_ms);
        if entry.offer_count == 0 {
            entry.first_offered_ms = now_ms;
        }
        entry.search_id = search_id;
        entry.last_offered_ms = now_ms;
        entry.offer_count += 1;
        entry.pending_offers += 1;
        entry.ruled_out = AskedAgents::default();
        search_id
    }

    /// Number of times that the flow's opening has been offered.
    pub fn offer_count(&self, flow: &FlowKey) -> u32 {
        self.entries.get(flow).map_or(0, |entry| entry.offer_count)
    }

    /// Whether an offer of the flow's opening has not been returned.
    pub fn has_pending_offer(&self, flow: &FlowKey) -> bool {
        self.entries.get(flow).is_some_and(|entry| entry.pending_offers > 0)
    }

    /// Whether an opening that a busy or full target has refused may be offered again.
    pub fn may_offer_again(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.entries.get(flow).is_some_and(|entry| {
            offering::is_offer_allowed(now_ms.saturating_sub(entry.first_offered_ms))
        })
    }

    /// Whether the interval since the last offer of a flow's opening has passed.
    pub fn is_offer_due(&self, flow: &FlowKey, now_ms: u64) -> bool {
        let offered = self.entries.get(flow).filter(|entry| entry.offer_count > 0);
        offered.is_none_or(|entry| {
            let since_first_offer_ms = entry.last_offered_ms.saturating_sub(entry.first_offered_ms);
            now_ms.saturating_sub(entry.last_offered_ms)
                >= offering::next_offer_delay_ms(since_first_offer_ms)
        })
    }

    /// Records that an offer was refused. Returns whether it is the latest one and no agent holds the flow.
    pub fn note_offer_refused(&mut self, flow: &FlowKey, search_id: u32) -> bool {
        let Some(entry) = self.entries.get_mut(flow) else {
            return false;
        };
        // Datagrams may arrive twice.
        if entry.returned_offer_id == search_id {
            return false;
        }
        entry.returned_offer_id = search_id;
        entry.pending_offers = entry.pending_offers.saturating_sub(1);
        entry.offer_count > 0 && entry.search_id == search_id && entry.holder.is_none()
    }

    /// Whether no agent can still accept the flow: all offers were refused, the last one so quickly that the
    /// caller cannot have retransmitted the opening, possibly to another balancer.
    pub fn are_all_offers_refused(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.entries.get(flow).is_some_and(|entry| {
            entry.pending_offers == 0
                && now_ms.saturating_sub(entry.last_offered_ms) <= REFUSAL_DEADLINE_MS
        })
    }

    /// Records that no target on one chain of a search holds the flow, or if not `is_ruled_out`, that in the round in
    /// the tables no agent on it tracks the flow.
    pub fn note_not_held(
        &mut self,
        flow: &FlowKey,
        search_id: u32,
        is_ruled_out: bool,
        now_ms: u64,
    ) -> SearchState {
        let Some(entry) = self.entries.get_mut(flow) else {
            return SearchState::Pending;
        };
        if entry.search_id != search_id || entry.pending_chains == 0 || entry.is_confirmed {
            return SearchState::Pending;
        }
        entry.pending_chains -= 1;
        entry.has_unasked_targets |= entry.search_round == SearchRound::Tables && !is_ruled_out;
        if entry.pending_chains > 0 {
            return SearchState::Pending;
        }
        if entry.has_unasked_targets {
            return SearchState::TargetsUnasked;
        }
        if entry.asked_change > entry.ruled_out_change(now_ms) {
            return SearchState::PartlyNotHeld;
        }
        entry.ruled_out = entry.searched.clone();
        entry.ruled_out_ms = now_ms;
        SearchState::NotHeld
    }

    /// Removes flows that no segment has used for longer than `idle_ms`.
    pub fn expire(&mut self, now_ms: u64, idle_ms: u64) {
        self.entries.retain(|_, entry| now_ms.saturating_sub(entry.last_used_ms) <= idle_ms);
    }

    fn pending_search_ms(&self, flow: &FlowKey, now_ms: u64) -> Option<u64> {
        self.entries.get(flow)?.pending_search_ms(now_ms)
    }

    /// Returns the id of the next search or offer; never 0.
    fn next_search_id(&mut self) -> u32 {
        self.last_search_id = self.last_search_id.wrapping_add(1).max(1);
        self.last_search_id
    }

    fn entry(&mut self, flow: FlowKey, now_ms: u64) -> &mut Entry {
        if self.entries.len() >= MAX_FLOW_LOCATIONS && !self.entries.contains_key(&flow) {
            self.entries.swap_remove_index(0);
        }
        let new_entry = Entry {
            holder: None,
            is_confirmed: false,
            last_used_ms: now_ms,
            search_count: 0,
            search_window_start_ms: now_ms,
            search_id: 0,
            search_started_ms: now_ms,
            asked_change: 0,
            searched: AskedAgents::default(),
            search_round: SearchRound::Tables,
            has_unasked_targets: false,
            has_postponed_copies: false,
            ruled_out: AskedAgents::default(),
            ruled_out_ms: 0,
            pending_chains: 0,
            opened_ms: None,
            last_offered_ms: 0,
            first_offered_ms: 0,
            offer_count: 0,
            pending_offers: 0,
            returned_offer_id: 0,
        };
        let entry = self.entries.entry(flow).or_insert(new_entry);
        entry.last_used_ms = now_ms;
        entry
    }
}
