//! All records that a node holds. Merging keeps the higher order: it is commutative and
//! idempotent, and no record ever goes back.
//!
//! Bound: [`MAX_RECORDS`] keys; at the bound a record of a new key is refused and counted.

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::version::digest::Digest;
use crate::version::digest::Summary;
use crate::version::hash::hash64;
use crate::version::record::BalancerRecord;
use crate::version::record::Order;
use crate::version::record::Record;
use crate::version::record::RecordKey;
use crate::version::record::ServiceRecord;
use crate::version::record::TargetRecord;
use crate::version::record::ZoneRecord;

/// Most records that a node holds.
pub const MAX_RECORDS: usize = 65_536;

/// What became of an offered record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// It is newer and was taken.
    Applied,
    /// The node holds the same or a newer one.
    Stale,
    /// The node holds as many records as it may.
    Full,
}

/// All records of one node.
#[derive(Clone, Debug, Default)]
pub struct Records {
    records: IndexMap<RecordKey, Record>,
    zone_keys: IndexSet<RecordKey>,
    balancer_keys: IndexSet<RecordKey>,
    digest: Digest,
    version: u64,
    configuration_revision: u64,
}

impl Records {
    /// Creates an empty set.
    pub fn new() -> Records {
        Records::default()
    }

    /// Takes a record in where it is newer than the one held.
    pub fn merge(&mut self, record: &Record) -> MergeOutcome {
        let key = record.key();
        let current = self.records.get(&key).map(Record::order);
        if current.is_some_and(|current| current >= record.order()) {
            return MergeOutcome::Stale;
        }
        if current.is_none() && self.records.len() >= MAX_RECORDS {
            return MergeOutcome::Full;
        }
        self.insert(key, current, record.clone());
        MergeOutcome::Applied
    }

    /// Drops a target or balancer whose end is old. Configuration is never dropped.
    pub fn remove(&mut self, key: &RecordKey) {
        let is_configuration = matches!(key, RecordKey::Service(_) | RecordKey::Zone(_));
        if is_configuration {
            return;
        }
        if let Some(record) = self.records.swap_remove(key) {
            self.digest.remove(key.hash(), record.order());
            self.balancer_keys.swap_remove(key);
            self.version += 1;
        }
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns all records.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns all services, removed ones too.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.iter().filter_map(|record| match record {
            Record::Service(service) => Some(service),
            _ => None,
        })
    }

    /// Returns all availability zones that operators ever changed.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneRecord> {
        self.zone_keys.iter().filter_map(|key| match self.get(key) {
            Some(Record::Zone(zone)) => Some(zone),
            _ => None,
        })
    }

    /// Returns all targets, lost and gone ones too.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.iter().filter_map(|record| match record {
            Record::Target(target) => Some(target),
            _ => None,
        })
    }

    /// Returns the balancers that are believed alive.
    pub fn live_balancers(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.balancers().filter(|balancer| !balancer.lost && !balancer.gone)
    }

    /// Returns all balancers, lost and gone ones too.
    pub fn balancers(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.balancer_keys.iter().filter_map(|key| match self.get(key) {
            Some(Record::Balancer(balancer)) => Some(balancer),
            _ => None,
        })
    }

    /// Returns the target behind a data address.
    pub fn target(&self, data: SocketAddrV4) -> Option<&TargetRecord> {
        match self.get(&RecordKey::Target(data)) {
            Some(Record::Target(target)) => Some(target),
            _ => None,
        }
    }

    /// Returns the service of a name unless it is removed.
    pub fn service(&self, name: &str) -> Option<&ServiceRecord> {
        match self.get(&RecordKey::Service(name.to_owned())) {
            Some(Record::Service(service)) if !service.removed => Some(service),
            _ => None,
        }
    }

    /// Whether operators took the availability zone out.
    pub fn is_zone_out(&self, name: &str) -> bool {
        match self.get(&RecordKey::Zone(name.to_owned())) {
            Some(Record::Zone(zone)) => zone.out,
            _ => false,
        }
    }

    /// Number of changes so far; it grows with each.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Highest store revision among the configuration records.
    pub fn configuration_revision(&self) -> u64 {
        self.configuration_revision
    }

    /// Fingerprint of all configuration records; equal on two nodes that hold the same ones.
    pub fn configuration_digest(&self) -> u64 {
        configuration_digest(self.iter().filter(|record| record.is_configuration()))
    }

    /// Digest of all records.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Key hashes and orders of the records in some buckets.
    pub fn summaries(&self, buckets: &[usize]) -> Vec<Summary> {
        let summary = |(key, record): (&RecordKey, &Record)| Summary {
            key_hash: key.hash(),
            order: record.order(),
        };
        let wanted = |summary: &Summary| buckets.contains(&Digest::bucket_of(summary.key_hash));
        self.records.iter().map(summary).filter(wanted).collect()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(&mut self, key: RecordKey, current: Option<Order>, record: Record) {
        let key_hash = key.hash();
        if let Some(current) = current {
            self.digest.remove(key_hash, current);
        }
        self.digest.add(key_hash, record.order());
        if record.is_configuration() {
            let revision = record.order().major;
            self.configuration_revision = self.configuration_revision.max(revision);
        }
        self.version += 1;
        let index = match key {
            RecordKey::Zone(_) => Some(&mut self.zone_keys),
            RecordKey::Balancer(_) => Some(&mut self.balancer_keys),
            _ => None,
        };
        if let Some(index) = index {
            index.insert(key.clone());
        }
        self.records.insert(key, record);
    }
}

/// Fingerprint of a set of configuration records, whatever their order.
pub fn configuration_digest<'a>(records: impl Iterator<Item = &'a Record>) -> u64 {
    let one = |record: &Record| {
        let mut bytes = record.key().hash().to_be_bytes().to_vec();
        bytes.extend_from_slice(&record.order().major.to_be_bytes());
        hash64(&bytes)
    };
    records.map(one).fold(0, u64::wrapping_add)
}

/// Whether a target may be chosen for new flows, its zone aside.
pub fn takes_new_flows(target: &TargetRecord) -> bool {
    !target.lost && target.phase.takes_new_flows()
}
