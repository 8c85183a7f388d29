//! QUIC endpoint of an agent, which terminates callers' flows.

use std::net::SocketAddr;
use std::sync::Arc;

use hmac::Hmac;
use hmac::Mac;
use quinn::Endpoint;
use quinn::EndpointConfig;
use quinn::TokioRuntime;
use sha2::Sha256;
use snafu::ResultExt;
use tokio::net::UdpSocket;

use crate::error::Result;
use crate::error::SocketSnafu;
use crate::process::agent_shared::AgentShared;
use crate::process::agent_socket::AgentSocket;
use crate::process::agent_socket::TagGenerator;

/// Opens the QUIC endpoint on a socket whose datagrams are enveloped, with flow tags as connection
/// IDs. All agents derive stateless reset tokens from the same `reset_key`.
pub fn flow_endpoint(
    shared: &Arc<AgentShared>,
    socket: UdpSocket,
    server: quinn::ServerConfig,
    reset_key: &[u8],
) -> Result<Endpoint> {
    let mac = Hmac::<Sha256>::new_from_slice(reset_key).expect("HMAC takes any key length");
    let mut config = EndpointConfig::new(Arc::new(StatelessResetKey { mac }));
    let tag_source = Arc::clone(shared);
    config.cid_generator(move || Box::new(TagGenerator::new(Arc::clone(&tag_source))));
    let fabric = shared.settings().fabric_address;
    let socket = Arc::new(AgentSocket::new(socket, fabric, Arc::clone(shared)));
    let address = SocketAddr::V4(shared.data_address());
    Endpoint::new_with_abstract_socket(config, Some(server), socket, Arc::new(TokioRuntime))
        .context(SocketSnafu { address })
}

/// HMAC-SHA-256 key for stateless reset tokens.
struct StatelessResetKey {
    mac: Hmac<Sha256>,
}

impl quinn::crypto::HmacKey for StatelessResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        let mut mac = self.mac.clone();
        mac.update(data);
        signature_out.copy_from_slice(&mac.finalize().into_bytes());
    }

    fn signature_len(&self) -> usize {
        32
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), quinn::crypto::CryptoError> {
        let mut mac = self.mac.clone();
        mac.update(data);
        mac.verify_slice(signature).map_err(|_| quinn::crypto::CryptoError)
    }
}
