//! Heartbeats of an agent to its monitors, the balancers that watch its target. On the wire a
//! heartbeat is a `Report`.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::Rng;
use tokio::time::timeout;

use crate::connection::envelope::from_hop;
use crate::log_event;
use crate::process::agent_shared::AgentShared;
use crate::process::agent_state::Input;
use crate::process::configuration::CONTACT_PREFIX;
use crate::process::control::CallError;
use crate::process::control::ControlEndpoint;
use crate::process::etcd::EtcdStore;
use crate::process::events::Event;
use crate::process::metrics::count;
use crate::process::store::Store;
use crate::version::message;
use crate::version::peer::addresses_digest;
use crate::version::record::Record;
use crate::version::record::TargetRecord;
use crate::version::records::configuration_digest;
use crate::wire::ControlRequest;
use crate::wire::ControlResponse;
use crate::wire::Report;
use crate::wire::ReportAnswer;
use crate::wire::control_request::Kind as RequestKind;
use crate::wire::control_response::Kind as ResponseKind;

/// Maximum wait for a change of the record before the next heartbeat.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Minimum time between two heartbeats, so that frequent changes are reported together.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Consecutive rounds without an answer after which the balancers' contact addresses are read from
/// the store.
const FAILED_ROUNDS_BEFORE_CONTACTS: u32 = 5;

/// Maximum random delay before the contact addresses are read, in milliseconds, so that agents do
/// not all call the store together.
const MAX_CONTACT_DELAY_MS: u64 = 5_000;

/// Sender of the heartbeats.
struct Reporter {
    shared: Arc<AgentShared>,
    control: Arc<ControlEndpoint>,
    /// Balancers to report to, as the last answer named them.
    monitors: Vec<SocketAddrV4>,
    /// All balancers learned so far: the seeds, former monitors and contacts in the store.
    known_balancers: Vec<SocketAddrV4>,
    /// Consecutive rounds without an answer.
    failed_rounds: u32,
    /// Service load of the last answer. A repeated load of 0 is not applied again.
    last_load_permille: Option<u32>,
}

