//! Explanation of a placement: it agrees with the decision, names the reason of each target, and changes nothing.

#[macro_use]
mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::connection::flow_key::FlowKey;
use rhubarbthread::connection::request_class::LoadByPriority;
use rhubarbthread::connection::request_class::RequestClass;
use rhubarbthread::connection::target_gate::TargetPhase;
use rhubarbthread::error::EXIT_FAILURE;
use rhubarbthread::process::passthrough::balancer_state::BalancerState;
use rhubarbthread::process::passthrough::balancer_state::ForwardingDecision;
use rhubarbthread::process::passthrough::balancer_state::ResetReason;
use rhubarbthread::process::passthrough::balancer_state::WaitReason;
use rhubarbthread::process::passthrough::explain::Question;
use rhubarbthread::process::passthrough::explanation::Explanation;
use rhubarbthread::version::routing::WeightedService;
use rhubarbthread::version::target_status::TargetStatus;
use rhubarbthread::version::target_table::TargetTable;

use crate::support::passthrough::address;
use crate::support::passthrough::agent;
use crate::support::passthrough::configuration_of;
use crate::support::passthrough::opening_of;
use crate::support::passthrough::returned;
use crate::support::passthrough::revision;
use crate::support::passthrough::status_of;
use crate::support::thread_time;

const CLASSED: u16 = 8080;
const UNCLASSED: u16 = 80;
/// Route to two services with weights.
const SPLIT: u16 = 443;
const NOW_MS: u64 = 3_000;

/// A balancer of zone `a` without targets; zone `out` is out.
fn balancer() -> BalancerState {
    let mut balancer = BalancerState::new("a", address(100, 7720));
    balancer.knows_all_agents = true;
    balancer.targets = TargetTable::new().with_stop_time(0);
    let routes = [(CLASSED, false), (UNCLASSED, true), (SPLIT, true)];
    let mut configuration = configuration_of(1, "vypocet", &routes);
    let class = RequestClass { priority: 1, objective_ms: 300, timeout_ms: 3_000 };
    configuration.routes[&address(200, CLASSED)].class = Some(class);
    configuration.routes[&address(200, SPLIT)].services = [("vypocet", 3), ("zpravy", 1)]
        .map(|(service, weight)| WeightedService { service: service.to_owned(), weight })
        .to_vec();
    balancer.routing.apply_configuration(configuration, revision(10));
    let marks = IndexMap::from([("out".to_owned(), 11)]);
    balancer.routing.apply_zones_out(marks, 11, revision(11), 0);
    balancer
}

fn balancer_with(statuses: impl IntoIterator<Item = TargetStatus>) -> BalancerState {
    let mut balancer = balancer();
    for status in statuses {
        balancer.targets.apply_status(status, 0, NOW_MS - 10);
    }
    balancer
}

fn loaded(octet: u8, zone: &str, urgent: u32) -> TargetStatus {
    let load_by_priority = Some(LoadByPriority::new([0, urgent, 0, 0]));
    let status = status_of(octet, zone, "vypocet");
    TargetStatus { load_by_priority, busy: urgent, flows: urgent, ..status }
}

fn flow(route: u16, port: u16) -> FlowKey {
    opening_of(route, port).flow
}

fn explain(balancer: &BalancerState, route: u16, port: u16) -> Explanation {
    balancer.explain(&flow(route, port), NOW_MS).expect("the route is known")
}

/// Reason of each candidate and of each other target, by the last byte of its address.
fn reasons(explanation: &Explanation) -> IndexMap<u8, String> {
    let candidates = explanation.candidates.iter().map(|view| (view.data, &view.reason));
    let excluded = explanation.excluded.iter().map(|view| (view.data, &view.reason));
    let all = candidates.chain(excluded);
    all.map(|(data, reason)| (data.ip().octets()[3], reason.clone())).collect()
}

fn random_status(octet: u8, random: &mut StdRng) -> TargetStatus {
    let phases = [TargetPhase::Serving, TargetPhase::Cold, TargetPhase::Leaving];
    TargetStatus {
        service: ["vypocet", "zpravy", "other"][random.random_range(0..3)].to_owned(),
        phase: phases[random.random_range(0..3)],
        flows: random.random_range(0..20),
        service_time_us: [0, 30_000, 90_000][random.random_range(0..3)],
        is_failing: random.random_ratio(1, 6),
        is_stopping: random.random_ratio(1, 8),
        ..loaded(octet, ["a", "b", "out"][random.random_range(0..3)], random.random_range(0..7))
    }
}

