//! What a balancer tells the others, asks them and hears from them.
//!
//! Each state goes to a few neighbours and fits one datagram. What changes is told at once and passed on
//! by whoever it is new to; the rest is told in turn, which mends what was lost.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::time::sleep;

use crate::process::clock::wall_ms;
use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::datagrams::send_to_all;
use crate::process::passthrough::message;
use crate::process::passthrough::message::NodeMessage;
use crate::version::balancer_table::BalancerUpdate;
use crate::version::balancer_table::UpdateOutcome;
use crate::version::target_status::TargetLoad;
use crate::version::target_status::TargetUpdate;

/// Most balancers in one state: 45 bytes each, of the 1,200 of a datagram.
const MAX_BALANCERS_PER_STATE: usize = 4;

/// Most agents in one state: 75 bytes each.
const MAX_TARGETS_PER_STATE: usize = 8;

/// Balancers in a state that tells of no change.
const BALANCERS_PER_PERIODIC_STATE: usize = 2;

/// Agents in a state that tells of no change.
const TARGETS_PER_PERIODIC_STATE: usize = 2;

/// Loads in a state to a balancer of the same zone: 16 bytes each.
const MAX_LOADS_PER_STATE: usize = 32;

/// Pause before changes are told, so that several go in one datagram.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(20);

/// What others have to hear of at once.
#[derive(Debug, Default)]
pub(super) struct PendingChanges {
    balancers: IndexSet<SocketAddrV4>,
    targets: IndexSet<SocketAddrV4>,
}

/// What one state tells of others.
#[derive(Clone, Debug, Default)]
struct GossipPayload {
    balancers: Vec<BalancerUpdate>,
    targets: Vec<TargetUpdate>,
    loads: Vec<TargetLoad>,
    asks: bool,
    follows: Option<bool>,
}

impl GossipPayload {
    /// Shares all that is to be told out to datagrams.
    fn split_into_datagrams(
        balancers: &[BalancerUpdate],
        targets: &[TargetUpdate],
    ) -> Vec<GossipPayload> {
        let parts = balancers
            .len()
            .div_ceil(MAX_BALANCERS_PER_STATE)
            .max(targets.len().div_ceil(MAX_TARGETS_PER_STATE));
        let mut balancers = balancers.chunks(MAX_BALANCERS_PER_STATE);
        let mut targets = targets.chunks(MAX_TARGETS_PER_STATE);
        let mut part = || GossipPayload {
            balancers: balancers.next().unwrap_or_default().to_vec(),
            targets: targets.next().unwrap_or_default().to_vec(),
            ..GossipPayload::default()
        };
        (0..parts).map(|_| part()).collect()
    }
}

impl Shared {
    /// Tells the neighbours how this balancer sees some of the others and of the agents.
    pub(super) async fn send_periodic_state(&self) {
        let now_ms = self.now_ms();
        let ((neighbours, dropped), balancers) = {
            let mut peers = self.peers();
            (
                peers.take_neighbours(now_ms),
                peers.next_updates(BALANCERS_PER_PERIODIC_STATE, now_ms),
            )
        };
        let (targets, loads) = {
            let zone = &self.settings.node.availability_zone;
            let targets = &mut self.state().targets;
            (
                targets.next_updates(TARGETS_PER_PERIODIC_STATE, now_ms),
                targets.next_loads(zone, MAX_LOADS_PER_STATE, now_ms),
            )
        };
        let (near, far): (Vec<SocketAddrV4>, Vec<SocketAddrV4>) = {
            let peers = self.peers();
            neighbours.into_iter().partition(|neighbour| peers.is_in_zone(*neighbour))
        };
        let payload =
            GossipPayload { balancers, targets, follows: Some(true), ..GossipPayload::default() };
        self.send_gossip(
            &dropped,
            GossipPayload { follows: Some(false), ..GossipPayload::default() },
        )
        .await;
        self.send_gossip(&far, payload.clone()).await;
        self.send_gossip(&near, GossipPayload { loads, ..payload }).await;
    }

    /// Whether this balancer has only just started, or stood still, and others can tell it more.
    pub(super) fn is_bootstrapping(&self, now_ms: u64) -> bool {
        let peers = self.peers();
        !peers.is_settled(now_ms)
            || (self.is_recently_started(now_ms) && peers.has_no_live_peer(now_ms))
    }

    /// Asks balancers that nobody has heard yet, and the seeds while none is heard: the store may be away.
    pub(super) async fn request_full_states(&self) {
        let (mut asked, has_no_live_peer) = {
            let (peers, now_ms) = (self.peers(), self.now_ms());
            (peers.sync_sources(now_ms), peers.has_no_live_peer(now_ms))
        };
        if has_no_live_peer {
            let own = self.settings.node.control_address;
            asked.extend(self.seeds.with_port(own.port()).into_iter().filter(|seed| *seed != own));
        }
        self.send_gossip(&asked, GossipPayload { asks: true, ..GossipPayload::default() }).await;
    }

    /// Notes that the others should hear of an agent.
    pub(super) fn queue_target_update(&self, data: SocketAddrV4) {
        self.changes().targets.insert(data);
        self.changes_notify.notify_one();
    }

    /// Notes that the others should hear of a balancer.
    fn queue_balancer_update(&self, control: SocketAddrV4) {
        self.changes().balancers.insert(control);
        self.changes_notify.notify_one();
    }

    /// Asks balancers that are overdue, and notes who has fallen silent towards this one.
    pub(super) async fn check_timeouts(&self, now_ms: u64) {
        for data in self.state().targets.take_newly_silent(now_ms) {
            self.queue_target_update(data);
        }
        let missing = self.peers().take_overdue(now_ms);
        for control in missing.timed_out {
            self.queue_balancer_update(control);
        }
        for news in missing.queries {
            let control = news.control;
            self.send_gossip(
                &[control],
                GossipPayload { balancers: vec![news], ..GossipPayload::default() },
            )
            .await;
        }
    }

