//! Pool of HTTP/1.1 connections from an agent to its target.
//!
//! A connection carries one request at a time and is reused only after a complete answer. Bound:
//! the number of connections that the target announced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum time to establish a connection to the target, which is on the same host or close to it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request got no answer.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// No byte of the request was sent.
    #[snafu(display("cannot connect to the target; nothing was sent"))]
    NotSent,
    /// As many connections are open as the target announced.
    #[snafu(display("the target has as many connections as it announced; nothing was sent"))]
    ConnectionLimitReached,
    /// A connection to the target was lost, and the request is no longer admitted, since the target
    /// may be another process with a lower limit. Nothing was sent.
    #[snafu(display(
        "the request is no longer admitted, since the target may be another process; nothing was sent"
    ))]
    NoLongerAdmitted,
    /// The connection was closed after at least a part of the request was sent.
    #[snafu(display("the target closed the connection before it answered"))]
    ConnectionClosed,
}

/// Callback for each connection that the target closes or does not accept.
pub type ConnectionLossCallback = Arc<dyn Fn() + Send + Sync>;

/// Connection pool to one target.
pub struct Upstream {
    idle: Mutex<Vec<PooledConnection>>,
    /// Number of open connections, idle or in use.
    open_count: Arc<AtomicU32>,
    /// Incremented when the target's process is replaced; connections of an older generation are
    /// not reused.
    generation: AtomicU64,
    /// Number of calls of `on_connection_loss`.
    loss_count: Arc<AtomicU64>,
    on_connection_loss: ConnectionLossCallback,
}

/// An open connection with the data that decides on its reuse.
struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    generation: u64,
    /// Whether the agent closes the connection itself, which is not a loss.
    is_closed_locally: Arc<AtomicBool>,
}

/// A connection in use. [`Upstream::release`] returns it to the pool; dropping it closes it.
pub struct UpstreamConnection {
    inner: PooledConnection,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.is_closed_locally.store(true, Ordering::Relaxed);
    }
}

impl Upstream {
    /// Creates an empty pool.
    pub fn new(on_connection_loss: ConnectionLossCallback) -> Upstream {
        let loss_count = Arc::new(AtomicU64::new(0));
        let loss_counter = Arc::clone(&loss_count);
        let on_connection_loss: ConnectionLossCallback = Arc::new(move || {
            on_connection_loss();
            loss_counter.fetch_add(1, Ordering::Relaxed);
        });
        Upstream {
            idle: Mutex::default(),
            open_count: Arc::default(),
            generation: AtomicU64::new(0),
            loss_count,
            on_connection_loss,
        }
    }

    /// Closes idle connections, because the target is another process now. Connections in use
    /// finish their request and are then closed.
    pub fn replace(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
        self.idle.lock().expect("lock is not poisoned").clear();
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> u32 {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Sends an admitted request and returns the response head, with the connection that carries
    /// the body.
    ///
    /// If a connection was lost while this call looked for one, the target may have become another
    /// process with a lower limit. `is_still_admitted` then says whether to send the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        max_connections: u32,
        mut request: Request<Full<Bytes>>,
        is_still_admitted: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, UpstreamConnection), UpstreamError> {
        let mut loss_count = self.loss_count.load(Ordering::Relaxed);
        loop {
            let (mut connection, is_new) = self.get_or_connect(address, max_connections).await?;
            let loss_count_now = self.loss_count.load(Ordering::Relaxed);
            if loss_count_now != loss_count && !is_still_admitted() {
                return Err(UpstreamError::NoLongerAdmitted);
            }
            loss_count = loss_count_now;
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, UpstreamConnection { inner: connection })),
                Err(mut error) => match error.take_message() {
                    // The target has closed the idle connection and nothing was written to it.
                    Some(unsent) if !is_new => {
                        (self.on_connection_loss)();
                        request = unsent;
                    }
                    Some(_) => return Err(UpstreamError::NotSent),
                    None => return Err(UpstreamError::ConnectionClosed),
                },
            }
        }
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn release(&self, connection: UpstreamConnection) {
        let generation = self.generation.load(Ordering::Relaxed);
        if connection.inner.generation == generation && !connection.inner.sender.is_closed() {
            self.idle.lock().expect("lock is not poisoned").push(connection.inner);
        }
    }

    /// Returns an idle connection, or a new one if there is none, and whether it is new.
    async fn get_or_connect(
        &self,
        address: SocketAddr,
        max_connections: u32,
    ) -> Result<(PooledConnection, bool), UpstreamError> {
        while let Some(connection) = self.pop_idle() {
            if connection.sender.is_closed() {
                (self.on_connection_loss)();
            } else if connection.address == address {
                return Ok((connection, false));
            }
        }
        let connection = self.connect(address, max_connections).await?;
        Ok((connection, true))
    }

    fn pop_idle(&self) -> Option<PooledConnection> {
        self.idle.lock().expect("lock is not poisoned").pop()
    }

    async fn connect(
        &self,
        address: SocketAddr,
        max_connections: u32,
    ) -> Result<PooledConnection, UpstreamError> {
        let open_guard = OpenConnectionGuard::new(&self.open_count);
        if self.open_count.load(Ordering::Relaxed) > max_connections {
            return Err(UpstreamError::ConnectionLimitReached);
        }
        let generation = self.generation.load(Ordering::Relaxed);
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            (self.on_connection_loss)();
            return Err(UpstreamError::NotSent);
        };
        // With Nagle's algorithm small writes wait for acknowledgements. An error costs only
        // latency.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| UpstreamError::NotSent)?;
        let is_closed_locally = Arc::new(AtomicBool::new(false));
        let closed_locally = Arc::clone(&is_closed_locally);
        let on_connection_loss = Arc::clone(&self.on_connection_loss);
        tokio::spawn(async move {
            // The request on the connection gets the error too, so it is not handled here.
            let _ = connection.await;
            drop(open_guard);
            if !closed_locally.load(Ordering::Relaxed) {
                on_connection_loss();
            }
        });
        Ok(PooledConnection { sender, address, generation, is_closed_locally })
    }
}

/// Counts an open connection until it is dropped.
struct OpenConnectionGuard {
    open_count: Arc<AtomicU32>,
}

impl OpenConnectionGuard {
    fn new(open_count: &Arc<AtomicU32>) -> OpenConnectionGuard {
        open_count.fetch_add(1, Ordering::Relaxed);
        OpenConnectionGuard { open_count: Arc::clone(open_count) }
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}
