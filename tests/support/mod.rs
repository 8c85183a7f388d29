//! What the failure tests share: the programs under test, a folder, one system at a time.

#![allow(dead_code)]

pub mod explore;
pub mod passthrough;

use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;

use rhubarbthread::caller::Caller;
use rhubarbthread::caller::CallerSettings;
use rhubarbthread::process::tls;
use rhubarbthread_standins::system::Programs;
use rhubarbthread_standins::system::System;
use rhubarbthread_standins::system::SystemPlan;
use tempfile::TempDir;
use tokio::runtime::Builder;
use tokio::sync::Semaphore;

/// Systems that run at once in one test program.
const MAX_CONCURRENT_SYSTEMS: u32 = 3;

static SYSTEM_PERMITS: Semaphore = Semaphore::const_new(MAX_CONCURRENT_SYSTEMS as usize);

/// The programs that cargo built for the tests.
pub fn programs() -> Programs {
    Programs {
        balancer: PathBuf::from(env!("CARGO_BIN_EXE_rhubarbthread-balancer")),
        agent: PathBuf::from(env!("CARGO_BIN_EXE_rhubarbthread-agent")),
        operator: PathBuf::from(env!("CARGO_BIN_EXE_rhubarbthread")),
    }
}

/// Runs a test on a runtime of its own, a few tests of a file at once.
pub fn run(test: impl Future<Output = ()>) {
    run_with_permits(1, test);
}

/// Runs a test whose bounds are on speed, with no other beside it.
pub fn run_alone(test: impl Future<Output = ()>) {
    run_with_permits(MAX_CONCURRENT_SYSTEMS, test);
}

fn run_with_permits(permits: u32, test: impl Future<Output = ()>) {
    let runtime = Builder::new_multi_thread().worker_threads(4).enable_all().build();
    runtime.expect("a runtime starts").block_on(async {
        let _permits = SYSTEM_PERMITS.acquire_many(permits).await.expect("it is never closed");
        test.await;
    });
}

/// Starts a system in a temporary folder.
pub async fn start(plan: SystemPlan) -> (System, TempDir) {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let system = System::start(plan, programs(), folder.path()).await;
    (system, folder)
}

/// A caller of the first service of a system.
pub fn caller(system: &System, retry_budget_percent: u32) -> Caller {
    Caller::new(CallerSettings {
        service: system.service(0),
        server_name: "localhost".to_owned(),
        client: tls::caller_client_config(&system.authority()).expect("authority is right"),
        local_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        retry_budget_percent,
    })
    .expect("a local socket opens")
}

/// Names each case of a table: `cases! { name: expression, ... }` makes one test of each.
#[macro_export]
macro_rules! cases {
    ($($(#[$attribute:meta])* $name:ident: $body:expr;)*) => {
        $($(#[$attribute])* #[test] fn $name() { $body })*
    };
}
