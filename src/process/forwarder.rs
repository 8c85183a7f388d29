//! Data plane of a balancer: threads that receive, route and send datagrams in batches.

use std::io;
use std::io::IoSlice;
use std::io::IoSliceMut;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use nix::errno::Errno;
use nix::sys::socket::MsgFlags;
use nix::sys::socket::MultiHeaders;
use nix::sys::socket::SockaddrIn;
use nix::sys::socket::recvmmsg;
use nix::sys::socket::sendmmsg;
use snafu::ResultExt;
use socket2::SockRef;

use crate::connection::envelope;
use crate::connection::tag::TagKeys;
use crate::error::Result;
use crate::error::SocketSnafu;
use crate::log_event;
use crate::process::events::Event;
use crate::process::metrics::BalancerMetrics;
use crate::process::metrics::count;
use crate::version::table::ForwardingDecision;
use crate::version::table::ForwardingTable;

/// Maximum number of datagrams in one system call.
pub const BATCH_SIZE: usize = 32;

/// Maximum size of an envelope, in bytes.
const MAX_ENVELOPE_BYTES: usize = 2_048;

/// Requested size of each socket buffer, in bytes (4 MiB).
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Maximum wait for a datagram, after which a thread checks whether it should stop. Also the delay
/// after a failed system call.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// The current forwarding table, which the forwarding threads read.
pub type SharedForwardingTable = Arc<RwLock<Arc<ForwardingTable>>>;

/// State that the forwarding threads share.
pub struct Forwarder {
    table: SharedForwardingTable,
    keys: TagKeys,
    metrics: Arc<BalancerMetrics>,
    stop: AtomicBool,
    received: AtomicU64,
}

impl Forwarder {
    /// Creates a forwarder without threads.
    pub fn new(
        table: SharedForwardingTable,
        keys: TagKeys,
        metrics: Arc<BalancerMetrics>,
    ) -> Arc<Forwarder> {
        Arc::new(Forwarder {
            table,
            keys,
            metrics,
            stop: AtomicBool::new(false),
            received: AtomicU64::new(0),
        })
    }

    /// Opens the data socket and starts the threads, which share it.
    pub fn start(self: &Arc<Self>, address: SocketAddrV4, threads: usize) -> Result<()> {
        let socket = open_socket(address)?;
        for _ in 0..threads {
            let forwarder = Arc::clone(self);
            let socket = socket.try_clone().context(SocketSnafu { address })?;
            thread::Builder::new()
                .name("forward".to_owned())
                .spawn(move || forwarder.run(&socket))
                .context(SocketSnafu { address })?;
        }
        Ok(())
    }

    /// Returns the number of datagrams received since the start.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Stops the threads; each ends within `RECEIVE_TIMEOUT`.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    fn run(&self, socket: &UdpSocket) {
        let mut batch = Batch::new();
        while !self.stop.load(Ordering::Relaxed) {
            if let Err(error) = self.forward_batch(&mut batch, socket) {
                log_event!(Event::ForwardFailed, "{error}");
                thread::sleep(RECEIVE_TIMEOUT);
            }
        }
    }

    /// Receives, routes and sends one batch; returns the number of datagrams received.
    pub fn forward_batch(&self, batch: &mut Batch, socket: &UdpSocket) -> io::Result<usize> {
        let received = batch.receive(socket)?;
        if received > 0 {
            self.received.fetch_add(received as u64, Ordering::Relaxed);
            let table = Arc::clone(&self.table.read().expect("lock is not poisoned"));
            self.route_batch(&table, batch, received);
            batch.send(socket);
        }
        Ok(received)
    }

    fn route_batch(&self, table: &ForwardingTable, batch: &mut Batch, received: usize) {
        let mut established = 0;
        let mut openings = 0;
        batch.outgoing.clear();
        for index in 0..received {
            let bytes = &batch.buffers[index][..batch.lengths[index]];
            let Ok((header, datagram)) = envelope::decode(bytes) else {
                count(&self.metrics.datagrams_dropped, "bad-envelope");
                continue;
            };
            match table.route(&self.keys, header.source, header.destination, datagram) {
                ForwardingDecision::Established(agent) => {
                    established += 1;
                    batch.outgoing.push(OutgoingDatagram { index, rewritten: None, to: agent });
                }
                ForwardingDecision::Opening(chain) => {
                    openings += 1;
                    let to = chain[0];
                    let mut rewritten = Vec::with_capacity(MAX_ENVELOPE_BYTES);
                    envelope::encode(&header.with_chain(chain), datagram, &mut rewritten);
                    batch.outgoing.push(OutgoingDatagram { index, rewritten: Some(rewritten), to });
                }
                ForwardingDecision::Drop(reason) => {
                    count(&self.metrics.datagrams_dropped, reason.as_str())
                }
            }
        }
        self.metrics.forwarded_established.inc_by(established);
        self.metrics.forwarded_openings.inc_by(openings);
    }
}