/// Sends heartbeats until the process ends.
pub async fn run(shared: Arc<AgentShared>, control: Arc<ControlEndpoint>) {
    let known_balancers = shared.settings().seeds.clone();
    let mut reporter = Reporter {
        shared,
        control,
        monitors: Vec::new(),
        known_balancers,
        failed_rounds: 0,
        last_load_permille: None,
    };
    loop {
        reporter.report_round().await;
        // A change ends the wait early; the time-out means that the heartbeat is due.
        let _ = timeout(REPORT_INTERVAL, reporter.shared.record_changed.notified()).await;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
}

/// Sends one record to all seeds. An agent that stops reports the end of its target this way.
pub async fn report_to_seeds(
    shared: &AgentShared,
    control: &ControlEndpoint,
    record: &TargetRecord,
) {
    let request = build_report_request(shared, record, &[]);
    let seeds = shared.settings().seeds.clone();
    join_all(seeds.iter().map(|seed| control.call(*seed, &request))).await;
}

impl Reporter {
    /// Sends one heartbeat to each recipient. If none answers, the monitors are dropped, so that
    /// the next round goes to one random known balancer.
    async fn report_round(&mut self) {
        let Some(record) = self.shared.record() else {
            return;
        };
        let peers = self.recipients();
        let request = build_report_request(&self.shared, &record, &self.monitors);
        let calls = peers.iter().map(|peer| self.control.call(*peer, &request));
        let responses = join_all(calls).await;
        let mut is_answered = false;
        for (peer, response) in peers.iter().zip(responses) {
            is_answered |= self.handle_response(*peer, response, &record);
        }
        if is_answered {
            self.failed_rounds = 0;
            return;
        }
        self.failed_rounds += 1;
        self.monitors.clear();
        if self.failed_rounds.is_multiple_of(FAILED_ROUNDS_BEFORE_CONTACTS) {
            self.read_contacts().await;
        }
    }

    /// Returns the monitors, or one random known balancer while no monitor is known.
    fn recipients(&self) -> Vec<SocketAddrV4> {
        if !self.monitors.is_empty() {
            return self.monitors.clone();
        }
        if self.known_balancers.is_empty() {
            return Vec::new();
        }
        let index = rand::rng().random_range(0..self.known_balancers.len());
        vec![self.known_balancers[index]]
    }

    /// Applies the response of one balancer; returns whether it is a valid answer to the heartbeat.
    fn handle_response(
        &mut self,
        peer: SocketAddrV4,
        response: Result<ControlResponse, CallError>,
        sent: &TargetRecord,
    ) -> bool {
        let report = match response {
            Ok(ControlResponse { kind: Some(ResponseKind::Report(report)) }) => report,
            Ok(_) => {
                count(&self.shared.metrics().call_failures, "malformed");
                return false;
            }
            Err(error) => {
                count(&self.shared.metrics().call_failures, failure_label(&error));
                log_event!(Event::CallFailed, "peer={peer} {error}");
                return false;
            }
        };
        self.shared.metrics().heartbeats_acknowledged.inc();
        self.apply_report_answer(&report, sent);
        true
    }

    fn apply_report_answer(&mut self, answer: &ReportAnswer, sent: &TargetRecord) {
        if !answer.keepers.is_empty() {
            self.monitors = answer.keepers.iter().filter_map(from_hop).collect();
            self.known_balancers.extend(self.monitors.iter().copied());
            self.known_balancers.sort_unstable();
            self.known_balancers.dedup();
        }
        let records: Vec<_> =
            answer.configuration.iter().filter_map(message::from_message).collect();
        self.shared.merge_configuration(&records, answer.configured);
        if self.last_load_permille != Some(answer.service_load_permille)
            || answer.service_load_permille > 0
        {
            self.last_load_permille = Some(answer.service_load_permille);
            let load_permille = u64::from(answer.service_load_permille);
            self.shared.apply(&Input::ServiceLoad { load_permille });
        }
        self.shared.set_service_busy_permille(answer.service_busy_permille);
        let known = (answer.known_incarnation, answer.known_sequence);
        let is_newer = known > (sent.incarnation, sent.sequence);
        if is_newer || answer.known_lost {
            self.shared.refute(answer.known_incarnation, answer.known_sequence);
        }
    }

    /// Adds the balancers whose contact addresses are in the store.
    async fn read_contacts(&mut self) {
        let endpoints = &self.shared.settings().store_endpoints;
        if endpoints.is_empty() {
            return;
        }
        let wait_ms = rand::rng().random_range(0..MAX_CONTACT_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        match EtcdStore::new(endpoints).range(CONTACT_PREFIX).await {
            Ok(snapshot) => {
                let parse_address = |key: &str| -> Option<SocketAddrV4> {
                    key.strip_prefix(CONTACT_PREFIX)?.parse().ok()
                };
                let addresses =
                    snapshot.values.iter().filter_map(|value| parse_address(&value.key));
                self.known_balancers.extend(addresses);
                self.known_balancers.sort_unstable();
                self.known_balancers.dedup();
            }
            Err(error) => log_event!(Event::StoreFailed, "{error}"),
        }
    }
}

fn build_report_request(
    shared: &AgentShared,
    record: &TargetRecord,
    monitors: &[SocketAddrV4],
) -> ControlRequest {
    let digest = shared.with_records(|records| {
        let needed = records.iter().filter(|held| match held {
            Record::Service(service) => service.name == record.service,
            _ => true,
        });
        configuration_digest(needed)
    });
    let (flows, busy_slots) =
        shared.with_state(|state| (state.admission().flows(), state.admission().busy()));
    let report = Report {
        target: Some(message::target_to_message(record)),
        flows,
        busy_slots,
        configuration_digest: digest,
        keepers_digest: addresses_digest(monitors),
    };
    ControlRequest { kind: Some(RequestKind::Report(report)) }
}

/// Returns the metric label of a failed call.
pub fn failure_label(error: &CallError) -> &'static str {
    match error {
        CallError::Connection { .. } => "connection",
        CallError::TimedOut => "timeout",
        CallError::Malformed => "malformed",
    }
}
