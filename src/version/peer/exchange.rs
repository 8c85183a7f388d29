//! Gossip between balancers: pushed rumors and digest exchanges (anti-entropy).

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::connection::envelope::from_hop;
use crate::connection::envelope::to_hop;
use crate::version::digest::Digest;
use crate::version::digest::Summary;
use crate::version::hash::hash64;
use crate::version::message;
use crate::version::peer::GossipState;
use crate::version::peer::OutgoingCall;
use crate::version::record::BalancerRecord;
use crate::version::record::RecordKey;
use crate::version::rendezvous;
use crate::version::rendezvous::Candidate;
use crate::wire;
use crate::wire::control_request::Kind as RequestKind;

/// Number of peers that new records are pushed to.
pub const NEIGHBOURS: usize = 6;

/// One digest exchange in this many picks from all known balancers and the seeds, lost ones
/// included, instead of the neighbours.
const NON_NEIGHBOUR_EXCHANGE_ONE_IN: u64 = 4;

/// Maximum number of records in one message.
const MAX_MESSAGE_RECORDS: usize = 4_096;

impl GossipState {
    /// Control addresses of the peers that new records are pushed to.
    pub fn neighbours(&self) -> Vec<SocketAddrV4> {
        let others: Vec<&BalancerRecord> = self.other_balancers().collect();
        let candidates: Vec<Candidate<'_>> = others
            .iter()
            .map(|other| Candidate {
                id: hash64(other.control.to_string().as_bytes()),
                weight: 1,
                zone: &other.zone,
            })
            .collect();
        let key = hash64(self.own_record.control.to_string().as_bytes());
        let chosen = rendezvous::choose(key, &candidates, NEIGHBOURS);
        chosen.into_iter().map(|index| others[index].control).collect()
    }

    /// Pushes the pending rumors to all neighbours. A push that fails is not repeated: a digest
    /// exchange repairs it.
    pub(super) fn push_rumors(&mut self) -> Vec<OutgoingCall> {
        if self.rumors.is_empty() {
            return Vec::new();
        }
        let neighbours = self.neighbours();
        if neighbours.is_empty() {
            return Vec::new();
        }
        let keys: Vec<RecordKey> =
            self.rumors.drain(..self.rumors.len().min(MAX_MESSAGE_RECORDS)).collect();
        let records: Vec<wire::Record> =
            keys.iter().filter_map(|key| self.records.get(key)).map(message::to_message).collect();
        let request = |records| wire::ControlRequest {
            kind: Some(RequestKind::Rumors(wire::Rumors { records })),
        };
        neighbours
            .into_iter()
            .map(|to| OutgoingCall { to, request: request(records.clone()) })
            .collect()
    }

    pub(super) fn is_live_balancer(&self, control: SocketAddrV4) -> bool {
        self.records.live_balancers().any(|balancer| balancer.control == control)
    }

    pub(super) fn is_digest_to_live_peer(&self, call: &OutgoingCall) -> bool {
        matches!(call.request.kind, Some(RequestKind::Digest(_))) && self.is_live_balancer(call.to)
    }

    pub(super) fn retry_with_digest(&self, to: SocketAddrV4) -> Vec<OutgoingCall> {
        vec![self.digest_call(to)]
    }

    pub(super) fn start_digest_exchange(&mut self, random: u64) -> Option<OutgoingCall> {
        let to = self.choose_exchange_peer(random)?;
        Some(self.digest_call(to))
    }

    /// Builds the call that starts a digest exchange with `to`.
    pub(super) fn digest_call(&self, to: SocketAddrV4) -> OutgoingCall {
        let request = wire::ControlRequest {
            kind: Some(RequestKind::Digest(wire::Digest {
                root: self.records.digest().root(),
                buckets: self.records.digest().buckets().to_vec(),
                configured: self.is_configured,
                sender: Some(to_hop(self.own_record.control)),
            })),
        };
        OutgoingCall { to, request }
    }

