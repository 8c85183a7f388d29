//! Number of broken flows out of 2,000 long streams while balancers and targets fail, stop and restart.

use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::baseline::Baseline;
use crate::load::Load;
use crate::load::LoadReport;
use crate::measure::deployment::DEPLOYMENTS;
use crate::measure::deployment::Deployment;
use crate::measure::report::Report;
use crate::system::Programs;
use crate::system::System;

const STREAMS: usize = 2_000;
const CHUNKS: u64 = 30;
const CHUNK_MS: u64 = 1_000;

/// Time from the start of the load to the first change; by then all streams have started.
const RAMP_UP: Duration = Duration::from_secs(6);

/// Time between two changes of the system.
const CHANGE_INTERVAL: Duration = Duration::from_secs(3);

/// Measures both deployments with all seeds, against the plain-hash baseline.
pub async fn run(programs: &Programs, seeds: u64, report: &mut Report) {
    for (index, deployment) in DEPLOYMENTS.iter().enumerate() {
        for seed in 1..=seeds {
            let subnet = 100 + index as u8 * 40 + seed as u8;
            let ours = run_one(programs, deployment, subnet, seed, None).await;
            let baseline =
                run_one(programs, deployment, subnet + 20, seed, Some(Baseline::PlainHash)).await;
            report.add(json!({
                "measure": "broken-flows",
                "deployment": deployment.name,
                "seed": seed,
                "streams": STREAMS,
                "whole": ours.whole,
                "broken": ours.broken_flows,
                "refused_not_run": ours.not_run,
                "reasons": ours.reasons,
                "baseline_plain_hash_whole": baseline.whole,
                "baseline_plain_hash_broken": baseline.broken_flows,
                "baseline_plain_hash_refused_not_run": baseline.not_run,
                "target": 0,
            }));
        }
    }
}

async fn run_one(
    programs: &Programs,
    deployment: &Deployment,
    subnet: u8,
    seed: u64,
    baseline: Option<Baseline>,
) -> LoadReport {
    let (mut system, folder) = deployment.start(programs, subnet, seed).await;
    if let Some(kind) = baseline {
        system.use_baseline(kind).await;
    }
    let mut plan = system.load_plan();
    plan.callers = 0;
    plan.streams = STREAMS;
    plan.stream_chunks = CHUNKS;
    plan.stream_ms = CHUNK_MS;
    plan.pause_ms = 4_000;
    plan.deadline = Duration::from_secs(15);
    let load = Load::new(plan);
    let running = tokio::spawn({
        let load = Arc::clone(&load);
        async move { load.run().await }
    });
    sleep(RAMP_UP).await;
    change_nodes(&mut system).await;
    let report = running.await.expect("the load generator does not panic");
    drop(system);
    // An error is ignored: the folder only contains logs and generated files.
    let _ = std::fs::remove_dir_all(folder);
    report
}

/// Kills two balancers, drains two targets, stops one balancer by SIGTERM, and restarts the balancers, all
/// while the streams are running.
async fn change_nodes(system: &mut System) {
    system.balancers[0].take().expect("the balancer is running").kill();
    let leaving = Arc::clone(system.target(0));
    tokio::spawn(async move { leaving.leave().await });
    sleep(CHANGE_INTERVAL).await;
    system.start_balancer(0);
    system.balancers[1].as_ref().expect("the balancer is running").signal(Signal::SIGTERM);
    let last = system.places.len() - 1;
    let leaving = Arc::clone(system.target(last));
    tokio::spawn(async move { leaving.leave().await });
    sleep(CHANGE_INTERVAL).await;
    system.start_balancer(1);
    sleep(CHANGE_INTERVAL).await;
    system.balancers[2].take().expect("the balancer is running").kill();
    sleep(CHANGE_INTERVAL).await;
    system.start_balancer(2);
}
