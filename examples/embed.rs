//! Calls the decision modules without any socket: merge records, select agents, admit a request, issue a
//! ticket.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use rhubarbthread::connection::openings::OpeningKey;
use rhubarbthread::process::agent_state::AgentState;
use rhubarbthread::process::agent_state::Decision;
use rhubarbthread::process::agent_state::Input;
use rhubarbthread::process::agent_state::TICKET_BOUNDS;
use rhubarbthread::process::agent_state::TicketId;
use rhubarbthread::request::admission::Capacity;
use rhubarbthread::request::admission::Outcome;
use rhubarbthread::version::record::Phase;
use rhubarbthread::version::record::Record;
use rhubarbthread::version::record::ServiceRecord;
use rhubarbthread::version::record::TargetRecord;
use rhubarbthread::version::records::MergeOutcome;
use rhubarbthread::version::records::Records;
use rhubarbthread::version::table::ForwardingTable;
use rhubarbthread::version::table::flow_hash;

fn service(address: SocketAddr) -> Record {
    Record::Service(ServiceRecord {
        revision: 1,
        name: "vypocet".to_owned(),
        removed: false,
        number: 1,
        address,
        first_limit: 1,
        growth_answers: 10,
        request_deadline_ms: 1_000,
        retry_budget_percent: 10,
        zones: Vec::new(),
        stream_paths: Vec::new(),
    })
}

fn target(host: u8, zone: &str) -> Record {
    Record::Target(TargetRecord {
        data: SocketAddrV4::new(Ipv4Addr::new(10, 0, 2, host), 7000),
        incarnation: 1,
        sequence: 0,
        lost: false,
        service: "vypocet".to_owned(),
        zone: zone.to_owned(),
        slots: 9,
        connections: 2_000,
        phase: Phase::Serving,
    })
}

fn main() {
    // Records merge in any order, and an older record never replaces a newer one.
    let address = SocketAddr::from(([10, 0, 80, 1], 4433));
    let mut records = Records::new();
    for record in [target(1, "brno-a"), service(address), target(2, "olomouc-b")] {
        assert_eq!(records.merge(&record), MergeOutcome::Applied);
        assert_eq!(records.merge(&record), MergeOutcome::Stale);
    }

    // A balancer selects a chain of candidate agents for a new flow.
    let caller = SocketAddr::from(([10, 9, 0, 1], 50_000));
    let connection_id = vec![1, 2, 3, 4, 5, 6, 7, 8];
    let chain =
        ForwardingTable::new(&records, &[]).chain(address, flow_hash(caller, &connection_id));
    println!("chain: {chain:?}");

    // The agent of a cold target admits only as many requests as the slow start allows.
    let mut agent = AgentState::new(1, TICKET_BOUNDS);
    let capacity = Capacity { slots: 9, connections: 2_000, first_limit: 1, growth_answers: 10 };
    agent.apply(0, &Input::Announced { capacity, process: "p".to_owned(), warm: false });
    let key = OpeningKey { caller, connection_id };
    println!("{:?}", agent.apply(1, &Input::Opening { key, position: 0, chain_length: 2 }));
    let idempotent = Input::Request { idempotent: true, ticket: None };
    assert_eq!(agent.apply(2, &idempotent), Decision::Run);
    println!("{:?}", agent.apply(3, &idempotent));

    // A non-idempotent request runs at most once per ticket.
    let ended = Input::Ended { outcome: Outcome::Answered, ticket: None, answer: None };
    agent.apply(4, &ended);
    let Decision::Ticket(number) = agent.apply(5, &Input::TicketWanted) else {
        unreachable!("the agent answers TicketWanted with a ticket");
    };
    let ticket = Some(TicketId { incarnation: 1, number });
    let once = Input::Request { idempotent: false, ticket };
    println!("{:?}", agent.apply(6, &once));
    println!("{:?}", agent.apply(7, &once));
}
