//! A balancer's view of the other balancers: which are live, which monitor an agent, and which are gossip
//! neighbours.
//!
//! An agent is probed by a few balancers of its own zone, its monitors. Each balancer sends its state to a
//! few neighbours, whose number does not grow with the deployment, and announces whether the next state
//! follows. A balancer counts as live until a neighbour misses an announced state, or until no balancer of
//! its zone has been seen for [`ZONE_TIMEOUT_MS`]. Each state carries a stamp that grows; it orders the
//! updates of a balancer, and a later one refutes a false report that the balancer is down.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::version::hash::hash64;
use crate::version::hash::hash64_with_seed;
use crate::version::rotation::Rotation;
use crate::version::store_position::StorePosition;

/// Number of balancers of an agent's zone that probe it.
pub const MONITORS_PER_AGENT: usize = 3;

/// Number of balancers of the local zone to which a balancer sends its state.
pub const LOCAL_NEIGHBOURS: u32 = 3;

/// Maximum number of balancers of remote zones to which a balancer sends its state.
pub const REMOTE_NEIGHBOURS: usize = 2;

/// Time since the last state that announced a further one, in milliseconds, after which a neighbour
/// reports a balancer as down; three states are missing by then.
const PEER_TIMEOUT_MS: u64 = 2_000;

/// Time since the last state that announced a further one, in milliseconds, after which a neighbour queries
/// a balancer; two states are missing by then. The message that no further state follows may have been lost.
const STATE_OVERDUE_MS: u64 = 1_200;

/// Time since the last state that announced a further one, in milliseconds, after which a balancer is no
/// longer queried; more than ten queries are unanswered by then.
const QUERY_GIVE_UP_MS: u64 = 8_000;

/// Time since a zone was last seen, in milliseconds, after which none of its balancers counts as live. The
/// time travels over up to three balancers that each send it every 600 ms, and two states may be lost.
pub const ZONE_TIMEOUT_MS: u64 = 3_000;

/// Time within which a state or an update of a newly known balancer is expected, in milliseconds. It or
/// others that know of it are asked for their full state every 100 ms; six answers are missing by then.
const FIRST_CONTACT_TIMEOUT_MS: u64 = 600;

/// Maximum number of balancers that are asked for their full state in one round.
const MAX_FULL_STATE_SOURCES: usize = 3;

/// Time between two rounds of requests for the full state, in milliseconds.
pub const FULL_STATE_REQUEST_INTERVAL_MS: u64 = 100;

/// Time since a balancer was last seen after which it is removed, in milliseconds.
const EXPIRE_AFTER_MS: u64 = 60_000;

/// Update that one balancer sends about another, or about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BalancerUpdate {
    /// Control address.
    pub control: SocketAddrV4,
    /// Address at which it serves its configuration to other balancers.
    pub exchange: SocketAddrV4,
    /// Availability zone.
    pub zone: String,
    /// Stamp of its last known state.
    pub stamp: u64,
    /// Whether it has timed out since that state, or is stopping.
    pub is_down: bool,
}

/// What is in force at a balancer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InForce {
    /// Position of the newest change.
    pub change: StorePosition,
    /// Version of the configuration; 0 for none.
    pub configuration_version: u64,
}

/// Update of when a balancer of a zone was last seen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneUpdate {
    /// Availability zone.
    pub zone: String,
    /// Time since a balancer of the zone was last seen, in milliseconds.
    pub age_ms: u64,
}

/// Result of applying a relayed update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// Nothing changed that neighbours have to be notified of.
    Unchanged,
    /// The balancer's state changed; neighbours have to be notified.
    Changed,
    /// The update reports the balancer as down, but a later state is known; the sender has to receive it.
    SenderOutdated,
}

/// Balancers that have not sent an announced state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OverdueBalancers {
    /// Updates to send to the overdue balancers themselves. Each reports its receiver as down, which the
    /// receiver refutes by an answer.
    pub queries: Vec<BalancerUpdate>,
    /// Balancers that have just timed out; neighbours have to be notified.
    pub timed_out: Vec<SocketAddrV4>,
}

