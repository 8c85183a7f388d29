//! A small deployment: three zones with a balancer each, and a server with its agent in each.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::client::Flow;
use crate::client::Outcome;
use crate::server::Server;
use crate::world::Node;
use crate::world::Router;
use crate::world::World;

pub const ZONES: [&str; 3] = ["a", "b", "c"];

const BALANCER_HOSTS: [u8; 3] = [11, 12, 13];
pub const SIDE_HOSTS: [u8; 3] = [21, 22, 23];
const CLIENT_HOSTS: [u8; 3] = [41, 42, 43];

/// Deadline of a request.
pub const DEADLINE: Duration = Duration::from_secs(4);

/// `stable_window_ms` and a margin: after it, nothing of an earlier disturbance counts.
pub const CALM: Duration = Duration::from_millis(4_500);

pub struct System {
    pub world: World,
    pub agents: Vec<Node>,
    pub servers: Vec<Server>,
    pub clients: Vec<Client>,
    pub router: Router,
    pub balancers: Vec<Node>,
}

impl System {
    /// Starts the deployment with a service for each server, and waits until each server has answered.
    /// Route 1 leads to the first service, route 2 to `zpravy`. `cold_per_s` is what a cold server bears; 0 for
    /// no limit.
    pub fn start(world: World, services: [&str; 3], cold_per_s: u32) -> System {
        world.store.write("op/config", &configuration(&world, services[0], cold_per_s));
        let balancer =
            |(host, zone): (&u8, &&str)| world.start_node("balancer", *host, zone, &BALANCER_HOSTS);
        let balancers = BALANCER_HOSTS.iter().zip(&ZONES).map(balancer).collect();
        let agent =
            |(host, zone): (&u8, &&str)| world.start_node("agent", *host, zone, &BALANCER_HOSTS);
        let agents = SIDE_HOSTS.iter().zip(&ZONES).map(agent).collect();
        let entries: Vec<(u8, &str)> = BALANCER_HOSTS.into_iter().zip(ZONES).collect();
        let router = Router::start(&world, &entries);
        let hosts = SIDE_HOSTS.iter().zip(&ZONES).zip(services);
        let servers = hosts.map(|((host, zone), service)| {
            Server::start(&world, *host, service, zone, &format!("i-{host}"))
        });
        let servers: Vec<Server> = servers.collect();
        wait_until("all balancers are ready", || router.ready_count() == BALANCER_HOSTS.len());
        wait_until("all nodes are registered", || world.store.count("rhubarbthread/") == 6);
        let client = |(host, zone): (&u8, &&str)| Client::new(&world, &router, *host, zone);
        let clients = CLIENT_HOSTS.iter().zip(&ZONES).map(client).collect();
        let mut system = System { world, agents, servers, clients, router, balancers };
        system.wait_for_servers(services);
        // The start is a disturbance of its own.
        thread::sleep(CALM);
        system
    }

    /// Waits until a client of each zone was answered by the server of its zone.
    fn wait_for_servers(&mut self, services: [&str; 3]) {
        for (index, host) in SIDE_HOSTS.into_iter().enumerate() {
            let route = if services[index] == services[0] { 1 } else { 2 };
            self.flow_at(index, route, &format!("i-{host}"));
        }
    }

    /// Opens flows of a client until a request on one is answered by the server with this id.
    pub fn flow_at(&mut self, client: usize, route: u8, server: &str) -> Flow {
        let route = self.world.route(route);
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(15) {
            let client = &mut self.clients[client];
            if let Some(mut flow) = client.open(route) {
                match client.request(&mut flow, DEADLINE) {
                    Outcome::Answered { server: by, .. } if by == server => return flow,
                    _ => {}
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("no flow has opened at {server}");
    }
}

fn configuration(world: &World, first: &str, cold_per_s: u32) -> String {
    let route = |number: u8, service: &str| {
        let address = world.route(number);
        format!(
            r#"{{"name":"r-{number}","host":"{}","prefix":"/{}/","kind":"idempotent","timeout_ms":4000,"slo_ms":250,"priority":2,"service":"{service}","attempts":2}}"#,
            address.ip(),
            address.port()
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_conns":2000,"protocol":"h1","tls":false,"cold_s":2.0,"cold_per_s":{cold_per_s}.0}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{},{}],"limits":{{"header_bytes":16384,"body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        route(1, first),
        route(2, "zpravy"),
        service(first),
        service("zpravy")
    )
}

/// Waits for up to 15 s.
pub fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !is_so() {
        assert!(begun.elapsed() < Duration::from_secs(15), "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