    /// Chooses the peer of the next digest exchange: mostly a neighbour, otherwise any known
    /// balancer or seed.
    pub(super) fn choose_exchange_peer(&self, random: u64) -> Option<SocketAddrV4> {
        let neighbours = self.neighbours();
        let choose = |addresses: &[SocketAddrV4]| {
            let index = (random >> 8) as usize % addresses.len().max(1);
            addresses.get(index).copied()
        };
        let beyond_neighbours = random.is_multiple_of(NON_NEIGHBOUR_EXCHANGE_ONE_IN);
        if !beyond_neighbours && !neighbours.is_empty() {
            return choose(&neighbours);
        }
        let known = self.records.balancers().filter(|other| !other.gone);
        let known = known.map(|other| other.control);
        let candidates: IndexSet<SocketAddrV4> = known
            .chain(self.seeds.iter().copied())
            .filter(|control| *control != self.own_record.control)
            .collect();
        choose(&candidates.into_iter().collect::<Vec<_>>())
    }

    /// Compares the digest of a peer with the own one, and answers with the buckets that differ and
    /// summaries of the own records in them. The failures of the sender are cleared, since it is
    /// evidently running.
    pub(super) fn answer_digest(&mut self, digest: &wire::Digest) -> Option<wire::DigestAnswer> {
        if let Some(sender) = digest.sender.as_ref().and_then(from_hop) {
            self.failures.swap_remove(&sender);
        }
        let mut answer =
            wire::DigestAnswer { configured: self.is_configured, ..Default::default() };
        if digest.root == self.records.digest().root() {
            self.is_configured |= digest.configured;
            answer.same = true;
            return Some(answer);
        }
        let peer_digest = Digest::from_buckets(&digest.buckets)?;
        let differing = self.records.digest().differing(&peer_digest);
        answer.buckets = differing.iter().map(|bucket| *bucket as u32).collect();
        let summaries = self.records.summaries(&differing);
        answer.summaries = summaries.iter().map(message::summary_to_message).collect();
        Some(answer)
    }

    /// Handles the answer to a digest: returns the call that pulls and sends the records that
    /// differ.
    pub(super) fn handle_digest_answer(
        &mut self,
        to: SocketAddrV4,
        answer: &wire::DigestAnswer,
    ) -> Vec<OutgoingCall> {
        if answer.same {
            self.is_configured |= answer.configured;
            return Vec::new();
        }
        let peer_summaries: IndexMap<u64, Summary> = answer
            .summaries
            .iter()
            .map(message::summary_from_message)
            .map(|summary| (summary.key_hash, summary))
            .collect();
        let buckets: Vec<usize> = answer.buckets.iter().map(|bucket| *bucket as usize).collect();
        let pull = self.build_pull(&peer_summaries, &buckets);
        if pull.records.is_empty() && pull.wanted.is_empty() {
            return Vec::new();
        }
        let request = wire::ControlRequest { kind: Some(RequestKind::Pull(pull)) };
        vec![OutgoingCall { to, request }]
    }

    /// Builds a pull from the summaries of the peer: it sends the records that are newer here and
    /// asks for those that are newer there.
    pub(super) fn build_pull(
        &self,
        peer_summaries: &IndexMap<u64, Summary>,
        buckets: &[usize],
    ) -> wire::Pull {
        let mut pull = wire::Pull::default();
        let mut own_keys: IndexMap<u64, ()> = IndexMap::new();
        for record in self.records.iter() {
            let key_hash = record.key().hash();
            if !buckets.contains(&Digest::bucket_of(key_hash)) {
                continue;
            }
            own_keys.insert(key_hash, ());
            let peer_order = peer_summaries.get(&key_hash).map(|summary| summary.order);
            if peer_order.is_none_or(|order| order < record.order()) {
                pull.records.push(message::to_message(record));
            } else if peer_order.is_some_and(|order| order > record.order()) {
                pull.wanted.push(key_hash);
            }
        }
        pull.wanted
            .extend(peer_summaries.keys().filter(|key_hash| !own_keys.contains_key(*key_hash)));
        pull.records.truncate(MAX_MESSAGE_RECORDS);
        pull
    }

    pub(super) fn answer_pull(&mut self, pull: &wire::Pull) -> wire::Rumors {
        self.merge_messages(&pull.records);
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
}
