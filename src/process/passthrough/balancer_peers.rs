//! What a balancer tells the others, asks them and hears from them.

use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;

use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::datagrams::send_to_all;
use crate::process::passthrough::message;
use crate::process::passthrough::message::NodeMessage;
use crate::version::balancer_table::BalancerNews;
use crate::version::target_table::TargetStatus;

impl Shared {
    /// Tells the balancers that should hear of this one how it sees the others and the agents.
    pub(super) async fn send_state(&self) {
        let receivers = self.peers().receivers(self.now_ms());
        self.send_state_to(&receivers, false).await;
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
        self.send_state_to(&asked, true).await;
    }

    async fn send_state_to(&self, receivers: &[SocketAddrV4], asks: bool) {
        if receivers.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let targets = {
            let state = self.state();
            state.targets.news(now_ms).map(|(status, age_ms)| (status.clone(), age_ms)).collect()
        };
        let balancers = self.peers().news(now_ms).collect();
        self.tell(receivers, balancers, targets, asks).await;
    }

    /// Tells the others at once of an agent that has changed.
    pub(super) async fn spread(&self, status: TargetStatus) {
        let now_ms = self.now_ms();
        let receivers = self.peers().change_receivers(status.data, &status.zone, now_ms);
        self.tell(&receivers, Vec::new(), vec![(status, 0)], false).await;
    }

    async fn tell(
        &self,
        receivers: &[SocketAddrV4],
        balancers: Vec<BalancerNews>,
        targets: Vec<(TargetStatus, u64)>,
        asks: bool,
    ) {
        let message = NodeMessage::Balancer(message::BalancerState {
            control: self.settings.node.control_address,
            exchange: self.settings.exchange_address,
            zone: self.settings.node.availability_zone.clone(),
            newest_change: self.state().routing.newest_change(),
            balancers,
            targets,
            is_stopping: self.is_stopping.load(Ordering::Relaxed),
            asks,
        });
        send_to_all(&self.control, &message.encode(), receivers).await;
    }

    pub(super) async fn take_balancer(&self, message: message::BalancerState) {
        let now_ms = self.now_ms();
        {
            let mut peers = self.peers();
            for news in &message.balancers {
                peers.hear(news, now_ms);
            }
            if message.is_stopping {
                peers.leave(message.control);
            } else {
                let sender = BalancerNews {
                    control: message.control,
                    exchange: message.exchange,
                    zone: message.zone,
                    newest_change: message.newest_change,
                    age_ms: 0,
                };
                peers.hear(&sender, now_ms);
            }
        }
        for (status, age_ms) in message.targets {
            self.take_status(status, age_ms);
        }
        if message.asks {
            self.send_state_to(&[message.control], false).await;
        }
        self.note_knowledge();
    }
}
