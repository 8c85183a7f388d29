//! One ping by another writer, with a service that the configuration does not name, reaches the agent of a
//! server that runs.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::client::Outcome;
use crate::http;
use crate::server::HEARTBEAT;
use crate::server::ping_body;
use crate::system::CALM;
use crate::system::DEADLINE;
use crate::system::SIDE_HOSTS;
use crate::system::System;
use crate::system::ZONES;
use crate::world::APP;
use crate::world::CONTROL;
use crate::world::World;

/// Name of the other writer, and of a service that is not configured.
const OTHER_ID: &str = "i-other";
const OTHER_SERVICE: &str = "archiv";

pub fn play(world: World, has_trouble: bool) -> Vec<String> {
    let mut system = System::start(world, ["vypocet"; 3], 0);
    let (host, zone) = (SIDE_HOSTS[0], ZONES[0]);
    let id = system.servers[0].id.clone();
    let record = system.world.record.clone();
    let mut flow = system.flow_at(0, 1, &id);
    if has_trouble {
        let control = system.world.at(host, CONTROL);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970");
        let app = system.world.at(host, APP);
        let body =
            ping_body(OTHER_SERVICE, app, zone, "ready", Duration::ZERO, 1, now.as_millis() as u64);
        let path = format!("/v1/Instances.Heartbeat/{OTHER_ID}");
        let request = http::encode("POST", control, &path, &body);
        let status = http::call(control, &request, Duration::from_secs(1));
        record.note(&format!("ping by another writer, answered with {status:?}: {body}"));
    }
    // The server's own pings go on.
    let pings_before = system.servers[0].confirmed_pings.load(Ordering::Relaxed);
    thread::sleep(CALM + HEARTBEAT);
    let pings = system.servers[0].confirmed_pings.load(Ordering::Relaxed) - pings_before;
    record.note(&format!("server {id}: {pings} further pings confirmed"));
    match system.clients[0].request(&mut flow, DEADLINE) {
        Outcome::ResetBySystem => {
            vec![format!(
                "FLOW: the client got a reset that its flow's server {id}, alive, did not send"
            )]
        }
        _ => Vec::new(),
    }
}
