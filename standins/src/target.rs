//! Stand-in for a target: an HTTP server with slots, connections, a slow start when it is cold, load
//! shedding, a process identity, and a count of non-idempotent requests that ran twice.
//!
//! Paths: `/work?id=I&ms=N` responds after N milliseconds, `/stream?chunks=N&ms=M` sends N lines, one every
//! M milliseconds, `/standin/stats` returns the [`TargetStats`], and `/standin/ran` the ids of the
//! non-idempotent requests that ran.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch::Receiver;
use tokio::sync::watch::Sender;
use tokio::time::sleep;

use crate::address_in_use::bind_when_free;

/// Time between two renewals of the announcement at the agent.
const RENEW_INTERVAL: Duration = Duration::from_millis(700);

/// Time between two attempts to announce the target at the agent.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Lines of a stream that are buffered for sending.
const STREAM_BUFFER: usize = 4;

/// Configuration of a target.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// Address that the target listens on.
    pub listen: SocketAddr,
    /// Admin address of its agent.
    pub agent: SocketAddrV4,
    /// Name of its service.
    pub service: String,
    /// Limit of concurrent requests when it is warm.
    pub slots: u32,
    /// Limit of connections when it is warm; only announced, not enforced.
    pub connections: u32,
    /// Limit of concurrent requests when it starts cold.
    pub first_limit: u32,
    /// Number of responses after which a cold target raises its limit by one.
    pub growth_answers: u32,
    /// Whether it starts warm.
    pub warm: bool,
    /// Identity of the process, announced to the agent.
    pub process: String,
    /// Whether requests above the limit are refused with status 503; otherwise they run and are only counted.
    pub sheds_load: bool,
}

/// Counters of a target.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TargetStats {
    /// Identity of the process.
    pub process: String,
    /// Completed requests to `/work`.
    pub answers: u64,
    /// Requests that are running.
    pub busy: u32,
    /// Maximum of concurrent requests so far.
    pub peak_busy: u32,
    /// Requests that arrived when the limit was reached.
    pub over_limit: u64,
    /// Largest excess of concurrent requests over the limit.
    pub worst_excess: u32,
    /// Streams that are being sent.
    pub streams: u32,
    /// Non-idempotent requests that were run.
    pub ran: u64,
    /// Repetitions of non-idempotent requests with the same id.
    pub ran_twice: u64,
    /// Requests and streams that were cancelled before their response was complete.
    pub cut: u64,
}

struct State {
    stats: TargetStats,
    request_limit: u32,
    answers_since_growth: u32,
    run_counts: IndexMap<String, u32>,
    is_leaving: bool,
}

/// Running target.
pub struct Target {
    plan: TargetPlan,
    state: Mutex<State>,
    work_ended: Notify,
    stop: Sender<bool>,
}

type Body = BoxBody<Bytes, Infallible>;

impl Target {
    /// Binds the address and starts background tasks that serve requests, announce the target to its agent
    /// and renew the announcement.
    pub async fn start(plan: TargetPlan) -> io::Result<Arc<Target>> {
        let listener = bind_when_free(|| TcpListener::bind(plan.listen)).await?;
        let request_limit = if plan.warm { plan.slots } else { plan.first_limit };
        let stats = TargetStats { process: plan.process.clone(), ..TargetStats::default() };
        let state = State {
            stats,
            request_limit,
            answers_since_growth: 0,
            run_counts: IndexMap::new(),
            is_leaving: false,
        };
        let target = Arc::new(Target {
            plan,
            state: Mutex::new(state),
            work_ended: Notify::new(),
            stop: Sender::new(false),
        });
        tokio::spawn(Arc::clone(&target).accept(target.stop.subscribe(), listener));
        tokio::spawn(Arc::clone(&target).announce_and_renew());
        Ok(target)
    }

    /// Configuration of this target.
    pub fn plan(&self) -> &TargetPlan {
        &self.plan
    }

    /// Snapshot of the counters.
    pub fn stats(&self) -> TargetStats {
        self.lock().stats.clone()
    }

    /// Ids of the non-idempotent requests that ran, with the number of times.
    pub fn run_counts(&self) -> IndexMap<String, u32> {
        self.lock().run_counts.clone()
    }

