//! Review case: an agent is stopped and started again within the first heartbeat of its server.
//!
//! Arguments: the record's path and a temporary folder. With TROUBLE=0 the agent is not stopped. Exits with 1 if an
//! open flow was reset, 0 if none was, 2 if the case could not run.

mod client;
mod http;
mod json;
mod packet;
mod record;
mod server;
mod store;

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::process::exit;
use std::process::Child;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use client::Client;
use client::Router;
use client::State;
use record::Record;
use server::Plan;
use server::Server;
use store::Store;

const DATA: u16 = 18_172;
const CONTROL: u16 = 17_720;
const READY: u16 = 18_167;
const ANNOUNCE: u16 = 18_166;
const OUTBOUND: u16 = 18_162;
const APP: u16 = 18_165;
const STORE: u16 = 18_169;
const METRICS: u16 = 9_464;

const SERVICE: &str = "edits";
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Nodes that were started; they are killed when the value is dropped.
struct Nodes {
    folder: String,
    subnet: u8,
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
    fn at(&self, host: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.subnet, 0, host), port)
    }

    fn start(&mut self, role: &str, host: u8) -> std::io::Result<()> {
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
        let seeds = [2, 3].map(|host| format!("\"{}\"", self.at(host, ANNOUNCE))).join(",");
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
            self.at(1, STORE)
        );
        let path = format!("{}/{role}-{host}.jsonc", self.folder);
        std::fs::write(&path, settings)?;
        let log = File::options().create(true).append(true).open(format!("{path}.log"))?;
        let program = Command::new("target/release/rhubarbthread-node")
            .arg(role)
            .env("RHUBARBTHREAD_CONFIG", &path)
            .stdout(log)
            .spawn()?;
        self.children.push((host, program));
        Ok(())
    }

    /// Sends SIGTERM to a node and waits until it has ended.
    fn stop(&mut self, host: u8) -> std::io::Result<()> {
        let index = self.children.iter().position(|(other, _)| *other == host);
        let Some(index) = index else { return Ok(()) };
        let (_, mut child) = self.children.remove(index);
        Command::new("kill").args(["-TERM", &child.id().to_string()]).status()?;
        child.wait()?;
        Ok(())
    }
}

fn sleep_ms(time_ms: u64) {
    thread::sleep(Duration::from_millis(time_ms));
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [record, folder] = &arguments[..] else { exit(2) };
    let code = run(record, folder).unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        2
    });
    exit(code);
}

fn run(record: &str, folder: &str) -> std::io::Result<i32> {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(record)?;
    let is_free = |subnet: &u8| {
        TcpListener::bind((Ipv4Addr::new(127, *subnet, 0, 1), STORE)).is_ok()
            && TcpListener::bind((Ipv4Addr::new(127, *subnet, 0, 2), DATA)).is_ok()
    };
    let subnet = (150..250).find(is_free).ok_or(std::io::ErrorKind::AddrInUse)?;
    let mut nodes = Nodes { folder: folder.to_owned(), subnet, children: Vec::new() };
    let at = |host, port| SocketAddrV4::new(Ipv4Addr::new(127, subnet, 0, host), port);
    let store = Store::start(at(1, STORE))?;
    store.write(
        "op/config",
        r#"{"version":7,"routes":[{"name":"r-edits","host":"198.18.0.1","prefix":"/8080/","kind":"non_idempotent","timeout_ms":5000,"slo_ms":300,"priority":1,"service":"edits","attempts":2}],"services":[{"name":"edits","health_path":"/healthz","max_conns":2000,"protocol":"h1","tls":false,"cold_s":2.0,"cold_per_s":0.0}],"limits":{"header_bytes":16384,"body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    );
    let plan = |id, host| Plan {
        id,
        service: SERVICE,
        app: at(host, APP),
        outbound: at(host, OUTBOUND),
        control: at(host, ANNOUNCE),
        heartbeat: HEARTBEAT,
        cold: Duration::from_secs(2),
    };
    nodes.start("balancer", 2)?;
    nodes.start("balancer", 3)?;
    nodes.start("agent", 11)?;
    sleep_ms(300);
    let old = Server::start(plan("server-old", 11), record.clone())?;
    let balancers = [2, 3].map(|host| (at(host, DATA), at(host, READY))).to_vec();
    let router = Router::start(balancers);
    let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080);
    let client = Client::start(at(101, DATA), route, router.clone(), record.clone())?;
    let deadline = Instant::now() + Duration::from_secs(20);
    while router.ready_count() < 2 || old.acknowledged.lock().unwrap().is_none() {
        if Instant::now() > deadline {
            eprintln!("the system is not ready");
            return Ok(2);
        }
        sleep_ms(50);
    }
    sleep_ms(4_000);
    let mut ports = 20_000..;
    let mut open = |count: usize| {
        for port in ports.by_ref().take(count) {
            client.open(port);
            sleep_ms(5);
        }
    };
    open(10);
    sleep_ms(4_000);
    // A server is added, with its machine.
    nodes.start("agent", 12)?;
    sleep_ms(300);
    let new = Server::start(plan("server-new", 12), record.clone())?;
    while new.acknowledged.lock().unwrap().is_none() {
        if Instant::now() > deadline {
            eprintln!("the new server's ping is not acknowledged");
            return Ok(2);
        }
        sleep_ms(5);
    }
    sleep_ms(100);
    open(40);
    let held = new.open_flows.lock().unwrap().len();
    record.line(&format!("the new server has {held} open flows"));
    if held == 0 {
        eprintln!("no flow has opened at the new server");
        return Ok(2);
    }
    if has_trouble {
        record.line("the agent of server-new gets SIGTERM");
        nodes.stop(12)?;
        sleep_ms(300);
        nodes.start("agent", 12)?;
        record.line("the agent of server-new starts again");
    }
    sleep_ms(8_000);
    let of_new = new.open_flows.lock().unwrap().clone();
    let of_old = old.open_flows.lock().unwrap().clone();
    let resets = client.resets.lock().unwrap().clone();
    let broken =
        resets.iter().filter(|port| of_new.contains(port) || of_old.contains(port)).count();
    let flows = client.flows.lock().unwrap();
    let open = flows.values().filter(|flow| flow.state == State::Open).count();
    let answers: u32 = flows.values().map(|flow| flow.answers).sum();
    let summary = format!(
        "{broken} open flows were reset though their server lives; {open} flows are open; {answers} answers; \
         {} flows had opened at server-new, {} at server-old",
        of_new.len(),
        of_old.len()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(i32::from(broken > 0))
}
