//! Hashes that every build of every node computes alike (XXH3).

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes bytes to 64 bits.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes bytes to 64 bits under a seed.
pub fn hash64_with_seed(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Fingerprint of an availability zone in flow tags.
pub fn zone_fingerprint(name: &str) -> u16 {
    hash64(name.as_bytes()) as u16
}

/// Fingerprint of an incarnation in flow tags.
pub fn incarnation_fingerprint(incarnation: u64) -> u16 {
    hash64(&incarnation.to_be_bytes()) as u16
}
