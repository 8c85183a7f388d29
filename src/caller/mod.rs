//! The caller library: flows, requests with deadlines, retries within a budget, tickets.
//!
//! A request is sent again only when its verdict is `NotRun`, or when its ticket makes sending it
//! again safe. Dropping the future of a call cancels it.

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

/// Longest set-up of a flow.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait before a retry where the refusal names none, in milliseconds.
const DEFAULT_RETRY_DELAY_MS: u64 = 100;

/// Settings of a caller.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address of the service.
    pub service: SocketAddr,
    /// Name in the service's certificate.
    pub server_name: String,
    /// Client side of HTTP/3, see [`crate::process::tls::caller_client_config`].
    pub client: quinn::ClientConfig,
    /// Local address to call from.
    pub local_address: SocketAddr,
    /// Retries per hundred requests.
    pub retry_budget_percent: u32,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method; POST and PATCH run at most once, by ticket.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Time in which the call must end.
    pub deadline: Duration,
}

impl Call {
    /// Creates a GET request.
    pub fn new(path: &str, deadline: Duration) -> Call {
        Call { method: Method::GET, path: path.to_owned(), body: Bytes::new(), deadline }
    }

    /// Returns the call with another method and a body.
    pub fn with_body(mut self, method: Method, body: Bytes) -> Call {
        self.method = method;
        self.body = body;
        self
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, whole.
    pub body: Bytes,
}

/// Why a call has no answer, and whether the request may have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The reason, as the agent gave it or as seen here.
    pub reason: String,
    /// How long to wait before asking again, where the agent said so.
    pub retry_after: Option<Duration>,
}

impl Failure {
    fn new(verdict: Verdict, reason: &str) -> Failure {
        Failure { verdict, reason: reason.to_owned(), retry_after: None }
    }
}

/// Counts of a caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallerCounts {
    /// Calls asked for.
    pub offered: u64,
    /// Requests sent, retries included, requests for a ticket not.
    pub sent: u64,
    /// Retries that the budget refused.
    pub out_of_budget: u64,
    /// Flows opened.
    pub flows: u64,
}

/// A caller of one service.
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
    /// Opens the local socket; no flow is opened yet.
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

    /// Counts so far.
    pub fn counts(&self) -> CallerCounts {
        CallerCounts {
            offered: self.offered.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
            out_of_budget: self.out_of_budget.load(Ordering::Relaxed),
            flows: self.flows.load(Ordering::Relaxed),
        }
    }

    /// Opens the flow ahead of the first call.
    pub async fn open(&self) -> Result<(), Failure> {
        self.current_flow(None, Instant::now() + OPEN_TIMEOUT).await.map(|_| ())
    }

    /// Closes the flow.
    pub async fn close(&self) {
        if let Some(flow) = self.flow.lock().await.take() {
            flow.close();
        }
        self.endpoint.wait_idle().await;
    }

    /// Sends a request and returns the whole answer.
    pub async fn call(&self, call: &Call) -> Result<Response, Failure> {
        self.offered.fetch_add(1, Ordering::Relaxed);
        self.budget.deposit();
        let deadline = Instant::now() + call.deadline;
        if call.method.is_idempotent() {
            return self.call_idempotent(call, deadline).await;
        }
        self.call_at_most_once(call, deadline).await
    }

    /// Starts a request whose answer is a long stream.
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
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.back_off(failure, deadline).await?;
        }
    }

    /// Runs a non-idempotent request at most once.
    async fn call_at_most_once(&self, call: &Call, deadline: Instant) -> Result<Response, Failure> {
        let mut ticket: Option<String> = None;
        // Once a request with its ticket got no answer, only the issuing agent can tell more.
        let mut may_have_run = false;
        loop {
            let failure = match self.try_call(call, ticket.as_deref(), deadline).await {
                Ok(answer) => match issued_ticket(&answer) {
                    Some(issued) if ticket.is_none() => {
                        ticket = Some(issued);
                        continue;
                    }
                    _ => return Ok(answer),
                },
                Err(failure) => failure,
            };
            let is_final = matches!(
                failure.reason.as_str(),
                "ticket-elsewhere" | "ticket-forgotten" | "target-closed"
            );
            may_have_run |= failure.verdict != Verdict::NotRun;
            let retryable = match (&ticket, may_have_run) {
                (Some(_), true) if !is_final => Failure::new(Verdict::NotRun, &failure.reason),
                _ if may_have_run => return Err(failure),
                _ => {
                    // Nothing ran, so a fresh ticket from any target will do.
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

    /// Waits before a retry; gives the failure back where there is none to be.
    async fn back_off(&self, failure: Failure, deadline: Instant) -> Result<(), Failure> {
        if failure.verdict != Verdict::NotRun {
            return Err(failure);
        }
        let longest = failure.retry_after.unwrap_or(Duration::from_millis(DEFAULT_RETRY_DELAY_MS));
        let wait = jitter(longest);
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

    /// Leaves the flow to the calls that use it; the next call opens another one, which may end at
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
            Ok(answer) => answer.and_then(|answer| check_refusal(answer, ticket.is_some())),
            Err(_) => {
                // The other side may be gone without a word; the next call tries another flow.
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
            Failure::new(Verdict::NotRun, &format!("the request is malformed: {error}"))
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

    /// The open flow, or a new one. With a `tag` a new flow ends at the agent that it names.
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

/// An answer on its way.
pub struct ResponseStream {
    stream: flow::RequestStream,
    // The flow closes with its last holder.
    flow: Flow,
}

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
}

impl ResponseStream {
    /// Waits for the next part of the body; `None` at its whole end.
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

fn issued_ticket(answer: &Response) -> Option<String> {
    if answer.status != StatusCode::PRECONDITION_REQUIRED {
        return None;
    }
    Some(answer.headers.get(TICKET_HEADER)?.to_str().ok()?.to_owned())
}

/// Tells an agent's refusal from a target's answer. The request for a ticket is no failure.
fn check_refusal(answer: Response, has_ticket: bool) -> Result<Response, Failure> {
    let is_refusal = answer.headers.contains_key(REASON_HEADER);
    let issues_ticket = issued_ticket(&answer).is_some() && !has_ticket;
    if !is_refusal || issues_ticket {
        return Ok(answer);
    }
    Err(parse_failure(&answer.headers))
}

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

/// A random time between half of the wait and one and a half, so that callers do not come back
/// together.
fn jitter(wait: Duration) -> Duration {
    let percent = rand::rng().random_range(50..150);
    wait * percent / 100
}
