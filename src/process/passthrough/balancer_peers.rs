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
use crate::version::balancer_table::BalancerNews;
use crate::version::balancer_table::Heard;
use crate::version::target_status::TargetLoad;
use crate::version::target_status::TargetNews;

/// Most balancers in one state: 45 bytes each, of the 1,200 of a datagram.
const MAX_BALANCERS: usize = 4;

/// Most agents in one state: 75 bytes each.
const MAX_TARGETS: usize = 8;

/// Balancers in a state that tells of no change.
const BALANCERS_IN_TURN: usize = 2;

/// Agents in a state that tells of no change.
const TARGETS_IN_TURN: usize = 2;

/// Loads in a state to a balancer of the same zone: 16 bytes each.
const MAX_LOADS: usize = 32;

/// Pause before changes are told, so that several go in one datagram.
const CHANGES_PAUSE: Duration = Duration::from_millis(20);

/// What others have to hear of at once.
#[derive(Debug, Default)]
pub(super) struct Changes {
    balancers: IndexSet<SocketAddrV4>,
    targets: IndexSet<SocketAddrV4>,
}

/// What one state tells of others.
#[derive(Clone, Debug, Default)]
struct Told {
    balancers: Vec<BalancerNews>,
    targets: Vec<TargetNews>,
    loads: Vec<TargetLoad>,
    asks: bool,
    follows: Option<bool>,
}

impl Told {
    /// Shares all that is to be told out to datagrams.
    fn in_parts(balancers: &[BalancerNews], targets: &[TargetNews]) -> Vec<Told> {
        let parts =
            balancers.len().div_ceil(MAX_BALANCERS).max(targets.len().div_ceil(MAX_TARGETS));
        let mut balancers = balancers.chunks(MAX_BALANCERS);
        let mut targets = targets.chunks(MAX_TARGETS);
        let mut part = || Told {
            balancers: balancers.next().unwrap_or_default().to_vec(),
            targets: targets.next().unwrap_or_default().to_vec(),
            ..Told::default()
        };
        (0..parts).map(|_| part()).collect()
    }
}

impl Shared {
    /// Tells the neighbours how this balancer sees some of the others and of the agents.
    pub(super) async fn send_state(&self) {
        let now_ms = self.now_ms();
        let ((neighbours, dropped), balancers) = {
            let mut peers = self.peers();
            (peers.take_neighbours(now_ms), peers.next_news(BALANCERS_IN_TURN, now_ms))
        };
        let (targets, loads) = {
            let zone = &self.settings.node.availability_zone;
            let targets = &mut self.state().targets;
            (
                targets.next_news(TARGETS_IN_TURN, now_ms),
                targets.next_loads(zone, MAX_LOADS, now_ms),
            )
        };
        let (near, far): (Vec<SocketAddrV4>, Vec<SocketAddrV4>) = {
            let peers = self.peers();
            neighbours.into_iter().partition(|neighbour| peers.is_in_zone(*neighbour))
        };
        let told = Told { balancers, targets, follows: Some(true), ..Told::default() };
        self.tell(&dropped, Told { follows: Some(false), ..Told::default() }).await;
        self.tell(&far, told.clone()).await;
        self.tell(&near, Told { loads, ..told }).await;
    }

    /// Whether this balancer has only just started, or stood still, and others can tell it more.
    pub(super) fn is_uninformed(&self, now_ms: u64) -> bool {
        let peers = self.peers();
        !peers.is_settled(now_ms) || (self.is_new(now_ms) && peers.is_alone(now_ms))
    }

    /// Asks balancers that nobody has heard yet, and the seeds while none is heard: the store may be away.
    pub(super) async fn ask_unheard(&self) {
        let (mut asked, is_alone) = {
            let (peers, now_ms) = (self.peers(), self.now_ms());
            (peers.to_ask(now_ms), peers.is_alone(now_ms))
        };
        if is_alone {
            let own = self.settings.node.control_address;
            asked.extend(self.seeds.at_port(own.port()).into_iter().filter(|seed| *seed != own));
        }
        self.tell(&asked, Told { asks: true, ..Told::default() }).await;
    }

    /// Notes that the others should hear of an agent.
    pub(super) fn note_changed_target(&self, data: SocketAddrV4) {
        self.changes().targets.insert(data);
        self.changes_soon.notify_one();
    }

    /// Notes that the others should hear of a balancer.
    fn note_changed_balancer(&self, control: SocketAddrV4) {
        self.changes().balancers.insert(control);
        self.changes_soon.notify_one();
    }

    /// Asks balancers that are overdue, and notes who has fallen silent towards this one.
    pub(super) async fn note_silent(&self, now_ms: u64) {
        for data in self.state().targets.take_silent(now_ms) {
            self.note_changed_target(data);
        }
        let missing = self.peers().take_missing(now_ms);
        for control in missing.silent {
            self.note_changed_balancer(control);
        }
        for news in missing.overdue {
            let control = news.control;
            self.tell(&[control], Told { balancers: vec![news], ..Told::default() }).await;
        }
    }

