//! Load generator in place of real callers: long streams and short requests on many flows, with idempotent
//! and non-idempotent requests mixed.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::caller::Call;
use rhubarbthread::caller::Caller;
use rhubarbthread::caller::CallerSettings;
use rhubarbthread::caller::Failure;
use rhubarbthread::process::tls;
use rhubarbthread::request::verdict::Verdict;
use serde::Serialize;
use tokio::time::sleep;

/// Highest latency that the histogram can record, in microseconds (ten minutes).
const MAX_LATENCY_US: u64 = 600_000_000;

/// Precision of the latency histogram.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;

/// Description of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Service addresses; the callers are distributed over them in turn.
    pub services: Vec<SocketAddr>,
    /// PEM file with the certificate of the certificate authority.
    pub authority: PathBuf,
    /// Server name that the services' certificates must contain.
    pub server_name: String,
    /// Number of callers that send short requests.
    pub callers: usize,
    /// Number of requests of each of these callers.
    pub requests: usize,
    /// Number of requests after which a caller opens a new flow; 0 for a single flow.
    pub flow_requests: usize,
    /// Mean pause between two requests of a caller, in milliseconds; each pause is 50 to 150 percent of it.
    pub pause_ms: u64,
    /// Time that the target takes for a request, in milliseconds.
    pub work_ms: u64,
    /// Number of callers that read one long stream each.
    pub streams: usize,
    /// Number of lines in a stream.
    pub stream_chunks: u64,
    /// Time between two lines of a stream, in milliseconds.
    pub stream_ms: u64,
    /// Share of requests that are not idempotent, in percent.
    pub non_idempotent_percent: u32,
    /// Deadline of each request, from its start.
    pub deadline: Duration,
    /// Retries that are allowed per hundred requests.
    pub retry_budget_percent: u32,
    /// Seed for the random choices.
    pub seed: u64,
    /// Prefix of the request ids, which keeps the ids of several loads distinct.
    pub id_prefix: String,
}

/// Result of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests and streams that were started.
    pub requests: u64,
    /// Requests and streams that got a complete response.
    pub whole: u64,
    /// Responses with an unexpected body, and streams that ended normally but are incomplete. Must be 0.
    pub wrong: u64,
    /// Calls that failed with the verdict `NotRun`.
    pub not_run: u64,
    /// Calls that failed with the verdict `MayHaveRun`.
    pub may_have_run: u64,
    /// Streams that failed after their response headers had arrived.
    pub broken_flows: u64,
    /// Number of failed calls by reason.
    pub reasons: IndexMap<String, u64>,
    /// Requests sent, including retries.
    pub sent: u64,
    /// Retries that were not made because the retry budget was exhausted.
    pub out_of_budget: u64,
    /// Median latency of the complete responses, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of this latency, in milliseconds.
    pub p99_ms: f64,
    /// Maximum of this latency, in milliseconds.
    pub max_ms: f64,
    /// Complete responses in each interval of 100 ms since the start.
    pub answers_per_100_ms: Vec<u64>,
    /// Time from the start of the load to this report, in milliseconds.
    pub duration_ms: u64,
}

/// Load generator whose report can be read while it runs.
pub struct Load {
    plan: LoadPlan,
    report: Mutex<LoadReport>,
    latency_us: Mutex<Histogram<u64>>,
    start: Instant,
}

