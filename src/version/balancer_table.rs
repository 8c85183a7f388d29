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
pub const MONITORS_PER_AGENT: usize = 3;

/// Balancers of its own zone that a balancer sends its state to.
pub const LOCAL_NEIGHBOURS: u32 = 3;

/// Balancers of other zones that a balancer sends its state to.
pub const REMOTE_NEIGHBOURS: usize = 2;

/// Silence after which a neighbour tells that a balancer is gone, in milliseconds: three states are
/// missing.
const PEER_TIMEOUT_MS: u64 = 2_000;

/// Silence after which a neighbour asks a balancer whether it is there, in milliseconds: two states are
/// missing. Word that none follows may have been lost.
const STATE_OVERDUE_MS: u64 = 1_200;

/// Silence after which a balancer is asked no more, in milliseconds: more than ten asked in vain.
const QUERY_GIVE_UP_MS: u64 = 8_000;

/// Age of the last word from a zone, in milliseconds, from which none of its balancers counts as heard: it
/// comes over up to three balancers that tell it each 600 ms, and two states may be lost.
pub const ZONE_TIMEOUT_MS: u64 = 3_000;

/// Time that a balancer has to be heard, in milliseconds, once it is known: it or others that hear it are
/// asked each 100 ms, and six answers are missing.
const FIRST_CONTACT_TIMEOUT_MS: u64 = 600;

/// Balancers that are asked for all that they know at once.
const MAX_SYNC_SOURCES: usize = 3;

/// Time between two rounds of asking, in milliseconds.
pub const SYNC_INTERVAL_MS: u64 = 100;

/// Silence after which a balancer is forgotten, in milliseconds.
const EXPIRE_AFTER_MS: u64 = 60_000;

/// What one balancer tells of another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BalancerUpdate {
    /// Control address.
    pub control: SocketAddrV4,
    /// Address of its exchange of configuration.
    pub exchange: SocketAddrV4,
    /// Availability zone.
    pub zone: String,
    /// Stamp of its last state that is known.
    pub stamp: u64,
    /// Whether it has been silent since, or has stopped.
    pub is_down: bool,
}

/// When a balancer of a zone was last heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneUpdate {
    /// Availability zone.
    pub zone: String,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

/// What a word about a balancer was worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// Nothing that others have to hear of.
    Unchanged,
    /// Others have to hear of it.
    Changed,
    /// A balancer was said to be silent, and what is held here is later: who said so has to hear of it.
    SenderOutdated,
}

/// Balancers that have not sent what they promised.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OverdueBalancers {
    /// What to tell each of them, so that it answers.
    pub queries: Vec<BalancerUpdate>,
    /// Those that have been missing for so long that others have to hear of it.
    pub timed_out: Vec<SocketAddrV4>,
}

#[derive(Debug)]
struct Peer {
    exchange: SocketAddrV4,
    zone: String,
    newest_change: u64,
    stamp: u64,
    is_down: bool,
    known_since_ms: u64,
    /// When something newer was last heard of it.
    last_seen_ms: Option<u64>,
    /// When it last sent its own state here.
    last_direct_ms: Option<u64>,
    /// When it last promised another state.
    state_promised_ms: Option<u64>,
    /// Whether others miss it whose word is not older than what is held here.
    is_contested: bool,
}

impl Peer {
    /// Whether its own states come here.
    fn is_in_direct_contact(&self, now_ms: u64) -> bool {
        self.last_direct_ms
            .is_some_and(|last_direct_ms| now_ms.saturating_sub(last_direct_ms) < PEER_TIMEOUT_MS)
    }
}

/// The other balancers, by control address.
#[derive(Debug)]
pub struct BalancerTable {
    own_control: SocketAddrV4,
    zone: String,
    own_stamp: u64,
    peers: IndexMap<SocketAddrV4, Peer>,
    zones_last_seen_ms: IndexMap<String, u64>,
    last_neighbours: Vec<SocketAddrV4>,
    update_rotation: Rotation,
}

