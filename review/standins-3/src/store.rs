//! Stand-in of the platform's metadata store: ranges, watches, transactions.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::json;
use crate::json::quote;

#[derive(Default)]
struct Data {
    revision: u64,
    /// Value in base64 (`None` once removed), revision of the last change, and of the creation.
    items: BTreeMap<String, (Option<String>, u64, u64)>,
}

pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> std::io::Result<Arc<Store>> {
        let data = Data { revision: 1, ..Data::default() };
        let store = Arc::new(Store { data: Mutex::new(data), changed: Condvar::new() });
        let listener = TcpListener::bind(address)?;
        let handler = Arc::clone(&store);
        http::serve(listener, Arc::new(move |request| Some(handler.answer(request))));
        Ok(store)
    }

    /// Writes a value as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        self.apply(&[(key.to_owned(), json::base64(value.as_bytes()))], &[]);
    }

    /// Removes a key as the operator does.
    #[allow(dead_code)]
    pub fn remove(&self, key: &str) {
        self.apply(&[], &[key.to_owned()]);
    }

    fn apply(&self, writes: &[(String, String)], removals: &[String]) -> u64 {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        for (key, value) in writes {
            let before = data.items.get(key).filter(|(value, ..)| value.is_some());
            let created = before.map_or(revision, |(_, _, created)| *created);
            data.items.insert(key.clone(), (Some(value.clone()), revision, created));
        }
        for key in removals {
            if data.items.get(key).is_some_and(|(value, ..)| value.is_some()) {
                data.items.insert(key.clone(), (None, revision, 0));
            }
        }
        self.changed.notify_all();
        revision
    }

    fn answer(&self, request: &Request) -> Answer {
        // The store answers within 4 ms.
        std::thread::sleep(Duration::from_millis(2));
        let mut answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transaction(request),
            _ => Answer::new(404, "{}"),
        };
        answer.headers = "Store-Era: 1\r\n".to_owned();
        answer
    }

    fn item(key: &str, entry: &(Option<String>, u64, u64)) -> String {
        let (value, revision, created) = entry;
        match value {
            Some(value) => format!(
                r#"{{"key":{},"value":"{value}","revision":{revision},"created":{created},"lease":0}}"#,
                quote(key)
            ),
            None => format!(r#"{{"key":{},"revision":{revision},"deleted":true}}"#, quote(key)),
        }
    }

    fn range(&self, request: &Request) -> Answer {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let data = self.data.lock().unwrap();
        let matches = |(key, (value, ..)): &(&String, &(Option<String>, u64, u64))| {
            key.starts_with(prefix) && key.as_str() > after && value.is_some()
        };
        let items = data.items.iter().filter(matches).map(|(key, entry)| Store::item(key, entry));
        let items: Vec<String> = items.collect();
        let body = format!(
            r#"{{"items":[{}],"has_more":false,"as_of":{}}}"#,
            items.join(","),
            data.revision
        );
        Answer::new(200, &body)
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut data = self.data.lock().unwrap();
        loop {
            let mut events: Vec<(u64, String)> = data
                .items
                .iter()
                .filter(|(key, (_, revision, _))| key.starts_with(prefix) && *revision > after)
                .map(|(key, entry)| (entry.1, Store::item(key, entry)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.sort();
                let events: Vec<String> = events.into_iter().map(|(_, event)| event).collect();
                let body =
                    format!(r#"{{"events":[{}],"as_of":{}}}"#, events.join(","), data.revision);
                return Answer::new(200, &body);
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }

    fn transaction(&self, request: &Request) -> Answer {
        let Some(call) = json::parse(&request.body) else {
            return Answer::new(400, "{}");
        };
        let holds = {
            let data = self.data.lock().unwrap();
            call.get("precondition").list().iter().all(|row| {
                let current = data.items.get(row.get("key").text());
                let current = current.filter(|(value, ..)| value.is_some());
                current.map_or(0, |(_, revision, _)| *revision) as f64
                    == row.get("revision").number()
            })
        };
        if !holds {
            return Answer::new(412, r#"{"items":[]}"#);
        }
        let write = |row: &json::Json| {
            (row.get("key").text().to_owned(), row.get("value").text().to_owned())
        };
        let writes: Vec<(String, String)> = call.get("writes").list().iter().map(write).collect();
        let removals = call.get("remove").list().iter().map(|key| key.text().to_owned());
        let removals: Vec<String> = removals.collect();
        let is_forbidden = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if writes.iter().any(|(key, _)| is_forbidden(key)) {
            return Answer::new(403, "{}");
        }
        Answer::new(200, &format!(r#"{{"revision":{}}}"#, self.apply(&writes, &removals)))
    }
}
