//! Review case: the store turns a balancer and an agent away for a while and takes their keys away; later another
//! balancer is stopped and started again.
//!
//! Arguments: the record's path and a temporary folder. With TROUBLE=0 the store turns nobody away. Exits with 1 if an
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

const RESTARTED_BALANCER: u8 = 2;
const OTHER_BALANCER: u8 = 3;
const AGENT: u8 = 11;
const OTHER_AGENTS: [u8; 3] = [12, 13, 14];

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
    // The first is the balancer that is restarted; the machines of the others have been removed.
    let seeds = [RESTARTED_BALANCER, 8, 9].map(|host| at(host, ANNOUNCE)).to_vec();
    let mut nodes = Nodes::new(folder, subnet, seeds);
    let store = Store::new();
    let agents: Vec<u8> = std::iter::once(AGENT).chain(OTHER_AGENTS).collect();
    for host in [RESTARTED_BALANCER, OTHER_BALANCER].iter().chain(&agents) {
        store.serve(at(store_host(*host), STORE), *host)?;
    }
    // An address of the platform, which only the packets' headers name.
    let route = at(99, 8_080);
    store.write("op/config", &CONFIG.replace("ROUTE", &route.ip().to_string()));
    nodes.start("balancer", RESTARTED_BALANCER)?;
    nodes.start("balancer", OTHER_BALANCER)?;
    for host in &agents {
        nodes.start("agent", *host)?;
    }
    sleep_ms(300);
    let mut servers = Vec::new();
    for (host, id) in agents.iter().zip(["server-1", "server-2", "server-3", "server-4"]) {
        let plan = Plan {
            id,
            service: "edits",
            app: at(*host, APP),
            outbound: at(*host, OUTBOUND),
            control: at(*host, ANNOUNCE),
            heartbeat: Duration::from_millis(770),
            cold: Duration::ZERO,
        };
        servers.push(Server::start(plan, record.clone())?);
    }
    let balancers =
        [RESTARTED_BALANCER, OTHER_BALANCER].map(|host| (at(host, DATA), at(host, READY))).to_vec();
    let router = Router::start(balancers);
    let client = Client::start(at(101, DATA), route, router.clone(), record.clone())?;
    let deadline = Instant::now() + Duration::from_secs(20);
    let is_confirmed = |server: &Server| server.acknowledged.lock().unwrap().is_some();
    while router.ready_count() < 2 || !servers.iter().all(|server| is_confirmed(server)) {
        if Instant::now() > deadline {
            eprintln!("the system is not ready");
            return Ok(2);
        }
        sleep_ms(50);
    }
    sleep_ms(3_000);
    for port in 20_000..20_048 {
        client.open(port);
        sleep_ms(10);
    }
    sleep_ms(2_000);
    if has_trouble {
        let keys = store.turn_away(&[OTHER_BALANCER, AGENT]);
        record.line(&format!("the store turns two machines away and takes {keys:?} away"));
        sleep_ms(9_000);
        store.serve_all();
        record.line("the store serves all machines again");
        sleep_ms(6_000);
    }
    let resets_before = client.resets.lock().unwrap().len();
    record.line("a balancer gets SIGTERM");
    nodes.stop(RESTARTED_BALANCER)?;
    sleep_ms(500);
    nodes.start("balancer", RESTARTED_BALANCER)?;
    record.line("the balancer starts again");
    sleep_ms(5_000);
    let open_at = |server: &Server| server.open_flows.lock().unwrap().clone();
    let open_flows: Vec<Vec<u16>> = servers.iter().map(|server| open_at(server)).collect();
    let resets = client.resets.lock().unwrap().clone();
    let broken =
        resets.iter().filter(|port| open_flows.iter().any(|open| open.contains(port))).count();
    let flows = client.flows.lock().unwrap();
    let open = flows.values().filter(|flow| flow.state == State::Open).count();
    let answers: u32 = flows.values().map(|flow| flow.answers).sum();
    let summary = format!(
        "{broken} open flows were reset though their server lives, {resets_before} of them before the restart; \
         {open} flows are open; {answers} answers; {} flows had opened at server-1",
        open_flows[0].len()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(i32::from(broken > 0))
}
