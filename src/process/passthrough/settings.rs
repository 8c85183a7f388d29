//! Settings files of the balancer and the agent for passed-through flows: JSON with comments.

use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;

use crate::connection::flow_key::FlowKey;
use crate::connection::request_queue::RequestOrder;
use crate::error::Result;
use crate::process::document::Section;
use crate::process::settings::LogSettings;
use crate::process::settings::read_file;
use crate::process::settings::read_log_settings;
use crate::process::settings::read_store_endpoints;

/// Longest graceful shutdown, in milliseconds (ten minutes). It also bounds the other settings that are times.
const MAX_STOP_MS: u64 = 600_000;

/// Default time-out of an unresponsive connection to the store, in milliseconds: the platform tolerates
/// delays for this time after a fault.
const DEFAULT_STORE_SILENCE_MS: u64 = 4_000;

/// Settings that both roles need.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Path of the settings file, which is read again on a reload.
    pub path: PathBuf,
    /// Name of the node in logs and views.
    pub node: String,
    /// Availability zone of this host.
    pub availability_zone: String,
    /// Address at which the node receives segments.
    pub data_address: SocketAddrV4,
    /// Address for control datagrams between nodes.
    pub control_address: SocketAddrV4,
    /// Address of the platform's readiness check.
    pub ready_address: SocketAddrV4,
    /// Exchange addresses of balancers that the node contacts without the store.
    pub seeds: Vec<SocketAddrV4>,
    /// URLs of the platform's store.
    pub store_endpoints: Vec<String>,
    /// Address at which the metrics are served; `None` if they are not.
    pub metrics_address: Option<SocketAddrV4>,
    /// Time-out of an unresponsive connection to the store, in milliseconds.
    pub store_silence_ms: u64,
    /// Longest time between the start of a graceful shutdown and the end of the process, in milliseconds.
    pub stop_ms: u64,
    /// Settings of the log.
    pub log: LogSettings,
}

impl NodeSettings {
    /// Address for segments to a flow's caller: callers' hosts receive segments at the same port as nodes.
    pub fn caller_address(&self, flow: &FlowKey) -> SocketAddrV4 {
        SocketAddrV4::new(*flow.caller.ip(), self.data_address.port())
    }
}

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct PassthroughBalancerSettings {
    /// Settings that both roles need.
    pub node: NodeSettings,
    /// Address at which other balancers fetch the configuration.
    pub exchange_address: SocketAddrV4,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct PassthroughAgentSettings {
    /// Settings that both roles need.
    pub node: NodeSettings,
    /// Address of the target, for segments and for the check of its process.
    pub target_address: SocketAddrV4,
    /// Address at which the agent receives the target's segments.
    pub from_target_address: SocketAddrV4,
    /// Address at which the agent receives the target's reports.
    pub announce_address: SocketAddrV4,
    /// Earliest time after the end of a target, in milliseconds, at which another target may use its address.
    pub address_reuse_ms: u64,
    /// Order in which requests start at the target.
    pub request_order: RequestOrder,
}

impl PassthroughBalancerSettings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<PassthroughBalancerSettings> {
        read_file(path, |section| {
            let node = read_node(path, section);
            let exchange_address = section.address_v4("exchange_address");
            Some(PassthroughBalancerSettings { node: node?, exchange_address: exchange_address? })
        })
    }
}

impl PassthroughAgentSettings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<PassthroughAgentSettings> {
        read_file(path, |section| {
            let node = read_node(path, section);
            let target_address = section.address_v4("target_address");
            let from_target_address = section.address_v4("from_target_address");
            let announce_address = section.address_v4("announce_address");
            let address_reuse_ms = section.seconds_as_ms("address_reuse_s", 0..=MAX_STOP_MS / 1000);
            let request_order =
                section.choice("request_order", &["arrival", "priority"], "arrival");
            Some(PassthroughAgentSettings {
                node: node?,
                target_address: target_address?,
                from_target_address: from_target_address?,
                announce_address: announce_address?,
                address_reuse_ms: address_reuse_ms?,
                request_order: match request_order?.as_str() {
                    "priority" => RequestOrder::Priority,
                    _ => RequestOrder::Arrival,
                },
            })
        })
    }
}

fn read_node(path: &Path, section: &Section<'_>) -> Option<NodeSettings> {
    let node = section.text("node");
    let availability_zone = section.name("availability_zone");
    let data_address = section.address_v4("data_address");
    let control_address = section.address_v4("control_address");
    let ready_address = section.address_v4("ready_address");
    let seeds = section.addresses_v4("seeds");
    let store_endpoints = read_store_endpoints(section, true);
    let metrics_address = section.addresses_v4("metrics_addresses");
    let store_silence_ms =
        section.number("store_silence_ms", 1000..=MAX_STOP_MS, Some(DEFAULT_STORE_SILENCE_MS));
    let stop_ms = section.seconds_as_ms("stop_s", 0..=MAX_STOP_MS / 1000);
    let log = section.optional_section("log", LogSettings::default(), read_log_settings);
    Some(NodeSettings {
        path: path.to_owned(),
        node: node?,
        availability_zone: availability_zone?,
        data_address: data_address?,
        control_address: control_address?,
        ready_address: ready_address?,
        seeds: seeds?,
        store_endpoints: store_endpoints?,
        metrics_address: metrics_address?.first().copied(),
        store_silence_ms: store_silence_ms?,
        stop_ms: stop_ms?,
        log: log?,
    })
}
