//! Control calls between agents and balancers: one QUIC stream for each call, under mutual TLS.
//!
//! Bounds: [`MAX_MESSAGE_BYTES`] for each message; one pooled connection for each peer, which is
//! closed when idle.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use indexmap::IndexMap;
use prost::Message;
use quinn::Connection;
use quinn::Endpoint;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::time::timeout;

use crate::error::Result;
use crate::error::SocketSnafu;
use crate::log_event;
use crate::process::events::Event;
use crate::process::tls::MutualTlsConfigs;
use crate::process::tls::NODE_NAME;
use crate::wire::ControlRequest;
use crate::wire::ControlResponse;

/// Maximum size of a message, in bytes (4 MiB).
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Maximum wait for the response to a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Closed connections are removed from the list whenever its length is a multiple of this number.
const CONNECTIONS_BETWEEN_CLEANUPS: usize = 64;

/// Number of locks that the connection pool is divided among.
const CONNECTION_SHARDS: usize = 8;

/// Why a call failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// The connection could not be established or was lost.
    #[snafu(display("{message}"))]
    Connection {
        /// Error text of the QUIC library.
        message: String,
    },
    /// No response arrived within [`CALL_TIMEOUT`].
    #[snafu(display("no response within {} s", CALL_TIMEOUT.as_secs()))]
    TimedOut,
    /// The response is not a valid message.
    #[snafu(display("malformed response: not a valid control message"))]
    Malformed,
}

/// Handler of the calls that a process receives.
pub trait ControlHandler: Send + Sync {
    /// Handles one request and returns the response.
    fn handle_request(&self, request: &ControlRequest) -> ControlResponse;

    /// Records a received message that is too large, incomplete or not a valid request.
    fn note_malformed_message(&self);
}

/// QUIC endpoint of a process that makes and serves control calls.
pub struct ControlEndpoint {
    endpoint: Endpoint,
    connections: [Mutex<IndexMap<SocketAddrV4, Connection>>; CONNECTION_SHARDS],
    hasher: RandomState,
    traffic: Mutex<TrafficCounters>,
}

/// UDP payload bytes of control connections, with QUIC and TLS overhead.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

#[derive(Default)]
struct TrafficCounters {
    /// Sum over all connections that were removed from `open`.
    closed: Traffic,
    /// Tracked connections, with some that have closed since the last cleanup.
    open: Vec<Connection>,
}

impl Traffic {
    fn add(&mut self, connection: &Connection) {
        let stats = connection.stats();
        self.sent_bytes += stats.udp_tx.bytes;
        self.received_bytes += stats.udp_rx.bytes;
    }
}

impl ControlEndpoint {
    /// Binds the endpoint to a UDP address.
    pub fn new(address: SocketAddrV4, configs: MutualTlsConfigs) -> Result<Arc<ControlEndpoint>> {
        let address = SocketAddr::V4(address);
        let mut endpoint =
            Endpoint::server(configs.server, address).context(SocketSnafu { address })?;
        endpoint.set_default_client_config(configs.client);
        let connections = std::array::from_fn(|_| Mutex::default());
        Ok(Arc::new(ControlEndpoint {
            endpoint,
            connections,
            hasher: RandomState::new(),
            traffic: Mutex::default(),
        }))
    }

    /// Serves calls until the endpoint is closed.
    pub async fn serve(self: Arc<Self>, handler: Arc<dyn ControlHandler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let handler = Arc::clone(&handler);
            let control = Arc::clone(&self);
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => {
                        control.track_traffic(&connection);
                        serve_connection(connection, handler).await;
                    }
                    Err(error) => log_event!(Event::PeerRefused, "{error}"),
                }
            });
        }
    }

    /// Calls a peer and returns its response. A failed call drops the pooled connection to the
    /// peer.
    pub async fn call(
        &self,
        peer: SocketAddrV4,
        request: &ControlRequest,
    ) -> Result<ControlResponse, CallError> {
        let response = timeout(CALL_TIMEOUT, self.call_without_timeout(peer, request)).await;
        let response = response.unwrap_or(Err(CallError::TimedOut));
        if response.is_err() {
            self.shard(peer).lock().expect("lock is not poisoned").swap_remove(&peer);
        }
        response
    }

    /// Returns the traffic of all connections since the start.
    pub fn traffic(&self) -> Traffic {
        let mut traffic = self.traffic.lock().expect("lock is not poisoned");
        let connections = std::mem::take(&mut traffic.open);
        let (closed, open): (Vec<_>, Vec<_>) =
            connections.into_iter().partition(|connection| connection.close_reason().is_some());
        closed.iter().for_each(|connection| traffic.closed.add(connection));
        let mut total = traffic.closed;
        open.iter().for_each(|connection| total.add(connection));
        traffic.open = open;
        total
    }

    fn track_traffic(&self, connection: &Connection) {
        // The cleanup adds closed connections to the sum, so that the list does not grow without
        // bound.
        let is_cleanup_due = {
            let mut traffic = self.traffic.lock().expect("lock is not poisoned");
            traffic.open.push(connection.clone());
            traffic.open.len().is_multiple_of(CONNECTIONS_BETWEEN_CLEANUPS)
        };
        if is_cleanup_due {
            self.traffic();
        }
    }

    /// Closes all connections, and waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint.close(0_u32.into(), b"stopped");
        let _ = timeout(CALL_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    async fn call_without_timeout(
        &self,
        peer: SocketAddrV4,
        request: &ControlRequest,
    ) -> Result<ControlResponse, CallError> {
        let connection = self.get_or_connect(peer).await?;
        let (mut send, mut receive) = connection.open_bi().await.map_err(connection_error)?;
        send.write_all(&request.encode_to_vec()).await.map_err(connection_error)?;
        send.finish().map_err(connection_error)?;
        let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await.map_err(connection_error)?;
        ControlResponse::decode(bytes.as_slice()).map_err(|_| CallError::Malformed)
    }

    async fn get_or_connect(&self, peer: SocketAddrV4) -> Result<Connection, CallError> {
        let pooled = self.shard(peer).lock().expect("lock is not poisoned").get(&peer).cloned();
        if let Some(connection) = pooled.filter(|connection| connection.close_reason().is_none()) {
            return Ok(connection);
        }
        let connecting =
            self.endpoint.connect(SocketAddr::V4(peer), NODE_NAME).map_err(connection_error)?;
        let connection = connecting.await.map_err(connection_error)?;
        self.track_traffic(&connection);
        let mut shard = self.shard(peer).lock().expect("lock is not poisoned");
        shard.retain(|_, connection| connection.close_reason().is_none());
        shard.insert(peer, connection.clone());
        Ok(connection)
    }

    fn shard(&self, peer: SocketAddrV4) -> &Mutex<IndexMap<SocketAddrV4, Connection>> {
        let index = self.hasher.hash_one(peer) as usize % CONNECTION_SHARDS;
        &self.connections[index]
    }
}

async fn serve_connection(connection: Connection, handler: Arc<dyn ControlHandler>) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let Ok(bytes) = receive.read_to_end(MAX_MESSAGE_BYTES).await else {
                handler.note_malformed_message();
                return;
            };
            let Ok(request) = ControlRequest::decode(bytes.as_slice()) else {
                handler.note_malformed_message();
                return;
            };
            let response = handler.handle_request(&request).encode_to_vec();
            if send.write_all(&response).await.is_ok() {
                // An error means that the peer no longer reads the stream.
                let _ = send.finish();
            }
        });
    }
}

fn connection_error(error: impl std::fmt::Display) -> CallError {
    CallError::Connection { message: error.to_string() }
}
