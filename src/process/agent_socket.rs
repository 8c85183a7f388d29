//! UDP socket of an agent's QUIC endpoint: decapsulates received datagrams, checks their service,
//! decides on openings, and encapsulates sent datagrams for the fabric.

use std::fmt;
use std::io;
use std::io::IoSliceMut;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use quinn::AsyncUdpSocket;
use quinn::ConnectionId;
use quinn::ConnectionIdGenerator;
use quinn::UdpPoller;
use quinn::udp::RecvMeta;
use quinn::udp::Transmit;
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;

use crate::connection::datagram;
use crate::connection::datagram::PacketHeader;
use crate::connection::envelope;
use crate::connection::envelope::EnvelopeHeader;
use crate::connection::openings::OpeningDecision;
use crate::connection::openings::OpeningKey;
use crate::connection::tag::Arrival;
use crate::connection::tag::TAG_BYTES;
use crate::connection::tag::Tag;
use crate::process::agent_shared::AgentShared;
use crate::process::agent_state::Decision;
use crate::process::agent_state::Input;
use crate::process::metrics::count;
use crate::version::hash::incarnation_fingerprint;

/// Size of the receive buffer, in bytes. Longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 4_096;

/// Initial capacity of the buffer for an encoded envelope, in bytes.
const ENVELOPE_CAPACITY_BYTES: usize = 2_048;

/// Why an agent dropped a datagram.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AgentDrop {
    /// The envelope does not parse.
    BadEnvelope,
    /// The destination is not the address of this agent's service.
    OtherService,
    /// The datagram is not QUIC, or it has no valid flow tag and cannot open a flow.
    NotQuic,
    /// The flow tag names another agent.
    OtherAgent,
    /// The availability zone is out of service.
    ZoneOut,
    /// No target has announced itself, or its service is not in the configuration.
    NoTarget,
}

impl AgentDrop {
    /// All reasons, for the check of the documentation.
    pub const ALL: [AgentDrop; 6] = [
        AgentDrop::BadEnvelope,
        AgentDrop::OtherService,
        AgentDrop::NotQuic,
        AgentDrop::OtherAgent,
        AgentDrop::ZoneOut,
        AgentDrop::NoTarget,
    ];

    /// Returns the label of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AgentDrop::BadEnvelope => "bad-envelope",
            AgentDrop::OtherService => "other-service",
            AgentDrop::NotQuic => "not-quic",
            AgentDrop::OtherAgent => "other-agent",
            AgentDrop::ZoneOut => "zone-out",
            AgentDrop::NoTarget => "no-target",
        }
    }
}

/// What to do with a received datagram.
enum DatagramAction {
    /// Give it to the QUIC endpoint.
    Deliver,
    /// Forward it to the next agent of the chain.
    Forward(SocketAddr),
    /// Drop it for this reason.
    Drop(AgentDrop),
}

/// Socket that sends and receives enveloped datagrams.
pub struct AgentSocket {
    socket: UdpSocket,
    fabric: SocketAddr,
    shared: Arc<AgentShared>,
}

impl AgentSocket {
    /// Creates the socket of an agent on a UDP socket. Datagrams of the QUIC endpoint
    /// are sent to `fabric`.
    pub fn new(socket: UdpSocket, fabric: SocketAddr, shared: Arc<AgentShared>) -> AgentSocket {
        AgentSocket { socket, fabric, shared }
    }

    /// Checks the service and the zone, then the flow tag or the opening.
    fn choose_action(&self, header: &EnvelopeHeader, datagram: &[u8]) -> DatagramAction {
        let Some(binding) = self.shared.binding() else {
            return DatagramAction::Drop(AgentDrop::NoTarget);
        };
        if header.destination != binding.service_address {
            return DatagramAction::Drop(AgentDrop::OtherService);
        }
        if self.shared.is_zone_drained() {
            return DatagramAction::Drop(AgentDrop::ZoneOut);
        }
        let (connection_id, is_long_header) = match datagram::parse_header(datagram) {
            Ok(PacketHeader::Long { connection_id }) => (connection_id, true),
            Ok(PacketHeader::Short { connection_id }) => (connection_id, false),
            Err(_) => return DatagramAction::Drop(AgentDrop::NotQuic),
        };
        match self.shared.keys().tag_keys.open(connection_id) {
            Some(tag) => self.choose_tagged_action(&tag, binding.service_number),
            None if is_long_header => {
                self.choose_opening_action(header, connection_id, datagram.len())
            }
            None => DatagramAction::Drop(AgentDrop::NotQuic),
        }
    }

    fn choose_tagged_action(&self, tag: &Tag, service_number: u16) -> DatagramAction {
        match tag.check_arrival(self.shared.data_address(), service_number) {
            Arrival::Own => DatagramAction::Deliver,
            Arrival::OtherService => DatagramAction::Drop(AgentDrop::OtherService),
            Arrival::OtherAgent => DatagramAction::Drop(AgentDrop::OtherAgent),
        }
    }