cases! {
    it_names_what_the_decision_then_does_and_changes_nothing: {
        // Guards against an explanation that has rules of its own, and against one that counts as an offer or as a
        // use of a flow's entry.
        let mut random = StdRng::seed_from_u64(7);
        let (mut offers, mut other_decisions) = (0, 0);
        for _ in 0..400 {
            let count = random.random_range(0..14);
            let statuses: Vec<_> = (1..=count).map(|octet| random_status(octet, &mut random)).collect();
            let mut balancer = balancer_with(statuses);
            for _ in 0..6 {
                let route = [CLASSED, UNCLASSED, SPLIT][random.random_range(0..3)];
                let opening = opening_of(route, random.random_range(1..4));
                let before = format!("{balancer:?}");
                let explanation = balancer.explain(&opening.flow, NOW_MS).expect("the route is known");
                assert_eq!(format!("{balancer:?}"), before);
                match balancer.decide(&opening, NOW_MS) {
                    ForwardingDecision::Send(destinations) => {
                        offers += 1;
                        let (first, header) = &destinations[0];
                        let chain = [&[*first], header.chain.as_slice()].concat();
                        assert_eq!(explanation.chain, chain);
                        assert_eq!(explanation.service.as_ref(), Some(&header.service));
                        assert_eq!(explanation.decision, "offer");
                        if explanation.earlier_offers == 0 {
                            let ranked = explanation.candidates.iter().map(|view| view.data);
                            assert_eq!(chain, ranked.take(8).collect::<Vec<_>>());
                        }
                        if random.random() {
                            balancer.handle_returned_segment(&opening, &returned(chain[0], header.search_id, true), NOW_MS);
                        } else if random.random_ratio(1, 4) {
                            balancer.flow_locations.record_holder(opening.flow, chain[chain.len() - 1], false, NOW_MS);
                        }
                    }
                    decision => {
                        other_decisions += 1;
                        assert_eq!(explanation.decision, decision.describe());
                        assert!(explanation.candidates.is_empty(), "{explanation:?}");
                    }
                }
                let targets = explanation.candidates.len() + explanation.excluded.len();
                assert_eq!(targets + explanation.targets_of_other_routes, usize::from(count));
            }
        }
        assert!(offers > 1_000 && other_decisions > 100, "{offers} {other_decisions}");
    };
    each_candidate_has_the_criterion_that_ranks_it_last: {
        // Guards against a reason that does not belong to the inputs of its target.
        let full = |octet| loaded(octet, "a", 4);
        let balancer = balancer_with([
            loaded(1, "a", 0),
            full(2),
            loaded(3, "b", 0),
            TargetStatus { is_failing: true, ..loaded(5, "a", 0) },
            loaded(6, "a", 0),
        ]);
        let explanation = explain(&balancer, CLASSED, 1);
        let reasons = reasons(&explanation);
        let (best, lower) = if reasons[&1] == "best" { (1, 6) } else { (6, 1) };
        let expected = [
            (best, "best"),
            (lower, "lower-score"),
            (2, "no-free-capacity"),
            (3, "other-zone"),
            (5, "failing"),
        ];
        let expected = expected.map(|(octet, reason)| (octet, reason.to_owned()));
        assert_eq!(reasons.into_iter().collect::<Vec<_>>(), expected);
        let view = &explanation.candidates[2];
        assert_eq!((view.requests_ahead, view.slots, view.status_age_ms), (Some(4), 4, Some(10)));
        assert!(explanation.is_random && !explanation.leaves_zone, "{explanation:?}");
    };
    flows_without_a_class_are_explained_by_their_bound: {
        let status = |octet, flows| TargetStatus { flows, ..status_of(octet, "a", "vypocet") };
        let cold = TargetStatus { phase: TargetPhase::Cold, ..status(3, 0) };
        let balancer = balancer_with([status(1, 0), status(2, 40), cold]);
        let explanation = explain(&balancer, UNCLASSED, 1);
        assert_eq!(reasons(&explanation)[&2], "above-flow-bound");
        assert_eq!(reasons(&explanation)[&3], "cold-of-unknown-speed");
        assert_eq!((explanation.ranked_by.as_str(), explanation.is_random), ("flows", false));
    };
    each_other_target_has_its_reason: {
        let mut balancer = balancer_with([
            loaded(1, "a", 0),
            loaded(2, "out", 0),
            TargetStatus { phase: TargetPhase::Leaving, ..loaded(3, "a", 0) },
            TargetStatus { is_stopping: true, ..loaded(4, "a", 0) },
            status_of(5, "a", "zpravy"),
            status_of(6, "a", "other"),
        ]);
        balancer.targets.add_agent(agent(7), address(7, 7720), "b", 0);
        let stopped = TargetStatus { is_stopping: true, ..loaded(8, "a", 0) };
        balancer.targets.apply_status(stopped, 0, 0);
        let explanation = (1..).map(|port| explain(&balancer, SPLIT, port));
        let explanation =
            explanation.into_iter().find(|view| view.service.as_deref() == Some("vypocet")).expect("a flow goes there");
        let mut reasons = reasons(&explanation);
        reasons.sort_keys();
        let expected = [
            (1, "best"),
            (2, "zone-out"),
            (3, "phase"),
            (4, "agent-awaited"),
            (5, "other-service"),
            (7, "no-status"),
            (8, "agent-silent"),
        ];
        let expected = expected.map(|(octet, reason)| (octet, reason.to_owned()));
        assert_eq!(reasons.into_iter().collect::<Vec<_>>(), expected);
        assert_eq!(explanation.targets_of_other_routes, 1);
    };
    a_service_without_candidates_shows_why_the_other_one_was_chosen: {
        let balancer = balancer_with([loaded(1, "out", 0), status_of(2, "a", "zpravy")]);
        let views = (1..50).map(|port| explain(&balancer, SPLIT, port));
        for view in views {
            assert_eq!(view.service.as_deref(), Some("zpravy"));
            // A flow that the weights give to the other service does not look at the first one.
            assert!(["zone-out", "other-service"].contains(&reasons(&view)[&1].as_str()));
        }
    };
    a_status_that_is_too_old_counts_as_the_mean: {
        let mut balancer = balancer_with([loaded(1, "a", 2)]);
        balancer.targets.apply_status(loaded(2, "a", 0), 0, NOW_MS - 2_001);
        let explanation = explain(&balancer, CLASSED, 1);
        let old = explanation.candidates.iter().find(|view| view.data == agent(2)).expect("it is a candidate");
        assert_eq!((old.requests_ahead, old.status_age_ms, old.load), (None, Some(2_001), Some(0.5)));
    };
    the_weights_give_the_share_of_each_target: {
        // Guards against weights that are not those of the choice: compared with 4,000 decisions.
        let statuses = [loaded(1, "a", 0), loaded(2, "a", 1), loaded(3, "a", 3), loaded(4, "a", 4)];
        let view = explain(&balancer_with(statuses.clone()), CLASSED, 1);
        let mut counts: IndexMap<_, f64> = IndexMap::new();
        for port in 1..=4_000 {
            let first = explain(&balancer_with(statuses.clone()), CLASSED, port).chain[0];
            *counts.entry(first).or_default() += 1.0 / 4_000.0;
        }
        for candidate in &view.candidates {
            let share = counts.get(&candidate.data).copied().unwrap_or_default();
            assert!((share - candidate.probability).abs() < 0.025, "{share} {candidate:?}");
        }
        assert!((view.candidates.iter().map(|view| view.probability).sum::<f64>() - 1.0).abs() < 1e-9);
    };
    without_route_or_configuration_there_is_no_explanation: {
        let unknown = balancer().explain(&flow(9, 1), NOW_MS);
        assert_eq!(unknown, Err(ForwardingDecision::Reset(ResetReason::NoRoute)));
        let unconfigured = BalancerState::new("a", address(100, 7720));
        let expected = ForwardingDecision::Wait(WaitReason::NoConfiguration);
        assert_eq!(unconfigured.explain(&flow(CLASSED, 1), NOW_MS), Err(expected));
    };
    the_text_has_a_line_for_each_target: {
        let balancer = balancer_with([loaded(1, "a", 1), loaded(2, "out", 0)]);
        let text = explain(&balancer, CLASSED, 1).to_text();
        assert!(text.contains("class: priority 1, objective 300 ms, timeout 3000 ms\n"), "{text}");
        assert!(text.contains("  1 10.0.0.1:8172 a best weight="), "{text}");
        assert!(text.contains("  - 10.0.0.2:8172 out zone-out service=vypocet phase=serving age_ms=10\n"), "{text}");
    };
    a_wrong_address_is_named: {
        let parse = |caller, route, balancer| Question::parse(caller, route, balancer, None);
        let good = "10.0.0.1:80";
        assert!(parse(good, good, Some(good)).is_ok());
        for (option, result) in [
            ("--caller", parse("10.0.0.1", good, None)),
            ("--route", parse(good, "host:80", None)),
            ("--balancer", parse(good, good, Some("10.0.0.1:99999"))),
        ] {
            let error = result.expect_err("the address is wrong");
            assert!(error.to_string().contains(option), "{error}");
            assert_eq!(error.exit_code(), EXIT_FAILURE);
        }
    };
    an_explanation_of_many_candidates_takes_time_in_proportion: {
        // Guards against a sum over all candidates for each of them, while the balancer's state is locked.
        let shortest = |count: u32| {
            let status = |index| {
                let address = |port| SocketAddrV4::new(Ipv4Addr::from(0x0a01_0000 + index), port);
                TargetStatus { data: address(8172), control: address(7720), ..loaded(1, "a", index % 4) }
            };
            let balancer = balancer_with((0..count).map(status));
            let explain_once = |port| {
                let start = thread_time();
                assert_eq!(explain(&balancer, CLASSED, port).candidates.len(), count as usize);
                thread_time() - start
            };
            (1..=15).map(explain_once).min().expect("there are explanations")
        };
        let (few, many) = (shortest(340), shortest(3_400));
        println!("340 and 3,400 candidates: {few:?} {many:?}");
        assert!(many < 40 * few, "{few:?} {many:?}");
    };
}
