//! Balancers are killed or stopped, and replaced, while flows stay open.

mod support;

use std::time::Duration;

use nix::sys::signal::Signal;
use rhubarbthread_standins::fabric::FabricFaults;
use rhubarbthread_standins::load::Load;
use rhubarbthread_standins::system::SystemPlan;

const STOP_TIMEOUT: Duration = Duration::from_secs(20);

const DUPLICATES_AND_REORDERING: FabricFaults = FabricFaults {
    drop_permille: 0,
    duplicate_permille: 20,
    reorder_permille: 20,
    delay_us: 0,
    ignore_probes: false,
};

/// Ends every balancer with `signal` and replaces it, one after another, while long streams run.
async fn replace_all(subnet: u8, seed: u64, signal: Signal) {
    let mut plan = SystemPlan::new(subnet).with_faults(DUPLICATES_AND_REORDERING);
    plan.seed = seed;
    let (mut system, _folder) = support::start(plan).await;
    let mut load = system.load_plan();
    load.streams = 60;
    load.stream_chunks = 80;
    let load = Load::new(load);
    let running = tokio::spawn({
        let load = load.clone();
        async move { load.run().await }
    });
    for index in 0..3 {
        let mut balancer = system.balancers[index].take().expect("the balancer was started");
        balancer.signal(signal);
        let code = balancer.wait(STOP_TIMEOUT).await;
        if signal == Signal::SIGTERM {
            assert_eq!(
                code,
                Some(0),
                "the balancer did not shut down gracefully\n{}",
                system.logs()
            );
        }
        system.start_balancer(index);
        system.wait_until_ready().await;
    }
    let report = running.await.expect("the load task does not panic");
    assert_eq!(report.broken_flows, 0, "{report:?}\n{}", system.logs());
    assert_eq!(report.wrong, 0, "{report:?}");
    assert_eq!(report.whole, report.requests, "{report:?}\n{}", system.logs());
}

cases! {
    all_killed_seed_1: support::run(replace_all(11, 1, Signal::SIGKILL));
    all_killed_seed_2: support::run(replace_all(12, 2, Signal::SIGKILL));
    all_stopped_as_planned: support::run(replace_all(13, 3, Signal::SIGTERM));
}