    /// Drains the target: notifies the agent and waits until no request or stream is left.
    pub async fn leave(&self) {
        self.lock().is_leaving = true;
        let body = json!({"process": self.plan.process});
        self.post("leave", &body).await;
        loop {
            let ended = self.work_ended.notified();
            let stats = self.stats();
            if stats.busy == 0 && stats.streams == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Stops at once like a crash: the agent is not notified, and all connections are closed.
    pub async fn crash(&self) {
        self.lock().is_leaving = true;
        self.stop.send_replace(true);
        self.stop.closed().await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }

    /// Accepts connections until the target is stopped. The order of the parameters matters: they are dropped
    /// from last to first, so the listener is closed before `stop` shows that the task has ended.
    async fn accept(self: Arc<Self>, mut stop: Receiver<bool>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.changed() => return,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            // With Nagle's algorithm, responses would wait for an acknowledgement. An error is ignored
            // because the connection works without the option, only more slowly.
            let _ = stream.set_nodelay(true);
            let target = Arc::clone(&self);
            let mut stop = self.stop.subscribe();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let target = Arc::clone(&target);
                    async move { Ok::<_, Infallible>(target.serve(request).await) }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    // The agent may close connections at any time, so an error is not reported.
                    _ = connection => {}
                    _ = stop.changed() => {}
                }
            });
        }
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let query = parse_query(head.uri.query().unwrap_or(""));
        let number = |key: &str| query.get(key).and_then(|text| text.parse().ok()).unwrap_or(0);
        // The request body is read but not used.
        let _ = body.collect().await;
        match head.uri.path() {
            "/standin/stats" => text(StatusCode::OK, json!(self.stats()).to_string()),
            "/standin/ran" => text(StatusCode::OK, json!(self.run_counts()).to_string()),
            "/stream" => self.serve_stream(number("chunks"), number("ms")),
            "/work" => {
                let id = query.get("id").cloned().unwrap_or_default();
                self.serve_work(&head.method, &id, number("ms")).await
            }
            _ => text(StatusCode::NOT_FOUND, "no such path\n".to_owned()),
        }
    }

    async fn serve_work(self: Arc<Self>, method: &Method, id: &str, ms: u64) -> Response<Body> {
        if !self.try_take_slot() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "shed\n".to_owned());
        }
        let slot = SlotGuard { target: Arc::clone(&self), is_finished: false };
        if !method.is_idempotent() {
            self.record_run(id);
        }
        sleep(Duration::from_millis(ms)).await;
        slot.finish();
        text(StatusCode::OK, format!("id={id} process={}\n", self.plan.process))
    }

    fn serve_stream(self: Arc<Self>, chunks: u64, ms: u64) -> Response<Body> {
        let (sender, mut receiver) = mpsc::channel::<Bytes>(STREAM_BUFFER);
        self.lock().stats.streams += 1;
        let target = Arc::clone(&self);
        tokio::spawn(async move {
            for index in 1..=chunks {
                let line = if index == chunks { "end\n".to_owned() } else { format!("{index}\n") };
                if sender.send(Bytes::from(line)).await.is_err() {
                    target.lock().stats.cut += 1;
                    break;
                }
                sleep(Duration::from_millis(ms)).await;
            }
            target.lock().stats.streams -= 1;
            target.work_ended.notify_waiters();
        });
        let frames = frame_stream(move |cx| receiver.poll_recv(cx));
        Response::new(StreamBody::new(frames).boxed())
    }

    /// Takes a slot for a request. Returns false if the request is shed because the limit is reached.
    fn try_take_slot(&self) -> bool {
        let mut state = self.lock();
        let is_over = state.stats.busy >= state.request_limit;
        if is_over {
            state.stats.over_limit += 1;
            let excess = state.stats.busy + 1 - state.request_limit;
            state.stats.worst_excess = state.stats.worst_excess.max(excess);
            if self.plan.sheds_load {
                return false;
            }
        }
        state.stats.busy += 1;
        state.stats.peak_busy = state.stats.peak_busy.max(state.stats.busy);
        true
    }

    fn record_run(&self, id: &str) {
        let mut state = self.lock();
        state.stats.ran += 1;
        let times = state.run_counts.entry(id.to_owned()).or_insert(0);
        *times += 1;
        if *times > 1 {
            state.stats.ran_twice += 1;
        }
    }

    /// Counts a response, and raises the limit of a cold target after every `growth_answers` responses.
    fn warm_up(state: &mut State, plan: &TargetPlan) {
        state.answers_since_growth += 1;
        if state.answers_since_growth >= plan.growth_answers && state.request_limit < plan.slots {
            state.answers_since_growth = 0;
            state.request_limit += 1;
        }
    }

    async fn announce_and_renew(self: Arc<Self>) {
        let renew = json!({"process": self.plan.process});
        let mut is_announced = false;
        while !self.lock().is_leaving {
            if !is_announced {
                is_announced = self.announce().await;
                sleep(if is_announced { RENEW_INTERVAL } else { RETRY_INTERVAL }).await;
                continue;
            }
            is_announced = self.post("renew", &renew).await;
            sleep(RENEW_INTERVAL).await;
        }
    }

    /// Announces the target to its agent. Returns whether the agent accepts it.
    pub async fn announce(&self) -> bool {
        let body = json!({
            "service": self.plan.service,
            "address": self.plan.listen,
            "slots": self.plan.slots,
            "connections": self.plan.connections,
            "process": self.plan.process,
            "warm": self.plan.warm,
        });
        self.post("announce", &body).await
    }

    async fn post(&self, operation: &str, body: &serde_json::Value) -> bool {
        let url = format!("http://{}/v1/target/{operation}", self.plan.agent);
        let answer = reqwest::Client::new().post(url).json(body).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}

/// Slot of a running request, released on drop. It is dropped unfinished if the agent cancels the request.
struct SlotGuard {
    target: Arc<Target>,
    is_finished: bool,
}

impl SlotGuard {
    fn finish(mut self) {
        self.is_finished = true;
        let mut state = self.target.lock();
        state.stats.answers += 1;
        Target::warm_up(&mut state, &self.target.plan);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.target.lock();
        state.stats.busy -= 1;
        state.stats.cut += u64::from(!self.is_finished);
        drop(state);
        self.target.work_ended.notify_waiters();
    }
}

fn frame_stream(
    mut poll: impl FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<Bytes>>,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, Infallible>> {
    futures_util::stream::poll_fn(move |cx| {
        poll(cx).map(|data| data.map(|data| Ok(Frame::data(data))))
    })
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(text)).boxed());
    *response.status_mut() = status;
    response
}

fn parse_query(query: &str) -> IndexMap<String, String> {
    let pair = |part: &str| part.split_once('=').map(|(a, b)| (a.to_owned(), b.to_owned()));
    query.split('&').filter_map(pair).collect()
}
