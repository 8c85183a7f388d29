//! Gossip state machine of one balancer: rumors, digest exchanges, failure detection of targets.
//!
//! New records are pushed at the next tick to a few neighbours. Rendezvous hashing chooses the same
//! neighbours in each round, so that few connections are needed and they stay open. Every few
//! seconds a digest exchange with one peer (anti-entropy) repairs what the pushes missed. Some of
//! the exchanges go to peers that are believed lost, so that the parts of a healed network
//! partition find each other again.
//!
//! Bounds: pending rumors, confirmations and times of ended records are bounded by the number of
//! records.

mod exchange;
mod expiry;
mod failure_detection;

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::version::hash::hash64;
use crate::version::message;
use crate::version::monitor::HeartbeatMonitor;
use crate::version::record::BalancerRecord;
use crate::version::record::Record;
use crate::version::record::RecordKey;
use crate::version::records::MergeOutcome;
use crate::version::records::Records;
use crate::wire;
use crate::wire::control_request::Kind as RequestKind;
use crate::wire::control_response::Kind as ResponseKind;

/// Time between two digest exchanges, in milliseconds.
pub const EXCHANGE_INTERVAL_MS: u64 = 3_000;

/// Failed calls in a row after which a peer is declared lost.
const LOST_AFTER_FAILURES: u32 = 3;

/// Time between two checks of which targets to monitor and what to remove, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 10_000;

/// One call to another balancer.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// Control address of the peer.
    pub to: SocketAddrV4,
    /// Request to send.
    pub request: wire::ControlRequest,
}

/// Counts of the records merged and the losses declared by this balancer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GossipCounts {
    /// Records merged because they were newer.
    pub applied: u64,
    /// Records that were not newer.
    pub stale: u64,
    /// Records refused because the table was full.
    pub full: u64,
    /// Records and requests that could not be decoded.
    pub malformed: u64,
    /// Targets declared lost.
    pub targets_lost: u64,
    /// Balancers declared lost.
    pub balancers_lost: u64,
}

/// Consecutive failed calls to one peer.
#[derive(Clone, Copy, Debug)]
struct CallFailures {
    count: u32,
    first_failure_ms: u64,
}

/// Answers of the other monitors of a suspected target to the question whether they have seen it.
#[derive(Clone, Debug, Default)]
struct Confirmation {
    incarnation: u64,
    /// Monitors that were asked.
    asked: usize,
    /// Calls that were answered or failed.
    completed: usize,
    /// Monitors that answered that they have not seen the target recently either.
    not_seen: usize,
}

/// Gossip state of one balancer.
#[derive(Clone, Debug)]
pub struct GossipState {
    own_record: BalancerRecord,
    /// Control addresses to exchange digests with, also if they are in no record.
    seeds: Vec<SocketAddrV4>,
    records: Records,
    heartbeat_monitor: HeartbeatMonitor,
    is_configured: bool,
    /// Keys of the changed records that are not yet pushed to the neighbours.
    rumors: IndexSet<RecordKey>,
    failures: IndexMap<SocketAddrV4, CallFailures>,
    confirmations: IndexMap<SocketAddrV4, Confirmation>,
    /// Times at which the records of lost or gone targets and balancers were first seen so.
    ended_at_ms: IndexMap<RecordKey, u64>,
    /// Ends of the drain time by zone; `None` until the next tick sets it.
    draining_until_ms: IndexMap<String, Option<u64>>,
    zones_in_use: IndexSet<String>,
    next_exchange_ms: u64,
    next_maintenance_ms: u64,
    /// Version of the records at the last check of which targets to monitor.
    monitored_version: u64,
    balancer_last_seen_ms: Option<u64>,
    /// Time of the last message from any other process, agents included.
    any_last_seen_ms: Option<u64>,
    counts: GossipCounts,
    monitor_cache: MonitorCache,
}

/// Monitors by service and set, computed for one version of the records.
#[derive(Clone, Debug, Default)]
struct MonitorCache {
    /// Version of the records that the cache was computed for.
    version: u64,
    monitors: IndexMap<(String, u64), Vec<SocketAddrV4>>,
    /// Number of sets of each service.
    set_counts: IndexMap<String, u64>,
}

