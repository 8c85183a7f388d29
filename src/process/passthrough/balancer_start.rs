//! Asks other balancers which availability zones they hold out, before a starting balancer accepts openings.
//! The store's copy alone does not show a zone whose mark is lost.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::log_event;
use crate::process::events::Event;
use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::exchange;
use crate::process::passthrough::exchange::FetchedConfiguration;
use crate::version::peer_query::PeerAnswer;
use crate::version::peer_query::PeerQuery;
use crate::version::store_position::UNKNOWN_ERA;

/// Period of the checks whether there is a configuration, a balancer to ask, or no further one to wait for.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Period of the checks whether there is a balancer to ask, once openings are accepted.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of a call to a balancer, with its address and the time at which the call began.
type CallOutcome = (SocketAddrV4, u64, Result<FetchedConfiguration, String>);

/// Asks other balancers once this one has a configuration, and then lets it accept openings. Those that it gets
/// to know a little later are asked, too.
pub(super) async fn ask_peers_before_openings(shared: Arc<Shared>) {
    while !shared.state().routing.is_configured() {
        sleep(CHECK_INTERVAL).await;
    }
    if !shared.state().must_ask_peers() {
        shared.state().is_asking_peers = false;
        return;
    }
    let client = exchange::client();
    let own_address = shared.settings.exchange_address;
    let seeds = shared.seeds.current();
    let mut query = PeerQuery::new(shared.now_ms());
    let mut calls: JoinSet<CallOutcome> = JoinSet::new();
    let mut accepts_openings = false;
    while !query.is_done(shared.now_ms()) {
        let now_ms = shared.now_ms();
        let own_era = shared.state().routing.position().era;
        let knows_nodes = shared.has_read_nodes.load(Ordering::Relaxed);
        let (due, may_accept_openings) = {
            let peers = shared.peers();
            let is_live = |exchange| peers.is_exchange_live(exchange, now_ms);
            let known = seeds.iter().copied().chain(peers.exchange_addresses(now_ms));
            let known = known.filter(|exchange| *exchange != own_address);
            let due = query.take_due(known, own_era, is_live, now_ms);
            (due, query.may_accept_openings(own_era, knows_nodes, is_live, now_ms))
        };
        for peer in due {
            calls.spawn(call(client.clone(), peer, own_era, now_ms));
        }
        if may_accept_openings && !accepts_openings {
            accepts_openings = true;
            shared.accept_openings().await;
        }
        let interval = if accepts_openings { LATE_CHECK_INTERVAL } else { CHECK_INTERVAL };
        tokio::select! {
            Some(Ok(outcome)) = calls.join_next() => {
                let (peer, answer) = handle_outcome(&shared, outcome);
                let own_era = shared.state().routing.position().era;
                query.note_answer(peer, answer, own_era, shared.now_ms());
            }
            () = sleep(interval) => {}
        }
    }
    // The process was stalled meanwhile.
    if !accepts_openings {
        shared.accept_openings().await;
    }
}

async fn call(client: Client, peer: SocketAddrV4, own_era: u64, asked_ms: u64) -> CallOutcome {
    (peer, asked_ms, exchange::fetch(&client, peer, own_era).await)
}

/// Applies the answer of a balancer that is in this one's era.
fn handle_outcome(shared: &Shared, outcome: CallOutcome) -> (SocketAddrV4, PeerAnswer) {
    let (peer, asked_ms, fetched) = outcome;
    let fetched = match fetched {
        Ok(fetched) => fetched,
        Err(error) => {
            log_event!(Event::CallFailed, "to={peer} {error}");
            return (peer, PeerAnswer::Nothing);
        }
    };
    let position = fetched.snapshot.position;
    let own = shared.state().routing.position();
    if position.era == own.era {
        shared.apply_fetched(peer, &fetched, asked_ms);
    } else if position.era == UNKNOWN_ERA || position.revision == 0 {
        return (peer, PeerAnswer::Nothing);
    } else {
        shared.platform.store.eras().note_peer_report(position.era);
    }
    (peer, PeerAnswer::InEra(position.era))
}

impl Shared {
    /// Lets this balancer accept openings, and tells the agents what is in force.
    async fn accept_openings(&self) {
        self.state().is_asking_peers = false;
        self.release_notify.notify_one();
        self.send_due_probes(true).await;
    }
}
