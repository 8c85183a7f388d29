//! A balancer's memory of which agent holds a flow.
//!
//! It saves hops and is never needed: a flow that is not found here is searched for. Bound:
//! [`MAX_FLOW_LOCATIONS`] entries of some 60 bytes.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::offering;

/// Most flows that are remembered; 16 million flows over 670 balancers are 24,000 each, and a
/// balancer may stand in for several others.
pub const MAX_FLOW_LOCATIONS: usize = 131_072;

/// Searches for one flow within [`SEARCH_WINDOW_MS`] while an agent is awaited: each sends its
/// segment to targets that do not hold the flow, and the platform takes three in two seconds for a
/// flow that was lost.
const MAX_SEARCHES: u32 = 2;

/// Time in which searches are counted, in milliseconds: the platform's two seconds and a margin.
const SEARCH_WINDOW_MS: u64 = 2_200;

/// Time in which a refusal must be back, in milliseconds: callers send a copy after 200 ms.
const REFUSAL_DEADLINE_MS: u64 = 150;

/// Time after which a search counts as held up, in milliseconds: a chain takes a few milliseconds, and
/// callers send again after 200 ms.
const SEARCH_TIMEOUT_MS: u64 = 150;

#[derive(Clone, Copy, Debug)]
struct Entry {
    holder: Option<SocketAddrV4>,
    is_confirmed: bool,
    last_used_ms: u64,
    search_count: u32,
    search_window_start_ms: u64,
    search_id: u32,
    search_started_ms: u64,
    pending_chains: usize,
    last_offered_ms: u64,
    first_offered_ms: u64,
    offer_count: u32,
    /// Offers that have not come back.
    pending_offers: u32,
}

impl Entry {
    /// How long the flow has been searched for without an end, in milliseconds.
    fn pending_search_ms(&self, now_ms: u64) -> Option<u64> {
        let is_pending = self.pending_chains > 0 && self.holder.is_none();
        is_pending.then(|| now_ms.saturating_sub(self.search_started_ms))
    }

    /// Whether the time in which searches are counted is over.
    fn is_search_window_over(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.search_window_start_ms) > SEARCH_WINDOW_MS
    }
}

/// What a search has come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchState {
    /// Some chains are still under way, or another search has begun.
    Pending,
    /// No target that was asked holds the flow.
    NotHeld,
}

/// Which agent holds which flow.
#[derive(Debug, Default)]
pub struct FlowLocations {
    entries: IndexMap<FlowKey, Entry>,
    last_search_id: u32,
}

impl FlowLocations {
    /// Remembers nothing yet.
    pub fn new() -> FlowLocations {
        FlowLocations::default()
    }

    /// Flows that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The agent that holds the flow, as far as this balancer knows.
    pub fn holder(&mut self, flow: &FlowKey, now_ms: u64) -> Option<SocketAddrV4> {
        let entry = self.entries.get_mut(flow)?;
        entry.last_used_ms = now_ms;
        entry.holder
    }

    /// Whether the caller has acknowledged the target at the agent that is remembered.
    pub fn is_confirmed(&self, flow: &FlowKey) -> bool {
        self.entries.get(flow).is_some_and(|entry| entry.is_confirmed)
    }

