//! Weighted rendezvous hashing (highest random weight), spread over availability zones.

use crate::version::hash::hash64_with_seed;

/// One candidate of a choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Hash that identifies the candidate on all nodes.
    pub id: u64,
    /// Share it should get, in proportion to the others'.
    pub weight: u32,
    /// Availability zone.
    pub zone: &'a str,
}

/// Chooses up to `count` candidates for `key`, best first, as indices.
///
/// The first is the one with the highest score. Each next one is the best in a zone that is not
/// taken yet, or the best that remains once every zone is.
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

/// Score of one candidate: `-weight / ln(u)` with `u` uniform in (0, 1).
fn score(key: u64, candidate: &Candidate<'_>) -> f64 {
    let hash = hash64_with_seed(&candidate.id.to_be_bytes(), key);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(candidate.weight) / uniform.ln()
}
