//! The UDP sockets of a balancer or an agent.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use tokio::net::UdpSocket;

use crate::error::Error;
use crate::error::Result;
use crate::log_event;
use crate::process::events::Event;

/// Largest datagram with a segment that is read, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 4096;

/// Binds a UDP socket.
pub async fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let address = SocketAddr::V4(address);
    UdpSocket::bind(address).await.map_err(|source| Error::Socket { address, source })
}

/// Waits for a datagram and returns its length in bytes. An error says that an earlier send was refused
/// by its receiver.
pub async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> usize {
    loop {
        match socket.recv_from(buffer).await {
            Ok((length, _)) => return length,
            Err(error) => log_event!(Event::ForwardFailed, "{error}"),
        }
    }
}

/// Sends a datagram. A lost one is sent again by the flow's ends or by the next round.
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
