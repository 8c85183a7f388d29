//! Replays traces of real agents: `AgentState` must make the same decisions as the daemon did.
//!
//! Guards against state or input that is missing in the trace, and against changes that alter past
//! decisions. Stored traces are in `tests/traces`. `UPDATE_TRACES=1` records them again.

mod support;

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rhubarbthread::caller::Call;
use rhubarbthread::caller::Caller;
use rhubarbthread::process::agent_state::AgentState;
use rhubarbthread::process::agent_state::Decision;
use rhubarbthread::process::agent_state::Input;
use rhubarbthread::process::agent_state::TICKET_BOUNDS;
use rhubarbthread_standins::system::ServicePlan;
use rhubarbthread_standins::system::System;
use rhubarbthread_standins::system::SystemPlan;
use serde::Deserialize;

/// The target announces itself cold, its limit grows with the answers, and requests above it are
/// refused.
const COLD_START: &str = "cold-start";
/// Each non-idempotent request is refused without a ticket, and runs once with one.
const TICKETS: &str = "tickets";
/// The target leaves while a request runs: the request completes, and no new work arrives.
const LEAVING: &str = "leaving";
/// The zone is taken out and put back: requests run before and after, none in between.
const ZONE: &str = "zone";

#[derive(Deserialize)]
struct Line {
    at_ms: u64,
    input: Input,
    decision: Decision,
}

fn trace_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces").join(format!("{name}.jsonl"))
}

fn caller(system: &System) -> Caller {
    support::caller(system, 0)
}

async fn send_burst(system: &System, calls: usize) {
    let caller = Arc::new(caller(system));
    let tasks: Vec<_> = (0..calls)
        .map(|index| {
            let caller = Arc::clone(&caller);
            tokio::spawn(async move {
                let path = format!("/work?id={index}&ms=30");
                // The call may be refused, which is then part of the trace.
                let _ = caller.call(&Call::new(&path, Duration::from_millis(500))).await;
            })
        })
        .collect();
    for task in tasks {
        task.await.expect("a call does not panic");
    }
}

async fn run_scenario(name: &str, system: &mut System) {
    match name {
        COLD_START => {
            system.target(0).crash().await;
            system.start_target(0, false).await;
            system.wait_until_ready().await;
            for _ in 0..4 {
                send_burst(system, 4).await;
            }
        }
        TICKETS => {
            let caller = caller(system);
            for index in 0..3 {
                let call = Call::new(&format!("/work?id=t{index}&ms=1"), Duration::from_secs(5))
                    .with_body(Method::POST, Bytes::from_static(b"{}"));
                caller.call(&call).await.expect("the request runs");
            }
        }
        LEAVING => {
            let caller = Arc::new(caller(system));
            let running = tokio::spawn({
                let caller = Arc::clone(&caller);
                async move { caller.call(&Call::new("/work?id=a&ms=600", Duration::from_secs(5))).await }
            });
            let target = Arc::clone(system.target(0));
            let timeout = Duration::from_secs(5);
            system
                .wait_for("the request runs", timeout, async |_: &System| target.stats().busy == 1)
                .await;
            target.leave().await;
            assert!(
                running.await.expect("the call does not panic").is_ok(),
                "the running request failed"
            );
            send_burst(system, 1).await;
        }
        _ => {
            send_burst(system, 1).await;
            system.set_zone("brno-a", true);
            let admin = system.agent_admin(0);
            let timeout = Duration::from_secs(5);
            let is_out = async |system: &System| !system.is_ready(admin).await;
            system.wait_for("the zone is out", timeout, is_out).await;
            system.set_zone("brno-a", false);
            system.wait_until_ready().await;
            send_burst(system, 1).await;
        }
    }
}

/// Runs a scenario with a real agent and returns the trace that the agent wrote.
async fn record(name: &str, subnet: u8) -> String {
    let mut service = ServicePlan::new("vypocet", 1, 4);
    service.first_limit = 1;
    service.growth_answers = 3;
    let mut plan = SystemPlan::new(subnet).with_services(vec![service]);
    plan.balancers = 1;
    plan.traces = true;
    let (mut system, _folder) = support::start(plan).await;
    run_scenario(name, &mut system).await;
    fs::read_to_string(system.trace_path(0)).expect("the agent writes its trace")
}

/// Replays a trace and asserts that every decision is the recorded one. Returns how often each
/// decision was made.
fn replay(trace: &str) -> BTreeMap<String, usize> {
    let mut state = AgentState::new(0, TICKET_BOUNDS);
    let mut counts = BTreeMap::new();
    // The last line may be incomplete, since the daemon may still be writing it.
    let complete_lines = &trace[..trace.rfind('\n').map_or(0, |end| end + 1)];
    for (number, text) in complete_lines.lines().enumerate() {
        let line: Line = serde_json::from_str(text).expect("each line of a trace can be parsed");
        let decision = state.apply(line.at_ms, &line.input);
        assert_eq!(decision, line.decision, "line {}: {text}", number + 1);
        let name = match &decision {
            Decision::None => continue,
            Decision::Ticket(_) => "Ticket".to_owned(),
            Decision::Kept(_) => "Kept".to_owned(),
            other => format!("{other:?}"),
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    counts
}

async fn record_and_replay(name: &str, subnet: u8) {
    let trace = record(name, subnet).await;
    assert!(!replay(&trace).is_empty());
    if std::env::var_os("UPDATE_TRACES").is_some() {
        let is_stored = |line: &&str| !line.contains("\"input\":\"Tick\"");
        let lines: Vec<&str> = trace.lines().filter(is_stored).collect();
        fs::write(trace_file(name), lines.join("\n") + "\n")
            .expect("the stored trace can be written");
    }
}

fn replay_file(name: &str) -> BTreeMap<String, usize> {
    replay(&fs::read_to_string(trace_file(name)).expect("the stored trace can be read"))
}

cases! {
    live_cold_start: support::run(record_and_replay(COLD_START, 71));
    live_tickets: support::run(record_and_replay(TICKETS, 72));
    live_leaving: support::run(record_and_replay(LEAVING, 73));
    live_zone: support::run(record_and_replay(ZONE, 74));
    kept_cold_start: { insta::assert_debug_snapshot!(replay_file(COLD_START)); };
    kept_tickets: { insta::assert_debug_snapshot!(replay_file(TICKETS)); };
    kept_leaving: { insta::assert_debug_snapshot!(replay_file(LEAVING)); };
    kept_zone: { insta::assert_debug_snapshot!(replay_file(ZONE)); };
}