    /// Tells one balancer all that this one knows.
    async fn answer(&self, receiver: SocketAddrV4) {
        let now_ms = self.now_ms();
        let balancers: Vec<BalancerNews> = self.peers().news(now_ms).collect();
        let targets: Vec<TargetNews> = self.state().targets.news(now_ms).collect();
        let parts = Told::in_parts(&balancers, &targets);
        // Where nothing is known, the receiver still learns that somebody is here.
        for told in if parts.is_empty() { vec![Told::default()] } else { parts } {
            self.tell(&[receiver], told).await;
        }
    }

    async fn tell(&self, receivers: &[SocketAddrV4], told: Told) {
        if receivers.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let (stamp, zones) = {
            let mut peers = self.peers();
            (peers.next_stamp(wall_ms()), peers.zone_news(now_ms))
        };
        let message = NodeMessage::Balancer(message::BalancerState {
            control: self.settings.node.control_address,
            exchange: self.settings.exchange_address,
            zone: self.settings.node.availability_zone.clone(),
            newest_change: self.state().routing.newest_change(),
            stamp,
            zones,
            balancers: told.balancers,
            targets: told.targets,
            loads: told.loads,
            is_stopping: self.is_stopping.load(Ordering::Relaxed),
            asks: told.asks,
            follows: told.follows,
        });
        send_to_all(&self.control, &message.encode(), receivers).await;
    }

    /// Takes over what a balancer tells, and answers it.
    pub(super) async fn take_balancer(&self, message: message::BalancerState) {
        let now_ms = self.now_ms();
        let (own, sender) = (self.settings.node.control_address, message.control);
        let later = self.take_balancers(&message, now_ms);
        self.take_targets(&message.targets, &message.loads, now_ms);
        if !later.is_empty() {
            self.tell(&[sender], Told { balancers: later, ..Told::default() }).await;
        }
        if message.balancers.iter().any(|news| news.control == own && news.is_silent) {
            let follows = Some(self.peers().is_neighbour(sender));
            self.tell(&[sender], Told { follows, ..Told::default() }).await;
        }
        if message.asks {
            self.answer(sender).await;
        }
        self.note_knowledge();
    }

    /// Takes over what a state says of its sender, of other balancers and of zones. Returns what the sender
    /// has to hear, as more is known here.
    fn take_balancers(&self, message: &message::BalancerState, now_ms: u64) -> Vec<BalancerNews> {
        let sender = BalancerNews {
            control: message.control,
            exchange: message.exchange,
            zone: message.zone.clone(),
            stamp: message.stamp,
            is_silent: message.is_stopping,
        };
        let mut peers = self.peers();
        let mut later: Vec<BalancerNews> = Vec::new();
        if peers.is_ahead_of(&sender) {
            later.extend(peers.news_of(sender.control));
        }
        if peers.hear_itself(&sender, message.newest_change, now_ms) {
            self.note_changed_balancer(sender.control);
        }
        if let Some(follows) = message.follows {
            peers.note_promise(sender.control, follows, now_ms);
        }
        message.zones.iter().for_each(|news| peers.hear_zone(news, now_ms));
        for news in &message.balancers {
            match peers.hear(news, now_ms) {
                Heard::News => self.note_changed_balancer(news.control),
                Heard::Outdated => later.extend(peers.news_of(news.control)),
                Heard::Known => {}
            }
        }
        later
    }

    fn take_targets(&self, targets: &[TargetNews], loads: &[TargetLoad], now_ms: u64) {
        let zones: Vec<(String, u64)> = {
            let peers = self.peers();
            peers.zones_heard_ms().map(|(zone, heard_ms)| (zone.to_owned(), heard_ms)).collect()
        };
        {
            let known = &mut self.state().targets;
            zones.iter().for_each(|(zone, heard_ms)| known.hear_zone(zone, *heard_ms));
        }
        for news in targets {
            let is_changed = self.state().targets.hear(news, now_ms);
            if is_changed {
                self.note_change(&news.status, news.is_silent, true);
            }
        }
        let known = &mut self.state().targets;
        loads.iter().for_each(|load| known.hear_load(load, now_ms));
    }
}

/// Tells the neighbours what has changed, for as long as the process runs.
pub(super) async fn tell_changes(shared: Arc<Shared>) {
    loop {
        shared.changes_soon.notified().await;
        sleep(CHANGES_PAUSE).await;
        let changes = std::mem::take(&mut *shared.changes());
        let now_ms = shared.now_ms();
        let (neighbours, balancers) = {
            let peers = shared.peers();
            let news = changes.balancers.iter().filter_map(|control| peers.news_of(*control));
            (peers.neighbours(now_ms), news.collect::<Vec<BalancerNews>>())
        };
        let targets: Vec<TargetNews> = {
            let state = shared.state();
            let news = changes.targets.iter().map(|data| state.targets.news_of(*data, now_ms));
            news.flatten().collect()
        };
        for told in Told::in_parts(&balancers, &targets) {
            shared.tell(&neighbours, told).await;
        }
    }
}
