//! The platform's store: ranges, watches and transactions. It can return from an older copy.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::json::Json;
use crate::json::quote;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// A change of a key; `value` is base64, or `None` if the key was removed.
#[derive(Clone)]
struct Change {
    at: Instant,
    key: String,
    value: Option<String>,
    revision: u64,
}

impl Change {
    fn json(&self) -> String {
        let (key, revision) = (quote(&self.key), self.revision);
        match &self.value {
            Some(value) => format!(
                r#"{{"key":{key},"value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
            ),
            None => format!(r#"{{"key":{key},"revision":{revision},"deleted":true}}"#),
        }
    }
}

/// All changes, in the order of their revisions.
#[derive(Clone, Default)]
pub struct Store {
    changes: Arc<Mutex<Vec<Change>>>,
    /// Number of returns from an older copy.
    returns: Arc<AtomicU64>,
    is_away: Arc<AtomicBool>,
}

impl Store {
    pub fn start(address: SocketAddrV4, is_stopped: &Arc<AtomicBool>) -> Store {
        let store = Store::default();
        store.put("op/first", Some("e30=".to_owned()));
        let served = store.clone();
        let handler = Arc::new(move |request: &Request| {
            thread::sleep(ANSWER_TIME);
            let (status, body) = served.answer(request);
            let era = served.returns.load(Ordering::Relaxed) + 1;
            let answer: Answer = (status, format!("Store-Era: {era}\r\n"), body);
            answer
        });
        http::serve(address, Arc::clone(is_stopped), handler);
        store
    }

    /// Writes a value as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        self.put(key, Some(base64(value.as_bytes())));
    }

    /// Is away for a moment and returns from a copy of this age: what was written since is gone.
    pub fn return_from_copy(&self, away: Duration, age: Duration) {
        self.is_away.store(true, Ordering::Relaxed);
        thread::sleep(away);
        let mut changes = self.changes.lock().unwrap();
        changes.retain(|change| change.at.elapsed() > age);
        self.returns.fetch_add(1, Ordering::Relaxed);
        self.is_away.store(false, Ordering::Relaxed);
    }

    /// Number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.current(prefix).len()
    }

    fn put(&self, key: &str, value: Option<String>) -> u64 {
        let mut changes = self.changes.lock().unwrap();
        let revision = changes.len() as u64 + 1;
        changes.push(Change { at: Instant::now(), key: key.to_owned(), value, revision });
        revision
    }

    fn revision(&self) -> u64 {
        self.changes.lock().unwrap().len() as u64
    }

    fn current(&self, prefix: &str) -> Vec<Change> {
        let changes = self.changes.lock().unwrap();
        let mut newest: Vec<Change> = Vec::new();
        for change in changes.iter().filter(|change| change.key.starts_with(prefix)) {
            newest.retain(|older| older.key != change.key);
            newest.push(change.clone());
        }
        newest.retain(|change| change.value.is_some());
        newest.sort_by(|one, other| one.key.cmp(&other.key));
        newest
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if self.is_away.load(Ordering::Relaxed) {
            return (503, "{}".to_owned());
        }
        let prefix = request.parameter("prefix").unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-range") => {
                let after = request.parameter("after").unwrap_or_default();
                let (as_of, items) = (self.revision(), self.current(prefix));
                let items = items.iter().filter(|item| item.key.as_str() > after);
                let items: Vec<String> = items.map(Change::json).collect();
                let items = items.join(",");
                (200, format!(r#"{{"items":[{items}],"has_more":false,"as_of":{as_of}}}"#))
            }
            ("GET", "/v1/kv-watch") => {
                let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
                self.watch(prefix, number("after").unwrap_or(0), number("wait_ms").unwrap_or(0))
            }
            ("POST", "/v1/kv-txn") => self.transact(&request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if self.is_away.load(Ordering::Relaxed) {
                return (503, "{}".to_owned());
            }
            let (events, as_of) = {
                let changes = self.changes.lock().unwrap();
                if after > changes.len() as u64 {
                    return (410, "{}".to_owned());
                }
                let later = changes.iter().filter(|change| change.revision > after);
                let later = later.filter(|change| change.key.starts_with(prefix));
                (later.map(Change::json).collect::<Vec<String>>(), changes.len())
            };
            if !events.is_empty() || Instant::now() >= until {
                let events = events.join(",");
                return (200, format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        for row in call.get("precondition").items() {
            let key = row.get("key").text().unwrap_or_default();
            let current = self.current(key).into_iter().find(|item| item.key == key);
            if row.get("revision").number() != Some(current.map_or(0, |item| item.revision)) {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        let mut revision = self.revision();
        for write in call.get("writes").items() {
            if let (Some(key), Some(value)) = (write.get("key").text(), write.get("value").text()) {
                revision = self.put(key, Some(value.to_owned()));
            }
        }
        for key in call.get("remove").items().iter().filter_map(Json::text) {
            revision = self.put(key, None);
        }
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let is_padding = digit > chunk.len();
            let index = (bits >> (18 - 6 * digit) & 63) as usize;
            text.push(if is_padding { '=' } else { DIGITS[index] as char });
        }
    }
    text
}
