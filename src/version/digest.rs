//! Digest of a set of records for anti-entropy: sums of record hashes in buckets, updated on each change.

use crate::version::hash::hash64;
use crate::version::record::Order;

/// Number of buckets in a digest.
pub const BUCKETS: usize = 64;

/// Key hash and order of one record, which tell a node whether it needs the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Summary {
    /// Hash of the record's key.
    pub key_hash: u64,
    /// Order of the record.
    pub order: Order,
}

/// Sums of record hashes by bucket. Equal sets of records have equal digests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Digest {
    buckets: [u64; BUCKETS],
}

impl Default for Digest {
    fn default() -> Digest {
        Digest { buckets: [0; BUCKETS] }
    }
}

impl Digest {
    /// Creates a digest from bucket sums; `None` unless there are [`BUCKETS`] of them.
    pub fn from_buckets(buckets: &[u64]) -> Option<Digest> {
        Some(Digest { buckets: buckets.try_into().ok()? })
    }

    /// Index of the bucket that a key hash belongs to.
    pub fn bucket_of(key_hash: u64) -> usize {
        (key_hash % BUCKETS as u64) as usize
    }

    /// Adds a record.
    pub fn add(&mut self, key_hash: u64, order: Order) {
        let sum = &mut self.buckets[Digest::bucket_of(key_hash)];
        *sum = sum.wrapping_add(record_hash(key_hash, order));
    }

    /// Removes a record.
    pub fn remove(&mut self, key_hash: u64, order: Order) {
        let sum = &mut self.buckets[Digest::bucket_of(key_hash)];
        *sum = sum.wrapping_sub(record_hash(key_hash, order));
    }

    /// Sum of the record hashes in each bucket.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Hash over all buckets; equal roots mean equal digests.
    pub fn root(&self) -> u64 {
        let bytes: Vec<u8> = self.buckets.iter().flat_map(|sum| sum.to_be_bytes()).collect();
        hash64(&bytes)
    }

    /// Indices of the buckets in which two digests differ.
    pub fn differing(&self, other: &Digest) -> Vec<usize> {
        (0..BUCKETS).filter(|&bucket| self.buckets[bucket] != other.buckets[bucket]).collect()
    }
}

fn record_hash(key_hash: u64, order: Order) -> u64 {
    let mut bytes = [0; 25];
    bytes[..8].copy_from_slice(&key_hash.to_be_bytes());
    bytes[8..16].copy_from_slice(&order.major.to_be_bytes());
    bytes[16..24].copy_from_slice(&order.minor.to_be_bytes());
    bytes[24] = u8::from(order.lost);
    hash64(&bytes)
}
