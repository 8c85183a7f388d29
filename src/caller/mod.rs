//! Client library for callers of a service: HTTP/3 flows, requests with deadlines, retries within a
//! budget, and tickets that make non-idempotent requests run at most once.
//!
//! A request is retried only if its verdict is `NotRun`, or if its ticket makes a repetition safe.
//! Dropping the future of a call cancels the call.

mod budget;
mod flow;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::header::RETRY_AFTER;
use rand::Rng;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::caller::budget::RetryBudget;
use crate::caller::flow::Flow;
use crate::connection::tag::TAG_BYTES;
use crate::request::deadline::DEADLINE_HEADER;
use crate::request::ticket;
use crate::request::ticket::TICKET_HEADER;
use crate::request::verdict::REASON_HEADER;
use crate::request::verdict::VERDICT_HEADER;
use crate::request::verdict::Verdict;

/// Time-out for opening a flow; a nearer deadline of the call applies first.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a retry if the refusal has no `Retry-After` header, in milliseconds, before jitter.
const DEFAULT_RETRY_DELAY_MS: u64 = 100;

/// Settings of a [`Caller`].
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address and port of the service.
    pub service: SocketAddr,
    /// Server name that the certificate of the service must contain.
    pub server_name: String,
    /// QUIC and TLS configuration, see [`crate::process::tls::caller_client_config`].
    pub client: quinn::ClientConfig,
    /// Local address that the UDP socket binds to.
    pub local_address: SocketAddr,
    /// Retries that are allowed per hundred calls.
    pub retry_budget_percent: u32,
}

/// Request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method. Requests with a non-idempotent method, such as POST and PATCH, run at most once, which a
    /// ticket ensures.
    pub method: Method,
    /// Path and query of the request URI.
    pub path: String,
    /// Request body; empty for none.
    pub body: Bytes,
    /// Time limit of the whole call, retries included.
    pub deadline: Duration,
}

impl Call {
    /// Creates a GET request without a body.
    pub fn new(path: &str, deadline: Duration) -> Call {
        Call { method: Method::GET, path: path.to_owned(), body: Bytes::new(), deadline }
    }

    /// Sets the method and the body.
    pub fn with_body(mut self, method: Method, body: Bytes) -> Call {
        self.method = method;
        self.body = body;
        self
    }
}

/// Complete response of a target.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

/// Error of a call that got no complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Whether the request may have run at a target.
    pub verdict: Verdict,
    /// Reason that the agent sent in its refusal, or a description of the local error.
    pub reason: String,
    /// Delay before a retry that the agent asked for with `Retry-After`.
    pub retry_after: Option<Duration>,
}

impl Failure {
    fn new(verdict: Verdict, reason: &str) -> Failure {
        Failure { verdict, reason: reason.to_owned(), retry_after: None }
    }
}

/// Counters of a [`Caller`] since its creation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallerCounts {
    /// Calls and streams that the program started.
    pub offered: u64,
    /// Requests sent, including retries but not the requests that only ask for a ticket.
    pub sent: u64,
    /// Retries that were not made because the retry budget was exhausted.
    pub out_of_budget: u64,
    /// Attempts to open a flow.
    pub flows: u64,
}

/// Client of one service. All calls share one flow, which is opened on demand.
pub struct Caller {
    settings: CallerSettings,
    endpoint: quinn::Endpoint,
    flow: Mutex<Option<Flow>>,
    budget: RetryBudget,
    offered: AtomicU64,
    sent: AtomicU64,
    out_of_budget: AtomicU64,
    flows: AtomicU64,
}

impl Caller {
    /// Binds the local UDP socket. The flow is opened by the first call or by [`Caller::open`].
    pub fn new(settings: CallerSettings) -> std::io::Result<Caller> {
        let endpoint = quinn::Endpoint::client(settings.local_address)?;
        Ok(Caller {
            budget: RetryBudget::new(settings.retry_budget_percent),
            settings,
            endpoint,
            flow: Mutex::new(None),
            offered: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            out_of_budget: AtomicU64::new(0),
            flows: AtomicU64::new(0),
        })
    }

    /// Snapshot of the counters.
    pub fn counts(&self) -> CallerCounts {
        CallerCounts {
            offered: self.offered.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
            out_of_budget: self.out_of_budget.load(Ordering::Relaxed),
            flows: self.flows.load(Ordering::Relaxed),
        }
    }

    /// Opens the flow before the first call.
    pub async fn open(&self) -> Result<(), Failure> {
        self.current_flow(None, Instant::now() + OPEN_TIMEOUT).await.map(|_| ())
    }

    /// Closes the flow and waits until the peer has been notified.
    pub async fn close(&self) {
        if let Some(flow) = self.flow.lock().await.take() {
            flow.close();
        }
        self.endpoint.wait_idle().await;
    }

