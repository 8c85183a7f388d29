//! The UDP sockets of a balancer or an agent.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use tokio::net::UdpSocket;

use crate::error::Error;
use crate::error::Result;
use crate::log_event;
use crate::process::events::Event;

/// Size of the receive buffers, in bytes; longer datagrams are truncated.
pub const MAX_DATAGRAM_BYTES: usize = 4096;

/// Binds a UDP socket to a local address.
pub async fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let address = SocketAddr::V4(address);
    UdpSocket::bind(address).await.map_err(|source| Error::Socket { address, source })
}

/// Waits for a datagram and returns its length in bytes. Errors are logged and skipped: they report that the
/// receiver of an earlier datagram refused it.
pub async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> usize {
    loop {
        match socket.recv_from(buffer).await {
            Ok((length, _)) => return length,
            Err(error) => log_event!(Event::ForwardFailed, "{error}"),
        }
    }
}

/// Sends a datagram. Failures are only logged: lost segments are retransmitted by the ends of the flow, and
/// control messages are repeated in the next period.
pub async fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddrV4) {
    if let Err(error) = socket.send_to(datagram, SocketAddr::V4(to)).await {
        log_event!(Event::ForwardFailed, "to={to} {error}");
    }
}

/// Sends a datagram to several receivers.
pub async fn send_to_all(socket: &UdpSocket, datagram: &[u8], receivers: &[SocketAddrV4]) {
    for receiver in receivers {
        send(socket, datagram, *receiver).await;
    }
}
