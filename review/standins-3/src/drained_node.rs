//! Rule FLOW: the node beside a server that drains is stopped and started again.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Outcome;
use crate::nodes::SIGTERM;
use crate::site::Site;
use crate::site::SERVICES;
use crate::Verdict;

const FLOWS: usize = 70;
const REQUESTS: u32 = 8;

/// Pause between the requests of a flow: idle flows count up to `idle_timeout_ms`, 15 s.
const PAUSE: Duration = Duration::from_millis(2_500);

/// Time from the end of a node's process to its next start.
const RESTART: Duration = Duration::from_millis(500);

/// Time for which a draining server goes on serving.
const DRAINING: Duration = Duration::from_secs(8);

pub fn run(folder: &str, has_trouble: bool) -> Result<Verdict, String> {
    let sides = [(0, 0), (0, 0), (0, 0), (1, 0), (1, 0), (2, 0), (2, 0), (0, 1), (1, 1), (2, 1)];
    let mut site = Site::start(folder, &[0, 0, 1, 2], &sides, 0)?;
    for server in site.sides.iter().filter_map(|side| side.server.as_ref()) {
        server.set_ends_checks(std::env::var_os("KEEP_CHECKS").is_none());
    }
    let route = site.network.at(200 + SERVICES[0].1, 443);
    for number in 0..FLOWS {
        site.clients.requests(
            route,
            &format!("flow-{number}"),
            Duration::from_secs(5),
            REQUESTS,
            PAUSE,
        );
        thread::sleep(Duration::from_millis(30));
    }
    thread::sleep(Duration::from_secs(1));
    let record = std::sync::Arc::clone(&site.record);
    let side = &mut site.sides[0];
    let server = side.server.as_ref().ok_or("no server")?;
    record.line(&format!("server {} is to leave", server.id));
    server.drain();
    let began = Instant::now();
    while !server.is_drain_confirmed() {
        if began.elapsed() > Duration::from_secs(3) {
            return Err("the draining was not confirmed".to_owned());
        }
        thread::sleep(Duration::from_millis(10));
    }
    let drained_at = Instant::now();
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        record.line(&format!("{} gets SIGTERM", side.node.name));
        side.node.signal(SIGTERM);
        while !side.node.has_ended() {
            thread::sleep(Duration::from_millis(5));
        }
        record.line(&format!("{} has ended", side.node.name));
        thread::sleep(RESTART);
        side.node.restart();
        record.line(&format!("{} starts again", side.node.name));
    }
    // What is reset while the server lives and holds the flow breaks the rule.
    let mut broken = 0;
    let mut seen = std::collections::HashSet::new();
    while drained_at.elapsed() < DRAINING {
        let held = server.held.lock().unwrap().clone();
        for attempt in site.clients.attempts() {
            if attempt.outcome == Outcome::Reset
                && attempt.opened_at.is_some()
                && held.contains(&attempt.client)
                && seen.insert(attempt.client)
            {
                broken += 1;
                let text = format!(
                    "FLOW: the client at {} gets a reset of its flow with {} answers, which server {} holds and did not reset",
                    attempt.client, attempt.answers, server.id
                );
                record.line_at(attempt.ended_at.unwrap_or(drained_at), &text);
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    site.record_requests();
    let text = format!("{broken} open flows were reset that their server holds");
    site.record.line(&text);
    Ok(Verdict { is_kept: broken == 0, text })
}
