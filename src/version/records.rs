//! The set of records of a node. Merging keeps the record with the higher order, which makes it
//! commutative and idempotent: an older record never replaces a newer one.
//!
//! Memory is bounded by [`MAX_RECORDS`] keys; beyond them records of new keys are refused and counted.

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

/// Maximum number of records of a node.
pub const MAX_RECORDS: usize = 65_536;

/// Result of merging a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The record is new or newer than the current one, and was stored.
    Applied,
    /// The node already has the same or a newer record.
    Stale,
    /// The key is new and the node already has [`MAX_RECORDS`] records.
    Full,
}

/// The records of one node, with indices and a digest that are updated on each change.
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

    /// Stores a record unless the current one of its key is the same or newer.
    pub fn merge(&mut self, record: &Record) -> MergeOutcome {
        let key = record.key();
        let current_order = self.records.get(&key).map(Record::order);
        if current_order.is_some_and(|current_order| current_order >= record.order()) {
            return MergeOutcome::Stale;
        }
        if current_order.is_none() && self.records.len() >= MAX_RECORDS {
            return MergeOutcome::Full;
        }
        self.insert(key, current_order, record.clone());
        MergeOutcome::Applied
    }

    /// Removes the record of a target or balancer that ended long ago. Configuration records are never
    /// removed.
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

    /// Returns all availability zones that operators have ever taken out or in.
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

    /// Returns the balancers that are neither lost nor gone.
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

    /// Returns the target whose agent has this data address.
    pub fn target(&self, data: SocketAddrV4) -> Option<&TargetRecord> {
        match self.get(&RecordKey::Target(data)) {
            Some(Record::Target(target)) => Some(target),
            _ => None,
        }
    }

    /// Returns the service of this name, unless it was removed.
    pub fn service(&self, name: &str) -> Option<&ServiceRecord> {
        match self.get(&RecordKey::Service(name.to_owned())) {
            Some(Record::Service(service)) if !service.removed => Some(service),
            _ => None,
        }
    }

    /// Whether operators have taken the availability zone out of service.
    pub fn is_zone_out(&self, name: &str) -> bool {
        match self.get(&RecordKey::Zone(name.to_owned())) {
            Some(Record::Zone(zone)) => zone.out,
            _ => false,
        }
    }

    /// Number of changes so far; equal versions of one set mean equal records.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Highest store revision of any configuration record.
    pub fn configuration_revision(&self) -> u64 {
        self.configuration_revision
    }

    /// Digest of all configuration records; equal on nodes with the same ones.
    pub fn configuration_digest(&self) -> u64 {
        configuration_digest(self.iter().filter(|record| record.is_configuration()))
    }

    /// Digest of all records, for anti-entropy between nodes.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Key hashes and orders of the records in these buckets of the digest.
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

    fn insert(&mut self, key: RecordKey, current_order: Option<Order>, record: Record) {
        let key_hash = key.hash();
        if let Some(current_order) = current_order {
            self.digest.remove(key_hash, current_order);
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

/// Digest of a set of configuration records, independent of their sequence.
pub fn configuration_digest<'a>(records: impl Iterator<Item = &'a Record>) -> u64 {
    let one = |record: &Record| {
        let mut bytes = record.key().hash().to_be_bytes().to_vec();
        bytes.extend_from_slice(&record.order().major.to_be_bytes());
        hash64(&bytes)
    };
    records.map(one).fold(0, u64::wrapping_add)
}

/// Whether a target accepts new flows; its zone is not considered.
pub fn accepts_new_flows(target: &TargetRecord) -> bool {
    !target.lost && target.phase.accepts_new_flows()
}
