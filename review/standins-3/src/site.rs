//! A small deployment: store, front nodes, nodes beside servers, servers, clients.

use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client::Clients;
use crate::client::Outcome;
use crate::client::Routers;
use crate::nodes::Network;
use crate::nodes::Node;
use crate::nodes::APP;
use crate::nodes::CONTROL;
use crate::nodes::DATA;
use crate::nodes::OUTBOUND;
use crate::nodes::READY;
use crate::nodes::STORE;
use crate::record::Record;
use crate::server::Ledger;
use crate::server::Server;
use crate::server::ServerPlan;
use crate::store::Store;

pub const ZONES: [&str; 3] = ["brno-a", "olomouc-b", "zlin-c"];
pub const HEARTBEAT: Duration = Duration::from_millis(770);

/// Services, and the last byte of the route's address that leads to each.
pub const SERVICES: [(&str, u8); 2] = [("vypocet", 1), ("zpravy", 2)];

pub struct Side {
    pub host: u8,
    pub zone: &'static str,
    pub service: usize,
    pub node: Node,
    pub server: Option<Server>,
}

pub struct Site {
    pub network: Network,
    pub record: Arc<Record>,
    pub ledger: Arc<Mutex<Ledger>>,
    pub store: Arc<Store>,
    pub clients: Arc<Clients>,
    pub fronts: Vec<Node>,
    pub sides: Vec<Side>,
    pub folder: PathBuf,
    stop: Arc<AtomicBool>,
}