#[derive(Debug)]
struct Peer {
    exchange: SocketAddrV4,
    zone: String,
    in_force: InForce,
    /// What was known to be in force there when its configuration was last fetched.
    fetched: Option<InForce>,
    stamp: u64,
    is_down: bool,
    known_since_ms: u64,
    /// Time of the last state or newer relayed update.
    last_seen_ms: Option<u64>,
    /// Time of the last state received from the balancer itself.
    last_direct_ms: Option<u64>,
    /// Time of the last state that announced a further one.
    next_state_announced_ms: Option<u64>,
    /// Whether others report it as down, by an update that is not outdated, while this balancer still
    /// receives its states.
    is_contested: bool,
}

impl Peer {
    /// Whether the balancer itself sent a state within [`PEER_TIMEOUT_MS`].
    fn is_in_direct_contact(&self, now_ms: u64) -> bool {
        self.last_direct_ms
            .is_some_and(|direct_ms| now_ms.saturating_sub(direct_ms) < PEER_TIMEOUT_MS)
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
    /// Creates a table without other balancers.
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

    /// Stamp of the next state: the wall-clock time in Unix milliseconds, or one more than the last stamp
    /// where the clock is not ahead of it.
    pub fn next_stamp(&mut self, wall_ms: u64) -> u64 {
        self.own_stamp = wall_ms.max(self.own_stamp.saturating_add(1));
        self.own_stamp
    }

    /// Adds a balancer of which no state is known yet.
    pub fn add_balancer(
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
            in_force: InForce::default(),
            fetched: None,
            stamp: 0,
            is_down: false,
            known_since_ms: now_ms,
            last_seen_ms: None,
            last_direct_ms: None,
            next_state_announced_ms: None,
            is_contested: false,
        };
        self.peers.insert(control, peer);
    }

    /// Applies the state that a balancer sent about itself, and what is in force there. Returns whether
    /// neighbours have to be notified.
    pub fn apply_direct_update(
        &mut self,
        update: &BalancerUpdate,
        in_force: InForce,
        now_ms: u64,
    ) -> bool {
        self.add_balancer(update.control, update.exchange, &update.zone, now_ms);
        let Some(peer) = self.peers.get_mut(&update.control) else {
            return false;
        };
        let is_contested = std::mem::take(&mut peer.is_contested);
        let is_changed =
            is_contested || peer.last_seen_ms.is_none() || peer.is_down != update.is_down;
        peer.in_force = in_force;
        peer.stamp = peer.stamp.max(update.stamp);
        peer.is_down = update.is_down;
        peer.last_seen_ms = Some(now_ms);
        peer.last_direct_ms = (!update.is_down).then_some(now_ms);
        if !update.is_down {
            self.zones_last_seen_ms.insert(update.zone.clone(), now_ms);
        }
        is_changed
    }

    /// Whether a later stamp is known than the one in the balancer's own state. Its clock has gone back
    /// then, and it has to receive the later stamp to continue above it.
    pub fn has_newer_stamp(&self, update: &BalancerUpdate) -> bool {
        self.peers.get(&update.control).is_some_and(|peer| peer.stamp > update.stamp)
    }