impl GossipState {
    /// Creates the state of a balancer that knows only its own record and its seeds.
    pub fn new(own_record: BalancerRecord, seeds: &[SocketAddrV4]) -> GossipState {
        let mut state = GossipState {
            seeds: seeds.to_vec(),
            records: Records::new(),
            heartbeat_monitor: HeartbeatMonitor::new(),
            is_configured: false,
            rumors: IndexSet::new(),
            failures: IndexMap::new(),
            confirmations: IndexMap::new(),
            ended_at_ms: IndexMap::new(),
            draining_until_ms: IndexMap::new(),
            zones_in_use: IndexSet::new(),
            next_exchange_ms: 0,
            next_maintenance_ms: 0,
            monitored_version: 0,
            balancer_last_seen_ms: None,
            any_last_seen_ms: None,
            counts: GossipCounts::default(),
            monitor_cache: MonitorCache::default(),
            own_record,
        };
        state.merge_record(&Record::Balancer(state.own_record.clone()));
        state
    }

    /// All records that this balancer holds.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// The heartbeats of the targets that this balancer monitors.
    pub fn heartbeat_monitor(&self) -> &HeartbeatMonitor {
        &self.heartbeat_monitor
    }

    /// The record that describes this balancer.
    pub fn own_record(&self) -> &BalancerRecord {
        &self.own_record
    }

    /// Counts since the start of this balancer.
    pub fn counts(&self) -> GossipCounts {
        self.counts
    }

    /// Whether this balancer has had the complete configuration at least once.
    pub fn is_configured(&self) -> bool {
        self.is_configured
    }

    /// Time of the last message from another balancer, in milliseconds.
    pub fn balancer_last_seen_ms(&self) -> Option<u64> {
        self.balancer_last_seen_ms
    }

    /// Adds a control address to exchange digests with.
    pub fn add_seed(&mut self, seed: SocketAddrV4) {
        if seed != self.own_record.control && !self.seeds.contains(&seed) {
            self.seeds.push(seed);
        }
    }

    /// Merges records without pushing them to neighbours, to start from a known state.
    pub fn preload(&mut self, records: &[Record]) {
        self.merge_configuration(records, true);
        self.rumors.clear();
    }

    /// Merges configuration read from the store. `is_complete` says that `records` is all of it.
    pub fn merge_configuration(&mut self, records: &[Record], is_complete: bool) {
        for record in records {
            self.merge_record(record);
        }
        self.is_configured |= is_complete;
    }

    /// Marks this balancer as gone in its own record, before a graceful shutdown.
    pub fn announce_shutdown(&mut self) {
        self.own_record.gone = true;
        self.publish_own_record(self.own_record.sequence + 1);
    }

    /// Runs the periodic work that is due and returns the calls to make. `random` is a fresh random
    /// number.
    pub fn tick(&mut self, now_ms: u64, random: u64) -> Vec<OutgoingCall> {
        self.drain_zones(now_ms);
        let mut out = self.push_rumors();
        if now_ms >= self.next_exchange_ms {
            self.next_exchange_ms = now_ms + EXCHANGE_INTERVAL_MS;
            out.extend(self.start_digest_exchange(random));
        }
        if now_ms >= self.next_maintenance_ms {
            self.next_maintenance_ms = now_ms + MAINTENANCE_INTERVAL_MS;
            if self.monitored_version != self.records.version() {
                self.monitored_version = self.records.version();
                self.monitor_unreported_targets(now_ms);
            }
            self.heartbeat_monitor.expire(now_ms);
            self.remove_ended(now_ms);
        }
        out.extend(self.suspect_unresponsive_targets(now_ms));
        out
    }

