//! Heartbeats of an agent to its keepers.

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
use crate::process::control::Control;
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

/// Time between two heartbeats.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest time between two reports of changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Rounds without any answer after which the contacts in the store are read.
const ROUNDS_TO_CONTACTS: u32 = 5;

/// Longest random wait before the store is asked, in milliseconds.
const CONTACT_WAIT_MS: u64 = 5_000;

struct Reporter {
    shared: Arc<AgentShared>,
    control: Arc<Control>,
    keepers: Vec<SocketAddrV4>,
    others: Vec<SocketAddrV4>,
    silent_rounds: u32,
    last_load_permille: Option<u32>,
}

/// Reports until the process ends.
pub async fn run(shared: Arc<AgentShared>, control: Arc<Control>) {
    let others = shared.settings().seeds.clone();
    let mut reporter = Reporter {
        shared,
        control,
        keepers: Vec::new(),
        others,
        silent_rounds: 0,
        last_load_permille: None,
    };
    loop {
        reporter.round().await;
        // A change is reported at once, silence ends with the interval.
        let _ = timeout(REPORT_INTERVAL, reporter.shared.changed.notified()).await;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
}

/// Sends one record to all seeds, for the end of an agent.
pub async fn report_once(shared: &AgentShared, control: &Control, record: &TargetRecord) {
    let request = request_of(shared, record, &[]);
    let seeds = shared.settings().seeds.clone();
    join_all(seeds.iter().map(|seed| control.call(*seed, &request))).await;
}

impl Reporter {
    async fn round(&mut self) {
        let Some(record) = self.shared.record() else {
            return;
        };
        let peers = self.peers();
        let request = request_of(&self.shared, &record, &self.keepers);
        let calls = peers.iter().map(|peer| self.control.call(*peer, &request));
        let answers = join_all(calls).await;
        let mut any = false;
        for (peer, answer) in peers.iter().zip(answers) {
            any |= self.take(*peer, answer, &record);
        }
        if any {
            self.silent_rounds = 0;
            return;
        }
        self.silent_rounds += 1;
        self.keepers.clear();
        if self.silent_rounds.is_multiple_of(ROUNDS_TO_CONTACTS) {
            self.read_contacts().await;
        }
    }

    /// Keepers, or some other balancer while no keeper is known.
    fn peers(&self) -> Vec<SocketAddrV4> {
        if !self.keepers.is_empty() {
            return self.keepers.clone();
        }
        if self.others.is_empty() {
            return Vec::new();
        }
        let index = rand::rng().random_range(0..self.others.len());
        vec![self.others[index]]
    }

    fn take(
        &mut self,
        peer: SocketAddrV4,
        answer: Result<ControlResponse, CallError>,
        sent: &TargetRecord,
    ) -> bool {
        let report = match answer {
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
        self.shared.metrics().reports.inc();
        self.take_report(&report, sent);
        true
    }

    fn take_report(&mut self, answer: &ReportAnswer, sent: &TargetRecord) {
        if !answer.keepers.is_empty() {
            self.keepers = answer.keepers.iter().filter_map(from_hop).collect();
            self.others.extend(self.keepers.iter().copied());
            self.others.sort_unstable();
            self.others.dedup();
        }
        let records: Vec<_> =
            answer.configuration.iter().filter_map(message::from_message).collect();
        self.shared.take_configuration(&records, answer.configured);
        if self.last_load_permille != Some(answer.service_load_permille)
            || answer.service_load_permille > 0
        {
            self.last_load_permille = Some(answer.service_load_permille);
            let load_permille = u64::from(answer.service_load_permille);
            self.shared.apply(&Input::ServiceLoad { load_permille });
        }
        self.shared.set_service_busy(answer.service_busy_permille);
        let known = (answer.known_incarnation, answer.known_sequence);
        let is_newer = known > (sent.incarnation, sent.sequence);
        if is_newer || answer.known_lost {
            self.shared.refute(answer.known_incarnation, answer.known_sequence);
        }
    }

    async fn read_contacts(&mut self) {
        let endpoints = &self.shared.settings().store_endpoints;
        if endpoints.is_empty() {
            return;
        }
        let wait_ms = rand::rng().random_range(0..CONTACT_WAIT_MS);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        match EtcdStore::new(endpoints).range(CONTACT_PREFIX).await {
            Ok(snapshot) => {
                let address = |key: &str| -> Option<SocketAddrV4> {
                    key.strip_prefix(CONTACT_PREFIX)?.parse().ok()
                };
                let found = snapshot.values.iter().filter_map(|value| address(&value.key));
                self.others.extend(found);
                self.others.sort_unstable();
                self.others.dedup();
            }
            Err(error) => log_event!(Event::StoreFailed, "{error}"),
        }
    }
}

fn request_of(
    shared: &AgentShared,
    record: &TargetRecord,
    keepers: &[SocketAddrV4],
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
        keepers_digest: addresses_digest(keepers),
    };
    ControlRequest { kind: Some(RequestKind::Report(report)) }
}

/// Label of a failed call in metrics.
pub fn failure_label(error: &CallError) -> &'static str {
    match error {
        CallError::Connection { .. } => "connection",
        CallError::TimedOut => "timeout",
        CallError::Malformed => "malformed",
    }
}
