//! One balancer's part in spreading records: rumors, digest exchange, keeping targets.
//!
//! New records go at once to a few neighbours, chosen by rendezvous hashing and so the same from
//! round to round, which keeps connections few and open. A digest exchange with one peer every few
//! seconds mends what was lost; now and then it goes to a peer believed lost, so that parts which
//! were separated find each other again.
//!
//! Bounds: pending rumors and observations are bounded by the number of records.

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::connection::envelope::from_hop;
use crate::connection::envelope::to_hop;
use crate::version::digest::Digest;
use crate::version::digest::Summary;
use crate::version::hash::hash64;
use crate::version::keeper::Heartbeat;
use crate::version::keeper::Keeper;
use crate::version::keeper::KeeperSets;
use crate::version::keeper::SILENCE_MS;
use crate::version::message;
use crate::version::record::BalancerRecord;
use crate::version::record::Phase;
use crate::version::record::Record;
use crate::version::record::RecordKey;
use crate::version::records::Merge;
use crate::version::records::Records;
use crate::version::records::configuration_digest;
use crate::version::rendezvous;
use crate::version::rendezvous::Candidate;
use crate::wire;
use crate::wire::control_request::Kind as RequestKind;
use crate::wire::control_response::Kind as ResponseKind;

/// Peers that new records are pushed to.
pub const NEIGHBOURS: usize = 6;

/// Time between two digest exchanges, in milliseconds.
pub const EXCHANGE_MS: u64 = 3_000;

/// One exchange in so many goes to a peer outside the neighbours, lost ones and seeds included.
const FAR_EXCHANGE_ONE_IN: u64 = 4;

/// Failed calls in a row after which a peer is declared lost.
const FAILURES_TO_LOST: u32 = 3;

/// Silence of all other balancers after which one that believes most of them lost judges targets
/// alone, in milliseconds.
const MINORITY_SILENCE_MS: u64 = 30_000;

/// Time between two looks at which targets to keep, in milliseconds.
const KEEP_REVIEW_MS: u64 = 5_000;

/// Time after which an ended target or balancer is forgotten, in milliseconds (one hour).
pub const ENDED_MEMORY_MS: u64 = 3_600_000;

/// Time that established flows keep after their zone was taken out, in milliseconds. It covers the
/// time until the agents hear of it and the end of their running requests.
pub const ZONE_DRAIN_MS: u64 = 2_200;

/// Records in one message at most.
const MAX_MESSAGE_RECORDS: usize = 4_096;

/// One call to another balancer.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Control address of the peer.
    pub to: SocketAddrV4,
    /// What to ask.
    pub request: wire::ControlRequest,
}

/// Counts of what a peer did with records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerCounts {
    /// Records taken as newer.
    pub taken: u64,
    /// Records that were not newer.
    pub stale: u64,
    /// Records refused for want of room.
    pub full: u64,
    /// Records and messages that did not parse.
    pub malformed: u64,
    /// Targets declared lost.
    pub targets_lost: u64,
    /// Balancers declared lost.
    pub balancers_lost: u64,
}

/// Failed calls in a row to one peer.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    since_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Confirmation {
    incarnation: u64,
    asked: usize,
    answered: usize,
    silent: usize,
}

/// State of one balancer in the spreading of records.
#[derive(Clone, Debug)]
pub struct Peer {
    own: BalancerRecord,
    seeds: Vec<SocketAddrV4>,
    records: Records,
    keeper: Keeper,
    configured: bool,
    rumors: IndexSet<RecordKey>,
    failures: IndexMap<SocketAddrV4, Failures>,
    confirmations: IndexMap<SocketAddrV4, Confirmation>,
    ended_at_ms: IndexMap<RecordKey, u64>,
    draining_until_ms: IndexMap<String, Option<u64>>,
    zones_in_use: IndexSet<String>,
    next_exchange_ms: u64,
    next_review_ms: u64,
    last_contact_ms: Option<u64>,
    last_heard_ms: Option<u64>,
    counts: PeerCounts,
    keepers: KeeperCache,
}

/// Keepers by service and set, of one version of the records.
#[derive(Clone, Debug, Default)]
struct KeeperCache {
    version: u64,
    keepers: IndexMap<(String, u64), Vec<SocketAddrV4>>,
    sets: IndexMap<String, u64>,
}

