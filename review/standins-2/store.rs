//! Stand-in for the platform's store: ranges, watches and transactions.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Call;
use crate::json::Json;

#[derive(Default)]
struct Data {
    revision: u64,
    /// Value in base64 and revision of each item.
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and value of each change; no value if the item was removed.
    changes: Vec<(u64, String, Option<String>)>,
    /// Host that wrote each item last.
    writers: BTreeMap<String, u8>,
    /// Hosts that are turned away.
    turned_away: Vec<u8>,
}

impl Data {
    fn change(&mut self, key: &str, value: Option<&str>) {
        self.revision += 1;
        self.changes.push((self.revision, key.to_owned(), value.map(str::to_owned)));
        match value {
            Some(value) => {
                self.items.insert(key.to_owned(), (value.to_owned(), self.revision));
            }
            None => {
                self.items.remove(key);
            }
        }
    }
}

#[derive(Clone, Default)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    pub fn new() -> Store {
        Store::default()
    }

    /// Serves one host at an address of its own.
    pub fn serve(&self, address: SocketAddrV4, host: u8) -> std::io::Result<()> {
        let store = self.clone();
        http::serve(address, "Store-Era: 1\r\n", move |call| store.answer(call, host))
    }

    /// Turns these hosts away with 503, and takes away the keys that they have written. Returns the keys.
    #[allow(dead_code)]
    pub fn turn_away(&self, hosts: &[u8]) -> Vec<String> {
        let (data, changed) = &*self.data;
        let mut data = data.lock().unwrap();
        data.turned_away = hosts.to_vec();
        let written = data.writers.iter().filter(|(_, host)| hosts.contains(host));
        let keys: Vec<String> = written.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            data.change(key, None);
            data.writers.remove(key);
        }
        changed.notify_all();
        keys
    }

    /// Serves all hosts again.
    #[allow(dead_code)]
    pub fn serve_all(&self) {
        self.data.0.lock().unwrap().turned_away.clear();
    }

    /// Writes a value as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        let (data, changed) = &*self.data;
        data.lock().unwrap().change(key, Some(&base64(value.as_bytes())));
        changed.notify_all();
    }

    fn answer(&self, call: &Call, host: u8) -> (u16, String) {
        if self.data.0.lock().unwrap().turned_away.contains(&host) {
            return (503, "{}".to_owned());
        }
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/kv-range") => self.range(call.query("prefix")),
            ("GET", "/v1/kv-watch") => self.watch(call, host),
            ("POST", "/v1/kv-txn") => self.transact(&call.body, host),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str) -> (u16, String) {
        let data = self.data.0.lock().unwrap();
        let items = data.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> =
            items.map(|(key, (value, revision))| item(key, value, *revision)).collect();
        let (items, as_of) = (items.join(","), data.revision);
        (200, format!(r#"{{"items":[{items}],"has_more":false,"as_of":{as_of}}}"#))
    }

    fn watch(&self, call: &Call, host: u8) -> (u16, String) {
        let (data, changed) = &*self.data;
        let after: u64 = call.query("after").parse().unwrap_or(0);
        let wait_ms = call.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut data = data.lock().unwrap();
        loop {
            if data.turned_away.contains(&host) {
                return (503, "{}".to_owned());
            }
            let events: Vec<String> = data
                .changes
                .iter()
                .filter(|(revision, key, _)| {
                    *revision > after && key.starts_with(call.query("prefix"))
                })
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), data.revision);
                return (200, format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#));
            }
            data = changed.wait_timeout(data, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str, host: u8) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let (data, changed) = &*self.data;
        let mut data = data.lock().unwrap();
        let holds = |row: &Json| {
            let revision =
                data.items.get(row.get("key").text()).map_or(0, |(_, revision)| *revision);
            revision == row.get("revision").number()
        };
        if !body.get("precondition").list().iter().all(holds) {
            return (412, r#"{"items":[]}"#.to_owned());
        }
        for write in body.get("writes").list() {
            data.change(write.get("key").text(), Some(write.get("value").text()));
            data.writers.insert(write.get("key").text().to_owned(), host);
        }
        for key in body.get("remove").list() {
            if data.items.contains_key(key.text()) {
                data.change(key.text(), None);
            }
        }
        changed.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, data.revision))
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0;
        for index in 0..3 {
            word = word << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let is_padding = index > chunk.len();
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if is_padding { '=' } else { digit });
        }
    }
    text
}
