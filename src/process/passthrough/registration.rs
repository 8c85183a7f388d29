//! A node's own entry in the store, by which others find it.
//!
//! The entry has no lease: the store can take a lease away from a process that lives, and whether a
//! node lives is seen directly. A node that leaves removes its entry; of one that does not come back
//! it is removed by a balancer.

use std::net::SocketAddrV4;
use std::sync::Arc;

use prost::Message;

use crate::connection::flow_key::pack_address;
use crate::connection::flow_key::unpack_address;
use crate::log_event;
use crate::process::events::Event;
use crate::process::passthrough::metrics::PassthroughMetrics;
use crate::process::retry::until_done;
use crate::process::store::Put;
use crate::process::store::Store;
use crate::process::store::StoreError;
use crate::wire::NodeAddress;

/// First and longest wait after a failed call on the nodes' entries, in milliseconds. An entry must be
/// back two seconds after the store is.
pub const RETRY_BACKOFF_MS: (u64, u64) = (100, 1_000);

/// Addresses of a node, as they stand in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeEntry {
    /// Address for segments of an agent; exchange address of a balancer.
    pub data: SocketAddrV4,
    /// Address for control datagrams.
    pub control: SocketAddrV4,
    /// Availability zone.
    pub zone: String,
}

impl NodeEntry {
    /// The value in the store.
    pub fn encode(&self) -> Vec<u8> {
        let address = NodeAddress {
            data: pack_address(self.data),
            control: pack_address(self.control),
            zone: self.zone.clone(),
        };
        address.encode_to_vec()
    }

    /// Reads a value; `None` where it is none of ours.
    pub fn decode(value: &[u8]) -> Option<NodeEntry> {
        let address = NodeAddress::decode(value).ok()?;
        Some(NodeEntry {
            data: unpack_address(address.data)?,
            control: unpack_address(address.control)?,
            zone: address.zone,
        })
    }
}

/// Writes the entry, and tries again until the store takes it. Writing it twice does no harm.
pub async fn register(
    store: &Arc<dyn Store>,
    key: &str,
    entry: &NodeEntry,
    metrics: &PassthroughMetrics,
) {
    let put = Put { key: key.to_owned(), value: entry.encode(), lease: None };
    let write = || store.transaction(&[], std::slice::from_ref(&put));
    let note = |error: &StoreError| metrics.note_store_failure("register", error);
    until_done(RETRY_BACKOFF_MS, write, note).await;
    log_event!(Event::Registered, "key={key}");
}
