//! Client of etcd through its JSON API, the "gRPC gateway" of etcd v3.5 (range, txn, lease, watch).
//!
//! In this API, 64-bit numbers are strings, and keys and values are base64.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;

use crate::log_event;
use crate::process::events::Event;
use crate::process::http_client::HttpClient;
use crate::process::store::Precondition;
use crate::process::store::Put;
use crate::process::store::Store;
use crate::process::store::StoreChange;
use crate::process::store::StoreError;
use crate::process::store::StoreSnapshot;
use crate::process::store::StoreValue;
use crate::process::store::TransactionOutcome;
use crate::process::store::Watch;
use crate::process::store_eras::StoreEras;
use crate::version::store_position::StorePosition;

/// Time-out of a call, from connecting to the end of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time-out for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest message of a watch, in bytes (4 MiB).
const MAX_WATCH_MESSAGE_BYTES: usize = 4 << 20;

/// Client of one etcd cluster with several endpoints. etcd reports no era; `docs/DESIGN.md` says how an
/// operator restores it so that revisions do not go back.
pub struct EtcdStore {
    client: HttpClient,
    /// Client of the watches, each of which has a connection of its own.
    watch_client: Client,
    endpoints: Vec<String>,
    eras: StoreEras,
}

impl EtcdStore {
    /// Creates a client. It connects with the first call.
    pub fn new(endpoints: &[String]) -> EtcdStore {
        let client = HttpClient::new(|builder| builder.connect_timeout(CONNECT_TIMEOUT));
        let watch_client = Client::builder().connect_timeout(CONNECT_TIMEOUT);
        let watch_client = watch_client.pool_max_idle_per_host(0).no_proxy().build();
        let watch_client = watch_client.expect("building a client without TLS does not fail");
        let trim = |endpoint: &String| endpoint.trim_end_matches('/').to_owned();
        let endpoints = endpoints.iter().map(trim).collect();
        EtcdStore { client, watch_client, endpoints, eras: StoreEras::new() }
    }

    /// Calls the endpoints in turn until one can be reached. Once a call was sent, no other endpoint is tried,
    /// since the call may have taken effect.
    async fn call(&self, path: &str, body: &Value) -> Result<Value, StoreError> {
        let mut last_error = StoreError::Unreachable {
            message: "the setting `store_endpoints` is empty".to_owned(),
        };
        for endpoint in &self.endpoints {
            match self.call_endpoint(endpoint, path, body).await {
                Err(error @ StoreError::Unreachable { .. }) => last_error = error,
                other => return other,
            }
        }
        Err(last_error)
    }

    async fn call_endpoint(
        &self,
        endpoint: &str,
        path: &str,
        body: &Value,
    ) -> Result<Value, StoreError> {
        let url = format!("{endpoint}{path}");
        let request = |client: &Client| client.post(url).json(body).timeout(CALL_TIMEOUT);
        let response = self.client.send(request).await.map_err(classify_send_error)?;
        let status = response.status();
        if status.is_server_error() {
            return Err(StoreError::NoAnswer { message: status.to_string() });
        }
        if !status.is_success() {
            return Err(StoreError::Refused { message: status.to_string() });
        }
        serde_json::from_slice(response.body())
            .map_err(|error| StoreError::NoAnswer { message: error.to_string() })
    }

    async fn commit(
        &self,
        conditions: &[Precondition],
        success: Vec<Value>,
    ) -> Result<TransactionOutcome, StoreError> {
        let compare: Vec<Value> = conditions.iter().map(precondition_json).collect();
        let body = json!({"compare": compare, "success": success});
        let response = self.call("/v3/kv/txn", &body).await?;
        if !response["succeeded"].as_bool().unwrap_or(false) {
            return Ok(TransactionOutcome::Conflict);
        }
        Ok(TransactionOutcome::Done(parse_position(&response["header"]["revision"])?))
    }

    async fn open_watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>, StoreError> {
        let body = json!({"create_request": {
            "key": STANDARD.encode(prefix),
            "range_end": STANDARD.encode(range_end(prefix)),
            "start_revision": from.to_string(),
        }});
        let mut last_error = StoreError::Unreachable {
            message: "the setting `store_endpoints` is empty".to_owned(),
        };
        for endpoint in &self.endpoints {
            let request = self.watch_client.post(format!("{endpoint}/v3/watch")).json(&body);
            let response = match timeout(CALL_TIMEOUT, request.send()).await {
                Ok(response) => response.map_err(classify_send_error),
                Err(_) => Err(StoreError::NoAnswer { message: "no answer in time".to_owned() }),
            };
            match response {
                Ok(response) if response.status().is_success() => {
                    let stream = response.bytes_stream().boxed();
                    return Ok(Box::new(EtcdWatch { stream, buffer: Vec::new() }));
                }
                Ok(response) => {
                    last_error = StoreError::Refused { message: response.status().to_string() };
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }
}

impl Store for EtcdStore {
    fn eras(&self) -> &StoreEras {
        &self.eras
    }

    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<StoreSnapshot, StoreError>> {
        Box::pin(async move {
            let body = json!({
                "key": STANDARD.encode(prefix),
                "range_end": STANDARD.encode(range_end(prefix)),
            });
            let response = self.call("/v3/kv/range", &body).await?;
            let kvs = response["kvs"].as_array().map_or(&[][..], Vec::as_slice);
            let values = kvs.iter().filter_map(|kv| skip_invalid(parse_key_value(kv))).collect();
            let position = parse_position(&response["header"]["revision"])?;
            Ok(StoreSnapshot { position, values })
        })
    }

    fn transaction<'a>(
        &'a self,
        conditions: &'a [Precondition],
        puts: &'a [Put],
    ) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>> {
        Box::pin(async move { self.commit(conditions, puts.iter().map(put_json).collect()).await })
    }

    fn remove<'a>(
        &'a self,
        conditions: &'a [Precondition],
        key: &'a str,
    ) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>> {
        Box::pin(async move {
            let removal = json!({"request_delete_range": {"key": STANDARD.encode(key)}});
            self.commit(conditions, vec![removal]).await
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StorePosition,
        _longest_wait: Duration,
    ) -> BoxFuture<'a, Result<Box<dyn Watch>, StoreError>> {
        Box::pin(self.open_watch(prefix, after.revision + 1))
    }

    fn grant_lease(&self, ttl_s: u32) -> BoxFuture<'_, Result<i64, StoreError>> {
        Box::pin(async move {
            let response = self.call("/v3/lease/grant", &json!({"TTL": ttl_s.to_string()})).await?;
            let id = parse_number(&response["ID"])?;
            i64::try_from(id).map_err(|_| malformed_response("lease id"))
        })
    }

    fn renew_lease(&self, lease: i64) -> BoxFuture<'_, Result<bool, StoreError>> {
        Box::pin(async move {
            let body = json!({"ID": lease.to_string()});
            let response = self.call("/v3/lease/keepalive", &body).await?;
            let ttl = response["result"]["TTL"].as_str().unwrap_or("0");
            Ok(ttl != "0")
        })
    }
}

