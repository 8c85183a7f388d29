//! Responses that an agent generates itself: refusals with verdict and reason, and stored answers.

use bytes::Bytes;
use h3::quic::SendStream;
use h3::server::RequestStream;
use http::Response;
use http::header;

use crate::log_event;
use crate::process::agent_shared::AgentShared;
use crate::process::agent_state::Decision;
use crate::process::agent_state::Input;
use crate::process::events::Event;
use crate::process::metrics::count;
use crate::request::ticket::TICKET_HEADER;
use crate::request::ticket::Ticket;
use crate::request::ticket_book::KeptAnswer;
use crate::request::verdict::REASON_HEADER;
use crate::request::verdict::Refusal;
use crate::request::verdict::VERDICT_HEADER;
use crate::request::verdict::Verdict;

/// Sends the stored answer of a ticket. Its body is empty if it was too large to store.
pub async fn send_stored_answer<S>(
    shared: &AgentShared,
    stream: &mut RequestStream<S, Bytes>,
    answer: &KeptAnswer,
) where
    S: SendStream<Bytes>,
{
    count(&shared.metrics().answers, "kept");
    let mut response = Response::builder().status(answer.status);
    for (name, value) in &answer.headers {
        response = response.header(name, value);
    }
    let Ok(response) = response.body(()) else {
        return;
    };
    send(stream, response, answer.body.clone().unwrap_or_default()).await;
}

/// Refuses a request with the verdict that belongs to the reason.
pub async fn refuse<S>(shared: &AgentShared, stream: &mut RequestStream<S, Bytes>, reason: Refusal)
where
    S: SendStream<Bytes>,
{
    refuse_with(shared, stream, reason, reason.verdict()).await;
}

/// Refuses a request with a verdict that differs from the default of the reason.
pub async fn refuse_with<S>(
    shared: &AgentShared,
    stream: &mut RequestStream<S, Bytes>,
    reason: Refusal,
    verdict: Verdict,
) where
    S: SendStream<Bytes>,
{
    count(&shared.metrics().refused_requests, reason.as_str());
    log_event!(Event::RequestRefused, "reason={} verdict={verdict}", reason.as_str());
    let mut response = Response::builder()
        .status(reason.status())
        .header(VERDICT_HEADER, verdict.as_str())
        .header(REASON_HEADER, reason.as_str());
    if let Some(after_s) = reason.retry_after_s(shared.other_targets_have_slots()) {
        response = response.header(header::RETRY_AFTER, after_s);
    }
    if reason == Refusal::TicketNeeded
        && let Some(ticket) = issue_ticket(shared)
    {
        response = response.header(TICKET_HEADER, ticket);
    }
    let Ok(response) = response.body(()) else {
        return;
    };
    send(stream, response, format!("{}\n", reason.as_str()).into_bytes()).await;
}

fn issue_ticket(shared: &AgentShared) -> Option<String> {
    let Decision::Ticket(number) = shared.apply(&Input::TicketWanted) else {
        return None;
    };
    let tag = shared.generate_tag();
    let ticket = Ticket { tag, incarnation: shared.incarnation(), number };
    Some(shared.keys().ticket_keys.sign(&ticket))
}

async fn send<S>(stream: &mut RequestStream<S, Bytes>, response: Response<()>, body: Vec<u8>)
where
    S: SendStream<Bytes>,
{
    // Errors mean that the caller has disconnected, so there is nothing left to send.
    if stream.send_response(response).await.is_ok()
        && stream.send_data(Bytes::from(body)).await.is_ok()
    {
        let _ = stream.finish().await;
    }
}
