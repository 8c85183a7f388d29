//! A server stops as planned and starts again under the id that it had. The leave call of its earlier
//! lifetime is held up on the way and arrives when the new lifetime has registered.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::Outcome;
use crate::server::Server;
use crate::system::CALM;
use crate::system::DEADLINE;
use crate::system::SIDE_HOSTS;
use crate::system::System;
use crate::system::ZONES;
use crate::system::wait_until;
use crate::world::CONTROL;
use crate::world::World;

/// `drain_ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Time for which the call is held up: less than the longest cut of the site, 5.5 s.
const HELD_UP: Duration = Duration::from_millis(4_500);

/// Time from the end of a lifetime to the start of the next one.
const RESTART: Duration = Duration::from_millis(500);

pub fn play(world: World, has_trouble: bool) -> Vec<String> {
    let mut system = System::start(world, ["vypocet"; 3], 0);
    let (host, zone) = (SIDE_HOSTS[0], ZONES[0]);
    let id = system.servers[0].id.clone();
    let record = system.world.record.clone();

    system.servers[0].drain(DRAIN);
    let leave = system.servers[0].leave_request();
    let held_up = if has_trouble { HELD_UP } else { Duration::ZERO };
    let mut connection =
        TcpStream::connect(system.world.at(host, CONTROL)).expect("the agent listens");
    record.note(&format!("leave call of born {} is sent", system.servers[0].born_ms));
    let delivery = thread::spawn({
        let record = record.clone();
        move || {
            thread::sleep(held_up);
            connection.write_all(&leave).expect("the agent reads");
            let _ = connection.set_read_timeout(Some(Duration::from_secs(1)));
            let mut answer = [0; 256];
            let length = connection.read(&mut answer).unwrap_or(0);
            let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
            record.note(&format!("leave call arrived: {:?}", answer.lines().next()));
        }
    });
    // Without an answer the server exits after a second.
    thread::sleep(if has_trouble { Duration::from_secs(1) } else { Duration::from_millis(100) });
    system.servers[0].end();

    thread::sleep(RESTART);
    let server = Server::start(&system.world, host, "vypocet", zone, &id);
    wait_until("the new lifetime is registered", || {
        server.confirmed_pings.load(Ordering::Relaxed) >= 1
    });
    let mut flow = system.flow_at(0, 1, &id);
    delivery.join().expect("the call was delivered");
    thread::sleep(CALM);
    record.note("calm for stable_window_ms");

    let outcome = system.clients[0].request(&mut flow, DEADLINE);
    let runs = server.runs.load(Ordering::Relaxed);
    record
        .note(&format!("server {id} born {} is alive and has run {runs} requests", server.born_ms));
    match outcome {
        Outcome::ResetBySystem => {
            vec![format!(
                "FLOW: the client got a reset that its flow's server {id}, alive, did not send"
            )]
        }
        _ => Vec::new(),
    }
}
