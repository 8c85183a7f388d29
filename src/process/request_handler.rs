//! Serves one caller's flow: translates HTTP/3 requests into HTTP/1.1 requests to the target.
//!
//! A request is forwarded after its body has been received completely. Bounds: [`MAX_BODY_BYTES`]
//! for one request body, [`MAX_BUFFERED_BYTES`] for all request bodies together, and
//! [`crate::process::relay::MAX_STORED_BODY_BYTES`] for an answer stored for its ticket.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use h3::quic::BidiStream;
use h3::quic::RecvStream;
use h3::quic::SendStream;
use h3::server::RequestStream;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;
use quinn::Connection;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::log_event;
use crate::process::agent_shared::AgentShared;
use crate::process::agent_shared::ServiceBinding;
use crate::process::agent_state::Decision;
use crate::process::agent_state::Input;
use crate::process::agent_state::TicketId;
use crate::process::events::Event;
use crate::process::refusals::refuse;
use crate::process::refusals::refuse_with;
use crate::process::refusals::send_stored_answer;
use crate::process::relay::Relay;
use crate::process::relay::remove_hop_headers;
use crate::process::upstream::UpstreamError;
use crate::request::admission::Outcome;
use crate::request::deadline;
use crate::request::deadline::DEADLINE_HEADER;
use crate::request::ticket::TICKET_HEADER;
use crate::request::ticket_book::KeptAnswer;
use crate::request::verdict::Refusal;
use crate::request::verdict::Verdict;

/// Maximum size of a request body, in bytes (1 MiB).
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Maximum size of all buffered request bodies together, in bytes (32 MiB).
pub const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Time without a request after which a draining flow gets a GOAWAY. A request that crosses the
/// GOAWAY in transit gets no answer, so requests on busy flows are refused one by one instead.
const IDLE_BEFORE_GOAWAY: Duration = Duration::from_millis(300);

/// Maximum wait for a caller to close a flow whose requests have all ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum wait for a slot. A short burst passes within this time; an overload lasts longer, and
/// its requests are refused.
const SLOT_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// One permit for each byte that may still be buffered.
static BODY_BUFFER_PERMITS: Semaphore = Semaphore::const_new(MAX_BUFFERED_BYTES);

/// Number of requests and long streams that are forwarded to the target.
static RUNNING_REQUESTS: AtomicU32 = AtomicU32::new(0);

/// Returns the number of requests and long streams that run in this process.
pub fn running_requests() -> u32 {
    RUNNING_REQUESTS.load(Ordering::Relaxed)
}

/// Serves one flow. With a `refusal`, every request is refused for that reason.
pub async fn serve(shared: &Arc<AgentShared>, connection: &Connection, refusal: Option<Refusal>) {
    let built = h3::server::builder().build(h3_quinn::Connection::new(connection.clone())).await;
    let mut flow: h3::server::Connection<h3_quinn::Connection, Bytes> = match built {
        Ok(flow) => flow,
        Err(error) => {
            log_event!(Event::FlowFailed, "{error}");
            return;
        }
    };
    let mut draining = shared.draining.subscribe();
    let mut is_goaway_sent = false;
    let mut last_request_at = Instant::now();
    let mut requests = JoinSet::new();
    loop {
        tokio::select! {
            accepted = flow.accept() => {
                let resolver = match accepted {
                    Ok(Some(resolver)) => resolver,
                    Ok(None) => break,
                    Err(_) => {
                        // Requests with a ticket run on; the others end with the connection.
                        requests.detach_all();
                        return;
                    }
                };
                last_request_at = Instant::now();
                let shared = Arc::clone(shared);
                let connection = connection.clone();
                requests.spawn(async move {
                    let Ok((request, stream)) = resolver.resolve_request().await else {
                        return;
                    };
                    serve_request(&shared, &connection, request, stream, refusal).await;
                });
            }
            Some(_) = requests.join_next() => {}
            () = until_draining_and_idle(&mut draining, last_request_at),
                if !is_goaway_sent && requests.is_empty() =>
            {
                is_goaway_sent = true;
                // An error means that the caller has disconnected, which ends the flow anyway.
                let _ = flow.shutdown(0).await;
            }
        }
    }
    while requests.join_next().await.is_some() {}
    // The caller closes the flow after it has read the last answer.
    let _ = timeout(CLOSE_TIMEOUT, connection.closed()).await;
}

/// Waits until flows drain and no request has arrived for [`IDLE_BEFORE_GOAWAY`].
async fn until_draining_and_idle(draining: &mut watch::Receiver<bool>, last_request_at: Instant) {
    if draining.wait_for(|draining| *draining).await.is_err() {
        // The sender exists as long as the process, so this is reached only at its end.
        std::future::pending::<()>().await;
    }
    sleep_until(last_request_at + IDLE_BEFORE_GOAWAY).await;
}

/// A completely received request.
struct ReceivedRequest {
    request: Request<()>,
    body: BufferedBody,
    ticket: Option<TicketId>,
    idempotent: bool,
    deadline: Instant,
}

