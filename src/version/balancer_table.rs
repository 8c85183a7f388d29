//! A balancer's view of the other balancers, and who of them does what.
//!
//! An agent is probed by a few balancers of its own zone, its keepers; the others hear of it from
//! them. Between two zones only a few balancers talk, the first of each by address. So the datagrams
//! of a node grow with its zone and not with the product of all balancers and agents. The size at which
//! a zone outgrows this is in `docs/CAPACITY.md`.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::version::hash::hash64;
use crate::version::hash::hash64_with_seed;

/// Balancers of its zone that probe an agent.
pub const KEEPERS: usize = 3;

/// Pairs of balancers that talk between two zones: one may be lost without a word.
const PAIRS: usize = 2;

/// Silence after which a balancer has no part in the work, in milliseconds: three states are missing.
const SILENCE_MS: u64 = 2_000;

/// Time that a balancer has to be heard, in milliseconds, once it is known: it or others that hear it are
/// asked each 100 ms, and six answers are missing.
const UNHEARD_MS: u64 = 600;

/// Balancers that are asked for their state at once: at full size each answers with some 30 KB.
const MAX_ASKED: usize = 8;

/// Time between two rounds of asking, in milliseconds.
pub const ASK_INTERVAL_MS: u64 = 100;

/// Silence after which a balancer is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;

/// What one balancer tells of another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BalancerNews {
    /// Control address.
    pub control: SocketAddrV4,
    /// Address of its exchange of configuration.
    pub exchange: SocketAddrV4,
    /// Availability zone.
    pub zone: String,
    /// Revision of the newest change that is in force there.
    pub newest_change: u64,
    /// Time since it was heard, in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug)]
struct Peer {
    exchange: SocketAddrV4,
    zone: String,
    newest_change: u64,
    heard_ms: Option<u64>,
    known_since_ms: u64,
}

/// The other balancers, by control address.
#[derive(Debug)]
pub struct BalancerTable {
    own: SocketAddrV4,
    zone: String,
    peers: IndexMap<SocketAddrV4, Peer>,
}

impl BalancerTable {
    /// Knows nobody yet.
    pub fn new(own: SocketAddrV4, zone: &str) -> BalancerTable {
        BalancerTable { own, zone: zone.to_owned(), peers: IndexMap::new() }
    }

    /// Learns of a balancer that nobody has heard yet.
    pub fn learn(
        &mut self,
        control: SocketAddrV4,
        exchange: SocketAddrV4,
        zone: &str,
        now_ms: u64,
    ) {
        if control == self.own || self.peers.contains_key(&control) {
            return;
        }
        let peer = Peer {
            exchange,
            zone: zone.to_owned(),
            newest_change: 0,
            heard_ms: None,
            known_since_ms: now_ms,
        };
        self.peers.insert(control, peer);
    }

    /// Takes over what is told of a balancer, by itself or by another.
    pub fn hear(&mut self, news: &BalancerNews, now_ms: u64) {
        self.learn(news.control, news.exchange, &news.zone, now_ms);
        let Some(peer) = self.peers.get_mut(&news.control) else {
            return;
        };
        let heard_ms = now_ms.saturating_sub(news.age_ms);
        if peer.heard_ms.is_none_or(|held_ms| heard_ms >= held_ms) {
            peer.heard_ms = Some(heard_ms);
            peer.newest_change = news.newest_change;
        }
    }

    /// A balancer stops.
    pub fn leave(&mut self, control: SocketAddrV4) {
        self.peers.shift_remove(&control);
    }

    /// What is known of the balancers that were heard lately.
    pub fn news(&self, now_ms: u64) -> impl Iterator<Item = BalancerNews> {
        self.heard(now_ms).map(move |(control, peer)| BalancerNews {
            control: *control,
            exchange: peer.exchange,
            zone: peer.zone.clone(),
            newest_change: peer.newest_change,
            age_ms: now_ms.saturating_sub(peer.heard_ms.unwrap_or(0)),
        })
    }

    /// Whether this balancer probes an agent of its zone.
    pub fn keeps(&self, agent: SocketAddrV4, now_ms: u64) -> bool {
        let score = keeper_scores(agent);
        let own_score = score(&self.own);
        let in_zone = self.heard(now_ms).filter(|(_, peer)| peer.zone == self.zone);
        in_zone.filter(|(control, _)| score(control) > own_score).count() < KEEPERS
    }

