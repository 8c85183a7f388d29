//! Stand-in for the platform's key-value store: range, txn, lease and watch of the etcd v3 API in its JSON
//! form. It can be down, answer slowly, or lose responses after a write has taken effect.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rocket::Config;
use rocket::State;
use rocket::config::LogLevel;
use rocket::config::Shutdown;
use rocket::get;
use rocket::http::Status;
use rocket::post;
use rocket::response::stream::TextStream;
use rocket::routes;
use rocket::serde::json::Json;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::sleep;

/// Longest time that a watch waits for a change before it checks whether the store is down.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Faults that the store injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Whether every call fails with status 503 and has no effect.
    pub down: bool,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
    /// Writes that take effect but whose response is replaced by status 504, in thousandths.
    pub lose_answers_permille: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    value: Vec<u8>,
    revision: u64,
    lease: i64,
}

#[derive(Clone, Debug)]
struct Change {
    key: Vec<u8>,
    value: Vec<u8>,
    revision: u64,
    deleted: bool,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

struct StoreState {
    revision: u64,
    entries: BTreeMap<Vec<u8>, Entry>,
    changes: Vec<Change>,
    leases: IndexMap<i64, Lease>,
    faults: StoreFaults,
    calls: IndexMap<&'static str, u64>,
    random: StdRng,
}

/// Handle of a store; its clones share the same data.
#[derive(Clone)]
pub struct StandinStore {
    data: Arc<Mutex<StoreState>>,
    revision: watch::Sender<u64>,
}

impl StandinStore {
    /// Creates an empty store. `seed` determines the lost responses and the lease ids.
    pub fn new(seed: u64) -> StandinStore {
        let data = StoreState {
            revision: 1,
            entries: BTreeMap::new(),
            changes: Vec::new(),
            leases: IndexMap::new(),
            faults: StoreFaults::default(),
            calls: IndexMap::new(),
            random: StdRng::seed_from_u64(seed),
        };
        StandinStore { data: Arc::new(Mutex::new(data)), revision: watch::Sender::new(1) }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Number of calls since the start, by kind.
    pub fn calls(&self) -> IndexMap<&'static str, u64> {
        self.lock().calls.clone()
    }

    /// Serves the HTTP API until the process ends.
    pub async fn serve(self, address: SocketAddrV4) -> Result<(), Box<rocket::Error>> {
        let config = Config {
            address: (*address.ip()).into(),
            port: address.port(),
            log_level: LogLevel::Off,
            cli_colors: false,
            shutdown: Shutdown {
                ctrlc: false,
                signals: Default::default(),
                grace: 0,
                mercy: 0,
                ..Shutdown::default()
            },
            ..Config::release_default()
        };
        let routes =
            routes![range, txn, lease_grant, lease_keepalive, watch_changes, faults, calls];
        rocket::custom(config).manage(self).mount("/", routes).launch().await.map_err(Box::new)?;
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.data.lock().expect("lock is not poisoned")
    }

    /// Counts a call, removes expired leases and applies the injected delay. Fails if the store is down.
    async fn begin_call(&self, kind: &'static str) -> Result<(), Status> {
        let faults = {
            let mut data = self.lock();
            *data.calls.entry(kind).or_insert(0) += 1;
            data.expire_leases();
            data.faults
        };
        sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.down { Err(Status::ServiceUnavailable) } else { Ok(()) }
    }

    fn loses_response(&self) -> bool {
        let mut data = self.lock();
        let permille = data.faults.lose_answers_permille;
        data.random.random_range(0..1000) < permille
    }
}

impl StoreState {
    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        let revision = self.revision;
        self.changes.push(Change {
            key: key.clone(),
            value: value.clone(),
            revision,
            deleted: false,
        });
        self.entries.insert(key, Entry { value, revision, lease });
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at < now)
            .map(|(id, _)| *id)
            .collect();
        if expired.is_empty() {
            return;
        }
        self.leases.retain(|id, _| !expired.contains(id));
        let keys: Vec<Vec<u8>> = self
            .entries
            .iter()
            .filter(|(_, entry)| expired.contains(&entry.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.entries.remove(&key);
            let revision = self.revision;
            self.changes.push(Change { key, value: Vec::new(), revision, deleted: true });
        }
    }
}

type JsonResult = Result<Json<Value>, Status>;

fn decode_bytes(value: &Value) -> Vec<u8> {
    value.as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default()
}

fn parse_number(value: &Value) -> u64 {
    value.as_str().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    if end.is_empty() { key == start } else { key >= start && key < end }
}

fn kv_json(key: &[u8], value: &[u8], revision: u64) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(value),
        "mod_revision": revision.to_string(),
    })
}

