//! Gossip between balancers: periodic states, changes, and requests for a full state.
//!
//! Each gossip message goes to a few neighbours and fits one datagram. A change is sent at once, and each
//! balancer that it is new to relays it. Periodic states carry all other entries in rotation, which repairs
//! the loss of a datagram.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::time::sleep;

use crate::process::clock::unix_time_ms;
use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::datagrams::send_to_all;
use crate::process::passthrough::message;
use crate::process::passthrough::message::NodeMessage;
use crate::version::balancer_table::BalancerUpdate;
use crate::version::balancer_table::InForce;
use crate::version::balancer_table::UpdateOutcome;
use crate::version::target_status::TargetLoadReport;
use crate::version::target_status::TargetUpdate;

/// Maximum number of balancers in one message of changes or of a full state. An entry takes 45 of the 1,200
/// bytes of a datagram.
const MAX_BALANCERS_PER_MESSAGE: usize = 4;

/// Maximum number of agents in one message of changes or of a full state. An entry takes 110 bytes with names of 11
/// and 14 bytes and all fields set; a message of 8 of them, 4 balancers and 5 zones then takes 1,192 bytes.
const MAX_TARGETS_PER_MESSAGE: usize = 8;

/// Balancers in a periodic state, which carries entries in rotation.
const BALANCERS_PER_PERIODIC_STATE: usize = 2;

/// Agents in a periodic state, which carries entries in rotation.
const TARGETS_PER_PERIODIC_STATE: usize = 2;

/// Maximum number of target loads in a periodic state to a balancer of the same zone. An entry takes 30
/// bytes, or 37 with loads of 128 and more. With 24 of those a state took 1,336 of the 1,200 bytes of a datagram.
const MAX_LOADS_PER_STATE: usize = 20;

/// Delay before changes are sent, so that several share one datagram.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(20);

/// Balancers and agents whose changes are still to be sent to the neighbours.
#[derive(Debug, Default)]
pub(super) struct PendingChanges {
    balancers: IndexSet<SocketAddrV4>,
    targets: IndexSet<SocketAddrV4>,
}

/// The part of a gossip message that differs from one message to the next.
#[derive(Clone, Debug, Default)]
struct GossipPayload {
    balancers: Vec<BalancerUpdate>,
    targets: Vec<TargetUpdate>,
    loads: Vec<TargetLoadReport>,
    requests_full_state: bool,
    will_send_next: Option<bool>,
}

impl GossipPayload {
    /// Splits entries into payloads that fit one datagram each.
    fn split_into_datagrams(
        balancers: &[BalancerUpdate],
        targets: &[TargetUpdate],
    ) -> Vec<GossipPayload> {
        let parts = balancers
            .len()
            .div_ceil(MAX_BALANCERS_PER_MESSAGE)
            .max(targets.len().div_ceil(MAX_TARGETS_PER_MESSAGE));
        let mut balancers = balancers.chunks(MAX_BALANCERS_PER_MESSAGE);
        let mut targets = targets.chunks(MAX_TARGETS_PER_MESSAGE);
        let mut part = || GossipPayload {
            balancers: balancers.next().unwrap_or_default().to_vec(),
            targets: targets.next().unwrap_or_default().to_vec(),
            ..GossipPayload::default()
        };
        (0..parts).map(|_| part()).collect()
    }
}