    /// Some of the balancers that are not heard yet, to ask for their state; others at another time.
    ///
    /// The load that it answers: everything starting at once. A balancer that has just started resets
    /// no flow before the others have told of the agents that they know, and so asks them. A few answers
    /// tell of all balancers and agents.
    pub fn to_ask(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let unheard = self.peers.iter().filter(|(_, peer)| peer.heard_ms.is_none());
        let mut unheard: Vec<SocketAddrV4> = unheard.map(|(control, _)| *control).collect();
        if unheard.len() > MAX_ASKED {
            let round = usize::try_from(now_ms / ASK_INTERVAL_MS).unwrap_or(0);
            let first = round * MAX_ASKED % unheard.len();
            unheard.rotate_left(first);
            unheard.truncate(MAX_ASKED);
        }
        unheard
    }

    /// Whether no balancer is heard.
    pub fn is_alone(&self, now_ms: u64) -> bool {
        self.heard(now_ms).next().is_none()
    }

    /// Balancers to tell of this one's state: all of its zone, and one of each other zone where this
    /// balancer is among the first of its own.
    pub fn receivers(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let mut receivers = Vec::new();
        let mut zones: IndexMap<&str, Vec<SocketAddrV4>> = IndexMap::new();
        for (control, peer) in self.heard(now_ms) {
            zones.entry(&peer.zone).or_default().push(*control);
        }
        let mates = zones.shift_remove(self.zone.as_str()).unwrap_or_default();
        let rank = mates.iter().filter(|control| **control < self.own).count();
        receivers.extend(mates);
        if rank < PAIRS {
            for mut others in zones.into_values() {
                others.sort_unstable();
                receivers.push(others[rank % others.len()]);
            }
        }
        receivers
    }

    /// Balancers to tell at once that an agent has changed.
    ///
    /// The load that it answers: everything starting at once. An agent that starts tells all balancers;
    /// if each told all others, the datagrams of one change would grow with their square. Its keepers
    /// tell all, the others tell its keepers, and who has missed it hears by the next state.
    pub fn change_receivers(
        &self,
        agent: SocketAddrV4,
        agent_zone: &str,
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let all = self.heard(now_ms).map(|(control, _)| *control);
        if agent_zone == self.zone && self.keeps(agent, now_ms) {
            return all.collect();
        }
        let mut in_zone: Vec<SocketAddrV4> = self
            .heard(now_ms)
            .filter(|(_, peer)| peer.zone == agent_zone)
            .map(|(control, _)| *control)
            .collect();
        if in_zone.is_empty() {
            return all.collect();
        }
        let score = keeper_scores(agent);
        in_zone.sort_by_cached_key(|balancer| Reverse(score(balancer)));
        in_zone.truncate(KEEPERS);
        in_zone
    }

    /// Exchange addresses of the balancers at which a newer change is in force.
    pub fn ahead_of(&self, newest_change: u64) -> Vec<SocketAddrV4> {
        let ahead = self.peers.values().filter(|peer| peer.newest_change > newest_change);
        ahead.map(|peer| peer.exchange).collect()
    }

    /// Whether this balancer is the first of all by address, which does what one must do.
    pub fn is_first(&self, now_ms: u64) -> bool {
        self.heard(now_ms).all(|(control, _)| *control > self.own)
    }

    /// Whether a balancer has been silent for so long that its entry may go.
    pub fn is_forgotten(&self, control: SocketAddrV4, now_ms: u64) -> bool {
        control != self.own && self.peers.get(&control).is_none_or(|peer| is_over(peer, now_ms))
    }

    /// This process stood still: what the others know by now it must hear again.
    pub fn note_stall(&mut self, now_ms: u64) {
        for peer in self.peers.values_mut() {
            peer.heard_ms = None;
            peer.known_since_ms = now_ms;
        }
    }

    /// Whether every balancer that is known has been heard, or has had time to be.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        let is_settled = |peer: &Peer| {
            peer.heard_ms.is_some() || now_ms.saturating_sub(peer.known_since_ms) >= UNHEARD_MS
        };
        self.peers.values().all(is_settled)
    }

    /// Forgets balancers after a long silence.
    pub fn expire(&mut self, now_ms: u64) {
        self.peers.retain(|_, peer| !is_over(peer, now_ms));
    }

    fn heard(&self, now_ms: u64) -> impl Iterator<Item = (&SocketAddrV4, &Peer)> {
        let is_heard = move |heard_ms| now_ms.saturating_sub(heard_ms) < SILENCE_MS;
        self.peers.iter().filter(move |(_, peer)| peer.heard_ms.is_some_and(is_heard))
    }
}

/// Scores of balancers for an agent; the highest of its zone keep it.
fn keeper_scores(agent: SocketAddrV4) -> impl Fn(&SocketAddrV4) -> u64 {
    let id = hash64(agent.to_string().as_bytes());
    move |balancer| hash64_with_seed(balancer.to_string().as_bytes(), id)
}

fn is_over(peer: &Peer, now_ms: u64) -> bool {
    now_ms.saturating_sub(peer.heard_ms.unwrap_or(peer.known_since_ms)) > FORGET_MS
}
