//! Review case: an agent is stopped and started again within the first heartbeat of its server.
//!
//! Arguments: the record's path and a temporary folder. With TROUBLE=0 the agent is not stopped. Exits with 1 if an
//! open flow was reset, 0 if none was, 2 if the case could not run.

mod client;
mod http;
mod json;
mod nodes;
mod packet;
mod record;
mod server;
mod store;

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::process::exit;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use client::Client;
use client::Router;
use client::State;
use nodes::free_subnet;
use nodes::store_host;
use nodes::Nodes;
use nodes::ANNOUNCE;
use nodes::APP;
use nodes::DATA;
use nodes::OUTBOUND;
use nodes::READY;
use nodes::STORE;
use record::Record;
use server::Plan;
use server::Server;
use store::Store;

const SERVICE: &str = "edits";
const HEARTBEAT: Duration = Duration::from_millis(770);

/// The configuration; the route's address stands in place of ROUTE.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-edits","host":"ROUTE","prefix":"/8080/","kind":"non_idempotent","timeout_ms":5000,"slo_ms":300,"priority":1,"service":"edits","attempts":2}],"services":[{"name":"edits","health_path":"/healthz","max_conns":2000,"protocol":"h1","tls":false,"cold_s":2.0,"cold_per_s":0.0}],"limits":{"header_bytes":16384,"body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

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
    let subnet = free_subnet().ok_or(std::io::ErrorKind::AddrInUse)?;
    let at = |host, port| SocketAddrV4::new(Ipv4Addr::new(127, subnet, 0, host), port);
    let mut nodes = Nodes::new(folder, subnet, vec![at(2, ANNOUNCE), at(3, ANNOUNCE)]);
    let store = Store::new();
    for host in [2, 3, 11, 12] {
        store.serve(at(store_host(host), STORE), host)?;
    }
    // An address of the platform, which only the packets' headers name.
    let route = at(99, 8_080);
    store.write("op/config", &CONFIG.replace("ROUTE", &route.ip().to_string()));
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
