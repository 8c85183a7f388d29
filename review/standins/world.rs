//! The platform around the system: hosts, the processes of the system, the routers, and the record.

use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::store::Store;

// Ports of each host.
pub const DATAGRAM: u16 = 21_172;
pub const READY: u16 = 21_167;
pub const CONTROL: u16 = 21_166;
pub const OUTBOUND: u16 = 21_162;
pub const APP: u16 = 21_165;
const INTERNAL: u16 = 21_100;
const METRICS: u16 = 21_464;
const STORE: u16 = 21_169;

const STORE_HOST: u8 = 1;

/// Time after its end until a process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time between two readiness checks of a node.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);

const TERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Record of what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn note(&self, text: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at_s:8.3} {text}");
    }
}

/// The hosts 127.`subnet`.0.x, and what runs there for the whole case.
pub struct World {
    pub store: Store,
    pub record: Record,
    subnet: u8,
    folder: PathBuf,
    is_stopped: Arc<AtomicBool>,
    pids: Arc<Mutex<File>>,
}

impl World {
    /// Starts the store. The record goes to the folder of the case, settings and logs to the other one.
    pub fn start(case: &str, folder: &str) -> World {
        let record = File::create(format!("{case}/record.txt")).expect("the record can be written");
        let record = Record { file: Arc::new(Mutex::new(record)), started: Instant::now() };
        let folder = PathBuf::from(folder);
        let pids = File::create(folder.join("pids")).expect("the folder can be written");
        let subnet = free_subnet();
        record.note(&format!("hosts are 127.{subnet}.0.x"));
        let is_stopped = Arc::default();
        let store = SocketAddrV4::new(Ipv4Addr::new(127, subnet, 0, STORE_HOST), STORE);
        let store = Store::start(store, &is_stopped);
        World { store, record, subnet, folder, is_stopped, pids: Arc::new(Mutex::new(pids)) }
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.subnet, 0, host), port)
    }

    /// Address of a route: an address and a port to which clients send.
    pub fn route(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.subnet, 9, number), 8443)
    }

    /// Starts a process of the system on a host.
    pub fn start_node(&self, role: &str, host: u8, zone: &str, seeds: &[u8]) -> Node {
        let path = self.folder.join(format!("{role}-{host}.jsonc"));
        std::fs::write(&path, self.settings(role, host, zone, seeds))
            .expect("settings can be written");
        let log = self.folder.join(format!("{role}-{host}.log"));
        let mut node = Node {
            name: format!("{role}-{host}"),
            role: role.to_owned(),
            path,
            log,
            child: None,
            record: self.record.clone(),
            pids: Arc::clone(&self.pids),
        };
        node.start();
        node
    }

    /// Settings as `deploy/balancer.jsonc` and `deploy/agent.jsonc` are filled in for a small deployment.
    fn settings(&self, role: &str, host: u8, zone: &str, seeds: &[u8]) -> String {
        let at = |port| self.at(host, port).to_string();
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"{}\"", self.at(*seed, CONTROL))).collect();
        let own = match role {
            "balancer" => format!(r#""exchange_address": "{}","#, at(CONTROL)),
            _ => format!(
                r#""announce_address": "{}", "from_target_address": "{}", "target_address": "{}", "address_reuse_s": 2,"#,
                at(CONTROL),
                at(OUTBOUND),
                at(APP)
            ),
        };
        format!(
            r#"{{
  "node": "{role}-{host}",
  "availability_zone": "{zone}",
  "data_address": "{}",
  "control_address": "{}",
  "ready_address": "{}",
  {own}
  "metrics_addresses": ["{}"],
  "seeds": [{}],
  "store_endpoints": ["http://{}"],
  "store_silence_ms": 4000,
  "stop_s": 6,
  "log": {{ "format": "json", "level": "info" }}
}}"#,
            at(DATAGRAM),
            at(INTERNAL),
            at(READY),
            at(METRICS),
            seeds.join(", "),
            self.at(STORE_HOST, STORE)
        )
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

