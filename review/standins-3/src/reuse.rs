//! Rule ROUTE: a node beside a server is frozen while that server ends, and its address goes to another service.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::nodes::SIGCONT;
use crate::nodes::SIGSTOP;
use crate::site::Site;
use crate::site::SERVICES;
use crate::Verdict;

/// Length of the freeze; the site's `node_freeze` takes 3.5 s.
const FROZEN: Duration = Duration::from_millis(3_400);

/// Earliest use of an address by another service: `addr_reuse_s` is 2.
const ADDRESS_REUSE: Duration = Duration::from_millis(2_000);

/// Time from the freeze to the end of the server: it has pinged once more by then.
const END_AFTER: Duration = Duration::from_millis(850);

/// Time from the end of the freeze to the start of the next server.
const START_AFTER: Duration = Duration::from_millis(100);

const ROUNDS: usize = 3;
const ROUND: Duration = Duration::from_millis(7_500);
const REQUESTS_PER_S: u32 = 200;

/// Time from the start of a server to its first ping, unless FIRST_PING_MS says otherwise.
fn first_ping() -> Duration {
    let time_ms = std::env::var("FIRST_PING_MS").ok().and_then(|text| text.parse().ok());
    Duration::from_millis(time_ms.unwrap_or(100))
}

pub fn run(folder: &str, has_trouble: bool) -> Result<Verdict, String> {
    let sides = [(0, 0), (0, 0), (0, 0), (1, 0), (1, 0), (2, 0), (2, 0), (0, 1), (1, 1), (2, 1)];
    let mut site = Site::start(folder, &[0, 0, 1, 2], &sides, 0)?;
    let record = Arc::clone(&site.record);
    let wait = |until: Instant| thread::sleep(until.saturating_duration_since(Instant::now()));
    for side in 0..ROUNDS {
        let frozen_at = Instant::now() + Duration::from_millis(500);
        let traffic =
            site.start_traffic(format!("round-{side}"), REQUESTS_PER_S, Instant::now() + ROUND);
        let name = site.sides[side].node.name.clone();
        wait(frozen_at);
        if has_trouble {
            record.line(&format!("machine {name} is frozen"));
            site.sides[side].node.signal(SIGSTOP);
        }
        wait(frozen_at + END_AFTER);
        if let Some(server) = site.sides[side].server.as_mut() {
            server.crash();
        }
        let ended_at = Instant::now();
        record.line(&format!("the server beside {name} ends"));
        wait(frozen_at + FROZEN);
        if has_trouble {
            record.line(&format!("machine {name} wakes"));
            site.sides[side].node.signal(SIGCONT);
        }
        wait((frozen_at + FROZEN + START_AFTER).max(ended_at + ADDRESS_REUSE));
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