struct EtcdWatch {
    stream: BoxStream<'static, reqwest::Result<Bytes>>,
    buffer: Vec<u8>,
}

impl EtcdWatch {
    async fn next_line(&mut self) -> Result<Vec<u8>, StoreError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                return Ok(self.buffer.drain(..=end).collect());
            }
            if self.buffer.len() > MAX_WATCH_MESSAGE_BYTES {
                return Err(malformed_response(&format!(
                    "a watch message of more than {MAX_WATCH_MESSAGE_BYTES} bytes"
                )));
            }
            match self.stream.next().await {
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
                Some(Err(error)) => {
                    return Err(StoreError::NoAnswer { message: error.to_string() });
                }
                None => {
                    return Err(StoreError::NoAnswer {
                        message: "the store closed the watch".to_owned(),
                    });
                }
            }
        }
    }
}

impl Watch for EtcdWatch {
    fn next(&mut self) -> BoxFuture<'_, Result<Vec<StoreChange>, StoreError>> {
        Box::pin(async move {
            let line = self.next_line().await?;
            let message: Value =
                serde_json::from_slice(&line).map_err(|_| malformed_response("watch message"))?;
            let result = &message["result"];
            if result["canceled"].as_bool().unwrap_or(false) {
                return Err(StoreError::Compacted);
            }
            let events = result["events"].as_array().map_or(&[][..], Vec::as_slice);
            Ok(events.iter().filter_map(|event| skip_invalid(parse_event(event))).collect())
        })
    }
}

fn classify_send_error(error: reqwest::Error) -> StoreError {
    let message = error.to_string();
    if error.is_connect() {
        return StoreError::Unreachable { message };
    }
    StoreError::NoAnswer { message }
}

fn malformed_response(part: &str) -> StoreError {
    StoreError::Refused { message: format!("cannot parse {part}") }
}

/// First key after all keys that start with `prefix`. The last byte of a prefix is ASCII, so adding one
/// does not overflow.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

fn precondition_json(condition: &Precondition) -> Value {
    json!({
        "key": STANDARD.encode(&condition.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": condition.position.revision.to_string(),
    })
}

fn put_json(put: &Put) -> Value {
    json!({"request_put": {
        "key": STANDARD.encode(&put.key),
        "value": STANDARD.encode(&put.value),
        "lease": put.lease.unwrap_or(0).to_string(),
    }})
}

/// Logs and skips an entry that does not parse, so that it hides no other.
fn skip_invalid<T>(parsed: Result<T, StoreError>) -> Option<T> {
    parsed.inspect_err(|error| log_event!(Event::StoreValueInvalid, "{error}")).ok()
}

fn parse_event(event: &Value) -> Result<StoreChange, StoreError> {
    let value = parse_key_value(&event["kv"])?;
    if event["type"].as_str() == Some("DELETE") {
        return Ok(StoreChange::Removed { key: value.key, position: value.position });
    }
    Ok(StoreChange::Written(value))
}

fn parse_key_value(kv: &Value) -> Result<StoreValue, StoreError> {
    let key = decode_base64(&kv["key"])?;
    let key = String::from_utf8(key).map_err(|_| malformed_response("key"))?;
    let value = if kv["value"].is_null() { Vec::new() } else { decode_base64(&kv["value"])? };
    Ok(StoreValue { key, value, position: parse_position(&kv["mod_revision"])? })
}

fn decode_base64(value: &Value) -> Result<Vec<u8>, StoreError> {
    let text = value.as_str().ok_or_else(|| malformed_response("base64 text"))?;
    STANDARD.decode(text).map_err(|_| malformed_response("base64 text"))
}

fn parse_position(revision: &Value) -> Result<StorePosition, StoreError> {
    Ok(StorePosition::new(0, parse_number(revision)?))
}

fn parse_number(value: &Value) -> Result<u64, StoreError> {
    let text = value.as_str().ok_or_else(|| malformed_response("number"))?;
    text.parse().map_err(|_| malformed_response("number"))
}
