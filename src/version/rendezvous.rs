//! Weighted rendezvous hashing (highest random weight) that alternates between availability zones.

use crate::version::hash::hash64_with_seed;

/// Candidate of a choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Hash that identifies the candidate; equal on all nodes.
    pub id: u64,
    /// Share of keys, relative to the weights of the other candidates; 0 for none.
    pub weight: u32,
    /// Availability zone.
    pub zone: &'a str,
}

/// Chooses up to `count` candidates for `key` and returns their indices, best first.
///
/// The first one has the highest score. Each further one has the highest score in a zone without a chosen
/// candidate, or of all remaining candidates once each zone has one.
pub fn choose(key: u64, candidates: &[Candidate<'_>], count: usize) -> Vec<usize> {
    let mut chosen: Vec<usize> = Vec::with_capacity(count);
    while chosen.len() < count {
        let best_in_new_zone = best(key, candidates, |index| {
            !chosen.iter().any(|&other| candidates[other].zone == candidates[index].zone)
        });
        let next =
            best_in_new_zone.or_else(|| best(key, candidates, |index| !chosen.contains(&index)));
        match next {
            Some(index) => chosen.push(index),
            None => break,
        }
    }
    chosen
}

fn best(key: u64, candidates: &[Candidate<'_>], allowed: impl Fn(usize) -> bool) -> Option<usize> {
    (0..candidates.len())
        .filter(|&index| candidates[index].weight > 0 && allowed(index))
        .max_by(|&a, &b| score(key, &candidates[a]).total_cmp(&score(key, &candidates[b])))
}

fn score(key: u64, candidate: &Candidate<'_>) -> f64 {
    let hash = hash64_with_seed(&candidate.id.to_be_bytes(), key);
    weighted_score(hash, f64::from(candidate.weight))
}

/// Score of a candidate with this hash: `-weight / ln(u)` with `u` uniform in (0, 1). The probability that a
/// candidate has the highest score is its share of all weights.
pub fn weighted_score(hash: u64, weight: f64) -> f64 {
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / uniform.ln()
}
