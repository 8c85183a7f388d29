//! Query of the other balancers by one that starts, before it accepts its first opening: which of them are
//! asked, and when the query is over.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

/// Maximum number of balancers that are being asked or have answered. Each answer takes about as many bytes as
/// the configuration, and all balancers may start at once.
const MAX_PEERS: usize = 4;

/// Time for which balancers that were not seen since the start are waited for, in milliseconds. After a power
/// loss there may be none, and the start must not take more than 100 ms longer, of which up to 20 ms are for the
/// period of the checks. A live one answers gossip within a round trip.
const UNSEEN_WAIT_MS: u64 = 70;

/// Longest time that a balancer waits before it accepts openings, in milliseconds. With the period of the checks it
/// is a second at most.
pub const MAX_WAIT_MS: u64 = 950;

/// Time for which balancers are asked, in milliseconds, also after openings are accepted. The copy may lack the
/// entries of nodes, which are written again within two seconds, and a balancer notices the store's return a
/// second late at most.
pub const ASK_FOR_MS: u64 = 5_000;

/// Time until a balancer that has not read the store's era yet is asked again, in milliseconds. It doubles each
/// time, as each answer takes about as many bytes as the configuration.
const FIRST_RETRY_MS: u64 = 100;

/// What has become of the question to one balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// The answer is still to come.
    Asked,
    /// It has answered with what is in force there in this era of the store.
    Answered(u64),
    /// It has answered in another era, and is asked again at this time.
    RetryAt(u64),
    /// It is gone, or has nothing in force.
    Nothing,
}

/// Answer of a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerAnswer {
    /// What is in force there in this era of the store.
    InEra(u64),
    /// None, or one of a balancer that has nothing in force or reports no valid era.
    Nothing,
}

/// Progress of the query.
#[derive(Clone, Debug)]
pub struct PeerQuery {
    began_ms: u64,
    peers: IndexMap<SocketAddrV4, Progress>,
    /// Times until the next question to balancers that answered in another era.
    retries_ms: IndexMap<SocketAddrV4, u64>,
}

impl PeerQuery {
    /// Begins a query, once the balancer has a configuration.
    pub fn new(now_ms: u64) -> PeerQuery {
        PeerQuery { began_ms: now_ms, peers: IndexMap::new(), retries_ms: IndexMap::new() }
    }

    /// Returns the balancers to ask now, of the `known` ones in the order in which they are to be asked.
    /// `is_live` tells whether one has been seen since the start.
    pub fn take_due(
        &mut self,
        known: impl IntoIterator<Item = SocketAddrV4>,
        own_era: u64,
        is_live: impl Fn(SocketAddrV4) -> bool,
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let mut due = Vec::new();
        for (peer, progress) in &mut self.peers {
            let is_due = match *progress {
                Progress::Answered(era) => era < own_era,
                Progress::RetryAt(retry_ms) => retry_ms <= now_ms,
                Progress::Asked | Progress::Nothing => false,
            };
            if is_due {
                *progress = Progress::Asked;
                due.push(*peer);
            }
        }
        let counts = |(peer, progress): (&SocketAddrV4, &Progress)| match progress {
            Progress::Asked => self.is_unseen_wait(now_ms) || is_live(*peer),
            Progress::Answered(_) | Progress::RetryAt(_) => true,
            Progress::Nothing => false,
        };
        let mut room =
            MAX_PEERS.saturating_sub(self.peers.iter().filter(|one| counts(*one)).count());
        for peer in known {
            if room > 0 && !self.peers.contains_key(&peer) {
                self.peers.insert(peer, Progress::Asked);
                due.push(peer);
                room -= 1;
            }
        }
        due
    }

    /// Notes the answer of a balancer, or that there is none.
    pub fn note_answer(
        &mut self,
        peer: SocketAddrV4,
        answer: PeerAnswer,
        own_era: u64,
        now_ms: u64,
    ) {
        let progress = match answer {
            PeerAnswer::Nothing => Progress::Nothing,
            PeerAnswer::InEra(era) if era == own_era => Progress::Answered(era),
            PeerAnswer::InEra(_) => {
                let retry_ms = self.retries_ms.entry(peer).or_insert(FIRST_RETRY_MS);
                let retry_at_ms = now_ms + *retry_ms;
                *retry_ms *= 2;
                Progress::RetryAt(retry_at_ms)
            }
        };
        self.peers.insert(peer, progress);
    }

    /// Whether no further balancer is asked.
    pub fn is_done(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.began_ms) >= ASK_FOR_MS
    }

    /// Whether openings may be accepted: every balancer that may answer has done so, or the time is over.
    /// `knows_nodes` means that the nodes were read from the store.
    pub fn may_accept_openings(
        &self,
        own_era: u64,
        knows_nodes: bool,
        is_live: impl Fn(SocketAddrV4) -> bool,
        now_ms: u64,
    ) -> bool {
        if now_ms.saturating_sub(self.began_ms) >= MAX_WAIT_MS {
            return true;
        }
        let is_unseen_wait = self.is_unseen_wait(now_ms);
        let is_settled = |(peer, progress): (&SocketAddrV4, &Progress)| match *progress {
            Progress::Answered(era) => era >= own_era,
            Progress::Nothing => true,
            Progress::Asked | Progress::RetryAt(_) => !is_unseen_wait && !is_live(*peer),
        };
        (knows_nodes || !is_unseen_wait) && self.peers.iter().all(is_settled)
    }

    /// Whether balancers that were not seen yet are still waited for.
    fn is_unseen_wait(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.began_ms) < UNSEEN_WAIT_MS
    }
}
