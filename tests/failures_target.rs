//! Targets and agents shut down, crash and are replaced under load.

mod support;

use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use rhubarbthread_standins::load::Load;
use rhubarbthread_standins::load::LoadReport;
use rhubarbthread_standins::system::ServicePlan;
use rhubarbthread_standins::system::System;
use rhubarbthread_standins::system::SystemPlan;
use rhubarbthread_standins::target::TargetPlan;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time after which a target that is shutting down gets no new requests.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);

const STOP_TIMEOUT: Duration = Duration::from_secs(60);

fn start_load(load: &Arc<Load>) -> JoinHandle<LoadReport> {
    let load = Arc::clone(load);
    tokio::spawn(async move { load.run().await })
}

fn assert_no_interruption(report: &LoadReport, system: &System) {
    assert_eq!(report.broken_flows, 0, "{report:?}\n{}", system.logs());
    assert_eq!(report.wrong, 0, "{report:?}");
    assert_eq!(report.may_have_run, 0, "{report:?}\n{}", system.logs());
    assert_eq!(report.whole + report.not_run, report.requests, "{report:?}");
}

async fn target_leaves() {
    let (system, _folder) = support::start(SystemPlan::new(21)).await;
    let load = Load::new(system.load_plan());
    let running = start_load(&load);
    sleep(Duration::from_secs(1)).await;
    let target = Arc::clone(system.target(0));
    let leaving = tokio::spawn({
        let target = Arc::clone(&target);
        async move { target.leave().await }
    });
    sleep(NO_NEW_WORK_AFTER).await;
    let answers = target.stats().answers;
    let report = running.await.expect("the load task does not panic");
    leaving.await.expect("the task does not panic");
    assert_eq!(target.stats().answers, answers, "new requests after {NO_NEW_WORK_AFTER:?}");
    assert_eq!(target.stats().cut, 0);
    assert_no_interruption(&report, &system);
}

/// The announcement of a target that drains arrives a second time.
async fn target_announced_again_while_it_leaves() {
    let (system, _folder) = support::start(SystemPlan::new(31)).await;
    let target = Arc::clone(system.target(0));
    target.leave().await;
    assert!(!target.announce().await, "the agent took a draining target back");
    sleep(NO_NEW_WORK_AFTER).await;
    let answers = target.stats().answers;
    let report = start_load(&Load::new(system.load_plan())).await;
    assert_no_interruption(&report.expect("the load task does not panic"), &system);
    assert_eq!(target.stats().answers, answers, "a draining target got requests");
}

async fn agent_stops() {
    let (mut system, _folder) = support::start(SystemPlan::new(22)).await;
    let load = Load::new(system.load_plan());
    let running = start_load(&load);
    sleep(Duration::from_secs(1)).await;
    let mut agent = system.places[0].agent.take().expect("the agent was started");
    agent.signal(Signal::SIGTERM);
    assert_eq!(agent.wait(STOP_TIMEOUT).await, Some(0), "{}", system.logs());
    let report = running.await.expect("the load task does not panic");
    assert_eq!(system.target(0).stats().cut, 0);
    assert_no_interruption(&report, &system);
}

async fn second_signal_ends_at_once() {
    let (mut system, _folder) = support::start(SystemPlan::new(23)).await;
    let mut load = system.load_plan();
    load.stream_chunks = 600;
    let load = Load::new(load);
    let running = start_load(&load);
    sleep(Duration::from_secs(2)).await;
    let mut agent = system.places[0].agent.take().expect("the agent was started");
    agent.signal(Signal::SIGTERM);
    let admin = system.agent_admin(0);
    system
        .wait_for(
            "the graceful shutdown begins",
            Duration::from_secs(5),
            async |system: &System| !system.is_ready(admin).await,
        )
        .await;
    assert_eq!(
        agent.wait(Duration::from_millis(500)).await,
        None,
        "the agent did not wait for its open streams"
    );
    agent.signal(Signal::SIGTERM);
    assert_eq!(agent.wait(Duration::from_secs(2)).await, Some(1));
    running.abort();
}

/// A target process crashes and is replaced by a cold one at the same address.
async fn target_replaced_cold(subnet: u8, seed: u64) {
    let mut service = ServicePlan::new("vypocet", 2, 9);
    service.first_limit = 2;
    service.growth_answers = 20;
    let mut plan = SystemPlan::new(subnet).with_services(vec![service]);
    plan.seed = seed;
    let (mut system, _folder) = support::start(plan).await;
    let mut load = system.load_plan();
    load.callers = 40;
    load.work_ms = 40;
    load.pause_ms = 60;
    load.streams = 0;
    let load = Load::new(load);
    let running = start_load(&load);
    sleep(Duration::from_secs(1)).await;
    system.target(0).crash().await;
    let replacement = system.start_target(0, false).await;
    let report = running.await.expect("the load task does not panic");
    let stats = replacement.stats();
    assert!(stats.answers > 0, "the new process serves: {report:?}\n{}", system.logs());
    assert_eq!(stats.worst_excess, 0, "cold target above its limit: {stats:?}\n{}", system.logs());
    assert_eq!(stats.ran_twice, 0);
    assert_eq!(report.wrong, 0, "{report:?}");
}

