//! A server of a service is replaced by one that is cold, while clients open flows to the service. The agent
//! beside it is stopped and started as planned.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::http;
use crate::server::Opening;
use crate::server::Server;
use crate::system::SIDE_HOSTS;
use crate::system::System;
use crate::system::ZONES;
use crate::system::wait_until;
use crate::world::CONTROL;
use crate::world::World;

/// `cold_per_s` of the service.
const COLD_PER_S: u32 = 30;

/// `cold_per_s` x `cold_burst_factor` + `cold_slack`.
const LIMIT: usize = 50;

/// `cold_s` of the service.
const COLD: Duration = Duration::from_secs(2);

/// `drain_ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Time from the first opening that the cold server takes to the stop of its agent.
const STOP_AFTER: Duration = Duration::from_millis(100);

/// Time after its end until the agent is started again.
const RESTART_DELAY: Duration = Duration::from_millis(400);

const CLIENT_HOSTS: std::ops::Range<u8> = 51..57;

/// Time between two flows of a client.
const PAUSE: Duration = Duration::from_millis(10);

pub fn play(world: World, has_trouble: bool) -> Vec<String> {
    let mut system = System::start(world, ["vypocet", "vypocet", "zpravy"], COLD_PER_S);
    let (host, zone) = (SIDE_HOSTS[2], ZONES[2]);
    let record = system.world.record.clone();
    let control = system.world.at(host, CONTROL);

    let is_over = Arc::new(AtomicBool::new(false));
    let clients = CLIENT_HOSTS.map(|host| {
        let mut client = Client::new(&system.world, &system.router, host, zone);
        let (route, is_over) = (system.world.route(2), Arc::clone(&is_over));
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                client.open(route);
                thread::sleep(PAUSE);
            }
            client.openings_sent
        })
    });
    let clients: Vec<_> = clients.collect();

    system.servers[2].drain(DRAIN);
    http::call(control, &system.servers[2].leave_request(), Duration::from_secs(1));
    system.servers[2].end();
    let server = Server::start_cold(&system.world, host, "zpravy", zone, "i-23-next", COLD);
    wait_until("the cold server takes an opening", || !server.openings.lock().unwrap().is_empty());
    if has_trouble {
        thread::sleep(STOP_AFTER);
        system.agents[2].roll_with_delay(RESTART_DELAY);
    }
    thread::sleep(COLD);
    is_over.store(true, Ordering::Relaxed);
    let mut sent = HashMap::new();
    for client in clients {
        sent.extend(client.join().expect("a client ends"));
    }

    let openings = server.openings.lock().unwrap().clone();
    let born = openings[0].at;
    let cold: Vec<Opening> = openings.into_iter().filter(|one| one.at < born + COLD).collect();
    for opening in &cold {
        let at_ms = (opening.at - born).as_millis();
        record.note(&format!("cold server took the opening of {} at +{at_ms} ms", opening.client));
    }
    let (most, from) = most_in_a_second(&cold, &sent);
    let from_ms = from.saturating_duration_since(born).as_millis();
    let text = format!("{most} openings in one second from +{from_ms} ms, {LIMIT} allowed");
    record.note(&text);
    if most > LIMIT { vec![format!("FAILBACK: the cold server took {text}")] } else { Vec::new() }
}

/// Largest number of openings that were sent and arrived inside one second.
fn most_in_a_second(
    openings: &[Opening],
    sent: &HashMap<SocketAddrV4, Instant>,
) -> (usize, Instant) {
    let count = |from: Instant| {
        let until = from + Duration::from_secs(1);
        let is_inside = |one: &&Opening| sent[&one.client] >= from && one.at < until;
        openings.iter().filter(is_inside).count()
    };
    let starts = openings.iter().map(|one| sent[&one.client]);
    starts.map(|from| (count(from), from)).max().expect("the server took openings")
}
