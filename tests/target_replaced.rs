//! Replacement of a target's process while requests are admitted or in progress: the new process must not
//! get more requests than its limit.

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
use rhubarbthread::process::agent_state::AgentState;
use rhubarbthread::process::agent_state::AnnouncementRefusal;
use rhubarbthread::process::agent_state::Decision;
use rhubarbthread::process::agent_state::Input;
use rhubarbthread::process::agent_state::TICKET_BOUNDS;
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

fn warm_admission() -> Admission {
    let mut admission = Admission::new(CAPACITY);
    admission.target_started(CAPACITY, true);
    admission
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").header("host", "target").body(Full::default()).expect("the request is valid")
}

/// Accepts a connection, answers one request on it and returns it open.
async fn answer_one_request(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.expect("the agent connects");
    let mut buffer = [0; 1024];
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        let length = stream.read(&mut buffer).await.expect("the agent sends a request");
        received.extend_from_slice(&buffer[..length]);
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("the agent reads the answer");
    stream
}

/// Sends a request over an upstream whose idle connection belongs to a process that has ended, while
/// another process listens at the same address. Returns the result and the number of reported losses.
async fn send_to_replaced_process(may_go_on: bool) -> (Result<(), UpstreamError>, u32) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address: SocketAddr = listener.local_addr().expect("the listener is bound");
    let losses = Arc::new(AtomicU32::new(0));
    let loss_count = Arc::clone(&losses);
    let count_loss = move || {
        loss_count.fetch_add(1, Ordering::Relaxed);
    };
    let upstream = Upstream::new(Arc::new(count_loss));
    let first = upstream.send(address, MAX_CONNECTIONS, request(), || true);
    let (answered, stream) = tokio::join!(first, answer_one_request(&listener));
    let (response, connection) = answered.expect("the first process answers");
    response.into_body().collect().await.expect("the answer is complete");
    upstream.release(connection);
    drop(stream);
    // Waits for the loss to be noticed; before, the request might be written to the ended process.
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
            let _stream = answer_one_request(&listener).await;
            std::future::pending::<(Result<(), UpstreamError>, ())>().await
        } => sent,
    };
    (sent, losses.load(Ordering::Relaxed))
}

fn announced(process: &str) -> Input {
    Input::Announced { capacity: CAPACITY, process: process.to_owned(), warm: true }
}

fn admits(agent: &mut AgentState) -> bool {
    let is_run =
        agent.apply(0, &Input::Request { idempotent: true, ticket: None }) == Decision::Run;
    if is_run {
        agent.apply(0, &Input::NotSent { ticket: None });
    }
    is_run
}

cases! {
    // The late announcement of an earlier process lifted the draining of the one that ran.
    a_late_announcement_of_a_replaced_process_lifts_no_draining: {
        let mut agent = AgentState::new(1, TICKET_BOUNDS);
        for input in [announced("first"), announced("second")] {
            agent.apply(0, &input);
        }
        assert!(admits(&mut agent));
        agent.apply(0, &Input::Leaving);
        assert_eq!(agent.announcement_refusal("first"), Some(AnnouncementRefusal::PastProcess));
        agent.apply(0, &announced("first"));
        assert_eq!(agent.process(), Some("second"));
        assert!(!admits(&mut agent));
        agent.apply(0, &announced("third"));
        assert!(admits(&mut agent));
    };
    // A process that drained was served again once it had stopped renewing and its announcement came twice.
    a_late_announcement_of_a_draining_process_does_not_bring_it_back: {
        let mut agent = AgentState::new(1, TICKET_BOUNDS);
        for input in [announced("first"), Input::Leaving, announced("first")] {
            agent.apply(0, &input);
        }
        assert_eq!(agent.announcement_refusal("first"), Some(AnnouncementRefusal::Leaving));
        assert!(!admits(&mut agent));
        for input in [Input::Gone, announced("first")] {
            agent.apply(0, &input);
        }
        assert!(!admits(&mut agent));
    };
    // A running process that a late announcement had replaced was refused for good.
    a_running_process_takes_its_place_back_once_it_has_renewed: {
        let mut agent = AgentState::new(1, TICKET_BOUNDS);
        for input in [announced("running"), announced("late")] {
            agent.apply(0, &input);
        }
        assert_eq!(agent.announcement_refusal("running"), Some(AnnouncementRefusal::PastProcess));
        agent.apply(0, &Input::Renewed { process: "running".to_owned() });
        agent.apply(0, &announced("running"));
        assert_eq!(agent.process(), Some("running"));
        assert!(admits(&mut agent));
        agent.apply(0, &Input::Leaving);
        agent.apply(0, &Input::Renewed { process: "late".to_owned() });
        agent.apply(0, &announced("late"));
        assert!(!admits(&mut agent));
    };
    a_process_that_stopped_renewing_may_announce_itself_again: {
        let mut agent = AgentState::new(1, TICKET_BOUNDS);
        for input in [announced("first"), Input::Gone, announced("first")] {
            agent.apply(0, &input);
        }
        assert!(admits(&mut agent));
    };
    answers_of_the_process_before_do_not_raise_the_limit_of_a_cold_one: {
        let mut admission = warm_admission();
        (0..5).for_each(|_| admission.start_request().expect("the target has nine slots"));
        admission.target_started(CAPACITY, false);
        (0..5).for_each(|_| admission.finish_request(Outcome::Answered));
        assert_eq!(admission.limit(), 2);
        for _ in 0..4 {
            admission.start_request().expect("the cold limit is two");
            admission.finish_request(Outcome::Answered);
        }
        assert_eq!(admission.limit(), 3);
    };
    a_request_that_was_admitted_before_the_loss_is_asked_for_again: {
        let mut admission = warm_admission();
        (0..3).for_each(|_| admission.start_request().expect("the target has nine slots"));
        assert!(admission.is_still_admitted());
        admission.suspect_new_process();
        assert!(!admission.is_still_admitted(), "three requests exceed the cold limit of two");
        admission.finish_request(Outcome::Abandoned);
        assert!(admission.is_still_admitted());
    };
    a_request_meets_another_process_only_if_it_may_go_on: support::run(async {
        let (sent, losses) = send_to_replaced_process(false).await;
        assert!(matches!(sent, Err(UpstreamError::NoLongerAdmitted)), "{sent:?}");
        assert!(losses > 0);
    });
    a_request_that_may_go_on_is_sent_to_the_process_that_is_there: support::run(async {
        let (sent, _) = send_to_replaced_process(true).await;
        assert!(sent.is_ok(), "{sent:?}");
    });
}
