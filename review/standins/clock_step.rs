//! A server starts while the time of day of its machine is ahead, and crashes. The clock goes back, and the server
//! starts again. Later it drains as planned.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::client::Outcome;
use crate::http;
use crate::server::Server;
use crate::system::CALM;
use crate::system::DEADLINE;
use crate::system::SIDE_HOSTS;
use crate::system::System;
use crate::system::ZONES;
use crate::world::CONTROL;
use crate::world::World;

/// Jump of the clock: the site's largest.
const JUMP: Duration = Duration::from_millis(2_400);

/// Time from the start of the first lifetime to its crash.
const LIFETIME: Duration = Duration::from_millis(600);

/// Time from the crash to the next start.
const DOWN: Duration = Duration::from_millis(500);

/// `drain_ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Time for which the server serves on after that.
const SERVED_ON: Duration = Duration::from_millis(2_000);

const CLIENT_HOST: u8 = 51;

/// Time between two requests of the client.
const PAUSE: Duration = Duration::from_millis(80);

pub fn play(world: World, has_trouble: bool) -> Vec<String> {
    let mut system = System::start(world, ["vypocet"; 3], 0);
    let (host, zone) = (SIDE_HOSTS[0], ZONES[0]);
    let record = system.world.record.clone();
    let control = system.world.at(host, CONTROL);

    // The server of the start is replaced as planned.
    system.servers[0].drain(DRAIN);
    http::call(control, &system.servers[0].leave_request(), Duration::from_secs(1));
    system.servers[0].end();

    let (is_over, is_paused) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let client = thread::spawn({
        let mut client = Client::new(&system.world, &system.router, CLIENT_HOST, zone);
        let (route, is_over) = (system.world.route(1), Arc::clone(&is_over));
        let is_paused = Arc::clone(&is_paused);
        move || {
            while !is_over.load(Ordering::Relaxed) {
                if !is_paused.load(Ordering::Relaxed)
                    && let Some(mut flow) = client.open(route)
                    && let Outcome::Answered { .. } = client.request(&mut flow, DEADLINE)
                {
                    client.close(&flow);
                }
                thread::sleep(PAUSE);
            }
        }
    });
    let ahead = if has_trouble { JUMP } else { Duration::ZERO };
    let mut first =
        Server::start_with(&system.world, host, "vypocet", zone, "i-21-1", Duration::ZERO, ahead);
    thread::sleep(LIFETIME);
    // No request is under way when the server crashes.
    is_paused.store(true, Ordering::Relaxed);
    thread::sleep(PAUSE * 2);
    first.end();
    is_paused.store(false, Ordering::Relaxed);
    thread::sleep(DOWN);
    let server = Server::start(&system.world, host, "vypocet", zone, "i-21-2");
    thread::sleep(CALM);

    server.drain(Duration::ZERO);
    let confirmed = Instant::now();
    thread::sleep(DRAIN + SERVED_ON);
    is_over.store(true, Ordering::Relaxed);
    client.join().expect("the client ends");
    let openings = server.openings.lock().unwrap();
    let late = openings.iter().filter(|one| one.at > confirmed + DRAIN).count();
    record.note(&format!("server {} took {} openings, {late} late", server.id, openings.len()));
    if late == 0 {
        return Vec::new();
    }
    vec![format!(
        "DRAIN: {late} openings reached server {} more than 3 s after its draining was confirmed",
        server.id
    )]
}
