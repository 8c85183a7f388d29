//! Balancers to compare against in measurements: plain hashing over the live targets without flow tags, and
//! weighted rendezvous hashing without a chain of candidates.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use indexmap::IndexMap;
use rhubarbthread::connection::datagram;
use rhubarbthread::connection::datagram::PacketHeader;
use rhubarbthread::connection::envelope;
use rhubarbthread::connection::tag::TagKeys;
use rhubarbthread::version::hash::hash64;
use rhubarbthread::version::rendezvous;
use rhubarbthread::version::rendezvous::Candidate;
use rhubarbthread::version::table::flow_hash;
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Time between two requests for the status of the real balancer, which lists the live targets.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Size of the receive buffer, in bytes; a longer datagram is truncated.
const MAX_DATAGRAM_BYTES: usize = 4_096;

/// Method by which a baseline balancer selects the agent of a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Baseline {
    /// For every datagram, the hash of the caller's address modulo the number of live targets.
    PlainHash,
    /// For established flows the agent in the tag; for new flows the first choice of weighted rendezvous
    /// hashing, without further candidates.
    NoChain,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LiveTarget {
    agent: SocketAddrV4,
    zone: String,
    connections: u32,
}

impl LiveTarget {
    fn candidate(&self) -> Candidate<'_> {
        Candidate {
            id: hash64(self.agent.to_string().as_bytes()),
            weight: self.connections,
            zone: &self.zone,
        }
    }
}

/// A running baseline balancer.
pub struct BaselineBalancer {
    kind: Baseline,
    socket: UdpSocket,
    services: IndexMap<String, SocketAddr>,
    targets: Mutex<IndexMap<SocketAddr, Vec<LiveTarget>>>,
    tag_keys: TagKeys,
}

impl BaselineBalancer {
    /// Binds the socket and starts to forward. The live targets are polled from the real balancer with the
    /// admin address `source_admin`.
    pub async fn start(
        kind: Baseline,
        listen: SocketAddrV4,
        source_admin: SocketAddrV4,
        services: IndexMap<String, SocketAddr>,
        tag_keys: TagKeys,
    ) -> io::Result<Arc<BaselineBalancer>> {
        let socket = UdpSocket::bind(listen).await?;
        let targets = Mutex::default();
        let balancer = Arc::new(BaselineBalancer { kind, socket, services, targets, tag_keys });
        tokio::spawn(Arc::clone(&balancer).poll_targets(source_admin));
        tokio::spawn(Arc::clone(&balancer).forward());
        Ok(balancer)
    }

    async fn poll_targets(self: Arc<Self>, admin: SocketAddrV4) {
        let client = reqwest::Client::new();
        loop {
            if let Ok(answer) = client.get(format!("http://{admin}/status")).send().await
                && let Ok(status) = answer.json().await
            {
                let targets = self.live_targets(&status);
                *self.targets.lock().expect("lock is not poisoned") = targets;
            }
            sleep(REFRESH_INTERVAL).await;
        }
    }

    fn live_targets(&self, status: &Value) -> IndexMap<SocketAddr, Vec<LiveTarget>> {
        let mut live: IndexMap<SocketAddr, Vec<LiveTarget>> = IndexMap::new();
        for target in status["targets"].as_array().into_iter().flatten() {
            let phase = target["phase"].as_str().unwrap_or_default();
            let accepts_flows = target["lost"] == false && (phase == "serving" || phase == "cold");
            let text = |key: &str| target[key].as_str().unwrap_or_default();
            let service = self.services.get(text("service"));
            if let (true, Some(service), Ok(agent)) =
                (accepts_flows, service, text("agent").parse())
            {
                let zone = text("availability_zone").to_owned();
                let connections = target["connections"].as_u64().unwrap_or(1) as u32;
                live.entry(*service).or_default().push(LiveTarget { agent, zone, connections });
            }
        }
        live.values_mut().for_each(|targets| targets.sort());
        live
    }

    async fn forward(self: Arc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut bytes = Vec::new();
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Ok((header, payload)) = envelope::decode(&buffer[..length]) else {
                continue;
            };
            let Some(agent) = self.select_agent(header.source, header.destination, payload) else {
                continue;
            };
            envelope::encode(&header.with_chain(vec![agent]), payload, &mut bytes);
            // A datagram that cannot be sent is dropped, as a router would do.
            let _ = self.socket.send_to(&bytes, agent).await;
        }
    }

    fn select_agent(
        &self,
        source: SocketAddr,
        destination: SocketAddr,
        payload: &[u8],
    ) -> Option<SocketAddrV4> {
        let targets = self.targets.lock().expect("lock is not poisoned");
        let targets = targets.get(&destination).filter(|targets| !targets.is_empty())?;
        if self.kind == Baseline::PlainHash {
            let hash = hash64(source.to_string().as_bytes()) as usize;
            return Some(targets[hash % targets.len()].agent);
        }
        let (PacketHeader::Long { connection_id } | PacketHeader::Short { connection_id }) =
            datagram::parse_header(payload).ok()?;
        if let Some(tag) = self.tag_keys.open(connection_id) {
            return Some(tag.agent);
        }
        let candidates: Vec<Candidate<'_>> = targets.iter().map(LiveTarget::candidate).collect();
        let best = rendezvous::choose(flow_hash(source, connection_id), &candidates, 1);
        best.first().map(|index| targets[*index].agent)
    }
}