impl Shared {
    /// Sends the periodic state to the neighbours: some of the known balancers and agents, and the loads to
    /// those of the same zone. Former neighbours learn that they get no further states.
    pub(super) async fn send_periodic_state(&self) {
        let now_ms = self.now_ms();
        let ((neighbours, former_neighbours), balancers) = {
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
        let (local, remote): (Vec<SocketAddrV4>, Vec<SocketAddrV4>) = {
            let peers = self.peers();
            neighbours.into_iter().partition(|neighbour| peers.is_in_zone(*neighbour))
        };
        let payload = GossipPayload {
            balancers,
            targets,
            will_send_next: Some(true),
            ..GossipPayload::default()
        };
        self.send_gossip(
            &former_neighbours,
            GossipPayload { will_send_next: Some(false), ..GossipPayload::default() },
        )
        .await;
        self.send_gossip(&remote, payload.clone()).await;
        self.send_gossip(&local, GossipPayload { loads, ..payload }).await;
    }

    /// Whether this balancer may still lack entries that others know, after a start or a stall.
    pub(super) fn is_bootstrapping(&self, now_ms: u64) -> bool {
        let peers = self.peers();
        !peers.is_discovery_complete(now_ms)
            || (self.is_recently_started(now_ms) && peers.has_no_live_peer(now_ms))
    }

    /// Requests the full state of balancers that were not seen yet. While no balancer is live, it requests
    /// that of the seeds as well, since the store may be unavailable.
    pub(super) async fn request_full_states(&self) {
        let (mut receivers, has_no_live_peer) = {
            let (peers, now_ms) = (self.peers(), self.now_ms());
            (peers.full_state_sources(now_ms), peers.has_no_live_peer(now_ms))
        };
        if has_no_live_peer {
            let own = self.settings.node.control_address;
            receivers
                .extend(self.seeds.with_port(own.port()).into_iter().filter(|seed| *seed != own));
        }
        self.send_gossip(
            &receivers,
            GossipPayload { requests_full_state: true, ..GossipPayload::default() },
        )
        .await;
    }

    /// Queues an update of an agent for the neighbours.
    pub(super) fn queue_target_update(&self, data: SocketAddrV4) {
        self.changes().targets.insert(data);
        self.changes_notify.notify_one();
    }

    /// Queues an update of a balancer for the neighbours.
    fn queue_balancer_update(&self, control: SocketAddrV4) {
        self.changes().balancers.insert(control);
        self.changes_notify.notify_one();
    }

    /// Queues updates of agents and balancers that have just timed out, and queries balancers whose next
    /// state is overdue.
    pub(super) async fn check_timeouts(&self, now_ms: u64) {
        for data in self.state().targets.take_newly_silent(now_ms) {
            self.queue_target_update(data);
        }
        let overdue = self.peers().take_overdue(now_ms);
        for control in overdue.timed_out {
            self.queue_balancer_update(control);
        }
        for update in overdue.queries {
            let control = update.control;
            self.send_gossip(
                &[control],
                GossipPayload { balancers: vec![update], ..GossipPayload::default() },
            )
            .await;
        }
    }

    /// Sends one balancer all entries that this one knows.
    async fn send_full_state(&self, receiver: SocketAddrV4) {
        let now_ms = self.now_ms();
        let balancers: Vec<BalancerUpdate> = self.peers().updates(now_ms).collect();
        let targets: Vec<TargetUpdate> = self.state().targets.updates(now_ms).collect();
        let parts = GossipPayload::split_into_datagrams(&balancers, &targets);
        // Without entries, an empty message still shows the receiver that this balancer is live.
        for payload in if parts.is_empty() { vec![GossipPayload::default()] } else { parts } {
            self.send_gossip(&[receiver], payload).await;
        }
    }

    /// Sends one gossip message, with the next stamp and the zones seen, to each receiver.
    async fn send_gossip(&self, receivers: &[SocketAddrV4], payload: GossipPayload) {
        if receivers.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let (stamp, zones) = {
            let mut peers = self.peers();
            (peers.next_stamp(unix_time_ms()), peers.zone_updates(now_ms))
        };
        let InForce { change: newest_change, configuration_version } = self.in_force();
        let message = NodeMessage::Balancer(message::BalancerGossip {
            control: self.settings.node.control_address,
            exchange: self.settings.exchange_address,
            zone: self.settings.node.availability_zone.clone(),
            newest_change: newest_change.into(),
            configuration_version,
            stamp,
            zones,
            balancers: payload.balancers,
            targets: payload.targets,
            loads: payload.loads,
            is_stopping: self.is_stopping.load(Ordering::Relaxed),
            requests_full_state: payload.requests_full_state,
            will_send_next: payload.will_send_next,
        });
        send_to_all(&self.control_socket, &message.encode(), receivers).await;
    }

    /// Applies a gossip message from another balancer, and answers it where the sender needs an answer.
    pub(super) async fn handle_gossip(&self, message: message::BalancerGossip) {
        let now_ms = self.now_ms();
        let (own, sender) = (self.settings.node.control_address, message.control);
        let newer_here = self.apply_balancer_updates(&message, now_ms);
        self.apply_target_updates(&message.targets, &message.loads, now_ms);
        if !newer_here.is_empty() {
            self.send_gossip(
                &[sender],
                GossipPayload { balancers: newer_here, ..GossipPayload::default() },
            )
            .await;
        }
        // The sender reports this balancer as down; any message refutes it.
        if message.balancers.iter().any(|update| update.control == own && update.is_down) {
            let will_send_next = Some(self.peers().is_neighbour(sender));
            self.send_gossip(
                &[sender],
                GossipPayload { will_send_next, ..GossipPayload::default() },
            )
            .await;
        }
        if message.requests_full_state {
            self.send_full_state(sender).await;
        }
        self.update_knows_all_agents();
    }

    /// Applies what a gossip message contains on its sender, on other balancers and on zones. Returns the
    /// entries that are newer here than at the sender.
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
        let own_position = self.state().routing.position();
        let in_force = InForce {
            change: message.newest_change.or_in_era(own_position.era),
            configuration_version: message.configuration_version,
        };
        self.platform.store.eras().note_peer_report(in_force.change.era);
        let mut peers = self.peers();
        let mut newer_here: Vec<BalancerUpdate> = Vec::new();
        if peers.has_newer_stamp(&sender) {
            newer_here.extend(peers.update_of(sender.control));
        }
        if peers.apply_direct_update(&sender, in_force, now_ms) {
            self.queue_balancer_update(sender.control);
        }
        if let Some(will_send_next) = message.will_send_next {
            peers.note_will_send_next(sender.control, will_send_next, now_ms);
        }
        message.zones.iter().for_each(|update| peers.apply_zone_update(update, now_ms));
        for update in &message.balancers {
            match peers.apply_relayed_update(update, now_ms) {
                UpdateOutcome::Changed => self.queue_balancer_update(update.control),
                UpdateOutcome::SenderOutdated => newer_here.extend(peers.update_of(update.control)),
                UpdateOutcome::Unchanged => {}
            }
        }
        newer_here
    }