    /// Tells one balancer all that this one knows.
    async fn send_full_state(&self, receiver: SocketAddrV4) {
        let now_ms = self.now_ms();
        let balancers: Vec<BalancerUpdate> = self.peers().updates(now_ms).collect();
        let targets: Vec<TargetUpdate> = self.state().targets.updates(now_ms).collect();
        let parts = GossipPayload::split_into_datagrams(&balancers, &targets);
        // Where nothing is known, the receiver still learns that somebody is here.
        for payload in if parts.is_empty() { vec![GossipPayload::default()] } else { parts } {
            self.send_gossip(&[receiver], payload).await;
        }
    }

    async fn send_gossip(&self, receivers: &[SocketAddrV4], payload: GossipPayload) {
        if receivers.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let (stamp, zones) = {
            let mut peers = self.peers();
            (peers.next_stamp(wall_ms()), peers.zone_updates(now_ms))
        };
        let message = NodeMessage::Balancer(message::BalancerGossip {
            control: self.settings.node.control_address,
            exchange: self.settings.exchange_address,
            zone: self.settings.node.availability_zone.clone(),
            newest_change_revision: self.state().routing.newest_change(),
            stamp,
            zones,
            balancers: payload.balancers,
            targets: payload.targets,
            loads: payload.loads,
            is_stopping: self.is_stopping.load(Ordering::Relaxed),
            requests_full_state: payload.asks,
            will_send_next: payload.follows,
        });
        send_to_all(&self.control_socket, &message.encode(), receivers).await;
    }

    /// Takes over what a balancer tells, and answers it.
    pub(super) async fn handle_balancer_state(&self, message: message::BalancerGossip) {
        let now_ms = self.now_ms();
        let (own, sender) = (self.settings.node.control_address, message.control);
        let later = self.apply_balancer_updates(&message, now_ms);
        self.apply_target_updates(&message.targets, &message.loads, now_ms);
        if !later.is_empty() {
            self.send_gossip(
                &[sender],
                GossipPayload { balancers: later, ..GossipPayload::default() },
            )
            .await;
        }
        if message.balancers.iter().any(|news| news.control == own && news.is_down) {
            let follows = Some(self.peers().is_neighbour(sender));
            self.send_gossip(&[sender], GossipPayload { follows, ..GossipPayload::default() })
                .await;
        }
        if message.requests_full_state {
            self.send_full_state(sender).await;
        }
        self.update_agent_discovery();
    }

    /// Takes over what a state says of its sender, of other balancers and of zones. Returns what the sender
    /// has to hear, as more is known here.
    fn apply_balancer_updates(
        &self,
        message: &message::BalancerGossip,
        now_ms: u64,
    ) -> Vec<BalancerUpdate> {
        let sender = BalancerUpdate {
            control: message.control,
            exchange: message.exchange,
            zone: message.zone.clone(),
            stamp: message.stamp,
            is_down: message.is_stopping,
        };
        let mut peers = self.peers();
        let mut later: Vec<BalancerUpdate> = Vec::new();
        if peers.has_newer_stamp(&sender) {
            later.extend(peers.update_of(sender.control));
        }
        if peers.apply_direct_update(&sender, message.newest_change_revision, now_ms) {
            self.queue_balancer_update(sender.control);
        }
        if let Some(follows) = message.will_send_next {
            peers.note_state_promise(sender.control, follows, now_ms);
        }
        message.zones.iter().for_each(|news| peers.apply_zone_update(news, now_ms));
        for news in &message.balancers {
            match peers.apply_relayed_update(news, now_ms) {
                UpdateOutcome::Changed => self.queue_balancer_update(news.control),
                UpdateOutcome::SenderOutdated => later.extend(peers.update_of(news.control)),
                UpdateOutcome::Unchanged => {}
            }
        }
        later
    }

    fn apply_target_updates(&self, targets: &[TargetUpdate], loads: &[TargetLoad], now_ms: u64) {
        let zones: Vec<(String, u64)> = {
            let peers = self.peers();
            peers.zones_last_seen_ms().map(|(zone, heard_ms)| (zone.to_owned(), heard_ms)).collect()
        };
        {
            let known = &mut self.state().targets;
            zones.iter().for_each(|(zone, heard_ms)| known.note_zone_seen(zone, *heard_ms));
        }
        for news in targets {
            let is_changed = self.state().targets.apply_relayed_update(news, now_ms);
            if is_changed {
                self.handle_target_change(&news.status, news.is_suspected, true);
            }
        }
        let known = &mut self.state().targets;
        loads.iter().for_each(|load| known.apply_load(load, now_ms));
    }
}

/// Tells the neighbours what has changed, for as long as the process runs.
pub(super) async fn send_changes(shared: Arc<Shared>) {
    loop {
        shared.changes_notify.notified().await;
        sleep(CHANGE_BATCH_DELAY).await;
        let changes = std::mem::take(&mut *shared.changes());
        let now_ms = shared.now_ms();
        let (neighbours, balancers) = {
            let peers = shared.peers();
            let news = changes.balancers.iter().filter_map(|control| peers.update_of(*control));
            (peers.neighbours(now_ms), news.collect::<Vec<BalancerUpdate>>())
        };
        let targets: Vec<TargetUpdate> = {
            let state = shared.state();
            let news = changes.targets.iter().map(|data| state.targets.update_of(*data, now_ms));
            news.flatten().collect()
        };
        for payload in GossipPayload::split_into_datagrams(&balancers, &targets) {
            shared.send_gossip(&neighbours, payload).await;
        }
    }
}
