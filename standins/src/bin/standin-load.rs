//! Generates load and prints a report on it as JSON.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use gumdrop::Options;
use indexmap::IndexMap;
use rhubarbthread_standins::load::Load;
use rhubarbthread_standins::load::LoadPlan;
use rhubarbthread_standins::load::LoadReport;

#[derive(Debug, Options)]
struct LoadOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "service address (several)", meta = "IP:PORT")]
    service: Vec<SocketAddr>,
    #[options(required, help = "certificate of the authority", meta = "FILE", no_short)]
    authority: Option<PathBuf>,
    #[options(help = "name in the certificates", default = "localhost", no_short)]
    server_name: String,
    #[options(help = "callers with short requests", default = "20", no_short)]
    callers: usize,
    #[options(help = "requests of each", default = "50", no_short)]
    requests: usize,
    #[options(help = "requests of a caller before it opens another flow; 0 for all", no_short)]
    flow_requests: usize,
    #[options(help = "milliseconds between two requests of a caller", default = "100", no_short)]
    pause_ms: u64,
    #[options(help = "milliseconds of work a request", default = "10", no_short)]
    work_ms: u64,
    #[options(help = "long streams", default = "20", no_short)]
    streams: usize,
    #[options(help = "lines a stream", default = "100", no_short)]
    chunks: u64,
    #[options(help = "milliseconds between two lines", default = "100", no_short)]
    chunk_ms: u64,
    #[options(help = "percent of requests that are not idempotent", default = "30", no_short)]
    once: u32,
    #[options(help = "deadline in milliseconds", default = "20000", no_short)]
    deadline_ms: u64,
    #[options(help = "retries per hundred requests", default = "10", no_short)]
    retries: u32,
    #[options(help = "seed of the mix", default = "1", no_short)]
    seed: u64,
    #[options(help = "targets to ask what ran (several)", meta = "IP:PORT", no_short)]
    target: Vec<SocketAddr>,
    #[options(help = "end with the line of the demonstration", no_short)]
    demo: bool,
}

#[tokio::main]
async fn main() {
    let options = LoadOptions::parse_args_default_or_exit();
    let load = Load::new(LoadPlan {
        services: options.service,
        authority: options.authority.expect("the option is required"),
        server_name: options.server_name,
        callers: options.callers,
        requests: options.requests,
        flow_requests: options.flow_requests,
        pause_ms: options.pause_ms,
        work_ms: options.work_ms,
        streams: options.streams,
        stream_chunks: options.chunks,
        stream_ms: options.chunk_ms,
        non_idempotent_percent: options.once,
        deadline: Duration::from_millis(options.deadline_ms),
        retry_budget_percent: options.retries,
        seed: options.seed,
        id_prefix: String::new(),
    });
    let report = load.run().await;
    println!("{}", serde_json::to_string(&report).expect("a report can be serialised"));
    if options.demo {
        let run_twice = count_run_twice(&options.target).await;
        exit(print_demo(&report, run_twice));
    }
}

/// Number of request ids that ran more than once on all targets together.
async fn count_run_twice(targets: &[SocketAddr]) -> usize {
    let mut times: IndexMap<String, u32> = IndexMap::new();
    for target in targets {
        let answer = reqwest::get(format!("http://{target}/standin/ran")).await;
        let Ok(answer) = answer else {
            eprintln!("standin-load: target {target} did not answer; its requests are not checked");
            continue;
        };
        let ran: IndexMap<String, u32> = answer.json().await.unwrap_or_default();
        for (id, count) in ran {
            *times.entry(id).or_insert(0) += count;
        }
    }
    times.values().filter(|count| **count > 1).count()
}

/// Prints the summary line and returns the exit code. Flows may break only in the zone that is taken out.
fn print_demo(report: &LoadReport, run_twice: usize) -> i32 {
    let in_zone_out = report.reasons.get("zone-out").copied().unwrap_or(0);
    let broken = report.broken_flows;
    println!(
        "demo: {} requests, {} whole, {in_zone_out} cut in the zone that was out, {} broken flows \
         elsewhere, {run_twice} run twice",
        report.requests,
        report.whole,
        broken.saturating_sub(in_zone_out),
    );
    let given_up = report.not_run + in_zone_out;
    let is_expected = report.whole + given_up == report.requests
        && broken <= in_zone_out
        && report.wrong == 0
        && run_twice == 0;
    if is_expected { 0 } else { 1 }
}
