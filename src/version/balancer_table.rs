//! A balancer's view of the other balancers, and who of them does what.
//!
//! An agent is probed by a few balancers of its own zone, its keepers. Each balancer sends its state to a
//! few neighbours, whose number does not grow with the deployment, and promises each the next one: a
//! balancer counts as heard until a neighbour has missed a promised state, or until no balancer of its
//! zone is heard at all. A stamp that grows with each state orders what is told of a balancer, and refutes
//! what is told wrongly.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::version::hash::hash64;
use crate::version::hash::hash64_with_seed;
use crate::version::rotation::Rotation;

/// Balancers of its zone that probe an agent.
pub const KEEPERS: usize = 3;

/// Balancers of its own zone that a balancer sends its state to.
pub const ZONE_NEIGHBOURS: u32 = 3;

/// Balancers of other zones that a balancer sends its state to.
pub const FAR_NEIGHBOURS: usize = 2;

/// Silence after which a neighbour tells that a balancer is gone, in milliseconds: three states are
/// missing.
const SILENCE_MS: u64 = 2_000;

/// Silence after which a neighbour asks a balancer whether it is there, in milliseconds: two states are
/// missing. Word that none follows may have been lost.
const OVERDUE_MS: u64 = 1_200;

/// Silence after which a balancer is asked no more, in milliseconds: more than ten asked in vain.
const GIVEN_UP_MS: u64 = 8_000;

/// Age of the last word from a zone, in milliseconds, from which none of its balancers counts as heard: it
/// comes over up to three balancers that tell it each 600 ms, and two states may be lost.
pub const ZONE_SILENCE_MS: u64 = 3_000;

/// Time that a balancer has to be heard, in milliseconds, once it is known: it or others that hear it are
/// asked each 100 ms, and six answers are missing.
const UNHEARD_MS: u64 = 600;

/// Balancers that are asked for all that they know at once.
const MAX_ASKED: usize = 3;

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
    /// Stamp of its last state that is known.
    pub stamp: u64,
    /// Whether it has been silent since, or has stopped.
    pub is_silent: bool,
}

/// When a balancer of a zone was last heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneNews {
    /// Availability zone.
    pub zone: String,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

/// What a word about a balancer was worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// Nothing that others have to hear of.
    Known,
    /// Others have to hear of it.
    News,
    /// A balancer was said to be silent, and what is held here is later: who said so has to hear of it.
    Outdated,
}

/// Balancers that have not sent what they promised.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Missing {
    /// What to tell each of them, so that it answers.
    pub overdue: Vec<BalancerNews>,
    /// Those that have been missing for so long that others have to hear of it.
    pub silent: Vec<SocketAddrV4>,
}

#[derive(Debug)]
struct Peer {
    exchange: SocketAddrV4,
    zone: String,
    newest_change: u64,
    stamp: u64,
    is_silent: bool,
    known_since_ms: u64,
    /// When something newer was last heard of it.
    heard_ms: Option<u64>,
    /// When it last sent its own state here.
    direct_ms: Option<u64>,
    /// When it last promised another state.
    promised_ms: Option<u64>,
    /// Whether others miss it whose word is not older than what is held here.
    is_contested: bool,
}

impl Peer {
    /// Whether its own states come here.
    fn is_direct(&self, now_ms: u64) -> bool {
        self.direct_ms.is_some_and(|direct_ms| now_ms.saturating_sub(direct_ms) < SILENCE_MS)
    }
}

/// The other balancers, by control address.
#[derive(Debug)]
pub struct BalancerTable {
    own: SocketAddrV4,
    zone: String,
    own_stamp: u64,
    peers: IndexMap<SocketAddrV4, Peer>,
    zones_heard_ms: IndexMap<String, u64>,
    last_neighbours: Vec<SocketAddrV4>,
    rotation: Rotation,
}

impl BalancerTable {
    /// Knows nobody yet.
    pub fn new(own: SocketAddrV4, zone: &str) -> BalancerTable {
        BalancerTable {
            own,
            zone: zone.to_owned(),
            own_stamp: 0,
            peers: IndexMap::new(),
            zones_heard_ms: IndexMap::new(),
            last_neighbours: Vec::new(),
            rotation: Rotation::new(),
        }
    }

