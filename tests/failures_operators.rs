//! Two operators publish services and change a zone concurrently, in a hundred seeded orders. With
//! some seeds the store loses answers to writes that took effect.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::error::Error;
use rhubarbthread::process::etcd::EtcdStore;
use rhubarbthread::process::publish;
use rhubarbthread::process::service_file::ServiceSpec;
use rhubarbthread::process::store::Store;
use rhubarbthread_standins::store::StandinStore;
use rhubarbthread_standins::store::StoreFaults;
use tokio::time::sleep;

const SEEDS: u64 = 100;

/// Share of the answers to writes that are lost, with one seed of four on average.
const LOST_ANSWERS_PERMILLE: u32 = 500;

fn spec(name: &str, host: u8, deadline_ms: u32) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, host), 443)),
        first_limit: 1,
        growth_answers: 1,
        request_deadline_ms: deadline_ms,
        retry_budget_percent: 10,
        zones: Vec::new(),
        stream_paths: Vec::new(),
    }
}

/// One operator: reads the stored services, waits, and publishes its changes against what it read.
async fn read_and_publish(
    store: &EtcdStore,
    specs: &[ServiceSpec],
    wait: Duration,
) -> (Vec<String>, Result<(), Error>) {
    let stored = match publish::read_services(store).await {
        Ok(stored) => stored,
        Err(error) => return (Vec::new(), Err(error)),
    };
    let changes = match publish::plan(&stored, specs, false) {
        Ok(changes) => changes,
        Err(error) => return (Vec::new(), Err(error)),
    };
    sleep(wait).await;
    let (published, result) = publish::publish(store, &stored, &changes).await;
    (published.accepted, result)
}

async fn race_operators(store: &EtcdStore, standin: &StandinStore, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let lost_permille = if random.random_range(0..4) == 0 { LOST_ANSWERS_PERMILLE } else { 0 };
    standin
        .set_faults(StoreFaults { lose_answers_permille: lost_permille, ..StoreFaults::default() });
    let shared = format!("shared-{seed}");
    let host = (seed + 1) as u8;
    let first = [spec(&shared, host, 1_000)];
    let second = [spec(&shared, host, 2_000), spec(&format!("other-{seed}"), host + 100, 3_000)];
    let mut wait = || Duration::from_millis(random.random_range(0..8));
    let (first_wait, second_wait) = (wait(), wait());
    let zone = format!("zone-{seed}");
    let (first, second, zone_out, zone_in) = tokio::join!(
        read_and_publish(store, &first, first_wait),
        read_and_publish(store, &second, second_wait),
        publish::set_zone(store, &zone, true),
        publish::set_zone(store, &zone, false),
    );
    standin.set_faults(StoreFaults::default());

    let successes = [&first, &second].iter().filter(|(_, result)| result.is_ok()).count();
    assert!(successes >= 1, "seed {seed}: neither operator succeeded: {first:?} {second:?}");
    let stored = publish::read_services(store).await.expect("the store answers");
    let is_in_force =
        |specs: &[ServiceSpec]| publish::plan(&stored, specs, false).map(|plan| plan.is_empty());
    let is_first_in_force = is_in_force(&[spec(&shared, host, 1_000)]).expect("the plan is valid");
    let is_second_in_force = is_in_force(&[spec(&shared, host, 2_000)]).expect("the plan is valid");
    assert!(
        is_first_in_force != is_second_in_force,
        "seed {seed}: not exactly one of the two specifications is in force"
    );
    if successes == 2 {
        // Unless answers are lost, both succeed only if one read after the other had written.
        assert!(
            first_wait != second_wait || lost_permille > 0,
            "seed {seed}: {first:?} {second:?}"
        );
    }
    for (accepted, result) in [&first, &second] {
        assert_eq!(accepted.is_empty(), result.is_err(), "seed {seed}: {accepted:?} {result:?}");
        if let Err(error) = result {
            assert!(
                error.to_string().contains(&shared),
                "the error does not name {shared}: {error}"
            );
        }
    }
    assert!(zone_out.is_ok() || zone_in.is_ok(), "seed {seed}: both zone changes failed");
}

async fn run_all_seeds() {
    let address = SocketAddrV4::new(Ipv4Addr::new(127, 51, 90, 1), 2379);
    let standin = StandinStore::new(7);
    tokio::spawn(standin.clone().serve(address));
    let store = EtcdStore::new(&[format!("http://{address}")]);
    while store.range("").await.is_err() {
        sleep(Duration::from_millis(20)).await;
    }
    for seed in 0..SEEDS {
        race_operators(&store, &standin, seed).await;
    }
}

cases! {
    a_hundred_orders: support::run(run_all_seeds());
}
