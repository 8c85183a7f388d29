//! Availability zones are taken out of service and returned under load.

mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rhubarbthread_standins::load::Load;
use rhubarbthread_standins::system::ServicePlan;
use rhubarbthread_standins::system::System;
use rhubarbthread_standins::system::SystemPlan;
use tokio::time::sleep;

/// Time after which a zone that was taken out receives no packets.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time during which the zone that is out is checked for packets.
const OUT_DURATION: Duration = Duration::from_secs(6);

/// Time within which every target of the returned zone serves requests again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Datagrams that an agent received, dropped ones included, and answers of its target.
async fn count_arrivals(system: &System, place: usize) -> (f64, u64) {
    let admin = system.agent_admin(place);
    let mut datagrams = 0.0;
    for reason in ["bad-envelope", "not-quic", "other-agent", "other-service", "zone-out"] {
        let name = format!("rhubarbthread_dropped_total{{reason=\"{reason}\"}}");
        datagrams += system.metric(admin, &name).await;
    }
    datagrams += system.metric(admin, "rhubarbthread_received_total").await;
    (datagrams, system.target(place).stats().answers)
}

async fn zone_out_and_in(subnet: u8, seed: u64) {
    let services = vec![ServicePlan::new("vypocet", 6, 9)];
    let mut plan = SystemPlan::new(subnet).with_services(services);
    plan.seed = seed;
    let (mut system, _folder) = support::start(plan).await;
    let mut load = system.load_plan();
    load.callers = 40;
    load.requests = 110;
    load.flow_requests = 5;
    load.work_ms = 20;
    load.streams = 30;
    load.stream_chunks = 200;
    let load = Load::new(load);
    let running = tokio::spawn({
        let load = Arc::clone(&load);
        async move { load.run().await }
    });
    sleep(Duration::from_secs(2)).await;
    let zone = "zlin-c";
    let in_zone: Vec<usize> =
        (0..system.places.len()).filter(|place| system.places[*place].zone == zone).collect();
    let start = Instant::now();
    system.set_zone(zone, true);
    sleep(EVACUATION_TIMEOUT.saturating_sub(start.elapsed())).await;
    let mut before = Vec::new();
    for place in &in_zone {
        before.push(count_arrivals(&system, *place).await);
    }
    sleep(OUT_DURATION).await;
    for (place, before) in in_zone.iter().zip(before) {
        let after = count_arrivals(&system, *place).await;
        assert_eq!(after, before, "packets arrived in a zone that is out\n{}", system.logs());
    }
    // The targets of the zone are cold when it returns to service.
    let mut cold_targets = Vec::new();
    for place in &in_zone {
        system.target(*place).crash().await;
        cold_targets.push(system.start_target(*place, false).await);
    }
    system.set_zone(zone, false);
    system
        .wait_for("the zone serves again", RECOVERY_TIMEOUT, async |_: &System| {
            cold_targets.iter().all(|target| target.stats().answers > 20)
        })
        .await;
    let report = running.await.expect("the load task does not panic");
    for target in &cold_targets {
        let stats = target.stats();
        assert_eq!(stats.worst_excess, 0, "cold target above its limit: {stats:?}");
    }
    let broken_outside_zone = report.broken_flows
        - report.reasons.get("zone-out").copied().unwrap_or(0).min(report.broken_flows);
    assert_eq!(broken_outside_zone, 0, "{report:?}\n{}", system.logs());
    assert_eq!(report.wrong, 0, "{report:?}");
}

cases! {
    out_and_in_seed_1: support::run(zone_out_and_in(31, 1));
    out_and_in_seed_2: support::run(zone_out_and_in(32, 2));
}