/// A request body and the permits for its size, out of [`MAX_BUFFERED_BYTES`].
struct BufferedBody {
    bytes: Bytes,
    _permits: SemaphorePermit<'static>,
}

/// Counts a running request until it is dropped.
struct RunningGuard;

impl RunningGuard {
    fn new() -> RunningGuard {
        RUNNING_REQUESTS.fetch_add(1, Ordering::Relaxed);
        RunningGuard
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        RUNNING_REQUESTS.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_request<S>(
    shared: &Arc<AgentShared>,
    connection: &Connection,
    request: Request<()>,
    mut stream: RequestStream<S, Bytes>,
    refusal: Option<Refusal>,
) where
    S: BidiStream<Bytes>,
{
    if let Some(reason) = refusal {
        refuse(shared, &mut stream, reason).await;
        return;
    }
    let Some(binding) = shared.binding() else {
        refuse(shared, &mut stream, Refusal::NoTarget).await;
        return;
    };
    let received = match receive_request(shared, &binding, request, &mut stream).await {
        Ok(received) => received,
        Err(reason) => {
            refuse(shared, &mut stream, reason).await;
            return;
        }
    };
    match admit(shared, &received).await {
        Decision::Run => {
            let _running_guard = RunningGuard::new();
            let ticket = received.ticket;
            let mut completion = CompletionGuard::new(Arc::clone(shared), ticket);
            let running = forward_request(shared, &binding, received, &mut stream, &mut completion);
            // With a ticket, the caller may ask for the outcome on another flow, so the request
            // runs on after this one is closed.
            if ticket.is_some() {
                running.await;
                return;
            }
            tokio::select! {
                () = running => {}
                _ = connection.closed() => {}
            }
        }
        Decision::Kept(answer) => send_stored_answer(shared, &mut stream, &answer).await,
        Decision::Refuse(reason) => refuse(shared, &mut stream, reason).await,
        _ => refuse(shared, &mut stream, Refusal::Malformed).await,
    }
}

/// Admits a request. Without a free slot it waits up to [`SLOT_TIMEOUT`] for one, unless the queue
/// of waiting requests is full.
async fn admit(shared: &AgentShared, received: &ReceivedRequest) -> Decision {
    let input = Input::Request { idempotent: received.idempotent, ticket: received.ticket };
    let until = received.deadline.min(Instant::now() + SLOT_TIMEOUT);
    let mut decision = shared.apply(&input);
    if decision != Decision::Refuse(Refusal::NoSlot) || !shared.try_enter_slot_queue() {
        return decision;
    }
    while decision == Decision::Refuse(Refusal::NoSlot) {
        if timeout_at(until, shared.slot_freed.notified()).await.is_err() {
            break;
        }
        decision = shared.apply(&input);
    }
    shared.leave_slot_queue();
    decision
}

/// Reports the end of an admitted request to the agent state, at the latest when it is dropped.
pub struct CompletionGuard {
    shared: Arc<AgentShared>,
    ticket: Option<TicketId>,
    is_reported: bool,
    /// Whether the request still holds a slot. A long stream has released its own.
    holds_slot: bool,
}

impl CompletionGuard {
    fn new(shared: Arc<AgentShared>, ticket: Option<TicketId>) -> CompletionGuard {
        CompletionGuard { shared, ticket, is_reported: false, holds_slot: true }
    }

    fn report_not_sent(&mut self) {
        self.is_reported = true;
        self.shared.apply(&Input::NotSent { ticket: self.ticket });
    }

    /// Reports how the request ended. For a long stream, which has released its slot, it reports
    /// nothing.
    pub fn report(&mut self, outcome: Outcome, answer: Option<KeptAnswer>) {
        self.is_reported = true;
        if self.holds_slot {
            self.shared.apply(&Input::Ended { outcome, ticket: self.ticket, answer });
        }
    }

    fn release_slot_for_stream(&mut self) {
        self.holds_slot = false;
        self.shared.apply(&Input::StreamStarted);
    }
}

impl Drop for CompletionGuard {
    fn drop(&mut self) {
        if !self.is_reported {
            self.report(Outcome::Abandoned, None);
        }
    }
}

/// Receives a request completely and checks its deadline and ticket.
async fn receive_request<S>(
    shared: &AgentShared,
    binding: &ServiceBinding,
    request: Request<()>,
    stream: &mut RequestStream<S, Bytes>,
) -> Result<ReceivedRequest, Refusal>
where
    S: RecvStream,
{
    let headers = request.headers();
    let requested_deadline = headers.get(DEADLINE_HEADER).map(|value| value.to_str().unwrap_or(""));
    let remaining_ms = deadline::remaining_ms(requested_deadline, binding.request_deadline_ms)
        .ok_or(Refusal::Malformed)?;
    let deadline = Instant::now() + Duration::from_millis(remaining_ms);
    let ticket = match headers.get(TICKET_HEADER) {
        None => None,
        Some(value) => Some(verify_ticket(shared, value)?),
    };
    let idempotent = request.method().is_idempotent();
    let body = receive_body(stream).await?;
    Ok(ReceivedRequest { request, body, ticket, idempotent, deadline })
}

fn verify_ticket(shared: &AgentShared, value: &HeaderValue) -> Result<TicketId, Refusal> {
    let text = value.to_str().map_err(|_| Refusal::TicketInvalid)?;
    let ticket = shared.keys().ticket_keys.verify(text).ok_or(Refusal::TicketInvalid)?;
    Ok(TicketId { incarnation: ticket.incarnation, number: ticket.number })
}

async fn receive_body<S>(stream: &mut RequestStream<S, Bytes>) -> Result<BufferedBody, Refusal>
where
    S: RecvStream,
{
    let until = Instant::now() + BODY_TIMEOUT;
    let mut body = Vec::new();
    let mut permits = BODY_BUFFER_PERMITS.try_acquire_many(0).map_err(|_| Refusal::Overloaded)?;
    loop {
        let received = timeout_at(until, stream.recv_data()).await;
        let data = received.map_err(|_| Refusal::Malformed)?.map_err(|_| Refusal::Malformed)?;
        let Some(mut data) = data else {
            return Ok(BufferedBody { bytes: Bytes::from(body), _permits: permits });
        };
        let chunk_bytes = data.remaining();
        if body.len() + chunk_bytes > MAX_BODY_BYTES {
            return Err(Refusal::TooLarge);
        }
        let permit = BODY_BUFFER_PERMITS
            .try_acquire_many(chunk_bytes as u32)
            .map_err(|_| Refusal::Overloaded)?;
        permits.merge(permit);
        body.extend_from_slice(&data.copy_to_bytes(chunk_bytes));
    }
}

/// Forwards an admitted request to the target and relays the answer.
async fn forward_request<S>(
    shared: &Arc<AgentShared>,
    binding: &ServiceBinding,
    received: ReceivedRequest,
    stream: &mut RequestStream<S, Bytes>,
    completion: &mut CompletionGuard,
) where
    S: SendStream<Bytes>,
{
    let deadline = received.deadline;
    if deadline <= Instant::now() {
        completion.report_not_sent();
        refuse_with(shared, stream, Refusal::Deadline, Verdict::NotRun).await;
        return;
    }
    let path = received.request.uri().path().to_owned();
    let should_store_answer = received.ticket.is_some();
    let request = build_upstream_request(binding, received);
    let is_still_admitted = || shared.apply(&Input::TargetInDoubt) == Decision::Run;
    let (address, max_connections) = (binding.target_address, binding.max_connections);
    let send = shared.upstream.send(address, max_connections, request, is_still_admitted);
    match timeout_at(deadline, send).await {
        Err(_) => {
            completion.report(Outcome::Abandoned, None);
            refuse(shared, stream, Refusal::Deadline).await;
        }
        Ok(Err(error)) => refuse_upstream(shared, stream, completion, &error).await,
        Ok(Ok((response, connection))) => {
            let is_stream = binding.stream_paths.iter().any(|prefix| path.starts_with(prefix));
            let mut relay = Relay { shared, stream, completion, connection, deadline };
            if is_stream && response.status().is_success() {
                relay.completion.release_slot_for_stream();
                relay.deadline = Instant::now() + Duration::from_millis(deadline::MAX_DEADLINE_MS);
            }
            relay.relay_answer(response, should_store_answer).await;
        }
    }
}

/// Refuses a request for which the target gave no answer.
async fn refuse_upstream<S>(
    shared: &AgentShared,
    stream: &mut RequestStream<S, Bytes>,
    completion: &mut CompletionGuard,
    error: &UpstreamError,
) where
    S: SendStream<Bytes>,
{
    let reason = match error {
        UpstreamError::NotSent => Refusal::TargetUnreachable,
        UpstreamError::ConnectionLimitReached => Refusal::NoConnection,
        UpstreamError::NoLongerAdmitted => Refusal::NoSlot,
        UpstreamError::ConnectionClosed => {
            completion.report(Outcome::Failed, None);
            refuse(shared, stream, Refusal::TargetClosed).await;
            return;
        }
    };
    completion.report_not_sent();
    refuse(shared, stream, reason).await;
}

fn build_upstream_request(
    binding: &ServiceBinding,
    received: ReceivedRequest,
) -> Request<Full<Bytes>> {
    let (mut head, ()) = received.request.into_parts();
    let authority = head.uri.authority().map(ToString::to_string);
    let host = authority.unwrap_or_else(|| binding.service_address.to_string());
    let path = head.uri.path_and_query().cloned();
    head.uri = path.map_or_else(|| http::Uri::from_static("/"), http::Uri::from);
    head.version = http::Version::HTTP_11;
    head.extensions.clear();
    remove_hop_headers(&mut head.headers);
    head.headers.remove(TICKET_HEADER);
    if let Ok(host) = HeaderValue::from_str(&host) {
        head.headers.insert(header::HOST, host);
    }
    let remaining = received.deadline.saturating_duration_since(Instant::now());
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    head.headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining_ms));
    head.headers.remove(header::CONTENT_LENGTH);
    if !received.body.bytes.is_empty() || head.method == Method::POST {
        head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(received.body.bytes.len()));
    }
    Request::from_parts(head, Full::new(received.body.bytes))
}
