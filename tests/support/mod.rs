//! What the failure tests share: the programs under test, a folder, one system at a time.

#![allow(dead_code)]

pub mod explore;

use std::future::Future;
use std::path::PathBuf;
use std::sync::Mutex;

use rhubarbthread_standins::system::Programs;
use rhubarbthread_standins::system::System;
use rhubarbthread_standins::system::SystemPlan;
use tempfile::TempDir;
use tokio::runtime::Builder;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The programs that cargo built for the tests.
pub fn programs() -> Programs {
    Programs {
        balancer: PathBuf::from(env!("CARGO_BIN_EXE_rhubarbthread-balancer")),
        agent: PathBuf::from(env!("CARGO_BIN_EXE_rhubarbthread-agent")),
        operator: PathBuf::from(env!("CARGO_BIN_EXE_rhubarbthread")),
    }
}

/// Runs a test on a runtime of its own, one test of a file after the other.
pub fn run(test: impl Future<Output = ()>) {
    let _one = ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let runtime = Builder::new_multi_thread().worker_threads(4).enable_all().build();
    runtime.expect("a runtime starts").block_on(test);
}

/// Starts a system in a temporary folder.
pub async fn start(plan: SystemPlan) -> (System, TempDir) {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let system = System::start(plan, programs(), folder.path()).await;
    (system, folder)
}

/// Names each case of a table: `cases! { name: expression, ... }` makes one test of each.
#[macro_export]
macro_rules! cases {
    ($($(#[$attribute:meta])* $name:ident: $body:expr;)*) => {
        $($(#[$attribute])* #[test] fn $name() { $body })*
    };
}