    /// Sends a request, with retries where they are safe, and returns the complete response.
    pub async fn call(&self, call: &Call) -> Result<Response, Failure> {
        self.offered.fetch_add(1, Ordering::Relaxed);
        self.budget.deposit();
        let deadline = Instant::now() + call.deadline;
        if call.method.is_idempotent() {
            return self.call_idempotent(call, deadline).await;
        }
        self.call_at_most_once(call, deadline).await
    }

    /// Sends a request and returns the response as a stream once its headers have arrived. Only a request
    /// that failed before that is retried.
    pub async fn stream(&self, call: &Call) -> Result<ResponseStream, Failure> {
        self.offered.fetch_add(1, Ordering::Relaxed);
        self.budget.deposit();
        let deadline = Instant::now() + call.deadline;
        loop {
            let failure = match self.start_stream(call, deadline).await {
                Ok(stream) => return Ok(stream),
                Err(failure) => failure,
            };
            self.back_off(failure, deadline).await?;
        }
    }

    async fn call_idempotent(&self, call: &Call, deadline: Instant) -> Result<Response, Failure> {
        loop {
            let failure = match self.try_call(call, None, deadline).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            self.back_off(failure, deadline).await?;
        }
    }

    /// Sends a non-idempotent request. The first attempt has no ticket, so the agent issues one; the
    /// following attempts carry it, and the agent runs the request at most once per ticket.
    async fn call_at_most_once(&self, call: &Call, deadline: Instant) -> Result<Response, Failure> {
        let mut ticket: Option<String> = None;
        // Once an attempt with a ticket may have run, only the agent that issued the ticket knows the
        // outcome, so the following attempts keep the ticket.
        let mut may_have_run = false;
        loop {
            let failure = match self.try_call(call, ticket.as_deref(), deadline).await {
                Ok(response) => match issued_ticket(&response) {
                    Some(issued) if ticket.is_none() => {
                        ticket = Some(issued);
                        continue;
                    }
                    _ => return Ok(response),
                },
                Err(failure) => failure,
            };
            // After these reasons, no further attempt can reveal the outcome.
            let is_final = matches!(
                failure.reason.as_str(),
                "ticket-elsewhere" | "ticket-forgotten" | "target-closed"
            );
            may_have_run |= failure.verdict != Verdict::NotRun;
            let retryable = match (&ticket, may_have_run) {
                // The ticket makes a repetition safe, so the verdict for `back_off` allows a retry.
                (Some(_), true) if !is_final => Failure::new(Verdict::NotRun, &failure.reason),
                _ if may_have_run => return Err(failure),
                _ => {
                    // Nothing has run, so the next attempt can get a new ticket from any agent.
                    ticket = None;
                    failure.clone()
                }
            };
            if let Err(final_failure) = self.back_off(retryable, deadline).await {
                let verdict =
                    if may_have_run { Verdict::MayHaveRun } else { final_failure.verdict };
                return Err(Failure { verdict, ..final_failure });
            }
        }
    }

    /// Waits before a retry and detaches the flow. Returns `failure` if there must be no retry: the request
    /// may have run, the deadline would pass during the wait, or the retry budget is exhausted.
    async fn back_off(&self, failure: Failure, deadline: Instant) -> Result<(), Failure> {
        if failure.verdict != Verdict::NotRun {
            return Err(failure);
        }
        let base_delay =
            failure.retry_after.unwrap_or(Duration::from_millis(DEFAULT_RETRY_DELAY_MS));
        let wait = jitter(base_delay);
        if Instant::now() + wait >= deadline {
            return Err(failure);
        }
        if !self.budget.try_withdraw() {
            self.out_of_budget.fetch_add(1, Ordering::Relaxed);
            return Err(failure);
        }
        self.detach_flow().await;
        sleep(wait).await;
        Ok(())
    }

    /// Detaches the flow: calls in progress finish on it, and the next call opens a new one, which may reach
    /// another target.
    pub async fn detach_flow(&self) {
        self.flow.lock().await.take();
    }

    async fn try_call(
        &self,
        call: &Call,
        ticket: Option<&str>,
        deadline: Instant,
    ) -> Result<Response, Failure> {
        let mut stream = self.send(call, ticket, deadline).await?;
        match timeout_at(deadline, stream.read_to_end()).await {
            Ok(response) => response.and_then(|response| check_refusal(response, ticket.is_some())),
            Err(_) => {
                // The agent or its host may have failed without closing the flow, so the next call opens
                // a new one.
                self.detach_flow().await;
                Err(Failure::new(Verdict::MayHaveRun, "deadline"))
            }
        }
    }

    async fn start_stream(
        &self,
        call: &Call,
        deadline: Instant,
    ) -> Result<ResponseStream, Failure> {
        let mut stream = self.send(call, None, deadline).await?;
        let head = timeout_at(deadline, stream.read_head()).await;
        let head = head.map_err(|_| Failure::new(Verdict::MayHaveRun, "deadline"))??;
        if head.headers.contains_key(REASON_HEADER) {
            return Err(parse_failure(&head.headers));
        }
        Ok(stream)
    }