    /// Handles a request of another balancer or of an agent and returns the response.
    pub fn handle_request(
        &mut self,
        now_ms: u64,
        request: &wire::ControlRequest,
    ) -> wire::ControlResponse {
        self.any_last_seen_ms = Some(now_ms);
        if !matches!(request.kind, Some(RequestKind::Report(_)) | None) {
            self.balancer_last_seen_ms = Some(now_ms);
        }
        let kind = match &request.kind {
            Some(RequestKind::Report(report)) => {
                self.answer_report(now_ms, report).map(ResponseKind::Report)
            }
            Some(RequestKind::Rumors(rumors)) => {
                self.merge_messages(&rumors.records);
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

    /// Handles the response to a call and returns the calls that follow from it.
    pub fn handle_response(
        &mut self,
        now_ms: u64,
        call: &OutgoingCall,
        response: &wire::ControlResponse,
    ) -> Vec<OutgoingCall> {
        self.any_last_seen_ms = Some(now_ms);
        self.balancer_last_seen_ms = Some(now_ms);
        self.failures.swap_remove(&call.to);
        match (&call.request.kind, &response.kind) {
            (_, Some(ResponseKind::Digest(answer))) => self.handle_digest_answer(call.to, answer),
            (_, Some(ResponseKind::Pull(rumors))) => {
                self.merge_messages(&rumors.records);
                Vec::new()
            }
            (Some(RequestKind::Confirm(confirm)), Some(ResponseKind::Confirm(answer))) => {
                self.handle_confirmation(now_ms, confirm, Some(answer));
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Handles the failure of a call and returns a call that retries the peer, if any.
    ///
    /// A peer is declared lost after several consecutive failures (`LOST_AFTER_FAILURES`), unless
    /// no message from any other process came since the first of them: then this balancer may
    /// itself be isolated.
    pub fn handle_failure(&mut self, now_ms: u64, call: &OutgoingCall) -> Vec<OutgoingCall> {
        if let Some(RequestKind::Confirm(confirm)) = &call.request.kind {
            self.handle_confirmation(now_ms, confirm, None);
        }
        let none = CallFailures { count: 0, first_failure_ms: now_ms };
        let failures = self.failures.entry(call.to).or_insert(none);
        failures.count += 1;
        let CallFailures { count, first_failure_ms } = *failures;
        if count < LOST_AFTER_FAILURES {
            let is_first = count == 1 && self.is_live_balancer(call.to);
            return if is_first || self.is_digest_to_live_peer(call) {
                self.retry_with_digest(call.to)
            } else {
                Vec::new()
            };
        }
        self.failures.swap_remove(&call.to);
        if self.any_last_seen_ms.is_some_and(|seen_ms| seen_ms >= first_failure_ms) {
            self.declare_balancer_lost(call.to);
        }
        Vec::new()
    }

    /// Whether this balancer should read the store: it is among the first `count` of its zone.
    pub fn is_store_reader(&self, count: usize) -> bool {
        self.zone_rank() < count
    }

    /// Rank of this balancer among the live ones of its zone, from 0, ordered by the hash of the
    /// control address.
    pub fn zone_rank(&self) -> usize {
        let rank_of = |control: SocketAddrV4| hash64(control.to_string().as_bytes());
        let own_rank = rank_of(self.own_record.control);
        self.records
            .live_balancers()
            .filter(|other| other.zone == self.own_record.zone && rank_of(other.control) < own_rank)
            .count()
    }

    fn other_balancers(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.records.live_balancers().filter(|other| other.control != self.own_record.control)
    }

    fn merge_record(&mut self, record: &Record) -> bool {
        match self.records.merge(record) {
            MergeOutcome::Applied => {
                self.counts.applied += 1;
                self.rumors.insert(record.key());
                self.track_zone_use(record);
                self.refute(record);
                true
            }
            MergeOutcome::Stale => {
                self.counts.stale += 1;
                false
            }
            MergeOutcome::Full => {
                self.counts.full += 1;
                false
            }
        }
    }

    fn merge_messages(&mut self, messages: &[wire::Record]) {
        for message in messages {
            match message::from_message(message) {
                Some(record) => {
                    self.merge_record(&record);
                }
                None => self.counts.malformed += 1,
            }
        }
    }

    /// Refutes a record about this balancer that another one wrote (such as a declared loss): the
    /// own record is published again with a higher sequence number.
    fn refute(&mut self, record: &Record) {
        let Record::Balancer(other) = record else {
            return;
        };
        let is_own = other.control == self.own_record.control;
        if !is_own || *other == self.own_record {
            return;
        }
        self.own_record.incarnation = self.own_record.incarnation.max(other.incarnation);
        self.publish_own_record(other.sequence + 1);
    }

    fn publish_own_record(&mut self, sequence: u64) {
        self.own_record.sequence = sequence;
        self.own_record.lost = false;
        let record = Record::Balancer(self.own_record.clone());
        self.records.merge(&record);
        self.rumors.insert(record.key());
    }
}

/// Hash of a list of addresses. The order counts.
pub fn addresses_digest(addresses: &[SocketAddrV4]) -> u64 {
    let text: Vec<String> = addresses.iter().map(SocketAddrV4::to_string).collect();
    hash64(text.join(" ").as_bytes())
}
