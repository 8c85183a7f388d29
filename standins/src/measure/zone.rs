//! Goodput while an availability zone is taken out of service and put back.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::load::Load;
use crate::measure::deployment::DEPLOYMENTS;
use crate::measure::deployment::Deployment;
use crate::measure::report::Plot;
use crate::measure::report::Report;
use crate::measure::report::Series;
use crate::measure::report::round;
use crate::system::Programs;
use crate::system::System;

const CALLERS_PER_SLOT: f64 = 2.4;
const WORK_MS: u64 = 40;
const PAUSE_MS: u64 = 150;
const FLOW_REQUESTS: usize = 5;

/// Time under load before the zone is taken out.
const BEFORE_OUTAGE: Duration = Duration::from_secs(8);
/// Time that the zone is out.
const OUTAGE: Duration = Duration::from_secs(8);
/// Time under load after the zone is back.
const AFTER_OUTAGE: Duration = Duration::from_secs(14);

/// Time between two reads of the metrics of the zone's agents.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Share of the goodput before the outage at which the service counts as recovered.
const RECOVERED_SHARE: f64 = 0.99;

/// Number of 100 ms intervals over which the goodput is averaged.
const WINDOW_INTERVALS: usize = 10;

/// Measures both deployments with all seeds.
pub async fn run(programs: &Programs, seeds: u64, report: &mut Report) {
    for (index, deployment) in DEPLOYMENTS.iter().enumerate() {
        for seed in 1..=seeds {
            let subnet = 220 + index as u8 * 10 + seed as u8;
            let (line, answers) = run_one(programs, deployment, subnet, seed).await;
            report.add(line);
            let points = answers.iter().enumerate();
            let points = points.map(|(interval, count)| (interval as f64 / 10.0, *count as f64));
            report.plot(Plot {
                name: format!("zone-{}-{seed}", deployment.name),
                series: vec![Series { name: "answers".to_owned(), points: points.collect() }],
            });
        }
    }
}

async fn run_one(
    programs: &Programs,
    deployment: &Deployment,
    subnet: u8,
    seed: u64,
) -> (Value, Vec<u64>) {
    let (mut system, folder) = deployment.start(programs, subnet, seed).await;
    let slots: u32 = system.places.iter().map(|place| place.service.slots).sum();
    let mut plan = system.load_plan();
    plan.streams = 0;
    plan.callers = (f64::from(slots) * CALLERS_PER_SLOT) as usize;
    plan.requests = 100_000;
    plan.flow_requests = FLOW_REQUESTS;
    plan.work_ms = WORK_MS;
    plan.pause_ms = PAUSE_MS;
    plan.non_idempotent_percent = 20;
    let load = Load::new(plan);
    let start = Instant::now();
    let running = tokio::spawn({
        let load = Arc::clone(&load);
        async move { load.run().await }
    });
    sleep(BEFORE_OUTAGE).await;
    let zone = deployment.zones[deployment.zones.len() - 1];
    let in_zone: Vec<usize> =
        (0..system.places.len()).filter(|place| system.places[*place].zone == zone).collect();
    let before = load.report();
    let out_at = Instant::now();
    system.set_zone(zone, true);
    let last_packet = last_packet_ms(&system, &in_zone, out_at).await;
    // The targets of the zone are restarted, so that they are cold when the zone is back.
    for place in &in_zone {
        system.target(*place).crash().await;
        system.start_target(*place, false).await;
    }
    sleep(OUTAGE.saturating_sub(out_at.elapsed())).await;
    let in_at = Instant::now();
    system.set_zone(zone, false);
    sleep(AFTER_OUTAGE).await;
    let after = load.report();
    running.abort();
    let excess = in_zone.iter().map(|place| system.target(*place).stats().worst_excess).max();
    let answers = after.answers_per_100_ms.clone();
    let interval_of = |at: Instant| (at - start).as_millis() as usize / 100;
    let (out_interval, in_interval) = (interval_of(out_at), interval_of(in_at));
    let mean_before = mean(&answers[out_interval.saturating_sub(40)..out_interval]);
    let lowest = lowest_window(&answers[out_interval..in_interval]);
    let mut reasons = after.reasons.clone();
    for (reason, count) in &before.reasons {
        reasons.entry(reason.clone()).and_modify(|all| *all -= count);
    }
    reasons.retain(|_, count| *count > 0);
    let remaining_capacity = 1.0 - in_zone.len() as f64 / system.places.len() as f64;
    let line = json!({
        "measure": "zone",
        "deployment": deployment.name,
        "seed": seed,
        "callers": slots as f64 * CALLERS_PER_SLOT,
        "last_packet_ms": last_packet,
        "last_packet_target_ms": 3_000,
        "answers_per_s_before": mean_before * 10.0,
        "lowest_second_out_over_before": round(lowest / mean_before),
        "mean_out_over_before": round(mean(&answers[out_interval..in_interval]) / mean_before),
        "capacity_that_stays": round(remaining_capacity),
        "back_ms_after_out": recovery_ms(&answers, out_interval, mean_before),
        "back_ms_after_in": recovery_ms(&answers, in_interval, mean_before),
        "reasons": reasons,
        "wrong": after.wrong,
        "worst_excess_of_cold": excess,
    });
    drop(system);
    // An error is ignored: the folder only contains logs and generated files.
    let _ = std::fs::remove_dir_all(folder);
    (line, answers)
}

/// Time from `out_at` to the last datagram that an agent of the zone received, in milliseconds.
async fn last_packet_ms(system: &System, in_zone: &[usize], out_at: Instant) -> u128 {
    let mut last = 0;
    let mut counts = vec![-1.0; in_zone.len()];
    while out_at.elapsed() < OUTAGE - POLL_INTERVAL {
        for (place, count) in in_zone.iter().zip(counts.iter_mut()) {
            let admin = system.agent_admin(*place);
            let now = system.metric(admin, "rhubarbthread_received_total").await;
            if now > *count {
                *count = now;
                last = out_at.elapsed().as_millis();
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    last
}

/// Milliseconds from the interval `from` until the responses of one second reach [`RECOVERED_SHARE`] of
/// `mean_before`; `None` if they do not.
fn recovery_ms(answers: &[u64], from: usize, mean_before: f64) -> Option<usize> {
    let windows = answers[from..].windows(WINDOW_INTERVALS);
    windows
        .enumerate()
        .find(|(_, window)| mean(window) >= RECOVERED_SHARE * mean_before)
        .map(|(at, _)| at * 100)
}

/// Lowest mean of responses over a window of [`WINDOW_INTERVALS`].
fn lowest_window(answers: &[u64]) -> f64 {
    answers.windows(WINDOW_INTERVALS).map(mean).fold(f64::MAX, f64::min)
}

fn mean(answers: &[u64]) -> f64 {
    answers.iter().sum::<u64>() as f64 / answers.len().max(1) as f64
}
