//! Registration of a node: its entry in the store, by which other nodes find it.
//!
//! The entry has no lease: the store may revoke the lease of a live process, and other nodes detect failures
//! by probes and gossip. A node that leaves removes its entry; a balancer removes the entry of a node that does
//! not come back.

use std::net::SocketAddrV4;
use std::sync::Arc;

use prost::Message;

use crate::connection::flow_key::pack_address;
use crate::connection::flow_key::unpack_address;
use crate::log_event;
use crate::process::events::Event;
use crate::process::passthrough::metrics::PassthroughMetrics;
use crate::process::retry::retry_until_ok;
use crate::process::store::Put;
use crate::process::store::Store;
use crate::process::store::StoreError;
use crate::wire::NodeAddress;

/// First and longest backoff after a failed call on the nodes' entries, in milliseconds. An entry must be in
/// the store again two seconds after an outage of the store has ended.
pub const RETRY_BACKOFF_MS: (u64, u64) = (100, 1_000);

/// Entry of a node in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeEntry {
    /// Address for segments if the node is an agent, exchange address if it is a balancer.
    pub data: SocketAddrV4,
    /// Address for control datagrams between nodes.
    pub control: SocketAddrV4,
    /// Availability zone of the node's host.
    pub zone: String,
}

impl NodeEntry {
    /// Encodes the entry as a value of the store.
    pub fn encode(&self) -> Vec<u8> {
        let address = NodeAddress {
            data: pack_address(self.data),
            control: pack_address(self.control),
            zone: self.zone.clone(),
        };
        address.encode_to_vec()
    }

    /// Decodes a value of the store. Returns `None` if it is no valid entry.
    pub fn decode(value: &[u8]) -> Option<NodeEntry> {
        let address = NodeAddress::decode(value).ok()?;
        Some(NodeEntry {
            data: unpack_address(address.data)?,
            control: unpack_address(address.control)?,
            zone: address.zone,
        })
    }
}

/// Writes the entry, and retries with backoff until the store confirms it. The write is idempotent.
pub async fn register(
    store: &Arc<dyn Store>,
    key: &str,
    entry: &NodeEntry,
    metrics: &PassthroughMetrics,
) {
    let put = Put { key: key.to_owned(), value: entry.encode(), lease: None };
    let write = || store.transaction(&[], std::slice::from_ref(&put));
    let record_failure = |error: &StoreError| metrics.note_store_failure("register", error);
    retry_until_ok(RETRY_BACKOFF_MS, write, record_failure).await;
    log_event!(Event::Registered, "key={key}");
}