impl Peer {
    /// Creates a balancer that knows itself and its seeds.
    pub fn new(own: BalancerRecord, seeds: &[SocketAddrV4]) -> Peer {
        let mut peer = Peer {
            seeds: seeds.to_vec(),
            records: Records::new(),
            keeper: Keeper::new(),
            configured: false,
            rumors: IndexSet::new(),
            failures: IndexMap::new(),
            confirmations: IndexMap::new(),
            ended_at_ms: IndexMap::new(),
            draining_until_ms: IndexMap::new(),
            zones_in_use: IndexSet::new(),
            next_exchange_ms: 0,
            next_review_ms: 0,
            last_contact_ms: None,
            last_heard_ms: None,
            counts: PeerCounts::default(),
            keepers: KeeperCache::default(),
            own,
        };
        peer.take(&Record::Balancer(peer.own.clone()));
        peer
    }

    /// Records held.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Targets kept.
    pub fn keeper(&self) -> &Keeper {
        &self.keeper
    }

    /// Own record.
    pub fn own(&self) -> &BalancerRecord {
        &self.own
    }

    /// Counts so far.
    pub fn counts(&self) -> PeerCounts {
        self.counts
    }

    /// Whether the whole configuration has been seen once.
    pub fn is_configured(&self) -> bool {
        self.configured
    }

    /// Time at which another balancer was last heard, in milliseconds.
    pub fn last_contact_ms(&self) -> Option<u64> {
        self.last_contact_ms
    }

    /// Adds an address to ask for records.
    pub fn add_seed(&mut self, seed: SocketAddrV4) {
        if seed != self.own.control && !self.seeds.contains(&seed) {
            self.seeds.push(seed);
        }
    }

    /// Takes in records without spreading them, to start from a known state.
    pub fn preload(&mut self, records: &[Record]) {
        self.read_from_store(records, true);
        self.rumors.clear();
    }

    /// Takes in configuration read from the store. `whole` tells that nothing is missing.
    pub fn read_from_store(&mut self, records: &[Record], whole: bool) {
        for record in records {
            self.take(record);
        }
        self.configured |= whole;
    }

    /// Announces the planned end of this balancer.
    pub fn stop(&mut self) {
        self.own.gone = true;
        self.announce_own(self.own.sequence + 1);
    }

    /// Zones that were taken out a moment ago: their running requests may still end.
    pub fn draining_zones(&self) -> Vec<String> {
        self.draining_until_ms.keys().cloned().collect()
    }

    /// Does what is due and returns the calls to make. `random` is a fresh random number.
    pub fn tick(&mut self, now_ms: u64, random: u64) -> Vec<Outgoing> {
        self.drain_zones(now_ms);
        let mut out = self.push_rumors();
        if now_ms >= self.next_exchange_ms {
            self.next_exchange_ms = now_ms + EXCHANGE_MS;
            out.extend(self.start_exchange(random));
        }
        if now_ms >= self.next_review_ms {
            self.next_review_ms = now_ms + KEEP_REVIEW_MS;
            self.review_kept(now_ms);
            self.forget_ended(now_ms);
        }
        out.extend(self.doubt_silent(now_ms));
        out
    }

    /// Answers a call.
    pub fn answer(&mut self, now_ms: u64, request: &wire::ControlRequest) -> wire::ControlResponse {
        self.last_heard_ms = Some(now_ms);
        if !matches!(request.kind, Some(RequestKind::Report(_)) | None) {
            self.last_contact_ms = Some(now_ms);
        }
        let kind = match &request.kind {
            Some(RequestKind::Report(report)) => {
                self.answer_report(now_ms, report).map(ResponseKind::Report)
            }
            Some(RequestKind::Rumors(rumors)) => {
                self.take_messages(&rumors.records);
                Some(ResponseKind::Rumors(wire::Empty {}))
            }
            Some(RequestKind::Digest(digest)) => {
                self.answer_digest(digest).map(ResponseKind::Digest)
            }
            Some(RequestKind::Pull(pull)) => Some(ResponseKind::Pull(self.answer_pull(pull))),
            Some(RequestKind::Confirm(confirm)) => {
                self.answer_confirm(now_ms, confirm).map(ResponseKind::Confirm)
            }
            None => None,
        };
        if kind.is_none() {
            self.counts.malformed += 1;
        }
        wire::ControlResponse { kind }
    }