impl Load {
    /// Creates a load without sending anything.
    pub fn new(plan: LoadPlan) -> Arc<Load> {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, HISTOGRAM_SIGNIFICANT_DIGITS)
            .expect("the maximum and the precision are valid");
        Arc::new(Load {
            plan,
            report: Mutex::default(),
            latency_us: Mutex::new(latency_us),
            start: Instant::now(),
        })
    }

    /// Runs all callers to their end and returns the final report.
    pub async fn run(self: &Arc<Self>) -> LoadReport {
        let mut tasks = Vec::new();
        for index in 0..self.plan.callers {
            tasks.push(tokio::spawn(Arc::clone(self).run_caller(index)));
        }
        for index in 0..self.plan.streams {
            tasks.push(tokio::spawn(Arc::clone(self).run_stream(index)));
        }
        for task in tasks {
            task.await.expect("a caller does not panic");
        }
        self.report()
    }

    /// Report on the load so far.
    pub fn report(&self) -> LoadReport {
        let mut report = self.report.lock().expect("lock is not poisoned").clone();
        let latency = self.latency_us.lock().expect("lock is not poisoned");
        let ms = |us: u64| us as f64 / 1000.0;
        report.p50_ms = ms(latency.value_at_quantile(0.5));
        report.p99_ms = ms(latency.value_at_quantile(0.99));
        report.max_ms = ms(latency.max());
        report.duration_ms = self.start.elapsed().as_millis() as u64;
        report
    }

    fn caller(&self, index: usize) -> Caller {
        let client = tls::caller_client_config(&self.plan.authority)
            .expect("the authority certificate is readable");
        Caller::new(CallerSettings {
            service: self.plan.services[index % self.plan.services.len()],
            server_name: self.plan.server_name.clone(),
            client,
            local_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            retry_budget_percent: self.plan.retry_budget_percent,
        })
        .expect("a local UDP socket can be bound")
    }

    async fn run_caller(self: Arc<Self>, index: usize) {
        let mut random = StdRng::seed_from_u64(self.plan.seed.wrapping_add(index as u64));
        let caller = self.caller(index);
        sleep(Duration::from_millis(random.random_range(0..=self.plan.pause_ms))).await;
        for number in 0..self.plan.requests {
            if self.plan.flow_requests > 0 && number % self.plan.flow_requests == 0 {
                caller.detach_flow().await;
            }
            let id = format!("{}{index}-{number}", self.plan.id_prefix);
            let is_non_idempotent = random.random_range(0..100) < self.plan.non_idempotent_percent;
            self.run_request(&caller, &id, is_non_idempotent).await;
            let pause_ms = self.plan.pause_ms;
            sleep(Duration::from_millis(random.random_range(pause_ms / 2..=pause_ms * 3 / 2)))
                .await;
        }
        self.add_caller_counts(&caller);
        caller.close().await;
    }

    async fn run_request(&self, caller: &Caller, id: &str, is_non_idempotent: bool) {
        let path = format!("/work?id={id}&ms={}", self.plan.work_ms);
        let mut call = Call::new(&path, self.plan.deadline);
        if is_non_idempotent {
            call = call.with_body(Method::POST, Bytes::from_static(b"{}"));
        }
        self.update_report(|report| report.requests += 1);
        let start = Instant::now();
        match caller.call(&call).await {
            Ok(answer) if answer.body.starts_with(format!("id={id} ").as_bytes()) => {
                self.record_success(start);
            }
            Ok(answer) if answer.status.is_server_error() => {
                self.record_failure(&Failure {
                    verdict: Verdict::MayHaveRun,
                    reason: "shed".to_owned(),
                    retry_after: None,
                });
            }
            Ok(_) => self.update_report(|report| report.wrong += 1),
            Err(failure) => self.record_failure(&failure),
        }
    }

    async fn run_stream(self: Arc<Self>, index: usize) {
        let mut random = StdRng::seed_from_u64(!self.plan.seed.wrapping_add(index as u64));
        let caller = self.caller(index);
        sleep(Duration::from_millis(random.random_range(0..=self.plan.pause_ms.max(500)))).await;
        let path = format!("/stream?chunks={}&ms={}", self.plan.stream_chunks, self.plan.stream_ms);
        let call = Call::new(&path, self.plan.deadline);
        self.update_report(|report| report.requests += 1);
        let start = Instant::now();
        match caller.stream(&call).await {
            Ok(mut stream) => {
                let mut body = Vec::new();
                let failure = loop {
                    match stream.next().await {
                        Ok(Some(data)) => body.extend_from_slice(&data),
                        Ok(None) => break None,
                        Err(failure) => break Some(failure),
                    }
                };
                match failure {
                    None if body.ends_with(b"end\n") => self.record_success(start),
                    None => self.update_report(|report| report.wrong += 1),
                    Some(failure) => {
                        self.update_report(|report| report.broken_flows += 1);
                        self.record_failure(&failure);
                    }
                }
            }
            Err(failure) => self.record_failure(&failure),
        }
        self.add_caller_counts(&caller);
        caller.close().await;
    }

    fn add_caller_counts(&self, caller: &Caller) {
        let counts = caller.counts();
        self.update_report(|report| {
            report.sent += counts.sent;
            report.out_of_budget += counts.out_of_budget;
        });
    }

    fn record_success(&self, start: Instant) {
        let latency_us = start.elapsed().as_micros() as u64;
        let interval = (self.start.elapsed().as_millis() / 100) as usize;
        self.latency_us.lock().expect("lock is not poisoned").saturating_record(latency_us);
        self.update_report(|report| {
            report.whole += 1;
            if report.answers_per_100_ms.len() <= interval {
                report.answers_per_100_ms.resize(interval + 1, 0);
            }
            report.answers_per_100_ms[interval] += 1;
        });
    }

    fn record_failure(&self, failure: &Failure) {
        self.update_report(|report| {
            match failure.verdict {
                Verdict::NotRun => report.not_run += 1,
                _ => report.may_have_run += 1,
            }
            *report.reasons.entry(failure.reason.clone()).or_insert(0) += 1;
        });
    }

    fn update_report(&self, update: impl FnOnce(&mut LoadReport)) {
        update(&mut self.report.lock().expect("lock is not poisoned"));
    }
}