/// Opens a data socket with large buffers.
pub fn open_socket(address: SocketAddrV4) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address).context(SocketSnafu { address })?;
    let options = SockRef::from(&socket);
    // The system may grant less; smaller buffers only lose datagrams of a burst earlier.
    let _ = options.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = options.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).context(SocketSnafu { address })?;
    Ok(socket)
}

/// A datagram to send: a received one unchanged, or one with a rewritten envelope.
pub struct OutgoingDatagram {
    /// Index of the received datagram in the batch.
    pub index: usize,
    /// Bytes to send instead of the received ones.
    pub rewritten: Option<Vec<u8>>,
    /// Destination address.
    pub to: SocketAddrV4,
}

/// Buffers for one batch of datagrams, reused for each batch.
pub struct Batch {
    buffers: Vec<[u8; MAX_ENVELOPE_BYTES]>,
    lengths: [usize; BATCH_SIZE],
    receive_headers: MultiHeaders<SockaddrIn>,
    send_headers: MultiHeaders<SockaddrIn>,
    /// Datagrams that [`Batch::send`] sends.
    pub outgoing: Vec<OutgoingDatagram>,
}

impl Default for Batch {
    fn default() -> Batch {
        Batch::new()
    }
}

impl Batch {
    /// Allocates the buffers.
    pub fn new() -> Batch {
        Batch {
            buffers: vec![[0; MAX_ENVELOPE_BYTES]; BATCH_SIZE],
            lengths: [0; BATCH_SIZE],
            receive_headers: MultiHeaders::preallocate(BATCH_SIZE, None),
            send_headers: MultiHeaders::preallocate(BATCH_SIZE, None),
            outgoing: Vec::with_capacity(BATCH_SIZE),
        }
    }

    /// Receives up to [`BATCH_SIZE`] datagrams and returns their number: 0 if none arrived within
    /// the socket's read time-out.
    pub fn receive(&mut self, socket: &UdpSocket) -> io::Result<usize> {
        let mut slices: Vec<[IoSliceMut<'_>; 1]> =
            self.buffers.iter_mut().map(|buffer| [IoSliceMut::new(buffer)]).collect();
        let received = recvmmsg(
            socket.as_raw_fd(),
            &mut self.receive_headers,
            slices.iter_mut(),
            MsgFlags::MSG_WAITFORONE,
            None,
        );
        match received {
            Ok(messages) => {
                let mut count = 0;
                for message in messages {
                    self.lengths[count] = message.bytes;
                    count += 1;
                }
                Ok(count)
            }
            Err(Errno::EAGAIN | Errno::EINTR) => Ok(0),
            Err(error) => Err(error.into()),
        }
    }

    /// Sends the datagrams in `outgoing`. Those that the socket does not accept are lost, as on any
    /// hop.
    pub fn send(&mut self, socket: &UdpSocket) {
        if self.outgoing.is_empty() {
            return;
        }
        let slices: Vec<[IoSlice<'_>; 1]> = self
            .outgoing
            .iter()
            .map(|outgoing| match &outgoing.rewritten {
                Some(bytes) => [IoSlice::new(bytes)],
                None => {
                    let length = self.lengths[outgoing.index];
                    [IoSlice::new(&self.buffers[outgoing.index][..length])]
                }
            })
            .collect();
        let addresses: Vec<Option<SockaddrIn>> =
            self.outgoing.iter().map(|outgoing| Some(SockaddrIn::from(outgoing.to))).collect();
        let sent = sendmmsg(
            socket.as_raw_fd(),
            &mut self.send_headers,
            &slices,
            &addresses,
            [],
            MsgFlags::empty(),
        );
        if let Err(error) = sent {
            log::debug!(target: "rhubarbthread", "cannot send datagrams, dropped: {error}");
        }
    }
}