fn free_subnet() -> u8 {
    for subnet in 150..250 {
        let address = SocketAddrV4::new(Ipv4Addr::new(127, subnet, 0, STORE_HOST), STORE);
        if TcpListener::bind(address).is_ok() {
            return subnet;
        }
    }
    panic!("no free addresses");
}

/// A process of the system.
pub struct Node {
    name: String,
    role: String,
    path: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
    pids: Arc<Mutex<File>>,
}

impl Node {
    /// Starts the process with the command of `deploy/system.toml`.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let child = Command::new("target/release/rhubarbthread-node")
            .arg(&self.role)
            .env("RHUBARBTHREAD_CONFIG", &self.path)
            .stdout(Stdio::from(log.try_clone().expect("a file can be shared")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        let _ = writeln!(self.pids.lock().unwrap(), "{}", child.id());
        self.record.note(&format!("{} is started", self.name));
        self.child = Some(child);
    }

    /// Stops the process as planned work does, and starts it again a short delay after it has ended.
    pub fn roll(&mut self) {
        self.roll_with_delay(RESTART_DELAY);
    }

    /// Stops the process as planned work does, and starts it again after this delay.
    pub fn roll_with_delay(&mut self, delay: Duration) {
        let child = self.child.as_mut().expect("the process runs");
        self.record.note(&format!("{} gets SIGTERM", self.name));
        // SAFETY: `kill` takes any process id; this one belongs to a child that was not waited for.
        unsafe { kill(child.id() as i32, TERM) };
        let _ = child.wait();
        self.record.note(&format!("{} has ended", self.name));
        thread::sleep(delay);
        self.start();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Entry {
    zone: String,
    datagram: SocketAddrV4,
    ready: SocketAddrV4,
    misses: u32,
}

/// The platform's routers: each packet goes to a node in rotation, by a hash of addresses and ports.
#[derive(Clone)]
pub struct Router {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Router {
    /// Checks the readiness of the balancers, given by host and zone.
    pub fn start(world: &World, balancers: &[(u8, &str)]) -> Router {
        let entry = |(host, zone): &(u8, &str)| Entry {
            zone: (*zone).to_owned(),
            datagram: world.at(*host, DATAGRAM),
            ready: world.at(*host, READY),
            misses: 2,
        };
        let router =
            Router { entries: Arc::new(Mutex::new(balancers.iter().map(entry).collect())) };
        for index in 0..balancers.len() {
            let (entries, is_stopped) =
                (Arc::clone(&router.entries), Arc::clone(&world.is_stopped));
            thread::spawn(move || check_readiness(&entries, index, &is_stopped));
        }
        router
    }

    /// Number of balancers in rotation.
    pub fn ready_count(&self) -> usize {
        self.entries.lock().unwrap().iter().filter(|entry| entry.misses < 2).count()
    }

    /// Balancer for a client's packet: one of its zone, or any if none of its zone is in rotation.
    pub fn next_hop(&self, zone: &str, hash: u32) -> SocketAddrV4 {
        let entries = self.entries.lock().unwrap();
        let ready: Vec<&Entry> = entries.iter().filter(|entry| entry.misses < 2).collect();
        let mut candidates: Vec<&Entry> =
            ready.iter().filter(|entry| entry.zone == zone).copied().collect();
        if candidates.is_empty() {
            candidates = ready;
        }
        if candidates.is_empty() {
            candidates = entries.iter().collect();
        }
        candidates[hash as usize % candidates.len()].datagram
    }
}

fn check_readiness(entries: &Mutex<Vec<Entry>>, index: usize, is_stopped: &AtomicBool) {
    while !is_stopped.load(Ordering::Relaxed) {
        let started = Instant::now();
        let ready = entries.lock().unwrap()[index].ready;
        let request = http::encode("GET", ready, "/v1/readyz", "");
        let is_ready = http::call(ready, &request, READINESS_INTERVAL) == Some(200);
        {
            let entry = &mut entries.lock().unwrap()[index];
            entry.misses = if is_ready { 0 } else { entry.misses.saturating_add(1) };
        }
        thread::sleep(READINESS_INTERVAL.saturating_sub(started.elapsed()));
    }
}
