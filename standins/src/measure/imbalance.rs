//! Imbalance between targets: the largest utilisation divided by the mean, for flows and for busy slots.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::baseline::Baseline;
use crate::load::Load;
use crate::measure::deployment::DEPLOYMENTS;
use crate::measure::deployment::Deployment;
use crate::measure::report::Report;
use crate::measure::report::round;
use crate::system::Programs;
use crate::system::System;

/// Number of callers, each with one open flow at a time.
const CALLERS: usize = 700;

/// Number of requests after which a caller opens a new flow.
const FLOW_REQUESTS: usize = 3;

const WORK_MS: u64 = 20;
const PAUSE_MS: u64 = 700;

/// Time before the first sample, in which the cold target becomes warm.
const RAMP_UP: Duration = Duration::from_secs(8);

const SAMPLES: u32 = 60;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Index of the target that starts cold.
const COLD_PLACE: usize = 1;
/// Index of the target with half the capacity.
const HALF_PLACE: usize = 2;

/// Measures the first service of both deployments with all seeds, against the baseline without a chain.
pub async fn run(programs: &Programs, seeds: u64, report: &mut Report) {
    for (index, deployment) in DEPLOYMENTS.iter().enumerate() {
        for seed in 1..=seeds {
            let subnet = 180 + index as u8 * 20 + seed as u8;
            let ours = run_one(programs, deployment, subnet, seed, None).await;
            let baseline =
                run_one(programs, deployment, subnet + 10, seed, Some(Baseline::NoChain));
            report.add(json!({
                "measure": "imbalance",
                "deployment": deployment.name,
                "seed": seed,
                "callers": CALLERS,
                "ours": ours,
                "baseline_no_chain": baseline.await,
                "target": 1.10,
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
) -> Value {
    let (mut system, folder) = deployment.start(programs, subnet, seed).await;
    restart_cold_and_half_targets(&mut system).await;
    if let Some(kind) = baseline {
        system.use_baseline(kind).await;
    }
    let mut plan = system.load_plan();
    plan.services.truncate(1);
    plan.streams = 0;
    plan.callers = CALLERS;
    plan.requests = 1_000;
    plan.flow_requests = FLOW_REQUESTS;
    plan.work_ms = WORK_MS;
    plan.pause_ms = PAUSE_MS;
    plan.non_idempotent_percent = 0;
    let load = Load::new(plan);
    let running = tokio::spawn({
        let load = Arc::clone(&load);
        async move { load.run().await }
    });
    sleep(RAMP_UP).await;
    let result = sample(&system, deployment.services[0].1).await;
    running.abort();
    drop(system);
    // An error is ignored: the folder only contains logs and generated files.
    let _ = std::fs::remove_dir_all(folder);
    result
}

/// Restarts one target cold, and another one with half the slots and connections. Their load endpoints need
/// no change, because nothing reads them.
async fn restart_cold_and_half_targets(system: &mut System) {
    system.target(COLD_PLACE).crash().await;
    system.start_target(COLD_PLACE, false).await;
    system.target(HALF_PLACE).crash().await;
    let mut plan = system.target(HALF_PLACE).plan().clone();
    plan.slots = plan.slots.div_ceil(2);
    plan.connections /= 2;
    plan.process = "half".to_owned();
    system.start_target_with(HALF_PLACE, plan).await;
    system.wait_until_ready().await;
}

async fn sample(system: &System, targets: usize) -> Value {
    let mut flows = vec![0.0; targets];
    let mut busy = vec![0.0; targets];
    let mut flow_ratios: Vec<f64> = Vec::new();
    for _ in 0..SAMPLES {
        let mut now = Vec::new();
        for place in 0..targets {
            let status = system.status(system.agent_admin(place)).await.unwrap_or_default();
            let number = |key: &str| status[key].as_f64().unwrap_or(0.0);
            let plan = system.target(place).plan();
            let load = number("flows") / f64::from(plan.connections);
            now.push(load);
            flows[place] += load;
            busy[place] += number("busy") / f64::from(plan.slots);
        }
        flow_ratios.push(largest_over_mean(&now));
        sleep(SAMPLE_INTERVAL).await;
    }
    flow_ratios.sort_by(f64::total_cmp);
    let mut openings = [0.0; 3];
    for place in 0..targets {
        for (index, decision) in ["accepted", "passed-on", "refused"].iter().enumerate() {
            let name = format!("rhubarbthread_openings_total{{reason=\"{decision}\"}}");
            openings[index] += system.metric(system.agent_admin(place), &name).await;
        }
    }
    json!({
        "flows_largest_over_mean": round(largest_over_mean(&flows)),
        "flows_median_of_samples": round(flow_ratios[flow_ratios.len() / 2]),
        "busy_largest_over_mean": round(largest_over_mean(&busy)),
        "passed_on_share": round(openings[1] / (openings[0] + openings[2]).max(1.0)),
        "openings_refused": openings[2],
        "worst_excess_of_cold": system.target(COLD_PLACE).stats().worst_excess,
    })
}

fn largest_over_mean(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean.max(f64::MIN_POSITIVE)
}
