//! Plays one case of the review against the programs of the project: `standins CASE FOLDER TEMPORARY`.
//! Exits with 1 if the case's rule was broken, with 0 if it held.

mod client;
mod clock_step;
mod cold_start;
mod evacuation;
mod http;
mod json;
mod late_leave;
mod late_ping;
mod other_writer;
mod packet;
mod server;
mod store;
mod system;
mod world;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER TEMPORARY");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let world = world::World::start(folder, temporary);
    let record = world.record.clone();
    let broken = match case.as_str() {
        "evacuation" => evacuation::play(world, has_trouble),
        "late-leave" => late_leave::play(world, has_trouble),
        "other-writer" => other_writer::play(world, has_trouble),
        "clock-step" => clock_step::play(world, has_trouble),
        "cold-start" => cold_start::play(world, has_trouble),
        "late-ping" => late_ping::play(world, has_trouble),
        other => panic!("no case {other:?}"),
    };
    for line in &broken {
        record.note(&format!("broken: {line}"));
        println!("broken: {line}");
    }
    if broken.is_empty() {
        record.note("the rule held");
        println!("the rule held");
    }
    exit(i32::from(!broken.is_empty()));
}
