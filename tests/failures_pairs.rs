//! Two failures at the same time, under load. The seed chooses the pair.

mod support;

use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rhubarbthread_standins::load::Load;
use rhubarbthread_standins::store::StoreFaults;
use rhubarbthread_standins::system::ServicePlan;
use rhubarbthread_standins::system::System;
use rhubarbthread_standins::system::SystemPlan;
use tokio::time::sleep;

/// Time between the start and the end of a failure.
const FAILURE_DURATION: Duration = Duration::from_secs(5);

/// Time within which the whole system is ready again after the failures.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug)]
enum Failure {
    BalancerKilled,
    BalancerFrozen,
    AgentFrozen,
    StoreDown,
    TargetReplacedCold,
    ZoneOut,
    FabricLoses,
}

const ALL_FAILURES: [Failure; 7] = [
    Failure::BalancerKilled,
    Failure::BalancerFrozen,
    Failure::AgentFrozen,
    Failure::StoreDown,
    Failure::TargetReplacedCold,
    Failure::ZoneOut,
    Failure::FabricLoses,
];

async fn begin_failure(system: &mut System, failure: Failure) {
    match failure {
        Failure::BalancerKilled => {
            system.balancers[0].take().expect("the process was started").kill()
        }
        Failure::BalancerFrozen => {
            system.balancers[1].as_ref().expect("the process was started").signal(Signal::SIGSTOP);
        }
        Failure::AgentFrozen => {
            system.places[0]
                .agent
                .as_ref()
                .expect("the process was started")
                .signal(Signal::SIGSTOP);
        }
        Failure::StoreDown => {
            system.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
        }
        Failure::TargetReplacedCold => {
            system.target(1).crash().await;
            system.start_target(1, false).await;
        }
        Failure::ZoneOut => {
            // The change is rejected if the store is down as well.
            system.run_operator_tool(&["zone", "out", "zlin-c"]);
        }
        Failure::FabricLoses => {
            let mut faults = system.plan.faults;
            faults.drop_permille = 50;
            faults.duplicate_permille = 50;
            faults.reorder_permille = 50;
            system.fabric.set_faults(faults);
        }
    }
}

async fn end_failure(system: &mut System, failure: Failure) {
    match failure {
        Failure::BalancerKilled => system.start_balancer(0),
        Failure::BalancerFrozen => {
            system.balancers[1].as_ref().expect("the process was started").signal(Signal::SIGCONT);
        }
        Failure::AgentFrozen => {
            system.places[0]
                .agent
                .as_ref()
                .expect("the process was started")
                .signal(Signal::SIGCONT);
        }
        Failure::StoreDown => system.store.set_faults(StoreFaults::default()),
        Failure::TargetReplacedCold => {}
        Failure::ZoneOut => {
            system.run_operator_tool(&["zone", "in", "zlin-c"]);
        }
        Failure::FabricLoses => system.fabric.set_faults(system.plan.faults),
    }
}

async fn run_pair(subnet: u8, seed: u64) {
    let mut failures = ALL_FAILURES;
    failures.shuffle(&mut StdRng::seed_from_u64(seed));
    let [first, second, ..] = failures;
    println!("seed {seed}: {first:?} and {second:?}");
    let services = vec![ServicePlan::new("vypocet", 3, 9)];
    let mut plan = SystemPlan::new(subnet).with_services(services);
    plan.seed = seed;
    let (mut system, _folder) = support::start(plan).await;
    let mut load = system.load_plan();
    load.deadline = Duration::from_secs(6);
    load.non_idempotent_percent = 50;
    load.flow_requests = 10;
    load.streams = 10;
    let load = Load::new(load);
    let running = tokio::spawn({
        let load = Arc::clone(&load);
        async move { load.run().await }
    });
    sleep(Duration::from_secs(1)).await;
    begin_failure(&mut system, first).await;
    begin_failure(&mut system, second).await;
    sleep(FAILURE_DURATION).await;
    // The store is available again before the operator returns the zone to service.
    for failure in [first, second] {
        if !matches!(failure, Failure::ZoneOut) {
            end_failure(&mut system, failure).await;
        }
    }
    for failure in [first, second] {
        if matches!(failure, Failure::ZoneOut) {
            end_failure(&mut system, failure).await;
        }
    }
    let report = running.await.expect("the load task does not panic");
    let recovered = tokio::time::timeout(RECOVERY_TIMEOUT, system.wait_until_ready()).await;
    assert!(recovered.is_ok(), "seed {seed}: not ready after the failures\n{}", system.logs());
    assert_eq!(report.wrong, 0, "seed {seed}: {report:?}");
    for place in 0..3 {
        let stats = system.target(place).stats();
        assert_eq!(stats.ran_twice, 0, "seed {seed}: {stats:?}");
        assert_eq!(stats.worst_excess, 0, "seed {seed}: {stats:?}");
    }
    let mut after = system.load_plan();
    after.requests = 10;
    after.streams = 0;
    let after = Load::new(after).run().await;
    assert_eq!(after.whole, after.requests, "seed {seed}: {after:?}\n{}", system.logs());
}

cases! {
    pair_seed_1: support::run(run_pair(81, 1));
    pair_seed_2: support::run(run_pair(82, 2));
    pair_seed_3: support::run(run_pair(83, 3));
    pair_seed_4: support::run(run_pair(84, 4));
}