impl BalancerTable {
    /// Knows nobody yet.
    pub fn new(own_control: SocketAddrV4, zone: &str) -> BalancerTable {
        BalancerTable {
            own_control,
            zone: zone.to_owned(),
            own_stamp: 0,
            peers: IndexMap::new(),
            zones_last_seen_ms: IndexMap::new(),
            last_neighbours: Vec::new(),
            update_rotation: Rotation::new(),
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
        if control == self.own_control || self.peers.contains_key(&control) {
            return;
        }
        let peer = Peer {
            exchange,
            zone: zone.to_owned(),
            newest_change: 0,
            stamp: 0,
            is_down: false,
            known_since_ms: now_ms,
            last_seen_ms: None,
            last_direct_ms: None,
            state_promised_ms: None,
            is_contested: false,
        };
        self.peers.insert(control, peer);
    }

    /// Takes over what a balancer says of itself, with the revision of the newest change that is in force
    /// there. Says whether others should hear of it.
    pub fn apply_direct_update(
        &mut self,
        update: &BalancerUpdate,
        newest_change: u64,
        now_ms: u64,
    ) -> bool {
        self.learn(update.control, update.exchange, &update.zone, now_ms);
        let Some(peer) = self.peers.get_mut(&update.control) else {
            return false;
        };
        let is_contested = std::mem::take(&mut peer.is_contested);
        let is_changed =
            is_contested || peer.last_seen_ms.is_none() || peer.is_down != update.is_down;
        peer.newest_change = newest_change;
        peer.stamp = peer.stamp.max(update.stamp);
        peer.is_down = update.is_down;
        peer.last_seen_ms = Some(now_ms);
        peer.last_direct_ms = (!update.is_down).then_some(now_ms);
        if !update.is_down {
            self.zones_last_seen_ms.insert(update.zone.clone(), now_ms);
        }
        is_changed
    }

    /// Whether more is known of a balancer than its own state says: its clock went back, and it has to
    /// hear of its own stamp.
    pub fn has_newer_stamp(&self, update: &BalancerUpdate) -> bool {
        self.peers.get(&update.control).is_some_and(|peer| peer.stamp > update.stamp)
    }

    /// Takes over what a balancer tells of another. Of what it is told of itself, a balancer makes its next
    /// stamp later.
    pub fn apply_relayed_update(&mut self, update: &BalancerUpdate, now_ms: u64) -> UpdateOutcome {
        if update.control == self.own_control {
            self.own_stamp = self.own_stamp.max(update.stamp);
            return UpdateOutcome::Unchanged;
        }
        self.learn(update.control, update.exchange, &update.zone, now_ms);
        let peer = &mut self.peers[&update.control];
        let is_newer = update.stamp > peer.stamp || peer.last_seen_ms.is_none();
        let contradicts = update.stamp == peer.stamp && update.is_down && !peer.is_down;
        if update.is_down && update.stamp < peer.stamp && !peer.is_down {
            return UpdateOutcome::SenderOutdated;
        }
        if update.is_down && peer.is_in_direct_contact(now_ms) {
            peer.is_contested = true;
            return UpdateOutcome::Unchanged;
        }
        if !(is_newer || contradicts) {
            return UpdateOutcome::Unchanged;
        }
        let is_changed = peer.last_seen_ms.is_none() || peer.is_down != update.is_down;
        if is_changed {
            peer.state_promised_ms = None;
        }
        peer.stamp = update.stamp;
        peer.is_down = update.is_down;
        peer.last_seen_ms = Some(now_ms);
        if is_changed { UpdateOutcome::Changed } else { UpdateOutcome::Unchanged }
    }

    /// Takes over when another balancer has last heard one of a zone. Of its own zone a balancer
    /// believes only what it hears itself.
    pub fn apply_zone_update(&mut self, update: &ZoneUpdate, now_ms: u64) {
        if update.zone != self.zone {
            let last_seen_ms = now_ms.saturating_sub(update.age_ms);
            let known_ms =
                self.zones_last_seen_ms.entry(update.zone.clone()).or_insert(last_seen_ms);
            *known_ms = last_seen_ms.max(*known_ms);
        }
    }

    /// When each zone was last heard.
    pub fn zones_last_seen_ms(&self) -> impl Iterator<Item = (&str, u64)> {
        self.zones_last_seen_ms.iter().map(|(zone, last_seen_ms)| (zone.as_str(), *last_seen_ms))
    }

    /// What to tell of when zones were last heard.
    pub fn zone_updates(&self, now_ms: u64) -> Vec<ZoneUpdate> {
        let update = |(zone, last_seen_ms): (&str, u64)| ZoneUpdate {
            zone: zone.to_owned(),
            age_ms: now_ms.saturating_sub(last_seen_ms),
        };
        self.zones_last_seen_ms().filter(|(zone, _)| *zone != self.zone).map(update).collect()
    }

    /// What is known of the balancers that count as heard.
    pub fn updates(&self, now_ms: u64) -> impl Iterator<Item = BalancerUpdate> {
        self.live_peers(now_ms).map(|(control, peer)| update_of(*control, peer))
    }

    /// News of at most `most` balancers, others at the next call.
    pub fn next_updates(&mut self, most: usize, now_ms: u64) -> Vec<BalancerUpdate> {
        let all: Vec<BalancerUpdate> = self.updates(now_ms).collect();
        self.update_rotation.next_batch(&all, most)
    }

    /// What is known of one balancer.
    pub fn update_of(&self, control: SocketAddrV4) -> Option<BalancerUpdate> {
        self.peers.get(&control).map(|peer| update_of(control, peer))
    }

    /// Whether this balancer probes an agent of its zone.
    pub fn is_monitor_of(&self, agent: SocketAddrV4, now_ms: u64) -> bool {
        let score = monitor_score(agent);
        let own_score = score(&self.own_control);
        let in_zone = self.live_peers(now_ms).filter(|(_, peer)| peer.zone == self.zone);
        in_zone.filter(|(control, _)| score(control) > own_score).count() < MONITORS_PER_AGENT
    }

    /// Some of the balancers that are not heard yet, to ask what they know; others at another time, those
    /// of the own zone first.
    ///
    /// The load that it answers: everything starting at once. A balancer that has just started resets
    /// no flow before the others have told of the agents that they know, and so asks them. A few answers
    /// tell of all balancers and agents.
    pub fn sync_sources(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let unseen = self.peers.iter().filter(|(_, peer)| peer.last_seen_ms.is_none());
        let mut unseen: Vec<(bool, SocketAddrV4)> =
            unseen.map(|(control, peer)| (peer.zone != self.zone, *control)).collect();
        unseen.sort_unstable();
        let round = usize::try_from(now_ms / SYNC_INTERVAL_MS).unwrap_or(0);
        let first = round * MAX_SYNC_SOURCES % unseen.len().max(1);
        unseen.rotate_left(first);
        unseen.into_iter().take(MAX_SYNC_SOURCES).map(|(_, control)| control).collect()
    }

    /// Whether no balancer is heard.
    pub fn has_no_live_peer(&self, now_ms: u64) -> bool {
        self.live_peers(now_ms).next().is_none()
    }

    /// Balancers to tell of this one's state and of what has changed.
    ///
    /// In its zone they stand at growing distances, by which a change reaches all members in steps that
    /// grow with the root of their number; other zones are shared out by rank.
    pub fn neighbours(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let zones = self.live_by_zone(now_ms);
        let mut neighbours: Vec<SocketAddrV4> = Vec::new();
        let Some((own_index, _, members)) = zones.get_full(&self.zone) else {
            return neighbours;
        };
        let rank = members.iter().position(|member| *member == self.own_control).unwrap_or(0);
        let mut add = |neighbour: SocketAddrV4| {
            if neighbour != self.own_control && !neighbours.contains(&neighbour) {
                neighbours.push(neighbour);
            }
        };
        for step in 0..LOCAL_NEIGHBOURS {
            let exponent = f64::from(step) / f64::from(LOCAL_NEIGHBOURS);
            let distance = (members.len() as f64).powf(exponent).round() as usize;
            add(members[(rank + distance) % members.len()]);
        }
        let others = zones.len() - 1;
        for link in 0..REMOTE_NEIGHBOURS.min(others) {
            let offset = 1 + (rank * REMOTE_NEIGHBOURS + link) % others;
            let remote = &zones[(own_index + offset) % zones.len()];
            add(remote[rank % remote.len()]);
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
    pub fn note_state_promise(&mut self, control: SocketAddrV4, follows: bool, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(&control) {
            peer.state_promised_ms = follows.then_some(now_ms);
        }
    }

    /// Notes which balancers have not sent the states that they promised.
    pub fn take_overdue(&mut self, now_ms: u64) -> OverdueBalancers {
        let mut missing = OverdueBalancers::default();
        for (control, peer) in &mut self.peers {
            let waited_ms =
                peer.state_promised_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
            if waited_ms >= QUERY_GIVE_UP_MS {
                peer.state_promised_ms = None;
                continue;
            }
            if waited_ms >= PEER_TIMEOUT_MS && !peer.is_down {
                peer.is_down = true;
                missing.timed_out.push(*control);
            }
            if waited_ms >= STATE_OVERDUE_MS {
                missing.queries.push(BalancerUpdate { is_down: true, ..update_of(*control, peer) });
            }
        }
        missing
    }

    /// Exchange addresses of the balancers at which a newer change is in force.
    pub fn peers_with_newer_change(&self, newest_change: u64) -> Vec<SocketAddrV4> {
        let ahead = self.peers.values().filter(|peer| peer.newest_change > newest_change);
        ahead.map(|peer| peer.exchange).collect()
    }

    /// Whether this balancer is the first of all by address, which does what one must do.
    pub fn is_lowest_address(&self, now_ms: u64) -> bool {
        self.live_peers(now_ms).all(|(control, _)| *control > self.own_control)
    }

    /// Whether a balancer has been silent for so long that its entry may go.
    pub fn is_expired(&self, control: SocketAddrV4, now_ms: u64) -> bool {
        control != self.own_control
            && self.peers.get(&control).is_none_or(|peer| self.is_peer_expired(peer, now_ms))
    }

    /// This process stood still: what the others know by now it must hear again.
    pub fn note_stall(&mut self, now_ms: u64) {
        for peer in self.peers.values_mut() {
            peer.last_seen_ms = None;
            peer.state_promised_ms = None;
            peer.known_since_ms = now_ms;
        }
    }

    /// Whether every balancer that is known has been heard, or has had time to be.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        let is_settled = |peer: &Peer| {
            peer.last_seen_ms.is_some()
                || now_ms.saturating_sub(peer.known_since_ms) >= FIRST_CONTACT_TIMEOUT_MS
        };
        self.peers.values().all(is_settled)
    }

    /// Forgets balancers after a long silence.
    pub fn expire(&mut self, now_ms: u64) {
        let over = self.peers.iter().filter(|(_, peer)| self.is_peer_expired(peer, now_ms));
        let over: Vec<SocketAddrV4> = over.map(|(control, _)| *control).collect();
        for control in over {
            self.peers.swap_remove(&control);
        }
    }

    fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = (&SocketAddrV4, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| self.is_live(peer, now_ms))
    }

