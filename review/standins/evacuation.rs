//! A zone is evacuated. The store returns from a copy that is older than the evacuation, while the balancer of the
//! zone is stopped and started as planned. Some seconds later the operator writes the evacuation again.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::system::CALM;
use crate::system::System;
use crate::system::ZONES;
use crate::world::World;

/// `evacuate_ms` of the deployment.
const EVACUATE: Duration = Duration::from_millis(5_000);

/// Time from the evacuation until the balancer gets SIGTERM; it serves for 1.8 s more.
const STOPPED: Duration = Duration::from_millis(3_800);

/// Time from the evacuation until the store is away.
const STORE_AWAY: Duration = Duration::from_millis(5_400);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(300);

/// Age of the copy: the evacuation is 5.7 s old when the store returns.
const COPY_AGE: Duration = Duration::from_millis(6_500);

/// Time from the return of the store until the operator writes the evacuation again.
const WRITTEN_AGAIN: Duration = Duration::from_millis(6_000);

const CLIENT_HOST: u8 = 51;

/// Time between two flows of the client.
const PAUSE: Duration = Duration::from_millis(20);

pub fn play(world: World, has_trouble: bool) -> Vec<String> {
    let mut system = System::start(world, ["vypocet"; 3], 0);
    let record = system.world.record.clone();
    let zone = ZONES[0];
    let is_over = Arc::new(AtomicBool::new(false));
    let client = thread::spawn({
        let mut client = Client::new(&system.world, &system.router, CLIENT_HOST, zone);
        let (route, is_over) = (system.world.route(1), Arc::clone(&is_over));
        move || {
            while !is_over.load(Ordering::Relaxed) {
                client.open(route);
                thread::sleep(PAUSE);
            }
            client.openings_sent
        }
    });
    // Older than the copy, as all entries of the nodes are.
    thread::sleep(COPY_AGE);
    system.world.store.write(&format!("op/evacuate/{zone}"), "{}");
    let evacuated = Instant::now();
    record.note(&format!("zone {zone} is evacuated"));
    thread::sleep(STOPPED);
    let mut balancer = system.balancers.remove(0);
    let rolling = thread::spawn(move || {
        balancer.roll();
        (balancer, Instant::now())
    });
    thread::sleep(STORE_AWAY.saturating_sub(evacuated.elapsed()));
    if has_trouble {
        system.world.store.return_from_copy(AWAY, COPY_AGE);
        record.note("the store is back, from an older copy");
    }
    let returned = Instant::now();
    let (_balancer, restarted) = rolling.join().expect("the balancer is started again");
    thread::sleep(WRITTEN_AGAIN.saturating_sub(returned.elapsed()));
    system.world.store.write(&format!("op/evacuate/{zone}"), "{}");
    let written_again = Instant::now();
    record.note(&format!("the evacuation of zone {zone} is written again"));
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    let sent: HashMap<SocketAddrV4, Instant> =
        client.join().expect("the client ends").into_iter().collect();

    // From then on nothing of the restart or of the store's return counts.
    let in_touch = restarted.max(returned) + CALM;
    let mut late = 0;
    for opening in system.servers[0].openings.lock().unwrap().iter() {
        let Some(sent) = sent.get(&opening.client).filter(|sent| **sent >= evacuated) else {
            continue;
        };
        let (sent_ms, at_ms) =
            ((*sent - evacuated).as_millis(), (opening.at - evacuated).as_millis());
        record.note(&format!(
            "server {} took the opening of {}, sent {sent_ms} ms after the evacuation, at +{at_ms} ms",
            system.servers[0].id, opening.client
        ));
        let is_late = opening.at > evacuated + EVACUATE && opening.at > in_touch;
        late += u32::from(is_late && opening.at < written_again);
    }
    let from_ms = (in_touch - evacuated).as_millis();
    let to_ms = (written_again - evacuated).as_millis();
    if late == 0 {
        return Vec::new();
    }
    vec![format!(
        "EVAC: {late} openings reached server {} of the evacuated zone, {from_ms} to {to_ms} ms after its evacuation",
        system.servers[0].id
    )]
}