    fn apply_target_updates(
        &self,
        targets: &[TargetUpdate],
        loads: &[TargetLoadReport],
        now_ms: u64,
    ) {
        let zones: Vec<(String, u64)> = {
            let peers = self.peers();
            peers
                .zones_last_seen_ms()
                .map(|(zone, last_seen_ms)| (zone.to_owned(), last_seen_ms))
                .collect()
        };
        {
            let target_table = &mut self.state().targets;
            zones
                .iter()
                .for_each(|(zone, last_seen_ms)| target_table.note_zone_seen(zone, *last_seen_ms));
        }
        for update in targets {
            let is_changed = self.state().targets.apply_relayed_update(update, now_ms);
            if is_changed {
                self.handle_target_change(&update.status, update.is_suspected, true);
            }
        }
        let target_table = &mut self.state().targets;
        loads.iter().for_each(|load| target_table.apply_load(load, now_ms));
    }
}

/// Sends queued changes to the neighbours until the process ends.
pub(super) async fn send_changes(shared: Arc<Shared>) {
    loop {
        shared.changes_notify.notified().await;
        sleep(CHANGE_BATCH_DELAY).await;
        let changes = std::mem::take(&mut *shared.changes());
        let now_ms = shared.now_ms();
        let (neighbours, balancers) = {
            let peers = shared.peers();
            let updates = changes.balancers.iter().filter_map(|control| peers.update_of(*control));
            (peers.neighbours(now_ms), updates.collect::<Vec<BalancerUpdate>>())
        };
        let targets: Vec<TargetUpdate> = {
            let state = shared.state();
            let updates = changes.targets.iter().map(|data| state.targets.update_of(*data, now_ms));
            updates.flatten().collect()
        };
        for payload in GossipPayload::split_into_datagrams(&balancers, &targets) {
            shared.send_gossip(&neighbours, payload).await;
        }
    }
}
