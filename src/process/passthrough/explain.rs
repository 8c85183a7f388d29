//! The operators' question to a running balancer where it would place a flow.

use std::net::SocketAddrV4;

use indexmap::IndexSet;
use reqwest::Client;

use crate::connection::flow_key::FlowKey;
use crate::error::Error;
use crate::error::Result;
use crate::process::passthrough::BALANCERS_PREFIX;
use crate::process::passthrough::exchange;
use crate::process::passthrough::exchange::ExplainAnswer;
use crate::process::passthrough::explanation::Explanation;
use crate::process::passthrough::registration::NodeEntry;
use crate::process::store::Store;

/// Maximum number of balancers that are asked in turn: each takes up to 0.8 s if it does not answer.
const MAX_BALANCERS_ASKED: usize = 8;

/// What an operator asks.
#[derive(Clone, Debug)]
pub struct Question {
    /// The flow.
    pub flow: FlowKey,
    /// Exchange address of the balancer to ask; `None` for a seed or one that the store names.
    pub balancer: Option<SocketAddrV4>,
    /// Availability zone of the balancer; `None` for any.
    pub zone: Option<String>,
}

impl Question {
    /// Parses the arguments of the command.
    pub fn parse(
        caller: &str,
        route: &str,
        balancer: Option<&str>,
        zone: Option<String>,
    ) -> Result<Question> {
        let flow = FlowKey {
            caller: parse_address("--caller", caller)?,
            service: parse_address("--route", route)?,
        };
        let balancer = balancer.map(|text| parse_address("--balancer", text)).transpose()?;
        Ok(Question { flow, balancer, zone })
    }
}

fn parse_address(option: &str, text: &str) -> Result<SocketAddrV4> {
    text.parse().map_err(|_| {
        let message = format!("{option}: expected an IPv4 address and a port, not {text:?}");
        Error::Explain { message }
    })
}

/// Asks the balancer that the question names. If it names none, asks the seeds, then the balancers that the store
/// names, until one answers.
pub async fn ask(
    store: &dyn Store,
    seeds: &[SocketAddrV4],
    question: &Question,
) -> Result<Explanation> {
    let client = exchange::client();
    if let Some(balancer) = question.balancer {
        let answer = ask_one(&client, balancer, question).await;
        return answer.unwrap_or_else(|cause| Err(no_answer(&[cause])));
    }
    let mut failures = Vec::new();
    let mut asked: IndexSet<SocketAddrV4> = IndexSet::new();
    for is_from_store in [false, true] {
        let addresses = match is_from_store {
            false => Ok(seeds.to_vec()),
            true => stored_balancers(store, question.zone.as_deref()).await,
        };
        let addresses = addresses.unwrap_or_else(|cause| {
            failures.push(cause);
            Vec::new()
        });
        for balancer in addresses {
            if asked.len() >= MAX_BALANCERS_ASKED || !asked.insert(balancer) {
                continue;
            }
            match ask_one(&client, balancer, question).await {
                Ok(answer) => return answer,
                Err(cause) => failures.push(cause),
            }
        }
    }
    if asked.is_empty() {
        let zone = question.zone.as_ref().map_or(String::new(), |zone| format!(" in zone {zone}"));
        failures.push(format!("no seed is set, and none is known from the store{zone}"));
    }
    Err(no_answer(&failures))
}

/// Asks one balancer. The outer error says why another one has to be asked: this one has not answered, cannot tell
/// yet, or is in another zone.
async fn ask_one(
    client: &Client,
    balancer: SocketAddrV4,
    question: &Question,
) -> Result<Result<Explanation>, String> {
    let answer = exchange::fetch_explanation(client, balancer, &question.flow).await;
    match answer.map_err(|cause| format!("{balancer}: {cause}"))? {
        ExplainAnswer::Undecided(cause) => Err(format!("{balancer}: {cause}")),
        ExplainAnswer::Error(message) => Ok(Err(Error::Explain { message })),
        ExplainAnswer::Explanation(explanation) => {
            let own_zone = &explanation.availability_zone;
            match question.zone.as_ref().is_none_or(|zone| zone == own_zone) {
                true => Ok(Ok(*explanation)),
                false => Err(format!("{balancer}: is in zone {own_zone}")),
            }
        }
    }
}

async fn stored_balancers(
    store: &dyn Store,
    zone: Option<&str>,
) -> Result<Vec<SocketAddrV4>, String> {
    let stored = store.range(BALANCERS_PREFIX).await.map_err(|error| format!("store: {error}"))?;
    let entries = stored.values.iter().filter_map(|value| NodeEntry::decode(&value.value));
    let in_zone = entries.filter(|entry| zone.is_none_or(|zone| entry.zone == zone));
    Ok(in_zone.map(|entry| entry.data).collect())
}

fn no_answer(failures: &[String]) -> Error {
    Error::Explain { message: format!("no balancer answered: {}", failures.join("; ")) }
}