    /// Takes in the answer to a call and returns the calls that follow from it.
    pub fn answered(
        &mut self,
        now_ms: u64,
        call: &Outgoing,
        response: &wire::ControlResponse,
    ) -> Vec<Outgoing> {
        self.last_heard_ms = Some(now_ms);
        self.last_contact_ms = Some(now_ms);
        self.failures.swap_remove(&call.to);
        match (&call.request.kind, &response.kind) {
            (_, Some(ResponseKind::Digest(answer))) => self.after_digest(call.to, answer),
            (_, Some(ResponseKind::Pull(rumors))) => {
                self.take_messages(&rumors.records);
                Vec::new()
            }
            (Some(RequestKind::Confirm(confirm)), Some(ResponseKind::Confirm(answer))) => {
                self.confirmed(now_ms, confirm, Some(answer));
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Notes that a call failed, and returns the call by which the peer is tried again.
    ///
    /// A peer is lost after some failures in a row, unless nobody else was heard meanwhile: then
    /// this balancer may itself be the one that is cut off.
    pub fn failed(&mut self, now_ms: u64, call: &Outgoing) -> Vec<Outgoing> {
        if let Some(RequestKind::Confirm(confirm)) = &call.request.kind {
            self.confirmed(now_ms, confirm, None);
        }
        let fresh = Failures { count: 0, since_ms: now_ms };
        let failures = self.failures.entry(call.to).or_insert(fresh);
        failures.count += 1;
        let Failures { count, since_ms } = *failures;
        if count < FAILURES_TO_LOST {
            let is_new = count == 1 && self.is_live(call.to);
            return if is_new || self.is_digest(call) {
                self.try_again(call.to)
            } else {
                Vec::new()
            };
        }
        self.failures.swap_remove(&call.to);
        if self.last_heard_ms.is_some_and(|heard_ms| heard_ms >= since_ms) {
            self.declare_balancer_lost(call.to);
        }
        Vec::new()
    }

    /// Whether this balancer should watch the store: it is among the first `count` of its zone.
    pub fn is_store_reader(&self, count: usize) -> bool {
        self.zone_rank() < count
    }

    /// Place of this balancer among the live ones of its zone, from 0.
    pub fn zone_rank(&self) -> usize {
        let rank_of = |control: SocketAddrV4| hash64(control.to_string().as_bytes());
        let own_rank = rank_of(self.own.control);
        self.records
            .live_balancers()
            .filter(|other| other.zone == self.own.zone && rank_of(other.control) < own_rank)
            .count()
    }

    /// Peers that new records are pushed to.
    pub fn neighbours(&self) -> Vec<SocketAddrV4> {
        let others: Vec<&BalancerRecord> = self.others().collect();
        let candidates: Vec<Candidate<'_>> = others
            .iter()
            .map(|other| Candidate {
                id: hash64(other.control.to_string().as_bytes()),
                weight: 1,
                zone: &other.zone,
            })
            .collect();
        let key = hash64(self.own.control.to_string().as_bytes());
        let chosen = rendezvous::choose(key, &candidates, NEIGHBOURS);
        chosen.into_iter().map(|index| others[index].control).collect()
    }

    /// Starts the time to drain of zones that went out, and ends it where it is over.
    fn drain_zones(&mut self, now_ms: u64) {
        for until_ms in self.draining_until_ms.values_mut() {
            until_ms.get_or_insert(now_ms + ZONE_DRAIN_MS);
        }
        self.draining_until_ms.retain(|zone, until_ms| {
            until_ms.is_some_and(|until_ms| now_ms < until_ms) && self.records.is_zone_out(zone)
        });
    }

    /// Notes which zones are in use. A zone that was in use and goes out gets time to drain; a
    /// balancer that knows a zone only as out gives it none.
    fn note_zone(&mut self, record: &Record) {
        match record {
            Record::Zone(zone) if zone.out => {
                let was_in_use = self.zones_in_use.swap_remove(&zone.name);
                self.draining_until_ms.extend(was_in_use.then(|| (zone.name.clone(), None)));
            }
            Record::Zone(zone) => {
                self.zones_in_use.insert(zone.name.clone());
            }
            Record::Target(target) if !self.records.is_zone_out(&target.zone) => {
                self.zones_in_use.insert(target.zone.clone());
            }
            _ => {}
        }
    }

    fn others(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.records.live_balancers().filter(|other| other.control != self.own.control)
    }

    fn take(&mut self, record: &Record) -> bool {
        match self.records.merge(record) {
            Merge::Taken => {
                self.counts.taken += 1;
                self.rumors.insert(record.key());
                self.note_zone(record);
                self.refute(record);
                true
            }
            Merge::Stale => {
                self.counts.stale += 1;
                false
            }
            Merge::Full => {
                self.counts.full += 1;
                false
            }
        }
    }

    fn take_messages(&mut self, messages: &[wire::Record]) {
        for message in messages {
            match message::from_message(message) {
                Some(record) => {
                    self.take(&record);
                }
                None => self.counts.malformed += 1,
            }
        }
    }

    /// Answers a record about this balancer itself that it did not write.
    fn refute(&mut self, record: &Record) {
        let Record::Balancer(other) = record else {
            return;
        };
        let is_own = other.control == self.own.control;
        if !is_own || *other == self.own {
            return;
        }
        self.own.incarnation = self.own.incarnation.max(other.incarnation);
        self.announce_own(other.sequence + 1);
    }

    fn announce_own(&mut self, sequence: u64) {
        self.own.sequence = sequence;
        self.own.lost = false;
        let record = Record::Balancer(self.own.clone());
        self.records.merge(&record);
        self.rumors.insert(record.key());
    }

    fn push_rumors(&mut self) -> Vec<Outgoing> {
        if self.rumors.is_empty() {
            return Vec::new();
        }
        let neighbours = self.neighbours();
        if neighbours.is_empty() {
            return Vec::new();
        }
        let due: Vec<RecordKey> =
            self.rumors.drain(..self.rumors.len().min(MAX_MESSAGE_RECORDS)).collect();
        let records: Vec<wire::Record> =
            due.iter().filter_map(|key| self.records.get(key)).map(message::to_message).collect();
        let request = |records| wire::ControlRequest {
            kind: Some(RequestKind::Rumors(wire::Rumors { records })),
        };
        neighbours
            .into_iter()
            .map(|to| Outgoing { to, request: request(records.clone()) })
            .collect()
    }

    fn is_live(&self, control: SocketAddrV4) -> bool {
        self.records.live_balancers().any(|balancer| balancer.control == control)
    }

    fn is_digest(&self, call: &Outgoing) -> bool {
        matches!(call.request.kind, Some(RequestKind::Digest(_))) && self.is_live(call.to)
    }

    fn try_again(&self, to: SocketAddrV4) -> Vec<Outgoing> {
        vec![self.exchange_with(to)]
    }

    fn start_exchange(&mut self, random: u64) -> Option<Outgoing> {
        let to = self.exchange_peer(random)?;
        Some(self.exchange_with(to))
    }

    fn exchange_with(&self, to: SocketAddrV4) -> Outgoing {
        let request = wire::ControlRequest {
            kind: Some(RequestKind::Digest(wire::Digest {
                root: self.records.digest().root(),
                buckets: self.records.digest().buckets().to_vec(),
                configured: self.configured,
                sender: Some(to_hop(self.own.control)),
            })),
        };
        Outgoing { to, request }
    }

    fn exchange_peer(&self, random: u64) -> Option<SocketAddrV4> {
        let neighbours = self.neighbours();
        let pick = |addresses: &[SocketAddrV4]| {
            let index = (random >> 8) as usize % addresses.len().max(1);
            addresses.get(index).copied()
        };
        let go_far = random.is_multiple_of(FAR_EXCHANGE_ONE_IN);
        if !go_far && !neighbours.is_empty() {
            return pick(&neighbours);
        }
        let known = self.records.iter().filter_map(|record| match record {
            Record::Balancer(other) if !other.gone => Some(other.control),
            _ => None,
        });
        let far: IndexSet<SocketAddrV4> = known
            .chain(self.seeds.iter().copied())
            .filter(|control| *control != self.own.control)
            .collect();
        pick(&far.into_iter().collect::<Vec<_>>())
    }

    fn answer_digest(&mut self, digest: &wire::Digest) -> Option<wire::DigestAnswer> {
        if let Some(sender) = digest.sender.as_ref().and_then(from_hop) {
            self.failures.swap_remove(&sender);
        }
        let mut answer = wire::DigestAnswer { configured: self.configured, ..Default::default() };
        if digest.root == self.records.digest().root() {
            self.configured |= digest.configured;
            answer.same = true;
            return Some(answer);
        }
        let theirs = Digest::from_buckets(&digest.buckets)?;
        let differing = self.records.digest().differing(&theirs);
        answer.buckets = differing.iter().map(|bucket| *bucket as u32).collect();
        let summaries = self.records.summaries(&differing);
        answer.summaries = summaries.iter().map(message::summary_to_message).collect();
        Some(answer)
    }

    fn after_digest(&mut self, to: SocketAddrV4, answer: &wire::DigestAnswer) -> Vec<Outgoing> {
        if answer.same {
            self.configured |= answer.configured;
            return Vec::new();
        }
        let theirs: IndexMap<u64, Summary> = answer
            .summaries
            .iter()
            .map(message::summary_from_message)
            .map(|summary| (summary.key_hash, summary))
            .collect();
        let buckets: Vec<usize> = answer.buckets.iter().map(|bucket| *bucket as usize).collect();
        let pull = self.pull_for(&theirs, &buckets);
        if pull.records.is_empty() && pull.wanted.is_empty() {
            return Vec::new();
        }
        let request = wire::ControlRequest { kind: Some(RequestKind::Pull(pull)) };
        vec![Outgoing { to, request }]
    }

    fn pull_for(&self, theirs: &IndexMap<u64, Summary>, buckets: &[usize]) -> wire::Pull {
        let mut pull = wire::Pull::default();
        let mut ours: IndexMap<u64, ()> = IndexMap::new();
        for record in self.records.iter() {
            let key_hash = record.key().hash();
            if !buckets.contains(&Digest::bucket_of(key_hash)) {
                continue;
            }
            ours.insert(key_hash, ());
            let their_order = theirs.get(&key_hash).map(|summary| summary.order);
            if their_order.is_none_or(|order| order < record.order()) {
                pull.records.push(message::to_message(record));
            } else if their_order.is_some_and(|order| order > record.order()) {
                pull.wanted.push(key_hash);
            }
        }
        pull.wanted.extend(theirs.keys().filter(|key_hash| !ours.contains_key(*key_hash)));
        pull.records.truncate(MAX_MESSAGE_RECORDS);
        pull
    }

    fn answer_pull(&mut self, pull: &wire::Pull) -> wire::Rumors {
        self.take_messages(&pull.records);
        let wanted: IndexSet<u64> = pull.wanted.iter().copied().collect();
        let records = self
            .records
            .iter()
            .filter(|record| wanted.contains(&record.key().hash()))
            .take(MAX_MESSAGE_RECORDS)
            .map(message::to_message)
            .collect();
        wire::Rumors { records }
    }

    fn answer_report(&mut self, now_ms: u64, report: &wire::Report) -> Option<wire::ReportAnswer> {
        let target = message::target_from_message(report.target.as_ref()?)?;
        let heartbeat = Heartbeat {
            incarnation: target.incarnation,
            service: target.service.clone(),
            flows: report.flows,
            flow_capacity: target.connections,
            configuration_digest: report.configuration_digest,
        };
        if target.phase == Phase::Gone {
            self.keeper.release(target.data);
        } else {
            self.keeper.hear(target.data, heartbeat, now_ms);
        }
        self.take(&Record::Target(target.clone()));
        let mut answer = wire::ReportAnswer {
            configured: self.configured,
            service_load_permille: self.keeper.service_load_permille(&target.service, now_ms)
                as u32,
            ..Default::default()
        };
        if let Some(known) = self.records.target(target.data) {
            answer.known_incarnation = known.incarnation;
            answer.known_sequence = known.sequence;
            answer.known_lost = known.lost;
        }
        let keepers = self.keepers_of(&target.service, target.data);
        if addresses_digest(&keepers) != report.keepers_digest {
            answer.keepers = keepers.into_iter().map(to_hop).collect();
        }
        let needed = self.agent_configuration(&target.service);
        if configuration_digest(needed.iter().copied()) != report.configuration_digest {
            answer.configuration = needed.into_iter().map(message::to_message).collect();
        }
        Some(answer)
    }

    /// Fingerprint of the configuration that the agent of a known target needs.
    pub fn agent_configuration_digest(&self, target: SocketAddrV4) -> Option<u64> {
        let target = self.records.target(target)?;
        Some(configuration_digest(self.agent_configuration(&target.service).into_iter()))
    }

    /// Keepers of a target, worked out once for each set and version of the records.
    fn keepers_of(&mut self, service: &str, target: SocketAddrV4) -> Vec<SocketAddrV4> {
        let version = self.records.version();
        if self.keepers.version != version || self.keepers.sets.is_empty() {
            self.keepers = KeeperCache {
                version,
                keepers: IndexMap::new(),
                sets: KeeperSets::new(&self.records).set_counts(),
            };
        }
        let set = KeeperSets::set_among(self.keepers.sets.get(service).copied(), target);
        let key = (service.to_owned(), set);
        if let Some(keepers) = self.keepers.keepers.get(&key) {
            return keepers.clone();
        }
        let keepers = KeeperSets::new(&self.records).keepers(service, set);
        self.keepers.keepers.insert(key, keepers.clone());
        keepers
    }

    /// Configuration that an agent of a service needs: the service and all zones.
    fn agent_configuration(&self, service: &str) -> Vec<&Record> {
        let needed = |record: &&Record| match record {
            Record::Service(record) => record.name == service,
            Record::Zone(_) => true,
            _ => false,
        };
        self.records.iter().filter(needed).collect()
    }

    fn answer_confirm(&self, now_ms: u64, confirm: &wire::Confirm) -> Option<wire::ConfirmAnswer> {
        let target = from_hop(confirm.data.as_ref()?)?;
        let silent_ms = self.keeper.silence_ms(target, confirm.incarnation, now_ms);
        let heard = silent_ms.is_some_and(|silent_ms| silent_ms < SILENCE_MS);
        Some(wire::ConfirmAnswer { heard, silent_ms: silent_ms.unwrap_or(u64::MAX) })
    }

    /// Starts to keep the targets that this balancer should keep and has not heard.
    fn review_kept(&mut self, now_ms: u64) {
        let mut expected = Vec::new();
        let sets = KeeperSets::new(&self.records);
        let mut kept_sets: IndexMap<(&str, u64), bool> = IndexMap::new();
        let targets = self.records.targets().filter(|target| !target.lost);
        for target in targets.filter(|target| target.phase != Phase::Gone) {
            if self.keeper.silence_ms(target.data, target.incarnation, now_ms).is_some() {
                continue;
            }
            let set = sets.set_of(&target.service, target.data);
            let is_keeper = *kept_sets
                .entry((target.service.as_str(), set))
                .or_insert_with(|| sets.keepers(&target.service, set).contains(&self.own.control));
            if is_keeper {
                expected.push(target.clone());
            }
        }
        for target in expected {
            let heartbeat = Heartbeat {
                incarnation: target.incarnation,
                service: target.service.clone(),
                flows: 0,
                flow_capacity: 0,
                configuration_digest: 0,
            };
            self.keeper.hear(target.data, heartbeat, now_ms);
        }
        self.keeper.expire(now_ms);
    }

    /// Asks the other keepers about targets that have fallen silent.
    fn doubt_silent(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for (target, incarnation) in self.keeper.silent(now_ms) {
            let is_live = self.records.target(target).is_some_and(|record| {
                record.incarnation == incarnation && !record.lost && record.phase != Phase::Gone
            });
            if !is_live {
                self.keeper.release(target);
                continue;
            }
            if !self.confirmations.contains_key(&target) {
                out.extend(self.ask_other_keepers(now_ms, target, incarnation));
            }
        }
        out
    }

    /// Whether this balancer may judge without another keeper's word. One that hears nobody is cut
    /// off itself; one that believes most others lost probably is, and waits longer.
    fn is_well_connected(&self, now_ms: u64) -> bool {
        let heard_ms = self.last_heard_ms.unwrap_or(0);
        if now_ms.saturating_sub(heard_ms) >= SILENCE_MS {
            return false;
        }
        let known = self.records.iter().filter(|record| match record {
            Record::Balancer(balancer) => !balancer.gone,
            _ => false,
        });
        let is_majority = self.records.live_balancers().count() * 2 > known.count();
        let contact_ms = self.last_contact_ms.unwrap_or(0);
        is_majority || now_ms.saturating_sub(contact_ms) >= MINORITY_SILENCE_MS
    }

    fn ask_other_keepers(
        &mut self,
        now_ms: u64,
        target: SocketAddrV4,
        incarnation: u64,
    ) -> Vec<Outgoing> {
        let service = self.records.target(target).map(|record| record.service.clone());
        let keepers = self.keepers_of(&service.unwrap_or_default(), target);
        let others: Vec<SocketAddrV4> =
            keepers.into_iter().filter(|keeper| *keeper != self.own.control).collect();
        if others.is_empty() {
            if self.is_well_connected(now_ms) {
                self.declare_target_lost(target, incarnation);
            }
            return Vec::new();
        }
        let confirmation =
            Confirmation { incarnation, asked: others.len(), answered: 0, silent: 0 };
        self.confirmations.insert(target, confirmation);
        let confirm = wire::Confirm { data: Some(to_hop(target)), incarnation };
        let request = wire::ControlRequest { kind: Some(RequestKind::Confirm(confirm)) };
        others.into_iter().map(|to| Outgoing { to, request: request.clone() }).collect()
    }

    fn confirmed(
        &mut self,
        now_ms: u64,
        confirm: &wire::Confirm,
        answer: Option<&wire::ConfirmAnswer>,
    ) {
        let Some(target) = confirm.data.as_ref().and_then(from_hop) else {
            return;
        };
        let Some(confirmation) = self.confirmations.get_mut(&target) else {
            return;
        };
        if answer.is_some_and(|answer| answer.heard) {
            self.confirmations.swap_remove(&target);
            self.keeper.release(target);
            return;
        }
        confirmation.answered += 1;
        confirmation.silent += usize::from(answer.is_some());
        if confirmation.answered < confirmation.asked {
            return;
        }
        let Confirmation { incarnation, silent, .. } = *confirmation;
        self.confirmations.swap_remove(&target);
        if silent > 0 || self.is_well_connected(now_ms) {
            self.declare_target_lost(target, incarnation);
        }
    }

    fn declare_target_lost(&mut self, target: SocketAddrV4, incarnation: u64) {
        let Some(held) = self.records.target(target) else {
            return;
        };
        if held.incarnation != incarnation {
            return;
        }
        let mut record = held.clone();
        record.lost = true;
        self.counts.targets_lost += u64::from(self.take(&Record::Target(record)));
        self.keeper.release(target);
    }

    fn declare_balancer_lost(&mut self, control: SocketAddrV4) {
        let held = self.records.get(&RecordKey::Balancer(control));
        let Some(Record::Balancer(held)) = held else {
            return;
        };
        let mut record = held.clone();
        record.lost = true;
        self.counts.balancers_lost += u64::from(self.take(&Record::Balancer(record)));
    }

    fn forget_ended(&mut self, now_ms: u64) {
        let ended = |record: &&Record| match record {
            Record::Target(target) => target.lost || target.phase == Phase::Gone,
            Record::Balancer(balancer) => balancer.gone || balancer.lost,
            _ => false,
        };
        let ended: IndexSet<RecordKey> =
            self.records.iter().filter(ended).map(Record::key).collect();
        self.ended_at_ms.retain(|key, _| ended.contains(key));
        for key in ended {
            let since_ms = *self.ended_at_ms.entry(key.clone()).or_insert(now_ms);
            if now_ms.saturating_sub(since_ms) >= ENDED_MEMORY_MS {
                self.records.forget(&key);
                self.ended_at_ms.swap_remove(&key);
            }
        }
    }
}

/// Fingerprint of a list of addresses.
pub fn addresses_digest(addresses: &[SocketAddrV4]) -> u64 {
    let text: Vec<String> = addresses.iter().map(SocketAddrV4::to_string).collect();
    hash64(text.join(" ").as_bytes())
}
