//! One HTTP/3 connection of a caller, called a flow as in the rest of the crate.

use std::future::poll_fn;
use std::sync::Arc;

use bytes::Buf;
use bytes::Bytes;
use h3::client::SendRequest;
use h3::error::Code;
use h3::error::StreamError;
use h3_quinn::OpenStreams;
use http::Request;
use quinn::Connection;
use quinn::ConnectionError;
use quinn::ConnectionId;
use quinn::Endpoint;
use quinn::VarInt;

use crate::caller::CallerSettings;
use crate::caller::Failure;
use crate::caller::ResponseHead;
use crate::connection::tag::TAG_BYTES;
use crate::process::agent_shared::CLOSE_CODE_ZONE_OUT;
use crate::request::verdict::Refusal;
use crate::request::verdict::Verdict;

/// Stream that carries one request and its response.
pub type RequestStream = h3::client::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// HTTP/3 connection to an agent; clones share the connection.
#[derive(Clone)]
pub struct Flow {
    connection: Connection,
    sender: SendRequest<OpenStreams, Bytes>,
}

impl Flow {
    /// Opens a flow. A `tag` becomes the initial destination connection ID, so that the balancers forward the
    /// flow to the agent named in the tag.
    pub async fn open(
        endpoint: &Endpoint,
        settings: &CallerSettings,
        tag: Option<[u8; TAG_BYTES]>,
    ) -> Result<Flow, Failure> {
        let mut client = settings.client.clone();
        if let Some(tag) = tag {
            client.initial_dst_cid_provider(Arc::new(move || ConnectionId::new(&tag)));
        }
        let connecting = endpoint
            .connect_with(client, settings.service, &settings.server_name)
            .map_err(|error| not_run(&error.to_string()))?;
        let connection =
            connecting.await.map_err(|error| not_run(&connection_failure_reason(&error)))?;
        let quic = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) =
            h3::client::new(quic).await.map_err(|error| not_run(&error.to_string()))?;
        tokio::spawn(async move {
            // The error is ignored here because every pending request returns it too.
            let _ = poll_fn(|cx| driver.poll_close(cx)).await;
        });
        Ok(Flow { connection, sender })
    }

    /// Whether the connection is still open for requests.
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    /// Replaces the reason of `failure` by `zone-out` if the agent closed the connection because its zone was
    /// taken out of service; otherwise returns `failure` unchanged.
    pub fn with_close_reason(&self, failure: Failure) -> Failure {
        match self.connection.close_reason() {
            Some(ConnectionError::ApplicationClosed(close))
                if close.error_code == VarInt::from_u32(CLOSE_CODE_ZONE_OUT) =>
            {
                Failure::new(failure.verdict, Refusal::ZoneOut.as_str())
            }
            _ => failure,
        }
    }

    /// Closes the connection; streams that are still open fail.
    pub fn close(&self) {
        self.connection.close(0_u32.into(), b"done");
    }

    /// Sends the headers and the complete body of a request.
    pub async fn send(
        &mut self,
        request: Request<()>,
        body: Bytes,
    ) -> Result<RequestStream, Failure> {
        // If this fails, no header was sent, so the request cannot have run.
        let mut stream = self
            .sender
            .send_request(request)
            .await
            .map_err(|error| not_run(&format!("flow closed: {error}")))?;
        if !body.is_empty() {
            stream.send_data(body).await.map_err(|error| stream_failure(&error))?;
        }
        stream.finish().await.map_err(|error| stream_failure(&error))?;
        Ok(stream)
    }
}

/// Reads the status and the headers of the response.
pub async fn read_head(stream: &mut RequestStream) -> Result<ResponseHead, Failure> {
    let response = stream.recv_response().await.map_err(|error| stream_failure(&error))?;
    let (head, ()) = response.into_parts();
    Ok(ResponseHead { status: head.status, headers: head.headers })
}

/// Reads the next part of the response body; `None` at its regular end.
pub async fn read_body_part(stream: &mut RequestStream) -> Result<Option<Bytes>, Failure> {
    let data = stream.recv_data().await.map_err(|error| stream_failure(&error))?;
    Ok(data.map(|mut data| data.copy_to_bytes(data.remaining())))
}

fn not_run(reason: &str) -> Failure {
    Failure::new(Verdict::NotRun, reason)
}

/// Maps a stream error to a verdict. A request that was rejected with `H3_REQUEST_REJECTED` was not
/// processed and can be sent again (RFC 9114, section 4.1.1); after any other error it may have run.
fn stream_failure(error: &StreamError) -> Failure {
    let verdict = match error {
        StreamError::RemoteTerminate { code, .. } if *code == Code::H3_REQUEST_REJECTED => {
            Verdict::NotRun
        }
        _ => Verdict::MayHaveRun,
    };
    Failure::new(verdict, &format!("request stream failed: {error}"))
}

fn connection_failure_reason(error: &ConnectionError) -> String {
    match error {
        ConnectionError::TimedOut => "flow-timeout".to_owned(),
        ConnectionError::ConnectionClosed(close) if is_connection_refused(close) => {
            "flow-refused".to_owned()
        }
        other => other.to_string(),
    }
}

fn is_connection_refused(close: &quinn::ConnectionClose) -> bool {
    close.error_code == quinn::TransportErrorCode::CONNECTION_REFUSED
}
