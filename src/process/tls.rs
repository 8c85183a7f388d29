//! TLS configurations for QUIC: mutual TLS between nodes, and HTTP/3 between agents and callers.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use quinn::ClientConfig;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::server::WebPkiClientVerifier;
use snafu::ResultExt;

use crate::error::Error;
use crate::error::FileSnafu;
use crate::error::Result;
use crate::process::settings::CertificateFiles;
use crate::process::settings::NodeTls;

/// DNS name in the certificate of every node.
pub const NODE_NAME: &str = "rhubarbthread-node";

/// ALPN protocol name of control connections between nodes.
const CONTROL_ALPN: &[u8] = b"rhubarbthread/1";

/// ALPN protocol name of HTTP/3 (RFC 9114).
pub const HTTP3_ALPN: &[u8] = b"h3";

/// Idle time-out of a control connection, in milliseconds.
const CONTROL_IDLE_TIMEOUT_MS: u32 = 30_000;

/// Idle time-out of a caller's flow, in milliseconds.
const FLOW_IDLE_TIMEOUT_MS: u32 = 20_000;

/// Interval of the keep-alive packets of a flow.
const FLOW_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(7);

/// Most requests that one flow may have open at once.
const MAX_STREAMS_PER_FLOW: u32 = 32;

/// Most calls that one control connection may have open at once.
const MAX_STREAMS_PER_CONTROL_CONNECTION: u32 = 64;

/// QUIC configurations of both sides of a control connection.
#[derive(Clone)]
pub struct MutualTlsConfigs {
    /// Configuration that accepts connections. It requires a client certificate.
    pub server: ServerConfig,
    /// Configuration that opens connections. It presents the certificate of the node.
    pub client: ClientConfig,
}

/// Reads the files for mutual TLS and builds the QUIC configurations.
pub fn mutual_tls_configs(files: &NodeTls) -> Result<MutualTlsConfigs> {
    let roots = Arc::new(read_roots(&files.authority)?);
    let chain = read_certificates(&files.node.certificate)?;
    let key = read_key(&files.node.private_key)?;
    let verifier = WebPkiClientVerifier::builder(Arc::clone(&roots)).build().map_err(tls_error)?;
    let mut server = rustls::ServerConfig::builder()
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(tls_error)?;
    server.alpn_protocols = vec![CONTROL_ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder()
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(tls_error)?;
    client.alpn_protocols = vec![CONTROL_ALPN.to_vec()];
    let transport = Arc::new(control_transport());
    let server = QuicServerConfig::try_from(server).map_err(tls_error)?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(Arc::clone(&transport));
    let client = QuicClientConfig::try_from(client).map_err(tls_error)?;
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(transport);
    Ok(MutualTlsConfigs { server, client })
}

/// Reads the certificate presented to callers and builds the configuration of the HTTP/3 server.
pub fn caller_server_config(files: &CertificateFiles) -> Result<ServerConfig> {
    let chain = read_certificates(&files.certificate)?;
    let key = read_key(&files.private_key)?;
    let mut server = rustls::ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(tls_error)?;
    server.alpn_protocols = vec![HTTP3_ALPN.to_vec()];
    let server = QuicServerConfig::try_from(server).map_err(tls_error)?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(Arc::new(flow_transport()));
    Ok(server)
}

/// Builds the configuration of an HTTP/3 client that trusts the authorities in a PEM file.
pub fn caller_client_config(authority: &Path) -> Result<ClientConfig> {
    let roots = read_roots(authority)?;
    let mut client =
        rustls::ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
    client.alpn_protocols = vec![HTTP3_ALPN.to_vec()];
    let client = QuicClientConfig::try_from(client).map_err(tls_error)?;
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(Arc::new(flow_transport()));
    Ok(client)
}

fn control_transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_CONTROL_CONNECTION));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(CONTROL_IDLE_TIMEOUT_MS))));
    transport.mtu_discovery_config(None);
    transport
}

/// Transport of callers' flows. Datagrams keep the smallest size that QUIC allows, so that the envelope fits
/// on top of them; hence no MTU discovery.
fn flow_transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_FLOW));
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(FLOW_IDLE_TIMEOUT_MS))));
    transport.keep_alive_interval(Some(FLOW_KEEP_ALIVE_INTERVAL));
    transport.mtu_discovery_config(None);
    transport
}

/// Reads the certificates of trusted authorities from a PEM file.
pub fn read_roots(path: &Path) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(path)? {
        let added = roots.add(certificate);
        added.map_err(|error| Error::Tls { message: format!("{}: {error}", path.display()) })?;
    }
    Ok(roots)
}

/// Reads a certificate chain from a PEM file.
pub fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let mut reader = BufReader::new(File::open(path).context(FileSnafu { path })?);
    let certificates: Vec<CertificateDer<'static>> =
        rustls_pemfile::certs(&mut reader).collect::<Result<_, _>>().context(FileSnafu { path })?;
    if certificates.is_empty() {
        let message = format!("{} contains no certificate", path.display());
        return Err(Error::Tls { message });
    }
    Ok(certificates)
}

/// Reads a private key from a PEM file.
pub fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>> {
    let mut reader = BufReader::new(File::open(path).context(FileSnafu { path })?);
    let key = rustls_pemfile::private_key(&mut reader).context(FileSnafu { path })?;
    key.ok_or_else(|| Error::Tls { message: format!("{} contains no private key", path.display()) })
}

fn tls_error(error: impl std::fmt::Display) -> Error {
    Error::Tls { message: error.to_string() }
}
