//! Runs the measurements; `scripts/measure` builds and starts this program.

use std::path::PathBuf;
use std::process::exit;

use gumdrop::Options;
use rhubarbthread_standins::measure::broken_flows;
use rhubarbthread_standins::measure::control;
use rhubarbthread_standins::measure::forward;
use rhubarbthread_standins::measure::imbalance;
use rhubarbthread_standins::measure::report::Report;
use rhubarbthread_standins::measure::zone;
use rhubarbthread_standins::system::Programs;

#[derive(Debug, Options)]
struct MeasureOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "write a report in Markdown with plots", meta = "FILE")]
    out: Option<PathBuf>,
    #[options(help = "seeds of each measurement", default = "5")]
    seeds: u64,
    #[options(free, help = "broken-flows, imbalance, zone, forward, control, or all")]
    names: Vec<String>,
}

const NAMES: [&str; 6] =
    ["broken-flows", "imbalance", "zone", "forward", "control-daemons", "control-loop"];

#[tokio::main]
async fn main() {
    let options = MeasureOptions::parse_args_default_or_exit();
    let programs = Programs::beside_current_exe().expect("the path of this program is known");
    let mut report = Report::new();
    let names: Vec<&str> = match options.names.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["all"] => NAMES.to_vec(),
        ["control"] => vec!["control-daemons", "control-loop"],
        ref names if !names.is_empty() && names.iter().all(|name| NAMES.contains(name)) => {
            names.to_vec()
        }
        _ => {
            eprintln!("measure: expected one or more of {}, or control, or all", NAMES.join(", "));
            exit(2);
        }
    };
    for name in names {
        match name {
            "broken-flows" => broken_flows::run(&programs, options.seeds, &mut report).await,
            "imbalance" => imbalance::run(&programs, options.seeds, &mut report).await,
            "zone" => zone::run(&programs, options.seeds, &mut report).await,
            "forward" => forward::run(&programs, &mut report).await,
            "control-daemons" => control::run_all_daemons(&programs, &mut report).await,
            _ => control::run_all_simulations(&mut report),
        }
    }
    if let Some(path) = options.out
        && let Err(error) = report.write(&path)
    {
        eprintln!("measure: {}: {error}", path.display());
        exit(1);
    }
}
