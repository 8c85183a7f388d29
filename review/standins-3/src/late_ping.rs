//! Rule ROUTE: a ping of a server is held up, the server ends, and its address goes to another service.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::nodes::CONTROL;
use crate::proxy;
use crate::site::Site;
use crate::site::SERVICES;
use crate::Verdict;

/// Time after the end of the server at which the held-up ping arrives.
const PING_AFTER: Duration = Duration::from_millis(1_900);

/// Earliest use of an address by another service: `addr_reuse_s` is 2.
const ADDRESS_REUSE: Duration = Duration::from_millis(2_020);

const ROUNDS: usize = 3;
const ROUND: Duration = Duration::from_millis(7_000);
const REQUESTS_PER_S: u32 = 200;

/// Time from the start of a server to its first ping, unless FIRST_PING_MS says otherwise.
fn first_ping() -> Duration {
    let time_ms = std::env::var("FIRST_PING_MS").ok().and_then(|text| text.parse().ok());
    Duration::from_millis(time_ms.unwrap_or(300))
}

pub fn run(folder: &str, has_trouble: bool) -> Result<Verdict, String> {
    let sides = [(0, 0), (0, 0), (0, 0), (1, 0), (1, 0), (2, 0), (2, 0), (0, 1), (1, 1), (2, 1)];
    let holds = Arc::new(AtomicBool::new(false));
    let mut site = Site::start(folder, &[0, 0, 1, 2], &sides, 0)?;
    let record = Arc::clone(&site.record);
    let wait = |until: Instant| thread::sleep(until.saturating_duration_since(Instant::now()));
    for side in 0..ROUNDS {
        let host = site.sides[side].host;
        let at = site.network.at(host, CONTROL + 300);
        proxy::start(at, site.network.at(host, CONTROL), Arc::clone(&holds))
            .map_err(|error| error.to_string())?;
        if let Some(server) = site.sides[side].server.as_ref() {
            server.ping_through(at);
        }
        let traffic =
            site.start_traffic(format!("round-{side}"), REQUESTS_PER_S, Instant::now() + ROUND);
        let name = site.sides[side].node.name.clone();
        thread::sleep(Duration::from_millis(1_000));
        record.line(&format!("pings to {name} are held up: {has_trouble}"));
        holds.store(has_trouble, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(850));
        if let Some(server) = site.sides[side].server.as_mut() {
            server.crash();
        }
        let ended_at = Instant::now();
        record.line(&format!("the server beside {name} ends"));
        wait(ended_at + PING_AFTER);
        record.line("what was held up is delivered");
        holds.store(false, Ordering::Relaxed);
        wait(ended_at + ADDRESS_REUSE);
        record.line(&format!("the address of the server beside {name} goes to {}", SERVICES[1].0));
        site.start_server(side, 1, first_ping(), Duration::ZERO);
        traffic.join().map_err(|_| "the traffic failed".to_owned())?;
    }
    thread::sleep(Duration::from_secs(2));
    let broken = site.record_wrong_services()?;
    site.record_requests();
    let text =
        format!("{broken} requests were run by a service to which their route does not lead");
    site.record.line(&text);
    Ok(Verdict { is_kept: broken == 0, text })
}