/// An agent is killed and started again at its address, for a target of another service.
async fn address_reused(subnet: u8, seed: u64) {
    let services = vec![ServicePlan::new("vypocet", 2, 9), ServicePlan::new("zpravy", 1, 9)];
    let mut plan = SystemPlan::new(subnet).with_services(services);
    plan.seed = seed;
    let (mut system, _folder) = support::start(plan).await;
    let mut vypocet_load = system.load_plan();
    vypocet_load.services.truncate(1);
    vypocet_load.non_idempotent_percent = 100;
    vypocet_load.streams = 0;
    vypocet_load.deadline = Duration::from_secs(5);
    vypocet_load.id_prefix = "v-".to_owned();
    let mut zpravy_load = vypocet_load.clone();
    zpravy_load.services = vec![system.service(1)];
    zpravy_load.id_prefix = "z-".to_owned();
    let loads = [Load::new(vypocet_load), Load::new(zpravy_load)];
    let running = [start_load(&loads[0]), start_load(&loads[1])];
    sleep(Duration::from_secs(1)).await;

    system.places[0].agent.take().expect("the agent was started").kill();
    system.target(0).crash().await;
    system.start_agent(0);
    let plan = TargetPlan {
        listen: system.target_address(0),
        agent: system.agent_admin(0),
        service: "zpravy".to_owned(),
        slots: 9,
        connections: 2_000,
        first_limit: 2,
        growth_answers: 10,
        warm: true,
        process: "reused".to_owned(),
        sheds_load: false,
    };
    let replacement = system.start_target_with(0, plan).await;
    system.wait_until_ready().await;
    let mut zpravy_load = system.load_plan();
    zpravy_load.services = vec![system.service(1)];
    zpravy_load.non_idempotent_percent = 100;
    zpravy_load.streams = 0;
    zpravy_load.id_prefix = "z2-".to_owned();
    let report = start_load(&Load::new(zpravy_load)).await.expect("the load task does not panic");
    assert_eq!(report.whole, report.requests, "{report:?}\n{}", system.logs());
    for running in running {
        let report = running.await.expect("the load task does not panic");
        assert_eq!(report.wrong, 0, "{report:?}");
    }
    let ran = replacement.run_counts();
    assert!(!ran.is_empty(), "the new target gets work\n{}", system.logs());
    assert!(ran.keys().all(|id| id.starts_with("z")), "request of another service: {ran:?}");
    let admin = system.agent_admin(0);
    let dropped =
        system.metric(admin, "rhubarbthread_dropped_total{reason=\"other-service\"}").await;
    assert!(dropped > 0.0, "no packet of the old service arrived and was dropped");
}

async fn target_stops_renewing() {
    let (system, _folder) = support::start(SystemPlan::new(28)).await;
    system.target(0).crash().await;
    let admin = system.balancer_admin(0);
    let agent = system.agent_data(0).to_string();
    let elapsed = system
        .wait_for(
            "the target counts as leaving",
            Duration::from_secs(10),
            async |system: &System| {
                let status = system.status(admin).await.unwrap_or_default();
                let targets = status["targets"].as_array().cloned().unwrap_or_default();
                targets
                    .iter()
                    .any(|target| target["agent"] == agent && target["phase"] == "leaving")
            },
        )
        .await;
    assert!(elapsed < Duration::from_secs(6), "{elapsed:?}");
}

/// An agent is killed, as if its host failed; its monitors report the loss to the other balancers.
async fn agent_killed() {
    let (mut system, _folder) = support::start(SystemPlan::new(29)).await;
    system.places[0].agent.take().expect("the agent was started").kill();
    let agent = system.agent_data(0).to_string();
    for index in 0..3 {
        let admin = system.balancer_admin(index);
        system
            .wait_for(
                "the target counts as lost",
                Duration::from_secs(12),
                async |system: &System| {
                    let status = system.status(admin).await.unwrap_or_default();
                    let targets = status["targets"].as_array().cloned().unwrap_or_default();
                    targets.iter().any(|target| target["agent"] == agent && target["lost"] == true)
                },
            )
            .await;
    }
    let load = Load::new(system.load_plan());
    let report = start_load(&load).await.expect("the load task does not panic");
    assert_eq!(report.whole, report.requests, "{report:?}\n{}", system.logs());
}

cases! {
    leaving_target_cuts_nothing: support::run(target_leaves());
    a_draining_target_that_is_announced_again_gets_nothing: support::run(target_announced_again_while_it_leaves());
    stopping_agent_cuts_nothing: support::run(agent_stops());
    second_signal: support::run(second_signal_ends_at_once());
    replaced_cold_seed_1: support::run(target_replaced_cold(24, 1));
    replaced_cold_seed_2: support::run(target_replaced_cold(25, 2));
    address_reused_seed_1: support::run(address_reused(26, 1));
    address_reused_seed_2: support::run(address_reused(27, 2));
    silent_target: support::run(target_stops_renewing());
    dead_agent: support::run(agent_killed());
}
