//! The store is down, slow or loses answers; leases expire while their holder is frozen.

mod support;

use std::time::Duration;

use nix::sys::signal::Signal;
use rhubarbthread_standins::load::Load;
use rhubarbthread_standins::store::StoreFaults;
use rhubarbthread_standins::system::ServicePlan;
use rhubarbthread_standins::system::System;
use rhubarbthread_standins::system::SystemPlan;
use tokio::time::sleep;

const OUTAGE_DURATION: Duration = Duration::from_secs(60);

/// Time within which every balancer has an accepted configuration.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(7);

/// Time that a process is frozen: longer than the stand-in store keeps a contact's lease without
/// renewal.
const FREEZE_DURATION: Duration = Duration::from_secs(5);

async fn wait_until_in_force(system: &System, revision: u64) -> Duration {
    system
        .wait_for(
            "the configuration is in force",
            CONFIGURATION_TIMEOUT,
            async |system: &System| {
                for index in 0..system.balancers.len() {
                    let status =
                        system.status(system.balancer_admin(index)).await.unwrap_or_default();
                    if status["configuration_revision"].as_u64() < Some(revision) {
                        return false;
                    }
                }
                true
            },
        )
        .await
}

async fn store_down() {
    let (mut system, _folder) = support::start(SystemPlan::new(41)).await;
    system.set_zone("zlin-c", true);
    system.set_zone("zlin-c", false);
    let revision = system.status(system.balancer_admin(0)).await.expect("the balancer answers");
    let revision = revision["configuration_revision"].as_u64().expect("the revision is a number");
    system.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let mut load = system.load_plan();
    load.requests = 500;
    load.stream_chunks = 550;
    let load = Load::new(load);
    let running = tokio::spawn({
        let load = load.clone();
        async move { load.run().await }
    });
    let (code, text) = system.run_operator_tool(&["zone", "out", "brno-a"]);
    assert_ne!(code, 0, "a change was accepted while the store is down: {text}");
    // A balancer that joins during the outage gets its configuration from its peers.
    system.balancers[2].take().expect("the balancer was started").kill();
    sleep(Duration::from_secs(2)).await;
    system.start_balancer(2);
    system.wait_until_ready().await;
    sleep(OUTAGE_DURATION).await;
    let report = running.await.expect("the load task does not panic");
    assert_eq!(report.broken_flows, 0, "{report:?}\n{}", system.logs());
    assert_eq!(report.whole, report.requests, "{report:?}");
    for index in 0..3 {
        assert!(system.is_ready(system.balancer_admin(index)).await, "{}", system.logs());
        let status =
            system.status(system.balancer_admin(index)).await.expect("the balancer answers");
        assert!(status["configuration_revision"].as_u64() >= Some(revision));
    }
    system.store.set_faults(StoreFaults::default());
    system.set_zone("brno-a", true);
    wait_until_in_force(&system, revision + 1).await;
}

async fn store_slow() {
    let (system, _folder) = support::start(SystemPlan::new(42)).await;
    system.store.set_faults(StoreFaults { delay_ms: 1_000, ..StoreFaults::default() });
    let status = system.status(system.balancer_admin(0)).await.expect("the balancer answers");
    let revision = status["configuration_revision"].as_u64().expect("the revision is a number");
    system.set_zone("olomouc-b", true);
    wait_until_in_force(&system, revision + 1).await;
}

/// The store carries out every write and loses the answer.
async fn write_answers_lost() {
    let mut plan = SystemPlan::new(43);
    plan.services.push(ServicePlan::new("zpravy", 0, 1));
    let (system, _folder) = support::start(plan).await;
    let faults = StoreFaults { lose_answers_permille: 1_000, ..StoreFaults::default() };
    system.store.set_faults(faults);
    let status = system.status(system.balancer_admin(0)).await.expect("the balancer answers");
    let revision = status["configuration_revision"].as_u64().expect("the revision is a number");
    let (code, text) = system.run_operator_tool(&["zone", "out", "olomouc-b"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("accepted at revision"), "{text}");
    wait_until_in_force(&system, revision + 1).await;
    let (code, text) = system.run_operator_tool(&["zone", "in", "olomouc-b"]);
    assert_eq!(code, 0, "{text}");
    wait_until_in_force(&system, revision + 2).await;
}

/// A balancer is frozen while a zone is taken out, and its lease may expire. Its outdated state breaks
/// no request after it resumes.
async fn frozen_balancer() {
    let (system, _folder) = support::start(SystemPlan::new(44)).await;
    let frozen = system.balancers[0].as_ref().expect("the balancer was started");
    frozen.signal(Signal::SIGSTOP);
    system.set_zone("zlin-c", true);
    sleep(FREEZE_DURATION).await;
    frozen.signal(Signal::SIGCONT);
    let admin = system.balancer_admin(0);
    system
        .wait_for(
            "the frozen balancer catches up",
            CONFIGURATION_TIMEOUT,
            async |system: &System| {
                let own = system.status(admin).await.unwrap_or_default();
                let other = system.status(system.balancer_admin(1)).await.unwrap_or_default();
                own["configuration_digest"] == other["configuration_digest"]
                    && own["balancers"].as_array().map(Vec::len) == Some(3)
                    && other["balancers"].as_array().map(Vec::len) == Some(3)
            },
        )
        .await;
    let report = Load::new(system.load_plan()).run().await;
    assert_eq!(report.whole, report.requests, "{report:?}\n{}", system.logs());
}

/// An agent is frozen until its monitors declare it lost, and then resumes.
async fn frozen_agent() {
    let (system, _folder) = support::start(SystemPlan::new(45)).await;
    let agent = system.agent_data(0).to_string();
    let is_lost = async |system: &System, lost: bool| {
        let status = system.status(system.balancer_admin(1)).await.unwrap_or_default();
        let targets = status["targets"].as_array().cloned().unwrap_or_default();
        targets.iter().any(|target| target["agent"] == agent && target["lost"] == lost)
    };
    let frozen = system.places[0].agent.as_ref().expect("the agent was started");
    frozen.signal(Signal::SIGSTOP);
    let timeout = Duration::from_secs(15);
    system.wait_for("the agent is lost", timeout, async |s: &System| is_lost(s, true).await).await;
    frozen.signal(Signal::SIGCONT);
    system
        .wait_for("the agent refutes its loss", timeout, async |s: &System| is_lost(s, false).await)
        .await;
    system.wait_until_ready().await;
    let report = Load::new(system.load_plan()).run().await;
    assert_eq!(report.whole, report.requests, "{report:?}\n{}", system.logs());
    assert_eq!(report.broken_flows, 0);
}

cases! {
    down_60_s: support::run(store_down());
    slow: support::run(store_slow());
    losing_answers: support::run(write_answers_lost());
    freeze_of_a_balancer: support::run(frozen_balancer());
    freeze_of_an_agent: support::run(frozen_agent());
}