/// A configuration in which each service has a route of its own.
pub fn configuration(network: Network, version: u64, cold_per_s: u32) -> String {
    let route = |(name, number): &(&str, u8)| {
        format!(
            r#"{{"name":"r-{name}","host":"{}","prefix":"/443/","kind":"non_idempotent","service":"{name}","priority":1,"slo_ms":300,"timeout_ms":5000}}"#,
            network.at(200 + number, 443).ip()
        )
    };
    let service = |(name, _): &(&str, u8)| {
        format!(
            r#"{{"name":"{name}","max_conns":2000,"cold_per_s":{cold_per_s},"health_path":"/health"}}"#
        )
    };
    let routes: Vec<String> = SERVICES.iter().map(route).collect();
    let services: Vec<String> = SERVICES.iter().map(service).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

impl Site {
    /// Starts all, with these sides: zone and service of each by index. Waits until requests are answered.
    pub fn start(
        folder: &str,
        fronts: &[usize],
        sides: &[(usize, usize)],
        cold_per_s: u32,
    ) -> Result<Site, String> {
        let network = Network::find().ok_or("no free loopback network")?;
        let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
        let record =
            Record::new(&format!("{folder}/record.txt")).map_err(|error| error.to_string())?;
        let (record, ledger) = (Arc::new(record), Arc::new(Mutex::new(Ledger::default())));
        let stop = Arc::new(AtomicBool::new(false));
        let store = Store::start(network.at(1, STORE)).map_err(|error| error.to_string())?;
        store.write("op/config", &configuration(network, 1, cold_per_s));
        record.line("the operator writes version 1 of the configuration");
        let front_host = |index: usize| 11 + index as u8;
        let seeds: Vec<u8> = (0..fronts.len().min(3)).map(front_host).collect();
        let front = |(index, zone): (usize, &usize)| {
            Node::start(&temporary, network, "balancer", front_host(index), ZONES[*zone], &seeds)
        };
        let front_nodes: Vec<Node> = fronts.iter().enumerate().map(front).collect();
        let side = |(index, (zone, service)): (usize, &(usize, usize))| {
            let (host, zone) = (21 + index as u8, ZONES[*zone]);
            let node = Node::start(&temporary, network, "agent", host, zone, &seeds);
            Side { host, zone, service: *service, node, server: None }
        };
        let side_nodes: Vec<Side> = sides.iter().enumerate().map(side).collect();
        let addresses = (0..fronts.len()).map(front_host);
        let addresses = addresses.map(|host| (network.at(host, DATA), network.at(host, READY)));
        let routers = Routers::start(addresses.collect(), Arc::clone(&stop));
        let clients =
            Clients::start(network.at(101, DATA), Arc::clone(&routers), Arc::clone(&stop));
        let mut site = Site {
            network,
            record,
            ledger,
            store,
            clients,
            fronts: front_nodes,
            sides: side_nodes,
            folder: temporary,
            stop,
        };
        for index in 0..site.sides.len() {
            site.start_server(index, site.sides[index].service, Duration::ZERO, Duration::ZERO);
        }
        let began = Instant::now();
        while routers.ready_count() < fronts.len() {
            if began.elapsed() > Duration::from_secs(10) {
                return Err("the front nodes did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(2));
        for try_number in 0.. {
            let ids: Vec<String> =
                (0..8).map(|index| format!("warm-{try_number}-{index}")).collect();
            for (index, id) in ids.iter().enumerate() {
                site.request(index % 2, id);
            }
            thread::sleep(Duration::from_millis(600));
            let attempts = site.clients.attempts();
            let is_answered = |id: &String| {
                attempts.iter().any(|one| one.id == *id && one.outcome == Outcome::Answered)
            };
            if ids.iter().all(is_answered) {
                break;
            }
            if try_number == 10 {
                return Err("requests are not answered before any disruption".to_owned());
            }
        }
        site.record.line("requests are answered on all routes");
        Ok(site)
    }

    /// Starts a server beside a node. `first_ping` is the time from its start to its first ping.
    pub fn start_server(
        &mut self,
        side: usize,
        service: usize,
        first_ping: Duration,
        cold: Duration,
    ) {
        let (host, zone) = (self.sides[side].host, self.sides[side].zone);
        let plan = ServerPlan {
            name: format!("{}-{host}", SERVICES[service].0),
            service: SERVICES[service].0.to_owned(),
            zone: zone.to_owned(),
            app: self.network.at(host, APP),
            outbound: self.network.at(host, OUTBOUND),
            control: self.network.at(host, CONTROL),
            slots: 9,
            work: Duration::from_millis(55),
            heartbeat: HEARTBEAT,
            first_ping,
            cold,
        };
        let (ledger, record) = (Arc::clone(&self.ledger), Arc::clone(&self.record));
        self.sides[side].server = Some(Server::start(plan, ledger, record));
    }

    pub fn request(&self, service: usize, id: &str) {
        let route = self.network.at(200 + SERVICES[service].1, 443);
        self.clients.request(route, id, Duration::from_secs(5));
    }

    /// Sends requests at a rate until `until`, nine in ten of them to the first service; ids begin with `name`.
    pub fn start_traffic(&self, name: String, per_s: u32, until: Instant) -> JoinHandle<()> {
        let (clients, network) = (Arc::clone(&self.clients), self.network);
        thread::spawn(move || {
            let (began, mut count) = (Instant::now(), 0);
            while Instant::now() < until {
                while f64::from(count) < began.elapsed().as_secs_f64() * f64::from(per_s) {
                    let (_, number) = SERVICES[usize::from(count % 10 == 9)];
                    let route = network.at(200 + number, 443);
                    clients.request(route, &format!("{name}-{count}"), Duration::from_secs(5));
                    count += 1;
                }
                thread::sleep(Duration::from_millis(2));
            }
        })
    }

    /// Records the requests that were run by a service to which their route does not lead, and the openings that
    /// such a service took. Returns the number of these requests.
    pub fn record_wrong_services(&self) -> Result<usize, String> {
        let ledger = self.ledger.lock().unwrap();
        let allowed = |route| {
            let leads_here =
                |(_, number): &&(&str, u8)| self.network.at(200 + number, 443) == route;
            let service = SERVICES.iter().find(leads_here);
            service.map(|(name, _)| *name).ok_or("a packet to no route".to_owned())
        };
        for taken in &ledger.taken {
            let allowed = allowed(taken.route)?;
            if taken.service != allowed {
                let text = format!(
                    "server {} of {} takes the opening from {} to {}, which leads to {allowed} alone",
                    taken.server, taken.service, taken.client, taken.route
                );
                self.record.line_at(taken.at, &text);
            }
        }
        let mut broken = 0;
        for run in &ledger.runs {
            let allowed = allowed(run.route)?;
            if run.service != allowed {
                broken += 1;
                let text = format!(
                    "ROUTE: server {} of {} runs request {} to {}, which leads to {allowed} alone",
                    run.server, run.service, run.id, run.route
                );
                self.record.line_at(run.at, &text);
            }
        }
        Ok(broken)
    }

    /// Writes the outcome of all requests to the record.
    pub fn record_requests(&self) {
        let runs = self.ledger.lock().unwrap().runs.clone();
        for attempt in self.clients.attempts() {
            let by: Vec<String> = runs
                .iter()
                .filter(|run| run.id == attempt.id)
                .map(|run| {
                    format!("{} at +{} ms", run.server, (run.at - attempt.sent_at).as_millis())
                })
                .collect();
            let text = format!(
                "request {} to {}: {:?}, run by {:?}, answer {:?}",
                attempt.id, attempt.route, attempt.outcome, by, attempt.answer
            );
            self.record.line_at(attempt.sent_at, &text);
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.sides.clear();
        self.fronts.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