#[post("/v3/kv/range", data = "<body>")]
async fn range(store: &State<StandinStore>, body: Json<Value>) -> JsonResult {
    store.begin_call("range").await?;
    let (start, end) = (decode_bytes(&body["key"]), decode_bytes(&body["range_end"]));
    let data = store.lock();
    let kvs: Vec<Value> = data
        .entries
        .iter()
        .filter(|(key, _)| in_range(key, &start, &end))
        .map(|(key, entry)| kv_json(key, &entry.value, entry.revision))
        .collect();
    let count = kvs.len().to_string();
    let revision = data.revision.to_string();
    Ok(Json(json!({"header": {"revision": revision}, "kvs": kvs, "count": count})))
}

#[post("/v3/kv/txn", data = "<body>")]
async fn txn(store: &State<StandinStore>, body: Json<Value>) -> JsonResult {
    store.begin_call("txn").await?;
    let (succeeded, revision) = apply_txn(&mut store.lock(), &body);
    if succeeded {
        store.revision.send_replace(revision);
    }
    if succeeded && store.loses_response() {
        return Err(Status::GatewayTimeout);
    }
    let header = json!({"revision": revision.to_string()});
    Ok(Json(json!({"header": header, "succeeded": succeeded})))
}

fn apply_txn(data: &mut StoreState, body: &Value) -> (bool, u64) {
    let list = |key: &str| body[key].as_array().cloned().unwrap_or_default();
    let conditions_hold = list("compare").iter().all(|compare| {
        let entry = data.entries.get(&decode_bytes(&compare["key"]));
        entry.map_or(0, |entry| entry.revision) == parse_number(&compare["mod_revision"])
    });
    let puts = list("success");
    if !conditions_hold || puts.is_empty() {
        return (conditions_hold, data.revision);
    }
    data.revision += 1;
    for put in puts.iter().map(|op| &op["request_put"]) {
        data.put(
            decode_bytes(&put["key"]),
            decode_bytes(&put["value"]),
            parse_number(&put["lease"]) as i64,
        );
    }
    (true, data.revision)
}

#[post("/v3/lease/grant", data = "<body>")]
async fn lease_grant(store: &State<StandinStore>, body: Json<Value>) -> JsonResult {
    store.begin_call("lease").await?;
    let ttl_s = parse_number(&body["TTL"]);
    let ttl = Duration::from_secs(ttl_s);
    let mut data = store.lock();
    let id = data.random.random_range(1..i64::MAX);
    data.leases.insert(id, Lease { ttl, expires_at: Instant::now() + ttl });
    Ok(Json(json!({"ID": id.to_string(), "TTL": ttl_s.to_string()})))
}

#[post("/v3/lease/keepalive", data = "<body>")]
async fn lease_keepalive(store: &State<StandinStore>, body: Json<Value>) -> JsonResult {
    store.begin_call("lease").await?;
    let id = parse_number(&body["ID"]) as i64;
    let mut data = store.lock();
    let ttl_s = data.leases.get_mut(&id).map_or(0, |lease| {
        lease.expires_at = Instant::now() + lease.ttl;
        lease.ttl.as_secs()
    });
    Ok(Json(json!({"result": {"ID": id.to_string(), "TTL": ttl_s.to_string()}})))
}

#[post("/v3/watch", data = "<body>")]
async fn watch_changes(
    store: &State<StandinStore>,
    body: Json<Value>,
) -> Result<TextStream![String], Status> {
    store.begin_call("watch").await?;
    let request = &body["create_request"];
    let (start, end) = (decode_bytes(&request["key"]), decode_bytes(&request["range_end"]));
    let mut next = parse_number(&request["start_revision"]);
    let store = store.inner().clone();
    let mut revision = store.revision.subscribe();
    Ok(TextStream! {
        loop {
            // Wakes up at each change, and regularly to check whether the store is down.
            let _ = tokio::time::timeout(WATCH_CHECK_INTERVAL, revision.changed()).await;
            let (is_down, delay_ms, events, newest) = {
                let data = store.lock();
                let due = data.changes.iter().filter(|change| change.revision >= next);
                let due = due.filter(|change| in_range(&change.key, &start, &end));
                let events: Vec<Value> = due.map(event_json).collect();
                (data.faults.down, data.faults.delay_ms, events, data.revision)
            };
            if is_down {
                break;
            }
            next = newest + 1;
            if !events.is_empty() {
                sleep(Duration::from_millis(delay_ms)).await;
                yield format!("{}\n", json!({"result": {"events": events}}));
            }
        }
    })
}

fn event_json(change: &Change) -> Value {
    let kind = if change.deleted { "DELETE" } else { "PUT" };
    json!({"type": kind, "kv": kv_json(&change.key, &change.value, change.revision)})
}

#[post("/standin/faults", data = "<body>")]
fn faults(store: &State<StandinStore>, body: Json<StoreFaults>) -> Status {
    store.set_faults(*body);
    Status::Ok
}

#[get("/standin/calls")]
fn calls(store: &State<StandinStore>) -> Json<Value> {
    Json(json!(store.calls()))
}