    /// Notes that an agent holds the flow, or that its target has accepted the opening. The latter
    /// takes the place of no agent that holds it.
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
    }

    /// Forgets where the flow is.
    pub fn forget(&mut self, flow: &FlowKey) {
        self.entries.swap_remove(flow);
    }

    /// Begins a search along some chains and returns its number, or nothing where it is one too many.
    pub fn begin_search(
        &mut self,
        flow: FlowKey,
        chains: usize,
        is_limited: bool,
        now_ms: u64,
    ) -> Option<u32> {
        let search_id = self.next_search_id();
        let entry = self.entry(flow, now_ms);
        if entry.is_search_window_over(now_ms) {
            entry.search_window_start_ms = now_ms;
            entry.search_count = 0;
        }
        if is_limited && entry.search_count >= MAX_SEARCHES {
            return None;
        }
        entry.search_count += 1;
        entry.search_id = search_id;
        entry.search_started_ms = now_ms;
        entry.pending_chains = chains;
        Some(search_id)
    }

    /// Whether a flow is being searched for, and the search may still end in time.
    pub fn is_search_pending(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.pending_search_ms(flow, now_ms)
            .is_some_and(|pending_search_ms| pending_search_ms < SEARCH_TIMEOUT_MS)
    }

    /// Whether one more search is allowed while an agent is awaited.
    pub fn may_search(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.entries.get(flow).is_none_or(|entry| {
            entry.search_count < MAX_SEARCHES || entry.is_search_window_over(now_ms)
        })
    }

    /// Whether the last search for a flow should have ended and has not: somebody on its way is gone.
    pub fn has_search_timed_out(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.pending_search_ms(flow, now_ms)
            .is_some_and(|pending_search_ms| pending_search_ms >= SEARCH_TIMEOUT_MS)
    }

    /// Number of searches for a flow lately.
    pub fn search_count(&self, flow: &FlowKey) -> u32 {
        self.entries.get(flow).map_or(0, |entry| entry.search_count)
    }

    /// Notes that a flow's opening is offered, and returns the number of the offer.
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
        search_id
    }

    /// How often the flow's opening has been offered.
    pub fn offer_count(&self, flow: &FlowKey) -> u32 {
        self.entries.get(flow).map_or(0, |entry| entry.offer_count)
    }

    /// Whether an opening that met full targets is offered once more.
    pub fn may_offer_again(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.entries.get(flow).is_some_and(|entry| {
            offering::is_offer_allowed(now_ms.saturating_sub(entry.first_offered_ms))
        })
    }

    /// Whether the last offer of a flow's opening is so old that the next one may be made.
    pub fn is_offer_due(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.entries.get(flow).is_none_or(|entry| {
            let waited_ms = entry.last_offered_ms.saturating_sub(entry.first_offered_ms);
            now_ms.saturating_sub(entry.last_offered_ms) >= offering::next_offer_delay_ms(waited_ms)
        })
    }

    /// Notes that an offer has come back. Says whether it is the newest and nobody has taken the flow.
    pub fn note_offer_refused(&mut self, flow: &FlowKey, search_id: u32) -> bool {
        let Some(entry) = self.entries.get_mut(flow) else {
            return false;
        };
        entry.pending_offers = entry.pending_offers.saturating_sub(1);
        entry.search_id == search_id && entry.holder.is_none()
    }

    /// Whether no agent may still take the flow: all offers have come back, the last so soon that its
    /// caller has sent no copy since, which another balancer may have got.
    pub fn are_all_offers_refused(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.entries.get(flow).is_some_and(|entry| {
            entry.pending_offers == 0
                && now_ms.saturating_sub(entry.last_offered_ms) <= REFUSAL_DEADLINE_MS
        })
    }

    /// Notes that the targets of one chain do not hold the flow.
    pub fn note_not_held(&mut self, flow: &FlowKey, search_id: u32) -> SearchState {
        let Some(entry) = self.entries.get_mut(flow) else {
            return SearchState::Pending;
        };
        if entry.search_id != search_id || entry.pending_chains == 0 || entry.holder.is_some() {
            return SearchState::Pending;
        }
        entry.pending_chains -= 1;
        if entry.pending_chains == 0 { SearchState::NotHeld } else { SearchState::Pending }
    }

    /// Drops flows that no segment has used for `idle_ms`.
    pub fn expire(&mut self, now_ms: u64, idle_ms: u64) {
        self.entries.retain(|_, entry| now_ms.saturating_sub(entry.last_used_ms) <= idle_ms);
    }

    fn pending_search_ms(&self, flow: &FlowKey, now_ms: u64) -> Option<u64> {
        self.entries.get(flow)?.pending_search_ms(now_ms)
    }

    /// Number of the next search or offer; never 0.
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
            pending_chains: 0,
            last_offered_ms: 0,
            first_offered_ms: 0,
            offer_count: 0,
            pending_offers: 0,
        };
        let entry = self.entries.entry(flow).or_insert(new_entry);
        entry.last_used_ms = now_ms;
        entry
    }
}
