//! XXH3 hashes. Nodes compare them with each other, so they must not differ between builds.

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

/// Low 16 bits of the hash of an availability zone's name, as carried in flow tags.
pub fn zone_fingerprint(name: &str) -> u16 {
    hash64(name.as_bytes()) as u16
}

/// Low 16 bits of the hash of an incarnation, as carried in flow tags.
pub fn incarnation_fingerprint(incarnation: u64) -> u16 {
    hash64(&incarnation.to_be_bytes()) as u16
}
