//! Overload, late answers, deadlines, cancellation and packet loss: each caller gets the complete
//! answer to its own request, or a correct verdict on whether the request ran.

mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use rhubarbthread::caller::Call;
use rhubarbthread::caller::Caller;
use rhubarbthread::request::verdict::Verdict;
use rhubarbthread_standins::fabric::FabricFaults;
use rhubarbthread_standins::load::Load;
use rhubarbthread_standins::load::LoadPlan;
use rhubarbthread_standins::load::LoadReport;
use rhubarbthread_standins::system::ServicePlan;
use rhubarbthread_standins::system::System;
use rhubarbthread_standins::system::SystemPlan;
use tokio::time::sleep;

/// Lowest ratio of the goodput at overload to the goodput with all slots in use.
const MIN_GOODPUT_RATIO: f64 = 0.9;

/// Highest ratio of requests sent at overload, retries included, to calls made.
const MAX_SENT_RATIO: f64 = 1.1;

/// Longest time until a refusal arrives.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);

fn caller(system: &System) -> Caller {
    support::caller(system, 10)
}

fn goodput(report: &LoadReport) -> f64 {
    report.whole as f64 / report.duration_ms as f64
}

async fn run_load(plan: LoadPlan) -> LoadReport {
    Load::new(plan).run().await
}

/// Three times as many callers as slots, each with a pause of 5 ms between its calls.
async fn overload() {
    let services = vec![ServicePlan::new("vypocet", 3, 5)];
    let (system, _folder) = support::start(SystemPlan::new(61).with_services(services)).await;
    let mut plan = system.load_plan();
    plan.streams = 0;
    plan.non_idempotent_percent = 0;
    plan.work_ms = 100;
    plan.pause_ms = 5;
    plan.callers = 15;
    plan.requests = 60;
    let at_capacity = run_load(plan.clone()).await;
    plan.callers = 45;
    plan.requests = 100;
    let at_overload = run_load(plan).await;
    let offered = at_overload.requests as f64;
    assert_eq!(at_overload.wrong, 0, "{at_overload:?}");
    assert_eq!(at_overload.may_have_run, 0, "{at_overload:?}");
    assert!(at_overload.not_run > 0, "no call was refused at overload: {at_overload:?}");
    assert!(at_overload.sent as f64 / offered <= MAX_SENT_RATIO, "{at_overload:?}");
    let ratio = goodput(&at_overload) / goodput(&at_capacity);
    assert!(ratio >= MIN_GOODPUT_RATIO, "goodput {ratio:.2}\n{at_capacity:?}\n{at_overload:?}");
    for place in 0..3 {
        let stats = system.target(place).stats();
        assert!(stats.peak_busy <= 5, "{stats:?}");
    }
    // Targets answered as many requests as callers got answers: no refused request ran.
    let answered: u64 = (0..3).map(|place| system.target(place).stats().answers).sum();
    assert_eq!(answered, at_capacity.whole + at_overload.whole);
}

async fn refusal_without_delay() {
    let services = vec![ServicePlan::new("vypocet", 1, 1)];
    let (system, _folder) = support::start(SystemPlan::new(62).with_services(services)).await;
    let admin = system.agent_admin(0);
    let occupying_caller = Arc::new(caller(&system));
    let running = tokio::spawn({
        let occupying_caller = Arc::clone(&occupying_caller);
        async move {
            occupying_caller.call(&Call::new("/work?id=a&ms=4000", Duration::from_secs(9))).await
        }
    });
    let target = Arc::clone(system.target(0));
    let timeout = Duration::from_secs(5);
    system
        .wait_for("the slot is taken", timeout, async |_: &System| target.stats().busy == 1)
        .await;
    // The agent learns from the response to its next heartbeat that all slots of the service are busy.
    let before = system.metric(admin, "rhubarbthread_reports_total").await;
    let has_two_more_heartbeats = async |system: &System| {
        system.metric(admin, "rhubarbthread_reports_total").await >= before + 2.0
    };
    system.wait_for("two heartbeats", timeout, has_two_more_heartbeats).await;
    let other = caller(&system);
    let start = Instant::now();
    let refused = other.call(&Call::new("/work?id=b&ms=1", Duration::from_millis(900))).await;
    let failure = refused.expect_err("all slots are busy");
    assert!(start.elapsed() < MAX_REFUSAL_TIME, "{:?}", start.elapsed());
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_eq!(failure.reason, "no-slot");
    assert_eq!(failure.retry_after, Some(Duration::from_secs(1)));
    assert!(running.await.expect("the call does not panic").is_ok());
}

