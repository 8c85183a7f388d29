//! Settings of the daemons and of the operator tool. All values, and the files that they name, are checked
//! before a socket is opened.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;

use indexmap::IndexMap;

use crate::error::Error;
use crate::error::InvalidSnafu;
use crate::error::Result;
use crate::process::document::Document;
use crate::process::document::Section;
use crate::process::tls;

/// Upper bound of the setting `stop_ms`, in milliseconds (10 minutes).
const MAX_SHUTDOWN_WAIT_MS: u64 = 600_000;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest level that is logged.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { format: LogFormat::Text, level: log::LevelFilter::Info }
    }
}

/// Files of a certificate and its private key.
#[derive(Clone, Debug)]
pub struct CertificateFiles {
    /// PEM file of the certificate chain.
    pub certificate: PathBuf,
    /// PEM file of the private key.
    pub private_key: PathBuf,
}

/// Files for mutual TLS between agents and balancers.
#[derive(Clone, Debug)]
pub struct NodeTls {
    /// PEM file of the certificate authorities that sign node certificates.
    pub authority: PathBuf,
    /// Certificate of this node.
    pub node: CertificateFiles,
}

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Availability zone of the host that the daemon runs on.
    pub availability_zone: String,
    /// UDP address that receives callers' datagrams from the network fabric.
    pub data_address: SocketAddrV4,
    /// Address of the control connections from agents and other balancers.
    pub control_address: SocketAddrV4,
    /// HTTP address of the admin interface.
    pub admin_address: SocketAddrV4,
    /// Control addresses of balancers to contact at start.
    pub seeds: Vec<SocketAddrV4>,
    /// URLs of the store's endpoints.
    pub store_endpoints: Vec<String>,
    /// Mutual TLS with other nodes.
    pub tls: NodeTls,
    /// File of the secrets that all nodes share.
    pub keys_file: PathBuf,
    /// Number of threads that forward datagrams.
    pub forward_threads: usize,
    /// Longest time that a graceful shutdown keeps forwarding while the network fabric moves traffic to other
    /// balancers, in milliseconds.
    pub stop_ms: u64,
    /// Settings of the log.
    pub log: LogSettings,
    /// File to which the inputs of the decisions are traced, for tests.
    pub trace_path: Option<PathBuf>,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Availability zone of the host that the daemon runs on.
    pub availability_zone: String,
    /// UDP address that receives datagrams from balancers and other agents.
    pub data_address: SocketAddrV4,
    /// HTTP address of the admin interface and of the interface to the target on the same host.
    pub admin_address: SocketAddrV4,
    /// Address of the network fabric, which receives the datagrams to callers.
    pub fabric_address: SocketAddr,
    /// Control addresses of balancers that receive the first heartbeats.
    pub seeds: Vec<SocketAddrV4>,
    /// URLs of the store's endpoints, to find balancers if no seed answers.
    pub store_endpoints: Vec<String>,
    /// Mutual TLS with other nodes.
    pub tls: NodeTls,
    /// Certificate presented to callers.
    pub caller_tls: CertificateFiles,
    /// File of the secrets that all nodes share.
    pub keys_file: PathBuf,
    /// Time without a renewal after which the announcement of the target expires, in milliseconds.
    pub target_term_ms: u64,
    /// Longest wait of a graceful shutdown for running requests, in milliseconds.
    pub stop_ms: u64,
    /// Settings of the log.
    pub log: LogSettings,
    /// File to which the inputs of the decisions are traced, for tests.
    pub trace_path: Option<PathBuf>,
}

/// Settings of the operator tool.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// URLs of the store's endpoints.
    pub store_endpoints: Vec<String>,
    /// Admin addresses of balancers that are queried for the status.
    pub admin_seeds: Vec<SocketAddrV4>,
}

impl BalancerSettings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<BalancerSettings> {
        read_file(path, read_balancer)
    }
}

impl AgentSettings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<AgentSettings> {
        read_file(path, read_agent)
    }
}

impl OperatorSettings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<OperatorSettings> {
        read_file(path, read_operator)
    }
}