    fn choose_opening_action(
        &self,
        header: &EnvelopeHeader,
        connection_id: &[u8],
        bytes: usize,
    ) -> DatagramAction {
        if !datagram::may_open_flow(connection_id, bytes) {
            return DatagramAction::Drop(AgentDrop::NotQuic);
        }
        if self.shared.is_zone_out() && header.position + 1 >= header.chain.len() {
            return DatagramAction::Drop(AgentDrop::ZoneOut);
        }
        let key = OpeningKey { caller: header.source, connection_id: connection_id.to_vec() };
        let input =
            Input::Opening { key, position: header.position, chain_length: header.chain.len() };
        let Decision::Opening(decision) = self.shared.apply(&input) else {
            return DatagramAction::Drop(AgentDrop::NotQuic);
        };
        let openings = &self.shared.metrics().openings;
        match decision {
            OpeningDecision::PassOn => {
                count(openings, "passed-on");
                DatagramAction::Forward(SocketAddr::V4(header.chain[header.position + 1]))
            }
            OpeningDecision::Accept => {
                count(openings, "accepted");
                DatagramAction::Deliver
            }
            OpeningDecision::Refuse(_) => {
                count(openings, "refused");
                DatagramAction::Deliver
            }
        }
    }

    fn forward_to_next_agent(&self, mut header: EnvelopeHeader, datagram: &[u8], next: SocketAddr) {
        header.position += 1;
        let mut bytes = Vec::with_capacity(ENVELOPE_CAPACITY_BYTES);
        envelope::encode(&header, datagram, &mut bytes);
        // If the socket buffer is full the datagram is lost, as on any hop; the caller retransmits
        // it.
        let _ = self.socket.try_send_to(&bytes, next);
    }

    /// Handles one envelope. Returns the caller and the datagram if it is for the QUIC endpoint.
    fn handle_envelope<'b>(&self, bytes: &'b [u8]) -> Option<(SocketAddr, &'b [u8])> {
        self.shared.metrics().datagrams_received.inc();
        let Ok((header, datagram)) = envelope::decode(bytes) else {
            count(&self.shared.metrics().datagrams_dropped, AgentDrop::BadEnvelope.as_str());
            return None;
        };
        match self.choose_action(&header, datagram) {
            DatagramAction::Deliver => Some((header.source, datagram)),
            DatagramAction::Forward(next) => {
                self.forward_to_next_agent(header, datagram, next);
                None
            }
            DatagramAction::Drop(reason) => {
                count(&self.shared.metrics().datagrams_dropped, reason.as_str());
                None
            }
        }
    }
}

impl fmt::Debug for AgentSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgentSocket").field("fabric", &self.fabric).finish_non_exhaustive()
    }
}

impl AsyncUdpSocket for AgentSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller { socket: self })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let Some(binding) = self.shared.last_binding() else {
            return Ok(());
        };
        let header = EnvelopeHeader::new(binding.service_address, transmit.destination);
        let mut bytes = Vec::with_capacity(ENVELOPE_CAPACITY_BYTES);
        envelope::encode(&header, transmit.contents, &mut bytes);
        self.socket.try_send_to(&bytes, self.fabric).map(|_| ())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(self.socket.poll_recv_from(cx, &mut buffer))?;
            let Some((caller, datagram)) = self.handle_envelope(buffer.filled()) else {
                continue;
            };
            if datagram.len() > buffers[0].len() {
                continue;
            }
            buffers[0][..datagram.len()].copy_from_slice(datagram);
            meta[0] = RecvMeta {
                addr: caller,
                len: datagram.len(),
                stride: datagram.len(),
                ecn: None,
                dst_ip: None,
            };
            return Poll::Ready(Ok(1));
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

#[derive(Debug)]
struct WritePoller {
    socket: Arc<AgentSocket>,
}

impl UdpPoller for WritePoller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.socket.poll_send_ready(cx)
    }
}

/// Generator of connection IDs that are flow tags.
pub struct TagGenerator {
    shared: Arc<AgentShared>,
}

impl TagGenerator {
    /// Creates a generator of an agent's tags.
    pub fn new(shared: Arc<AgentShared>) -> TagGenerator {
        TagGenerator { shared }
    }
}

impl ConnectionIdGenerator for TagGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&self.shared.generate_tag())
    }

    fn cid_len(&self) -> usize {
        TAG_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Returns the flow tag with these contents.
pub fn make_tag(agent: SocketAddrV4, incarnation: u64, service: u16, zone: u16, nonce: u32) -> Tag {
    Tag { agent, incarnation: incarnation_fingerprint(incarnation), service, zone, nonce }
}
