//! A server crashes while one of its pings is held up. Its address is used again by a server of another
//! service, which registers. The agent beside it is stopped and started as planned, and the ping arrives.

use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Outcome;
use crate::http;
use crate::server::Server;
use crate::system::DEADLINE;
use crate::system::SIDE_HOSTS;
use crate::system::System;
use crate::system::ZONES;
use crate::system::wait_until;
use crate::world::APP;
use crate::world::CONTROL;
use crate::world::World;

/// `addr_reuse_s` of the deployment and a margin.
const ADDRESS_REUSE: Duration = Duration::from_millis(2_200);

/// Time from a ping of the next server to the stop of the agent, which is away at the ping after it.
const AFTER_PING: Duration = Duration::from_millis(350);

/// Time for which clients open flows after the agent's start.
const OBSERVATION: Duration = Duration::from_millis(1_500);

/// Sequence number of the ping that is held up.
const SEQUENCE: u64 = 1_000;

pub fn play(world: World, has_trouble: bool) -> Vec<String> {
    let mut system = System::start(world, ["vypocet", "vypocet", "zpravy"], 0);
    let (host, zone) = (SIDE_HOSTS[0], ZONES[0]);
    let record = system.world.record.clone();
    let (control, app) = (system.world.at(host, CONTROL), system.world.at(host, APP));

    let ping = system.servers[0].ping_request("vypocet", zone, app, SEQUENCE);
    let sent = Instant::now();
    record.note(&format!("a ping of {} is sent and held up", system.servers[0].id));
    system.servers[0].end();
    thread::sleep(ADDRESS_REUSE);
    let server = Server::start(&system.world, host, "zpravy", zone, "i-21-next");
    system.flow_at(0, 2, "i-21-next");
    wait_until("the next server is registered", || {
        server.confirmed_pings.load(Ordering::Relaxed) >= 2
    });
    thread::sleep(AFTER_PING);
    system.agents[0].roll();
    while TcpStream::connect(control).is_err() {
        thread::sleep(Duration::from_millis(2));
    }
    if has_trouble {
        let status = http::call(control, &ping, Duration::from_secs(1));
        let late_s = sent.elapsed().as_secs_f64();
        record.note(&format!("the ping arrives after {late_s:.1} s, answered with {status:?}"));
    }
    let begun = Instant::now();
    let route = system.world.route(1);
    let mut broken = Vec::new();
    while begun.elapsed() < OBSERVATION {
        let client = &mut system.clients[0];
        let Some(mut flow) = client.open(route) else { continue };
        if let Outcome::Answered { server: by, text } = client.request(&mut flow, DEADLINE)
            && by == server.id
        {
            broken.push(format!(
                "ROUTE: a request to the route of vypocet was run by zpravy: {text:?}"
            ));
        }
    }
    broken.truncate(3);
    broken
}