    fn is_live(&self, peer: &Peer, now_ms: u64) -> bool {
        let is_within = |last_seen_ms: Option<u64>, longest_ms| {
            last_seen_ms
                .is_some_and(|last_seen_ms| now_ms.saturating_sub(last_seen_ms) < longest_ms)
        };
        let zone_ms = self.zones_last_seen_ms.get(&peer.zone).copied();
        !peer.is_down
            && is_within(peer.last_seen_ms, EXPIRE_AFTER_MS)
            && is_within(zone_ms, ZONE_TIMEOUT_MS)
    }

    fn is_peer_expired(&self, peer: &Peer, now_ms: u64) -> bool {
        let since_ms = peer.last_seen_ms.unwrap_or(peer.known_since_ms);
        !self.is_live(peer, now_ms) && now_ms.saturating_sub(since_ms) > EXPIRE_AFTER_MS
    }

    /// Balancers that count as heard, this one among them, by zone and address.
    fn live_by_zone(&self, now_ms: u64) -> IndexMap<String, Vec<SocketAddrV4>> {
        let mut zones: IndexMap<String, Vec<SocketAddrV4>> = IndexMap::new();
        zones.insert(self.zone.clone(), vec![self.own_control]);
        for (control, peer) in self.live_peers(now_ms) {
            zones.entry(peer.zone.clone()).or_default().push(*control);
        }
        zones.values_mut().for_each(|members| members.sort_unstable());
        zones.sort_unstable_keys();
        zones
    }
}

fn update_of(control: SocketAddrV4, peer: &Peer) -> BalancerUpdate {
    BalancerUpdate {
        control,
        exchange: peer.exchange,
        zone: peer.zone.clone(),
        stamp: peer.stamp,
        is_down: peer.is_down,
    }
}

/// Scores of balancers for an agent; the highest of its zone keep it.
fn monitor_score(agent: SocketAddrV4) -> impl Fn(&SocketAddrV4) -> u64 {
    let id = hash64(agent.to_string().as_bytes());
    move |balancer| hash64_with_seed(balancer.to_string().as_bytes(), id)
}
