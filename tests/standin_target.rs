//! The stand-in target frees its address when it crashes. Failure tests rely on it to start the
//! replacement at the same address.

#[macro_use]
mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use rhubarbthread_standins::target::Target;
use rhubarbthread_standins::target::TargetPlan;
use tokio::runtime::Builder;

/// Number of targets started one after another at the same address.
const RESTARTS: u32 = 1_000;

/// Threads that keep starting processes.
const STARTING_PROCESSES: usize = 4;

fn plan(listen: SocketAddrV4) -> TargetPlan {
    TargetPlan {
        listen: listen.into(),
        agent: SocketAddrV4::new(*listen.ip(), 7002),
        service: "vypocet".to_owned(),
        slots: 1,
        connections: 1,
        first_limit: 1,
        growth_answers: 1,
        warm: true,
        process: "a".to_owned(),
        sheds_load: false,
    }
}

/// Starts and crashes a target repeatedly at the same address.
fn start_and_crash(host: u8, restarts: u32) {
    let runtime = Builder::new_multi_thread().worker_threads(4).enable_all().build();
    runtime.expect("the runtime can be built").block_on(async {
        let listen = SocketAddrV4::new(Ipv4Addr::new(127, 79, 3, host), 8080);
        for restart in 0..restarts {
            let target = Target::start(plan(listen)).await;
            let target = target.unwrap_or_else(|error| panic!("restart {restart}: {error}"));
            target.crash().await;
        }
    });
}

cases! {
    the_address_of_a_crashed_target_is_free_at_once: start_and_crash(1, RESTARTS);
    a_process_that_starts_meanwhile_does_not_keep_the_address: {
        // Between fork and exec a new process holds a copy of every open socket.
        let is_finished = AtomicBool::new(false);
        thread::scope(|scope| {
            for _ in 0..STARTING_PROCESSES {
                scope.spawn(|| {
                    while !is_finished.load(Ordering::Relaxed) {
                        let ended = Command::new("true").status();
                        assert!(ended.expect("the program can be started").success());
                    }
                });
            }
            let restarts = scope.spawn(|| start_and_crash(2, RESTARTS)).join();
            is_finished.store(true, Ordering::Relaxed);
            restarts.expect("the address is free at every restart");
        });
    };
}