    /// Applies an update that another balancer sent about a third one. An update about this balancer only
    /// raises its own stamp, so that its next state is later.
    pub fn apply_relayed_update(&mut self, update: &BalancerUpdate, now_ms: u64) -> UpdateOutcome {
        if update.control == self.own_control {
            self.own_stamp = self.own_stamp.max(update.stamp);
            return UpdateOutcome::Unchanged;
        }
        self.add_balancer(update.control, update.exchange, &update.zone, now_ms);
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
            peer.next_state_announced_ms = None;
        }
        peer.stamp = update.stamp;
        peer.is_down = update.is_down;
        peer.last_seen_ms = Some(now_ms);
        if is_changed { UpdateOutcome::Changed } else { UpdateOutcome::Unchanged }
    }

    /// Applies an update of when a zone was last seen. For its own zone a balancer uses only the states
    /// that it receives itself.
    pub fn apply_zone_update(&mut self, update: &ZoneUpdate, now_ms: u64) {
        if update.zone != self.zone {
            let last_seen_ms = now_ms.saturating_sub(update.age_ms);
            let known_ms =
                self.zones_last_seen_ms.entry(update.zone.clone()).or_insert(last_seen_ms);
            *known_ms = last_seen_ms.max(*known_ms);
        }
    }

    /// Times at which a balancer of each zone was last seen.
    pub fn zones_last_seen_ms(&self) -> impl Iterator<Item = (&str, u64)> {
        self.zones_last_seen_ms.iter().map(|(zone, last_seen_ms)| (zone.as_str(), *last_seen_ms))
    }

    /// Updates of when the remote zones were last seen.
    pub fn zone_updates(&self, now_ms: u64) -> Vec<ZoneUpdate> {
        let update = |(zone, last_seen_ms): (&str, u64)| ZoneUpdate {
            zone: zone.to_owned(),
            age_ms: now_ms.saturating_sub(last_seen_ms),
        };
        self.zones_last_seen_ms().filter(|(zone, _)| *zone != self.zone).map(update).collect()
    }

    /// Updates of all live balancers.
    pub fn updates(&self, now_ms: u64) -> impl Iterator<Item = BalancerUpdate> {
        self.live_peers(now_ms).map(|(control, peer)| update_of(*control, peer))
    }

    /// Updates of at most `limit` live balancers; successive calls go through all of them in turn.
    pub fn next_updates(&mut self, limit: usize, now_ms: u64) -> Vec<BalancerUpdate> {
        let all: Vec<BalancerUpdate> = self.updates(now_ms).collect();
        self.update_rotation.next_batch(&all, limit)
    }

    /// Update of one balancer, live or not; `None` where it is unknown.
    pub fn update_of(&self, control: SocketAddrV4) -> Option<BalancerUpdate> {
        self.peers.get(&control).map(|peer| update_of(control, peer))
    }

    /// Whether this balancer has one of the highest scores in its zone for an agent. It is one of the
    /// agent's monitors if the agent is of the same zone.
    pub fn ranks_as_monitor_of(&self, agent: SocketAddrV4, now_ms: u64) -> bool {
        let score = monitor_score(agent);
        let own_score = score(&self.own_control);
        let in_zone = self.live_peers(now_ms).filter(|(_, peer)| peer.zone == self.zone);
        in_zone.filter(|(control, _)| score(control) > own_score).count() < MONITORS_PER_AGENT
    }

    /// Up to `MAX_FULL_STATE_SOURCES` balancers without a known state, to be asked for all that they
    /// know. Each round picks others, those of the local zone first.
    ///
    /// A balancer that has just started resets no flow before it knows the agents that the others know, so
    /// it asks for them. A few answers name all balancers and agents; the limit keeps the load low when all
    /// balancers start at once.
    pub fn full_state_sources(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let unseen = self.peers.iter().filter(|(_, peer)| peer.last_seen_ms.is_none());
        let mut unseen: Vec<(bool, SocketAddrV4)> =
            unseen.map(|(control, peer)| (peer.zone != self.zone, *control)).collect();
        unseen.sort_unstable();
        let round = usize::try_from(now_ms / FULL_STATE_REQUEST_INTERVAL_MS).unwrap_or(0);
        let first = round * MAX_FULL_STATE_SOURCES % unseen.len().max(1);
        unseen.rotate_left(first);
        unseen.into_iter().take(MAX_FULL_STATE_SOURCES).map(|(_, control)| control).collect()
    }

    /// Whether no other balancer is live.
    pub fn has_no_live_peer(&self, now_ms: u64) -> bool {
        self.live_peers(now_ms).next().is_none()
    }

    /// Balancers to which this one sends its state and changes.
    ///
    /// The live balancers of the local zone form a ring in the order of their addresses. With neighbours at
    /// growing distances on it, the number of steps in which a change reaches all members grows only with
    /// the cube root of their number. Remote zones are divided among the members by rank.
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

    /// Whether this balancer's next state goes to `control` as well.
    pub fn is_neighbour(&self, control: SocketAddrV4) -> bool {
        self.last_neighbours.contains(&control)
    }

    /// Returns the current neighbours, and the former ones: neighbours at the last call that are none now
    /// and have to be notified that no further state follows.
    pub fn take_neighbours(&mut self, now_ms: u64) -> (Vec<SocketAddrV4>, Vec<SocketAddrV4>) {
        let neighbours = self.neighbours(now_ms);
        let previous = std::mem::replace(&mut self.last_neighbours, neighbours.clone());
        let former = previous.into_iter().filter(|peer| !neighbours.contains(peer)).collect();
        (neighbours, former)
    }

    /// Whether a known balancer is in this balancer's zone.
    pub fn is_in_zone(&self, control: SocketAddrV4) -> bool {
        self.peers.get(&control).is_some_and(|peer| peer.zone == self.zone)
    }

    /// Records whether a balancer announced that its next state will follow.
    pub fn note_will_send_next(
        &mut self,
        control: SocketAddrV4,
        will_send_next: bool,
        now_ms: u64,
    ) {
        if let Some(peer) = self.peers.get_mut(&control) {
            peer.next_state_announced_ms = will_send_next.then_some(now_ms);
        }
    }

    /// Returns the balancers whose announced state is overdue, and marks those that timed out as down.
    pub fn take_overdue(&mut self, now_ms: u64) -> OverdueBalancers {
        let mut overdue = OverdueBalancers::default();
        for (control, peer) in &mut self.peers {
            let waited_ms =
                peer.next_state_announced_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
            if waited_ms >= QUERY_GIVE_UP_MS {
                peer.next_state_announced_ms = None;
                continue;
            }
            if waited_ms >= PEER_TIMEOUT_MS && !peer.is_down {
                peer.is_down = true;
                overdue.timed_out.push(*control);
            }
            if waited_ms >= STATE_OVERDUE_MS {
                overdue.queries.push(BalancerUpdate { is_down: true, ..update_of(*control, peer) });
            }
        }
        overdue
    }

    /// Exchange addresses of the balancers at which a later change or a newer version of the configuration
    /// is in force than here, with what is in force there, except those whose configuration has been fetched since that change. Balancers
    /// that are down come last, as a call to them may wait for its time-out.
    pub fn peers_ahead_of(&self, own: InForce) -> Vec<(SocketAddrV4, InForce)> {
        let is_ahead = |peer: &&Peer| {
            let is_later = peer.in_force.change > own.change
                || peer.in_force.configuration_version > own.configuration_version;
            is_later && peer.fetched != Some(peer.in_force)
        };
        let mut ahead: Vec<&Peer> = self.peers.values().filter(is_ahead).collect();
        ahead.sort_by_key(|peer| peer.is_down);
        ahead.into_iter().map(|peer| (peer.exchange, peer.in_force)).collect()
    }

    /// Records that the configuration of the balancer with this exchange address has been fetched. `in_force`
    /// is what was known to be in force there when the call began: the answer may lack later changes.
    pub fn note_fetched(&mut self, exchange: SocketAddrV4, in_force: InForce) {
        for peer in self.peers.values_mut().filter(|peer| peer.exchange == exchange) {
            peer.fetched = Some(in_force);
        }
    }

    /// Exchange addresses of all known balancers, the live ones first, otherwise in an order that differs between
    /// balancers, so that the questions of several that start at once are spread.
    pub fn exchange_addresses(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let score = monitor_score(self.own_control);
        let mut known: Vec<(&SocketAddrV4, &Peer)> = self.peers.iter().collect();
        known.sort_by_key(|(control, peer)| (!self.is_live(peer, now_ms), score(control)));
        known.into_iter().map(|(_, peer)| peer.exchange).collect()
    }

    /// Whether the balancer with this exchange address is live.
    pub fn is_exchange_live(&self, exchange: SocketAddrV4, now_ms: u64) -> bool {
        self.live_peers(now_ms).any(|(_, peer)| peer.exchange == exchange)
    }

    /// Whether this balancer has the lowest address of all live ones. That balancer does the tasks of which
    /// a deployment needs only one performer.
    pub fn is_own_address_lowest(&self, now_ms: u64) -> bool {
        self.live_peers(now_ms).all(|(control, _)| *control > self.own_control)
    }

    /// Whether a balancer is unknown, or has not been seen for so long that its store entry can be deleted.
    pub fn is_expired(&self, control: SocketAddrV4, now_ms: u64) -> bool {
        control != self.own_control
            && self.peers.get(&control).is_none_or(|peer| self.is_peer_expired(peer, now_ms))
    }

    /// Discards what is known of the liveness of others after this process was suspended: their states have
    /// to be received again.
    pub fn note_stall(&mut self, now_ms: u64) {
        for peer in self.peers.values_mut() {
            peer.last_seen_ms = None;
            peer.next_state_announced_ms = None;
            peer.known_since_ms = now_ms;
        }
    }

    /// Live balancers of the local zone with a lower address.
    pub fn rank_in_zone(&self, now_ms: u64) -> usize {
        let in_zone = self.live_peers(now_ms).filter(|(_, peer)| peer.zone == self.zone);
        in_zone.filter(|(control, _)| **control < self.own_control).count()
    }

    /// Whether each known balancer has been seen, or has not been within `FIRST_CONTACT_TIMEOUT_MS`.
    pub fn is_discovery_complete(&self, now_ms: u64) -> bool {
        let is_discovered = |peer: &Peer| {
            peer.last_seen_ms.is_some()
                || now_ms.saturating_sub(peer.known_since_ms) >= FIRST_CONTACT_TIMEOUT_MS
        };
        self.peers.values().all(is_discovered)
    }

    /// Removes balancers that have not been seen for `EXPIRE_AFTER_MS`.
    pub fn expire(&mut self, now_ms: u64) {
        let expired = self.peers.iter().filter(|(_, peer)| self.is_peer_expired(peer, now_ms));
        let expired: Vec<SocketAddrV4> = expired.map(|(control, _)| *control).collect();
        for control in expired {
            self.peers.swap_remove(&control);
        }
    }

    fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = (&SocketAddrV4, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| self.is_live(peer, now_ms))
    }

    fn is_live(&self, peer: &Peer, now_ms: u64) -> bool {
        let was_seen_within = |last_seen_ms: Option<u64>, timeout_ms| {
            last_seen_ms.is_some_and(|seen_ms| now_ms.saturating_sub(seen_ms) < timeout_ms)
        };
        let zone_last_seen_ms = self.zones_last_seen_ms.get(&peer.zone).copied();
        !peer.is_down
            && was_seen_within(peer.last_seen_ms, EXPIRE_AFTER_MS)
            && was_seen_within(zone_last_seen_ms, ZONE_TIMEOUT_MS)
    }

    fn is_peer_expired(&self, peer: &Peer, now_ms: u64) -> bool {
        let since_ms = peer.last_seen_ms.unwrap_or(peer.known_since_ms);
        !self.is_live(peer, now_ms) && now_ms.saturating_sub(since_ms) > EXPIRE_AFTER_MS
    }

    /// Live balancers including this one, by zone and in the order of their addresses.
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

/// Scores of balancers for an agent; those with the highest scores in its zone monitor it.
fn monitor_score(agent: SocketAddrV4) -> impl Fn(&SocketAddrV4) -> u64 {
    let id = hash64(agent.to_string().as_bytes());
    move |balancer| hash64_with_seed(balancer.to_string().as_bytes(), id)
}
