//! Relays an answer from the target to the caller.

use bytes::Bytes;
use h3::error::Code;
use h3::quic::SendStream;
use h3::server::RequestStream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::process::agent_shared::AgentShared;
use crate::process::metrics::count;
use crate::process::request_handler::CompletionGuard;
use crate::process::upstream::UpstreamConnection;
use crate::request::admission::Outcome;
use crate::request::ticket_book::KeptAnswer;
use crate::request::verdict::VERDICT_HEADER;
use crate::request::verdict::Verdict;

/// Maximum size of an answer body stored for a ticket, in bytes (64 KiB).
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;

/// Relay of one answer from the target to the caller.
pub struct Relay<'a, S> {
    /// Shared state of the agent.
    pub shared: &'a AgentShared,
    /// HTTP/3 stream to the caller.
    pub stream: &'a mut RequestStream<S, Bytes>,
    /// Report of the request's end to the agent state.
    pub completion: &'a mut CompletionGuard,
    /// Connection to the target.
    pub connection: UpstreamConnection,
    /// Time at which the answer must be complete.
    pub deadline: Instant,
}

impl<S> Relay<'_, S>
where
    S: SendStream<Bytes>,
{
    /// Relays the answer, and stores it for the request's ticket if `should_store_answer` is set.
    /// An answer to be stored is read completely even if the caller disconnects.
    pub async fn relay_answer(self, response: Response<Incoming>, should_store_answer: bool) {
        let (mut head, mut body) = response.into_parts();
        remove_hop_headers(&mut head.headers);
        let is_shed = head.status == StatusCode::SERVICE_UNAVAILABLE;
        let verdict = if is_shed { Verdict::MayHaveRun } else { Verdict::Ran };
        head.headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict.as_str()));
        count(&self.shared.metrics().answers, verdict.as_str());
        let mut stored_answer = should_store_answer.then(|| KeptAnswer {
            status: head.status.as_u16(),
            headers: storable_headers(&head.headers),
            body: Some(Vec::new()),
        });
        let mut is_caller_connected =
            self.stream.send_response(Response::from_parts(head, ())).await.is_ok();
        loop {
            if !is_caller_connected && stored_answer.is_none() {
                self.completion.report(Outcome::Abandoned, None);
                return;
            }
            let data = match timeout_at(self.deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => break,
                Ok(Some(Err(_))) => return self.abort(Outcome::Failed),
                Err(_) => return self.abort(Outcome::Abandoned),
            };
            append_stored_body(&mut stored_answer, &data);
            if is_caller_connected {
                is_caller_connected = self.stream.send_data(data).await.is_ok();
            }
        }
        let outcome = if is_shed { Outcome::Shed } else { Outcome::Answered };
        self.completion.report(outcome, stored_answer);
        self.shared.upstream.release(self.connection);
        // An error means that the caller has disconnected, so the end of the answer is not needed.
        let _ = self.stream.finish().await;
    }

    /// Resets the stream, so that the caller does not mistake a partial answer for a complete one.
    fn abort(self, outcome: Outcome) {
        self.completion.report(outcome, None);
        self.stream.stop_stream(Code::H3_INTERNAL_ERROR);
    }
}

fn append_stored_body(stored_answer: &mut Option<KeptAnswer>, data: &[u8]) {
    let Some(answer) = stored_answer else {
        return;
    };
    let Some(body) = &mut answer.body else {
        return;
    };
    if body.len() + data.len() > MAX_STORED_BODY_BYTES {
        answer.body = None;
    } else {
        body.extend_from_slice(data);
    }
}

fn storable_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.to_string(), value.to_str().ok()?.to_owned()))
    };
    headers.iter().filter_map(pair).collect()
}

/// Removes the headers that apply to a single connection (RFC 9110, section 7.6.1).
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ] {
        headers.remove(name);
    }
}
