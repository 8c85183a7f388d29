//! The system's own programs, started with the commands of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;

pub const DATA: u16 = 18_172;
pub const CONTROL: u16 = 17_720;
pub const READY: u16 = 18_167;
pub const ANNOUNCE: u16 = 18_166;
pub const OUTBOUND: u16 = 18_162;
pub const APP: u16 = 18_165;
pub const STORE: u16 = 18_169;
const METRICS: u16 = 9_464;

/// Host at which a node reaches the store, so that the store can tell the nodes apart.
pub fn store_host(host: u8) -> u8 {
    200 + host
}

/// A subnet of the loopback addresses whose ports are free.
pub fn free_subnet() -> Option<u8> {
    let is_free = |subnet: &u8| {
        TcpListener::bind((Ipv4Addr::new(127, *subnet, 0, store_host(2)), STORE)).is_ok()
            && TcpListener::bind((Ipv4Addr::new(127, *subnet, 0, 2), READY)).is_ok()
    };
    (150..250).find(is_free)
}

/// Nodes that were started; they are killed when the value is dropped.
pub struct Nodes {
    pub folder: String,
    pub subnet: u8,
    /// Seeds of the nodes, as exchange addresses.
    pub seeds: Vec<SocketAddrV4>,
    children: Vec<(u8, Child)>,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Nodes {
    /// Nodes of which none has started yet.
    pub fn new(folder: &str, subnet: u8, seeds: Vec<SocketAddrV4>) -> Nodes {
        Nodes { folder: folder.to_owned(), subnet, seeds, children: Vec::new() }
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.subnet, 0, host), port)
    }

    /// Starts a node; it reaches the store at the address that [`store_host`] gives.
    pub fn start(&mut self, role: &str, host: u8) -> std::io::Result<()> {
        let at = |port| self.at(host, port);
        let own = match role {
            "balancer" => format!(r#""exchange_address": "{}","#, at(ANNOUNCE)),
            _ => format!(
                r#""announce_address": "{}", "from_target_address": "{}", "target_address": "{}",
  "address_reuse_s": 2, "request_order": "priority","#,
                at(ANNOUNCE),
                at(OUTBOUND),
                at(APP)
            ),
        };
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        let settings = format!(
            r#"{{
  "node": "{role}-{host}", "availability_zone": "a", {own}
  "data_address": "{}", "control_address": "{}", "ready_address": "{}",
  "metrics_addresses": ["{}"], "seeds": [{seeds}], "store_endpoints": ["http://{}"],
  "store_silence_ms": 4000, "stop_s": 6, "log": {{ "format": "json", "level": "info" }}
}}"#,
            at(DATA),
            at(CONTROL),
            at(READY),
            at(METRICS),
            self.at(store_host(host), STORE)
        );
        let path = format!("{}/{role}-{host}.jsonc", self.folder);
        std::fs::write(&path, settings)?;
        let log = File::options().create(true).append(true).open(format!("{path}.log"))?;
        let program = Command::new("target/release/rhubarbthread-node")
            .arg(role)
            .env("RHUBARBTHREAD_CONFIG", &path)
            .stdout(log)
            .spawn()?;
        let pids = File::options().create(true).append(true).open(format!("{}/pids", self.folder));
        writeln!(pids?, "{}", program.id())?;
        self.children.push((host, program));
        Ok(())
    }

    /// Sends SIGTERM to a node and waits until it has ended.
    pub fn stop(&mut self, host: u8) -> std::io::Result<()> {
        let index = self.children.iter().position(|(other, _)| *other == host);
        let Some(index) = index else { return Ok(()) };
        let (_, mut child) = self.children.remove(index);
        Command::new("kill").args(["-TERM", &child.id().to_string()]).status()?;
        child.wait()?;
        Ok(())
    }
}
