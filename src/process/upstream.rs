//! Connections of an agent to its target, HTTP/1.1.
//!
//! A connection carries one request at a time and is used again only after a whole answer. Bound:
//! the connections that the target announced.

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

/// Longest wait for a connection to the target, which is on the same host or near.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why no answer came.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// No byte of the request was sent.
    #[snafu(display("not sent"))]
    NotSent,
    /// The target holds as many connections as it may.
    #[snafu(display("no connection is free"))]
    Full,
    /// The target may be another process since the request was admitted, and bears less. Nothing was sent.
    #[snafu(display("the target was replaced"))]
    Replaced,
    /// The request was sent, at least in part.
    #[snafu(display("the target closed the connection"))]
    Closed,
}

/// Told when the target closes a connection on its own.
pub type LossListener = Arc<dyn Fn() + Send + Sync>;

/// Idle and open connections to one target.
pub struct Upstream {
    idle: Mutex<Vec<PooledConnection>>,
    open: Arc<AtomicU32>,
    generation: AtomicU64,
    losses: Arc<AtomicU64>,
    on_loss: LossListener,
}

struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    generation: u64,
    expected_end: Arc<AtomicBool>,
}

/// A connection in use. Dropping it closes it; [`Upstream::give_back`] keeps it.
pub struct UpstreamConnection {
    inner: PooledConnection,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.expected_end.store(true, Ordering::Relaxed);
    }
}

impl Upstream {
    /// Creates an empty pool.
    pub fn new(on_loss: LossListener) -> Upstream {
        let losses = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&losses);
        let on_loss: LossListener = Arc::new(move || {
            on_loss();
            counted.fetch_add(1, Ordering::Relaxed);
        });
        Upstream {
            idle: Mutex::default(),
            open: Arc::default(),
            generation: AtomicU64::new(0),
            losses,
            on_loss,
        }
    }

    /// Closes idle connections and lets those in use end: the target is another process.
    pub fn replace(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
        self.idle.lock().expect("lock is not poisoned").clear();
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends a request that was admitted a moment ago and returns the head of the answer.
    ///
    /// Where a connection turns out to be lost, the target may be another process by now, which bears less:
    /// `may_go_on` says whether the request is still admitted.
    pub async fn send(
        &self,
        address: SocketAddr,
        max_connections: u32,
        mut request: Request<Full<Bytes>>,
        may_go_on: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, UpstreamConnection), UpstreamError> {
        let mut losses = self.losses.load(Ordering::Relaxed);
        loop {
            let (mut connection, is_fresh) = self.connection(address, max_connections).await?;
            let losses_now = self.losses.load(Ordering::Relaxed);
            if losses_now != losses && !may_go_on() {
                return Err(UpstreamError::Replaced);
            }
            losses = losses_now;
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, UpstreamConnection { inner: connection })),
                Err(mut error) => match error.take_message() {
                    // An idle connection was closed meanwhile and nothing was written to it.
                    Some(unsent) if !is_fresh => {
                        (self.on_loss)();
                        request = unsent;
                    }
                    Some(_) => return Err(UpstreamError::NotSent),
                    None => return Err(UpstreamError::Closed),
                },
            }
        }
    }

    /// Keeps a connection whose answer was whole.
    pub fn give_back(&self, connection: UpstreamConnection) {
        let current = self.generation.load(Ordering::Relaxed);
        if connection.inner.generation == current && !connection.inner.sender.is_closed() {
            self.idle.lock().expect("lock is not poisoned").push(connection.inner);
        }
    }

    async fn connection(
        &self,
        address: SocketAddr,
        max_connections: u32,
    ) -> Result<(PooledConnection, bool), UpstreamError> {
        while let Some(connection) = self.pop_idle() {
            if connection.sender.is_closed() {
                (self.on_loss)();
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
        let place = OpenPlace::new(&self.open);
        if self.open.load(Ordering::Relaxed) > max_connections {
            return Err(UpstreamError::Full);
        }
        let generation = self.generation.load(Ordering::Relaxed);
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            (self.on_loss)();
            return Err(UpstreamError::NotSent);
        };
        // Without it small answers wait for acknowledgements; the request works either way.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| UpstreamError::NotSent)?;
        let expected_end = Arc::new(AtomicBool::new(false));
        let expected = Arc::clone(&expected_end);
        let on_loss = Arc::clone(&self.on_loss);
        tokio::spawn(async move {
            // The request on the connection learns the error by itself.
            let _ = connection.await;
            drop(place);
            if !expected.load(Ordering::Relaxed) {
                on_loss();
            }
        });
        Ok(PooledConnection { sender, address, generation, expected_end })
    }
}

/// One of the open connections, counted while it lives.
struct OpenPlace {
    open: Arc<AtomicU32>,
}

impl OpenPlace {
    fn new(open: &Arc<AtomicU32>) -> OpenPlace {
        open.fetch_add(1, Ordering::Relaxed);
        OpenPlace { open: Arc::clone(open) }
    }
}

impl Drop for OpenPlace {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