pub(crate) fn read_file<T>(path: &Path, read: impl FnOnce(&Section<'_>) -> Option<T>) -> Result<T> {
    let document = Document::open(path).map_err(|fault| Error::Invalid { faults: vec![fault] })?;
    document.read(read).or_else(|faults| InvalidSnafu { faults }.fail())
}

fn read_balancer(section: &Section<'_>) -> Option<BalancerSettings> {
    let availability_zone = section.name("availability_zone");
    let data_address = section.address_v4("data_address");
    let control_address = section.address_v4("control_address");
    let admin_address = section.address_v4("admin_address");
    let seeds = section.addresses_v4("seeds");
    let store_endpoints = read_store_endpoints(section, true);
    let tls = section.section("tls", read_node_tls);
    let keys_file = section.path("keys_file");
    let forward_threads = section.number("forward_threads", 1..=64, Some(1));
    let stop_ms = section.number("stop_ms", 0..=MAX_SHUTDOWN_WAIT_MS, Some(10_000));
    let log = section.optional_section("log", LogSettings::default(), read_log_settings);
    let trace_path = section.optional_path("trace_path");
    report_duplicate_addresses(
        section,
        &[
            ("data_address", data_address),
            ("control_address", control_address),
            ("admin_address", admin_address),
        ],
    );
    Some(BalancerSettings {
        availability_zone: availability_zone?,
        data_address: data_address?,
        control_address: control_address?,
        admin_address: admin_address?,
        seeds: seeds?,
        store_endpoints: store_endpoints?,
        tls: tls?,
        keys_file: keys_file?,
        forward_threads: forward_threads? as usize,
        stop_ms: stop_ms?,
        log: log?,
        trace_path,
    })
}

fn read_agent(section: &Section<'_>) -> Option<AgentSettings> {
    let availability_zone = section.name("availability_zone");
    let data_address = section.address_v4("data_address");
    let admin_address = section.address_v4("admin_address");
    let fabric_address = section.address("fabric_address");
    let seeds = section.addresses_v4("seeds");
    let store_endpoints = read_store_endpoints(section, false);
    let tls = section.section("tls", read_node_tls);
    let caller_tls = section.section("caller_tls", read_certificate);
    let keys_file = section.path("keys_file");
    let target_term_ms = section.number("target_term_ms", 500..=60_000, Some(3_000));
    let stop_ms = section.number("stop_ms", 0..=MAX_SHUTDOWN_WAIT_MS, Some(MAX_SHUTDOWN_WAIT_MS));
    let log = section.optional_section("log", LogSettings::default(), read_log_settings);
    let trace_path = section.optional_path("trace_path");
    report_duplicate_addresses(
        section,
        &[("data_address", data_address), ("admin_address", admin_address)],
    );
    Some(AgentSettings {
        availability_zone: availability_zone?,
        data_address: data_address?,
        admin_address: admin_address?,
        fabric_address: fabric_address?,
        seeds: seeds?,
        store_endpoints: store_endpoints?,
        tls: tls?,
        caller_tls: caller_tls?,
        keys_file: keys_file?,
        target_term_ms: target_term_ms?,
        stop_ms: stop_ms?,
        log: log?,
        trace_path,
    })
}

fn read_operator(section: &Section<'_>) -> Option<OperatorSettings> {
    let store_endpoints = read_store_endpoints(section, true);
    let admin_seeds = section.addresses_v4("admin_seeds");
    Some(OperatorSettings { store_endpoints: store_endpoints?, admin_seeds: admin_seeds? })
}

pub(crate) fn read_store_endpoints(
    section: &Section<'_>,
    is_required: bool,
) -> Option<Vec<String>> {
    let endpoints = section.texts("store_endpoints")?;
    if is_required && endpoints.is_empty() {
        section.add_fault("store_endpoints", "must name at least one URL".to_owned());
        return None;
    }
    for endpoint in &endpoints {
        if !endpoint.starts_with("http://") && !endpoint.starts_with("https://") {
            let allowed = "must be URLs, as \"http://10.0.0.1:2379\"";
            section.add_fault("store_endpoints", format!("{allowed}, not {endpoint:?}"));
            return None;
        }
    }
    Some(endpoints)
}

fn read_node_tls(section: &Section<'_>) -> Option<NodeTls> {
    let authority = section.path("authority");
    check_file(section, "authority", authority.as_deref(), tls::read_roots);
    let node = read_certificate(section);
    Some(NodeTls { authority: authority?, node: node? })
}

fn read_certificate(section: &Section<'_>) -> Option<CertificateFiles> {
    let certificate = section.path("certificate");
    let private_key = section.path("private_key");
    check_file(section, "certificate", certificate.as_deref(), tls::read_certificates);
    check_file(section, "private_key", private_key.as_deref(), tls::read_key);
    Some(CertificateFiles { certificate: certificate?, private_key: private_key? })
}

/// Adds a fault to `key` if the file that it names cannot be read by `read`.
fn check_file<T>(
    section: &Section<'_>,
    key: &str,
    path: Option<&Path>,
    read: impl FnOnce(&Path) -> Result<T>,
) {
    if let Some(Err(error)) = path.map(read) {
        section.add_fault(key, error.to_string());
    }
}

pub(crate) fn read_log_settings(section: &Section<'_>) -> Option<LogSettings> {
    let format = section.choice("format", &["text", "json"], "text");
    let level = section.choice("level", &["error", "warn", "info", "debug", "trace"], "info");
    let format = match format?.as_str() {
        "json" => LogFormat::Json,
        _ => LogFormat::Text,
    };
    Some(LogSettings { format, level: level?.parse().ok()? })
}

fn report_duplicate_addresses(section: &Section<'_>, addresses: &[(&str, Option<SocketAddrV4>)]) {
    let mut seen: IndexMap<SocketAddrV4, &str> = IndexMap::new();
    for (key, address) in addresses {
        let Some(address) = address else {
            continue;
        };
        if let Some(other) = seen.get(address) {
            section.add_fault(key, format!("is the same address as {other}"));
        } else {
            seen.insert(*address, key);
        }
    }
}