/// A request is aborted at the target at its deadline, and no caller receives its late answer.
async fn answers_after_deadline() {
    let (system, _folder) = support::start(SystemPlan::new(63)).await;
    let caller = Arc::new(caller(&system));
    let mut calls = Vec::new();
    for index in 0..60 {
        let caller = Arc::clone(&caller);
        let (ms, deadline_ms) = if index % 3 == 0 { (400, 100) } else { (30, 5_000) };
        calls.push(tokio::spawn(async move {
            sleep(Duration::from_millis(40 * index)).await;
            let path = format!("/work?id=n{index}&ms={ms}");
            let answer = caller.call(&Call::new(&path, Duration::from_millis(deadline_ms))).await;
            (index, answer)
        }));
    }
    for call in calls {
        let (index, answer) = call.await.expect("a call does not panic");
        match answer {
            Ok(answer) => {
                assert!(index % 3 != 0, "call {index} was answered after its deadline");
                let own = format!("id=n{index} ");
                assert!(answer.body.starts_with(own.as_bytes()), "{index}: {answer:?}");
            }
            Err(failure) => {
                assert_eq!(failure.verdict, Verdict::MayHaveRun, "{index}: {failure:?}")
            }
        }
    }
    let cut: u64 = (0..3).map(|place| system.target(place).stats().cut).sum();
    assert!(cut > 0, "no target aborted a request at its deadline");
}

/// Calls are cancelled before their answers; the next calls on the same flow get their own answers.
async fn cancelled_calls() {
    let (system, _folder) = support::start(SystemPlan::new(64)).await;
    let caller = caller(&system);
    for index in 0..20 {
        let path = format!("/work?id=c{index}&ms=200");
        let call = Call::new(&path, Duration::from_secs(5));
        let cancelled = tokio::time::timeout(Duration::from_millis(50), caller.call(&call)).await;
        assert!(cancelled.is_err(), "the call was answered before it was cancelled");
        let path = format!("/work?id=d{index}&ms=1");
        let answer = caller.call(&Call::new(&path, Duration::from_secs(5))).await;
        let answer = answer.expect("a slot is free");
        assert!(answer.body.starts_with(format!("id=d{index} ").as_bytes()));
    }
}

/// Non-idempotent requests under loss, duplication and reordering run at most once.
async fn at_most_once(subnet: u8, seed: u64) {
    let faults = FabricFaults {
        drop_permille: 30,
        duplicate_permille: 100,
        reorder_permille: 100,
        ..FabricFaults::default()
    };
    let mut plan = SystemPlan::new(subnet).with_faults(faults);
    plan.seed = seed;
    let (system, _folder) = support::start(plan).await;
    let mut load = system.load_plan();
    load.non_idempotent_percent = 100;
    load.streams = 0;
    let report = run_load(load).await;
    assert_eq!(report.wrong, 0, "{report:?}");
    let mut ran = 0;
    for place in 0..3 {
        let stats = system.target(place).stats();
        assert_eq!(stats.ran_twice, 0, "{stats:?}");
        ran += stats.ran;
    }
    assert!(ran >= report.whole && ran <= report.requests - report.not_run, "{ran} {report:?}");
}

/// Without faults no datagram of a caller is dropped, although callers set the fixed bit of QUIC at
/// random.
async fn nothing_dropped() {
    let (system, _folder) = support::start(SystemPlan::new(68)).await;
    let mut load = system.load_plan();
    load.streams = 0;
    load.non_idempotent_percent = 0;
    let report = run_load(load).await;
    assert_eq!(report.whole, report.requests, "{report:?}");
    for index in 0..3 {
        for reason in ["not-quic", "bad-tag", "other-service", "not-an-opening", "no-target"] {
            let name = format!("rhubarbthread_dropped_total{{reason=\"{reason}\"}}");
            let dropped = system.metric(system.balancer_admin(index), &name).await;
            assert_eq!(dropped, 0.0, "balancer {index} dropped datagrams as {reason}");
        }
    }
}

/// Equal calls on different flows get separate tickets, so that each of them runs.
async fn separate_tickets() {
    let (system, _folder) = support::start(SystemPlan::new(66)).await;
    let caller = caller(&system);
    let call = Call::new("/work?id=t&ms=1", Duration::from_secs(5))
        .with_body(Method::POST, Bytes::from_static(b"{}"));
    for _ in 0..3 {
        let answer = caller.call(&call).await.expect("the call is answered");
        assert!(answer.body.starts_with(b"id=t "));
        caller.detach_flow().await;
    }
    let ran: u64 = (0..3).map(|place| system.target(place).stats().ran).sum();
    assert_eq!(ran, 3, "each call has its own ticket");
}

cases! {
    overload_three_times: support::run_alone(overload());
    refusal_is_at_once: support::run_alone(refusal_without_delay());
    late_answers_reach_nobody: support::run(answers_after_deadline());
    cancelled: support::run(cancelled_calls());
    once_seed_1: support::run(at_most_once(65, 1));
    once_seed_2: support::run(at_most_once(67, 2));
    no_datagram_is_dropped: support::run(nothing_dropped());
    tickets: support::run(separate_tickets());
}
