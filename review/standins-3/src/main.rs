#![allow(dead_code)]

//! Stand-ins and cases of the third review. Usage: review-3 CASE FOLDER; exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run.

mod client;
mod drained_node;
mod http;
mod json;
mod late_ping;
mod nodes;
mod packet;
mod proxy;
mod record;
mod reuse;
mod server;
mod site;
mod store;

use std::io::Write;
use std::process::exit;

/// Whether the rule was kept, and what was seen.
pub struct Verdict {
    pub is_kept: bool,
    pub text: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "drained-node" => drained_node::run(folder, has_trouble),
        "late-ping" => late_ping::run(folder, has_trouble),
        "reuse" => reuse::run(folder, has_trouble),
        other => Err(format!("no case {other}")),
    };
    let (code, text) = match outcome {
        Ok(Verdict { is_kept: true, text }) => (0, format!("{text}: the rule held")),
        Ok(Verdict { is_kept: false, text }) => (1, format!("{text}: the rule was broken")),
        Err(message) => (2, format!("the case could not run: {message}")),
    };
    // The output may be closed.
    let _ = writeln!(std::io::stdout(), "{text}");
    exit(code)
}
