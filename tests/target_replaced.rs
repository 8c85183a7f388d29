//! A target's process that is replaced while requests are admitted or at work: the new one gets no more
//! than it bears.

#[macro_use]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use rhubarbthread::process::upstream::Upstream;
use rhubarbthread::process::upstream::UpstreamError;
use rhubarbthread::request::admission::Admission;
use rhubarbthread::request::admission::Capacity;
use rhubarbthread::request::admission::Outcome;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const CAPACITY: Capacity = Capacity { slots: 9, connections: 9, first_limit: 2, growth_answers: 4 };

const MAX_CONNECTIONS: u32 = 9;

fn warm() -> Admission {
    let mut admission = Admission::new(CAPACITY);
    admission.target_started(CAPACITY, true);
    admission
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").header("host", "target").body(Full::default()).expect("it is a request")
}

/// Reads one request and answers it; the connection stays open.
async fn answer_one(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.expect("the agent connects");
    let mut buffer = [0; 1024];
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        let length = stream.read(&mut buffer).await.expect("it sends a request");
        received.extend_from_slice(&buffer[..length]);
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("it takes the answer");
    stream
}

/// An agent has an idle connection, the target's process ends, and another listens at its address.
async fn replaced_between_two_requests(may_go_on: bool) -> (Result<(), UpstreamError>, u32) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address: SocketAddr = listener.local_addr().expect("it is bound");
    let losses = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&losses);
    let on_loss = move || {
        counted.fetch_add(1, Ordering::Relaxed);
    };
    let upstream = Upstream::new(Arc::new(on_loss));
    let first = upstream.send(address, MAX_CONNECTIONS, request(), || true);
    let (answered, stream) = tokio::join!(first, answer_one(&listener));
    let (response, connection) = answered.expect("the first process answers");
    response.into_body().collect().await.expect("the answer is whole");
    upstream.give_back(connection);
    drop(stream);
    // Until then the request might still be written to the process that has ended.
    while upstream.open_connections() > 0 {
        tokio::task::yield_now().await;
    }
    let second = async {
        let sent = upstream.send(address, MAX_CONNECTIONS, request(), || may_go_on).await;
        sent.map(|_| ())
    };
    let sent = tokio::select! {
        sent = second => sent,
        (sent, _) = async {
            let _stream = answer_one(&listener).await;
            std::future::pending::<(Result<(), UpstreamError>, ())>().await
        } => sent,
    };
    (sent, losses.load(Ordering::Relaxed))
}

cases! {
    answers_of_the_process_before_do_not_raise_the_limit_of_a_cold_one: {
        let mut admission = warm();
        (0..5).for_each(|_| admission.start_request().expect("it has nine slots"));
        admission.target_started(CAPACITY, false);
        (0..5).for_each(|_| admission.finish_request(Outcome::Answered));
        assert_eq!(admission.limit(), 2);
        for _ in 0..4 {
            admission.start_request().expect("it bears two");
            admission.finish_request(Outcome::Answered);
        }
        assert_eq!(admission.limit(), 3);
    };
    a_request_that_was_admitted_before_the_loss_is_asked_for_again: {
        let mut admission = warm();
        (0..3).for_each(|_| admission.start_request().expect("it has nine slots"));
        assert!(admission.is_still_admitted());
        admission.suspect_new_process();
        assert!(!admission.is_still_admitted(), "three at a target that may bear two");
        admission.finish_request(Outcome::Abandoned);
        assert!(admission.is_still_admitted());
    };
    a_request_meets_another_process_only_if_it_may_go_on: support::run(async {
        let (sent, losses) = replaced_between_two_requests(false).await;
        assert!(matches!(sent, Err(UpstreamError::Replaced)), "{sent:?}");
        assert!(losses > 0);
    });
    a_request_that_may_go_on_is_sent_to_the_process_that_is_there: support::run(async {
        let (sent, _) = replaced_between_two_requests(true).await;
        assert!(sent.is_ok(), "{sent:?}");
    });
}
