//! The product's own path: a watch whose connection is silent, and an invalid entry in the store.

#[macro_use]
mod support;

use std::net::SocketAddrV4;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_util::future::BoxFuture;
use futures_util::future::pending;
use rhubarbthread::process::etcd::EtcdStore;
use rhubarbthread::process::store::Put;
use rhubarbthread::process::store::Store;
use rhubarbthread::process::store::StoreChange;
use rhubarbthread::process::store::StoreError;
use rhubarbthread::process::store::Watch;
use rhubarbthread::process::store_reader::QUIET_LIMIT;
use rhubarbthread::process::store_reader::follow_until_quiet;
use rhubarbthread_standins::store::StandinStore;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::time::sleep;
use tokio::time::timeout;

const STORE_PORT: u16 = 18_169;

/// Time within which a call to a silent store has to be given up.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// A watch on a connection that has gone silent.
struct SilentWatch;

impl Watch for SilentWatch {
    fn next(&mut self) -> BoxFuture<'_, Result<Vec<StoreChange>, StoreError>> {
        Box::pin(pending())
    }
}

fn client(at: SocketAddrV4) -> EtcdStore {
    EtcdStore::new(&[format!("http://{at}")])
}

fn run(is_paused: bool, test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().start_paused(is_paused).build();
    runtime.expect("the runtime can be built").block_on(test);
}

async fn range_with_invalid_key() {
    let at = SocketAddrV4::new([127, 88, 0, 1].into(), STORE_PORT);
    tokio::spawn(StandinStore::new(1).serve(at));
    let store = client(at);
    let put = |key: &str| Put { key: key.to_owned(), value: b"1".to_vec(), lease: None };
    while store.transaction(&[], &[put("k/a"), put("k/z")]).await.is_err() {
        sleep(Duration::from_millis(20)).await;
    }
    let invalid =
        json!({"request_put": {"key": STANDARD.encode(b"k/\xff"), "value": "", "lease": "0"}});
    let call = reqwest::Client::new().post(format!("http://{at}/v3/kv/txn"));
    let answer = call.json(&json!({"compare": [], "success": [invalid]})).send().await;
    assert!(answer.expect("the store answers").status().is_success());
    let snapshot = store.range("k/").await.expect("the list is read");
    let keys: Vec<&str> = snapshot.values.iter().map(|value| value.key.as_str()).collect();
    assert_eq!(keys, ["k/a", "k/z"]);
}

cases! {
    a_watch_that_the_store_does_not_answer_is_given_up: run(false, async {
        let listener = TcpListener::bind("127.88.0.2:0").await.expect("the address is free");
        let port = listener.local_addr().expect("it is bound").port();
        let store = client(SocketAddrV4::new([127, 88, 0, 2].into(), port));
        let watch = store.watch("k/", Default::default(), Duration::ZERO);
        let opened = timeout(CALL_LIMIT, watch).await;
        assert!(matches!(opened, Ok(Err(StoreError::NoAnswer { .. }))));
    });
    the_store_is_read_again_after_a_watch_was_quiet: run(true, async {
        let mut watch = SilentWatch;
        let followed = follow_until_quiet(&mut watch, || true, |_| {});
        assert_eq!(timeout(QUIET_LIMIT * 2, followed).await, Ok(Ok(())));
    });
    an_invalid_key_hides_no_other: run(false, range_with_invalid_key());
}