    /// Stamp of the next state: the wall clock, in Unix milliseconds, unless it went back.
    pub fn next_stamp(&mut self, wall_ms: u64) -> u64 {
        self.own_stamp = wall_ms.max(self.own_stamp + 1);
        self.own_stamp
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
            stamp: 0,
            is_silent: false,
            known_since_ms: now_ms,
            heard_ms: None,
            direct_ms: None,
            promised_ms: None,
            is_contested: false,
        };
        self.peers.insert(control, peer);
    }

    /// Takes over what a balancer says of itself, with the revision of the newest change that is in force
    /// there. Says whether others should hear of it.
    pub fn hear_itself(&mut self, news: &BalancerNews, newest_change: u64, now_ms: u64) -> bool {
        self.learn(news.control, news.exchange, &news.zone, now_ms);
        let Some(peer) = self.peers.get_mut(&news.control) else {
            return false;
        };
        let is_contested = std::mem::take(&mut peer.is_contested);
        let is_changed =
            is_contested || peer.heard_ms.is_none() || peer.is_silent != news.is_silent;
        peer.newest_change = newest_change;
        peer.stamp = peer.stamp.max(news.stamp);
        peer.is_silent = news.is_silent;
        peer.heard_ms = Some(now_ms);
        peer.direct_ms = (!news.is_silent).then_some(now_ms);
        if !news.is_silent {
            self.zones_heard_ms.insert(news.zone.clone(), now_ms);
        }
        is_changed
    }

    /// Whether more is known of a balancer than its own state says: its clock went back, and it has to
    /// hear of its own stamp.
    pub fn is_ahead_of(&self, news: &BalancerNews) -> bool {
        self.peers.get(&news.control).is_some_and(|peer| peer.stamp > news.stamp)
    }

    /// Takes over what a balancer tells of another. Of what it is told of itself, a balancer makes its next
    /// stamp later.
    pub fn hear(&mut self, news: &BalancerNews, now_ms: u64) -> Heard {
        if news.control == self.own {
            self.own_stamp = self.own_stamp.max(news.stamp);
            return Heard::Known;
        }
        self.learn(news.control, news.exchange, &news.zone, now_ms);
        let peer = &mut self.peers[&news.control];
        let is_newer = news.stamp > peer.stamp || peer.heard_ms.is_none();
        let contradicts = news.stamp == peer.stamp && news.is_silent && !peer.is_silent;
        if news.is_silent && news.stamp < peer.stamp && !peer.is_silent {
            return Heard::Outdated;
        }
        if news.is_silent && peer.is_direct(now_ms) {
            peer.is_contested = true;
            return Heard::Known;
        }
        if !(is_newer || contradicts) {
            return Heard::Known;
        }
        let is_changed = peer.heard_ms.is_none() || peer.is_silent != news.is_silent;
        if is_changed {
            peer.promised_ms = None;
        }
        peer.stamp = news.stamp;
        peer.is_silent = news.is_silent;
        peer.heard_ms = Some(now_ms);
        if is_changed { Heard::News } else { Heard::Known }
    }

    /// Takes over when another balancer has last heard one of a zone. Of its own zone a balancer
    /// believes only what it hears itself.
    pub fn hear_zone(&mut self, news: &ZoneNews, now_ms: u64) {
        if news.zone != self.zone {
            let heard_ms = now_ms.saturating_sub(news.age_ms);
            let held_ms = self.zones_heard_ms.entry(news.zone.clone()).or_insert(heard_ms);
            *held_ms = heard_ms.max(*held_ms);
        }
    }

    /// When each zone was last heard.
    pub fn zones_heard_ms(&self) -> impl Iterator<Item = (&str, u64)> {
        self.zones_heard_ms.iter().map(|(zone, heard_ms)| (zone.as_str(), *heard_ms))
    }

    /// What to tell of when zones were last heard.
    pub fn zone_news(&self, now_ms: u64) -> Vec<ZoneNews> {
        let news = |(zone, heard_ms): (&str, u64)| ZoneNews {
            zone: zone.to_owned(),
            age_ms: now_ms.saturating_sub(heard_ms),
        };
        self.zones_heard_ms().filter(|(zone, _)| *zone != self.zone).map(news).collect()
    }

    /// What is known of the balancers that count as heard.
    pub fn news(&self, now_ms: u64) -> impl Iterator<Item = BalancerNews> {
        self.heard(now_ms).map(|(control, peer)| news_of(*control, peer))
    }

    /// News of at most `most` balancers, others at the next call.
    pub fn next_news(&mut self, most: usize, now_ms: u64) -> Vec<BalancerNews> {
        let all: Vec<BalancerNews> = self.news(now_ms).collect();
        self.rotation.take(&all, most)
    }

    /// What is known of one balancer.
    pub fn news_of(&self, control: SocketAddrV4) -> Option<BalancerNews> {
        self.peers.get(&control).map(|peer| news_of(control, peer))
    }

    /// Whether this balancer probes an agent of its zone.
    pub fn keeps(&self, agent: SocketAddrV4, now_ms: u64) -> bool {
        let score = keeper_scores(agent);
        let own_score = score(&self.own);
        let in_zone = self.heard(now_ms).filter(|(_, peer)| peer.zone == self.zone);
        in_zone.filter(|(control, _)| score(control) > own_score).count() < KEEPERS
    }

    /// Some of the balancers that are not heard yet, to ask what they know; others at another time, those
    /// of the own zone first.
    ///
    /// The load that it answers: everything starting at once. A balancer that has just started resets
    /// no flow before the others have told of the agents that they know, and so asks them. A few answers
    /// tell of all balancers and agents.
    pub fn to_ask(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let unheard = self.peers.iter().filter(|(_, peer)| peer.heard_ms.is_none());
        let mut unheard: Vec<(bool, SocketAddrV4)> =
            unheard.map(|(control, peer)| (peer.zone != self.zone, *control)).collect();
        unheard.sort_unstable();
        let round = usize::try_from(now_ms / ASK_INTERVAL_MS).unwrap_or(0);
        let first = round * MAX_ASKED % unheard.len().max(1);
        unheard.rotate_left(first);
        unheard.into_iter().take(MAX_ASKED).map(|(_, control)| control).collect()
    }

    /// Whether no balancer is heard.
    pub fn is_alone(&self, now_ms: u64) -> bool {
        self.heard(now_ms).next().is_none()
    }

    /// Balancers to tell of this one's state and of what has changed.
    ///
    /// In its zone they stand at growing distances, by which a change reaches all members in steps that
    /// grow with the root of their number; other zones are shared out by rank.
    pub fn neighbours(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let zones = self.zones(now_ms);
        let mut neighbours: Vec<SocketAddrV4> = Vec::new();
        let Some((own_index, _, members)) = zones.get_full(&self.zone) else {
            return neighbours;
        };
        let rank = members.iter().position(|member| *member == self.own).unwrap_or(0);
        let mut add = |neighbour: SocketAddrV4| {
            if neighbour != self.own && !neighbours.contains(&neighbour) {
                neighbours.push(neighbour);
            }
        };
        for step in 0..ZONE_NEIGHBOURS {
            let exponent = f64::from(step) / f64::from(ZONE_NEIGHBOURS);
            let distance = (members.len() as f64).powf(exponent).round() as usize;
            add(members[(rank + distance) % members.len()]);
        }
        let others = zones.len() - 1;
        for link in 0..FAR_NEIGHBOURS.min(others) {
            let offset = 1 + (rank * FAR_NEIGHBOURS + link) % others;
            let far = &zones[(own_index + offset) % zones.len()];
            add(far[rank % far.len()]);
        }
        neighbours
    }

    /// Whether a balancer gets the next state of this one, too.
    pub fn is_neighbour(&self, control: SocketAddrV4) -> bool {
        self.last_neighbours.contains(&control)
    }

    /// Takes the neighbours to send a state to, and those that were neighbours at the last call and are
    /// no longer: they have to hear that no state follows.
    pub fn take_neighbours(&mut self, now_ms: u64) -> (Vec<SocketAddrV4>, Vec<SocketAddrV4>) {
        let neighbours = self.neighbours(now_ms);
        let before = std::mem::replace(&mut self.last_neighbours, neighbours.clone());
        let dropped = before.into_iter().filter(|before| !neighbours.contains(before)).collect();
        (neighbours, dropped)
    }

    /// Whether a balancer is one of this one's zone.
    pub fn is_in_zone(&self, control: SocketAddrV4) -> bool {
        self.peers.get(&control).is_some_and(|peer| peer.zone == self.zone)
    }

    /// Takes over whether a balancer will send this one its next state, too.
    pub fn note_promise(&mut self, control: SocketAddrV4, follows: bool, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(&control) {
            peer.promised_ms = follows.then_some(now_ms);
        }
    }

    /// Notes which balancers have not sent the states that they promised.
    pub fn take_missing(&mut self, now_ms: u64) -> Missing {
        let mut missing = Missing::default();
        for (control, peer) in &mut self.peers {
            let waited_ms = peer.promised_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
            if waited_ms >= GIVEN_UP_MS {
                peer.promised_ms = None;
                continue;
            }
            if waited_ms >= SILENCE_MS && !peer.is_silent {
                peer.is_silent = true;
                missing.silent.push(*control);
            }
            if waited_ms >= OVERDUE_MS {
                missing.overdue.push(BalancerNews { is_silent: true, ..news_of(*control, peer) });
            }
        }
        missing
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
        control != self.own
            && self.peers.get(&control).is_none_or(|peer| self.is_over(peer, now_ms))
    }

    /// This process stood still: what the others know by now it must hear again.
    pub fn note_stall(&mut self, now_ms: u64) {
        for peer in self.peers.values_mut() {
            peer.heard_ms = None;
            peer.promised_ms = None;
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
        let over = self.peers.iter().filter(|(_, peer)| self.is_over(peer, now_ms));
        let over: Vec<SocketAddrV4> = over.map(|(control, _)| *control).collect();
        for control in over {
            self.peers.swap_remove(&control);
        }
    }

    fn heard(&self, now_ms: u64) -> impl Iterator<Item = (&SocketAddrV4, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| self.is_heard(peer, now_ms))
    }

    fn is_heard(&self, peer: &Peer, now_ms: u64) -> bool {
        let is_within = |heard_ms: Option<u64>, longest_ms| {
            heard_ms.is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) < longest_ms)
        };
        let zone_ms = self.zones_heard_ms.get(&peer.zone).copied();
        !peer.is_silent
            && is_within(peer.heard_ms, FORGET_MS)
            && is_within(zone_ms, ZONE_SILENCE_MS)
    }

    fn is_over(&self, peer: &Peer, now_ms: u64) -> bool {
        let since_ms = peer.heard_ms.unwrap_or(peer.known_since_ms);
        !self.is_heard(peer, now_ms) && now_ms.saturating_sub(since_ms) > FORGET_MS
    }

    /// Balancers that count as heard, this one among them, by zone and address.
    fn zones(&self, now_ms: u64) -> IndexMap<String, Vec<SocketAddrV4>> {
        let mut zones: IndexMap<String, Vec<SocketAddrV4>> = IndexMap::new();
        zones.insert(self.zone.clone(), vec![self.own]);
        for (control, peer) in self.heard(now_ms) {
            zones.entry(peer.zone.clone()).or_default().push(*control);
        }
        zones.values_mut().for_each(|members| members.sort_unstable());
        zones.sort_unstable_keys();
        zones
    }
}

fn news_of(control: SocketAddrV4, peer: &Peer) -> BalancerNews {
    BalancerNews {
        control,
        exchange: peer.exchange,
        zone: peer.zone.clone(),
        stamp: peer.stamp,
        is_silent: peer.is_silent,
    }
}

/// Scores of balancers for an agent; the highest of its zone keep it.
fn keeper_scores(agent: SocketAddrV4) -> impl Fn(&SocketAddrV4) -> u64 {
    let id = hash64(agent.to_string().as_bytes());
    move |balancer| hash64_with_seed(balancer.to_string().as_bytes(), id)
}