    async fn send(
        &self,
        call: &Call,
        ticket: Option<&str>,
        deadline: Instant,
    ) -> Result<ResponseStream, Failure> {
        let tag = ticket.and_then(ticket::tag_of);
        let mut flow = self.current_flow(tag, deadline).await?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        let uri = format!("https://{}{}", self.settings.server_name, call.path);
        let mut request = http::Request::builder()
            .method(call.method.clone())
            .uri(uri)
            .header(DEADLINE_HEADER, remaining.as_millis().to_string());
        if let Some(ticket) = ticket {
            request = request.header(TICKET_HEADER, ticket);
        }
        let request = request.body(()).map_err(|error| {
            Failure::new(Verdict::NotRun, &format!("request could not be built: {error}"))
        })?;
        if ticket.is_some() || call.method.is_idempotent() {
            self.sent.fetch_add(1, Ordering::Relaxed);
        }
        let sending = flow.send(request, call.body.clone());
        let sent = timeout_at(deadline, sending).await;
        let sent = sent.unwrap_or_else(|_| Err(Failure::new(Verdict::MayHaveRun, "deadline")));
        if sent.is_err() {
            self.detach_flow().await;
        }
        sent.map(|stream| ResponseStream { stream, flow })
    }

    /// Returns the open flow, or opens a new one. A `tag` directs a new flow to the agent that it names and
    /// has no effect on a flow that is already open.
    async fn current_flow(
        &self,
        tag: Option<[u8; TAG_BYTES]>,
        deadline: Instant,
    ) -> Result<Flow, Failure> {
        let mut current = self.flow.lock().await;
        if let Some(flow) = current.as_ref().filter(|flow| flow.is_open()) {
            return Ok(flow.clone());
        }
        self.flows.fetch_add(1, Ordering::Relaxed);
        let opening = Flow::open(&self.endpoint, &self.settings, tag);
        let flow = timeout_at(deadline.min(Instant::now() + OPEN_TIMEOUT), opening).await;
        let flow = flow.map_err(|_| Failure::new(Verdict::NotRun, "flow-timeout"))??;
        *current = Some(flow.clone());
        Ok(flow)
    }
}

/// Response whose body is read part by part.
pub struct ResponseStream {
    stream: flow::RequestStream,
    // Keeps the connection open while the body is read: it closes when its last handle is dropped.
    flow: Flow,
}

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
}

impl ResponseStream {
    /// Waits for the next part of the body; `None` at its regular end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        let data = flow::read_body_part(&mut self.stream).await;
        data.map_err(|failure| self.flow.with_close_reason(failure))
    }

    async fn read_head(&mut self) -> Result<ResponseHead, Failure> {
        let head = flow::read_head(&mut self.stream).await;
        head.map_err(|failure| self.flow.with_close_reason(failure))
    }

    async fn read_to_end(&mut self) -> Result<Response, Failure> {
        let head = self.read_head().await?;
        let mut body = Vec::new();
        while let Some(data) = self.next().await? {
            body.extend_from_slice(&data);
        }
        Ok(Response { status: head.status, headers: head.headers, body: Bytes::from(body) })
    }
}

/// Ticket in a 428 response, with which an agent answers a non-idempotent request without a ticket.
fn issued_ticket(response: &Response) -> Option<String> {
    if response.status != StatusCode::PRECONDITION_REQUIRED {
        return None;
    }
    Some(response.headers.get(TICKET_HEADER)?.to_str().ok()?.to_owned())
}

/// Turns an agent's refusal into a [`Failure`] and passes on a target's response. The response that issues a
/// ticket is not a failure, unless the request already had one.
fn check_refusal(response: Response, has_ticket: bool) -> Result<Response, Failure> {
    let is_refusal = response.headers.contains_key(REASON_HEADER);
    let issues_ticket = issued_ticket(&response).is_some() && !has_ticket;
    if !is_refusal || issues_ticket {
        return Ok(response);
    }
    Err(parse_failure(&response.headers))
}

/// Reads verdict, reason and `Retry-After` of a refusal. Without a valid verdict the request may have run.
fn parse_failure(headers: &HeaderMap) -> Failure {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let verdict = text(VERDICT_HEADER).and_then(|text| text.parse().ok());
    let retry_after_s =
        headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    Failure {
        verdict: verdict.unwrap_or(Verdict::MayHaveRun),
        reason: text(REASON_HEADER).unwrap_or("unknown").to_owned(),
        retry_after: retry_after_s.map(Duration::from_secs),
    }
}

/// Random time between 50 and 150 percent of `wait`, so that callers do not retry at the same moment.
fn jitter(wait: Duration) -> Duration {
    let percent = rand::rng().random_range(50..150);
    wait * percent / 100
}
