//! Placement and order of openings when capacity is scarce: several balancers that choose by outdated statuses,
//! targets of unequal speed, backlogs, and refusals. Without sockets and clocks; each simulation has a seed.

#[macro_use]
mod support;

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::connection::offering;
use rhubarbthread::connection::request_class::LoadByPriority;
use rhubarbthread::connection::request_class::RequestClass;
use rhubarbthread::connection::segment::Segment;
use rhubarbthread::connection::target_gate::TargetPhase;
use rhubarbthread::connection::waiting_segments::MAX_WAITING_OPENINGS;
use rhubarbthread::process::passthrough::balancer_state::BalancerState;
use rhubarbthread::process::passthrough::balancer_state::DropReason;
use rhubarbthread::process::passthrough::balancer_state::ForwardingDecision;
use rhubarbthread::process::passthrough::balancer_state::ResetReason;
use rhubarbthread::process::passthrough::balancer_state::WaitReason;
use rhubarbthread::version::placing::Candidate;
use rhubarbthread::version::placing::LoadBasis;
use rhubarbthread::version::placing::Ranking;
use rhubarbthread::version::routing::WeightedService;
use rhubarbthread::version::target_status::TargetLoadReport;
use rhubarbthread::version::target_status::TargetStatus;
use rhubarbthread::version::target_status::TargetUpdate;

use crate::support::passthrough::address;
use crate::support::passthrough::agent;
use crate::support::passthrough::configuration_of;
use crate::support::passthrough::opening_of;
use crate::support::passthrough::returned;
use crate::support::passthrough::revision;
use crate::support::passthrough::segment_of;
use crate::support::passthrough::status_of;
use crate::support::thread_time;

/// Way in which a balancer orders the targets for an opening.
type Order = fn(Vec<Candidate<'_>>) -> Vec<SocketAddrV4>;

const TARGETS: u8 = 40;
const SLOTS: usize = 3;
const BALANCERS: usize = 19;
/// Interval of a target's statuses at a balancer, in milliseconds.
const STATUS_INTERVAL_MS: u64 = 600;
const SERVICE_MS: f64 = 39.0;
const OBJECTIVE_MS: u64 = 300;

fn load(candidate: &Candidate<'_>) -> u64 {
    candidate.ahead.unwrap_or(0) + candidate.offered_ahead
}

fn by_score(mut candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    candidates.sort_by_key(|candidate| u64::MAX - candidate.score);
    candidates
}

fn addresses(candidates: Vec<Candidate<'_>>) -> Vec<SocketAddrV4> {
    candidates.iter().map(|candidate| candidate.data).take(8).collect()
}

fn least_loaded(candidates: Vec<Candidate<'_>>) -> Vec<SocketAddrV4> {
    let mut candidates = by_score(candidates);
    candidates.sort_by_key(load);
    addresses(candidates)
}

fn least_reported(candidates: Vec<Candidate<'_>>) -> Vec<SocketAddrV4> {
    let mut candidates = by_score(candidates);
    candidates.sort_by_key(|candidate| candidate.ahead);
    addresses(candidates)
}

fn two_choices(candidates: Vec<Candidate<'_>>) -> Vec<SocketAddrV4> {
    let mut candidates = by_score(candidates);
    candidates[..2].sort_by_key(load);
    addresses(candidates)
}

fn flows_per_slot(candidates: Vec<Candidate<'_>>) -> Vec<SocketAddrV4> {
    Ranking::new(candidates, "a", LoadBasis::Flows).chain(8)
}

fn weighted_by_free_capacity(candidates: Vec<Candidate<'_>>) -> Vec<SocketAddrV4> {
    Ranking::new(candidates, "a", LoadBasis::RequestsAhead).chain(8)
}

/// Result of a simulation, in shares of all openings; `hops` is the mean number of agents asked.
#[derive(Debug)]
#[allow(dead_code)]
struct Outcome {
    first_was_busy: f64,
    hops: f64,
    refused: f64,
    in_time: f64,
}

/// A target with some slots that are busy throughout.
struct SimulatedTarget {
    always_busy: usize,
    speed: f64,
    /// Ends of the requests in progress.
    ends_ms: Vec<u64>,
    /// Arrivals of the queued requests.
    queued_ms: VecDeque<u64>,
    /// For each balancer, the load in the last status, and the times of its offers since.
    views: Vec<(u64, Vec<u64>)>,
}

impl SimulatedTarget {
    fn new((always_busy, speed): (usize, f64)) -> SimulatedTarget {
        let views = vec![(0, Vec::new()); BALANCERS];
        let (ends_ms, queued_ms) = (Vec::new(), VecDeque::new());
        SimulatedTarget { always_busy, speed, ends_ms, queued_ms, views }
    }

    fn load(&self) -> u64 {
        (self.always_busy + self.ends_ms.len() + self.queued_ms.len()) as u64
    }

    fn candidate(&self, index: usize, balancer: usize, score: u64) -> Candidate<'static> {
        let (reported, offers) = &self.views[balancer];
        Candidate {
            data: agent(index as u8),
            zone: "a",
            slots: SLOTS as u64,
            service_time_us: (SERVICE_MS / self.speed * 1_000.0) as u64,
            is_failing: false,
            flows: *reported,
            busy: *reported,
            ahead: Some(*reported),
            offered_ahead: offers.len() as u64,
            is_cold: false,
            score,
        }
    }
}

/// Simulates 6 s of arrivals at a utilization of the slots that are not busy throughout.
fn simulate(ranking: Order, plan: &[(usize, f64)], utilization: f64, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let free: f64 = plan.iter().map(|(busy, speed)| (SLOTS - busy) as f64 * speed).sum();
    let per_ms = utilization * free / SERVICE_MS;
    let mut targets: Vec<SimulatedTarget> =
        plan.iter().copied().map(SimulatedTarget::new).collect();
    let (mut count, mut first_was_busy, mut hops, mut refused, mut in_time) = (0, 0, 0, 0, 0);
    for now_ms in 0..6_000_u64 {
        for (index, target) in targets.iter_mut().enumerate() {
            target.ends_ms.retain(|end_ms| *end_ms > now_ms);
            while target.always_busy + target.ends_ms.len() < SLOTS
                && let Some(since_ms) = target.queued_ms.pop_front()
            {
                let service_ms = SERVICE_MS / target.speed * random.random_range(0.5..1.5);
                target.ends_ms.push(now_ms + service_ms as u64);
                in_time += usize::from(now_ms + service_ms as u64 - since_ms <= OBJECTIVE_MS);
            }
            let load = target.load();
            for (balancer, view) in target.views.iter_mut().enumerate() {
                let phase_ms = (index * 37 + balancer * 101) as u64;
                if (now_ms + phase_ms).is_multiple_of(STATUS_INTERVAL_MS) {
                    *view = (load, Vec::new());
                }
                view.1.retain(|offered_ms| offered_ms + 100 > now_ms);
            }
        }
        let arrivals = per_ms as usize + usize::from(random.random_bool(per_ms.fract()));
        for _ in 0..arrivals {
            let balancer = random.random_range(0..BALANCERS);
            let candidates = targets.iter().enumerate();
            let candidates = candidates
                .map(|(index, target)| target.candidate(index, balancer, random.random()));
            let chain = ranking(candidates.collect());
            let chain: Vec<usize> = chain.iter().map(|data| data.ip().octets()[3].into()).collect();
            count += 1;
            targets[chain[0]].views[balancer].1.push(now_ms);
            first_was_busy += usize::from(targets[chain[0]].load() >= SLOTS as u64);
            let last = chain.len() - 1;
            let limit = |hop: usize| if hop == last { 2 * SLOTS } else { SLOTS } as u64;
            let taken = (0..=last).find(|hop| targets[chain[*hop]].load() < limit(*hop));
            hops += taken.unwrap_or(last) + 1;
            match taken {
                Some(hop) => targets[chain[hop]].queued_ms.push_back(now_ms),
                None => refused += 1,
            }
        }
    }
    let share = |part: usize| part as f64 / count as f64;
    Outcome {
        first_was_busy: share(first_was_busy),
        hops: share(hops),
        refused: share(refused),
        in_time: share(in_time),
    }
}

/// Lets each of 12 balancers place one opening at the same moment, by statuses according to which one target has
/// three free slots and nine others one each. Returns the mean number of agents asked over 500 trials.
fn burst_hops(ranking: Order, seed: u64) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut hops = 0;
    for _ in 0..500 {
        let mut load = [vec![0], vec![2; 9], vec![3; 30]].concat();
        let reported = load.clone();
        for _ in 0..12 {
            let view = |(index, load): (usize, &usize)| {
                let target = SimulatedTarget::new((*load, 1.0));
                let candidate = target.candidate(index, 0, random.random());
                Candidate {
                    ahead: Some(*load as u64),
                    flows: *load as u64,
                    busy: *load as u64,
                    ..candidate
                }
            };
            let chain = ranking(reported.iter().enumerate().map(view).collect());
            for data in chain {
                let index: usize = data.ip().octets()[3].into();
                hops += 1;
                if load[index] < SLOTS {
                    load[index] += 1;
                    break;
                }
            }
        }
    }
    f64::from(hops) / (500.0 * 12.0)
}

/// Time that a request takes at the fast and at the slow targets of the second deployment, as their agents estimate it.
const UNEVEN_SERVICE_US: [u64; 2] = [24_000, 52_000];

/// Simulates 30 s of long flows, 76 for each target on average, which 15 balancers place by statuses of up to 600 ms.
/// Returns the mean number of flows that each target holds in the last 15 s, the fast targets first.
fn long_flows(ranking: Order, fast: usize, slow: usize, seed: u64) -> Vec<f64> {
    const BALANCERS: u64 = 15;
    const SLOTS: u64 = 6;
    const STEP_MS: u64 = 10;
    const END_MS: u64 = 30_000;
    const FLOWS_PER_TARGET: f64 = 76.0;
    const LIFE_MS: f64 = 5_000.0;
    const REQUESTS_PER_MS: f64 = 0.385e-3;
    let mut random = StdRng::seed_from_u64(seed);
    let target_count = fast + slow;
    let service_us = |target: usize| UNEVEN_SERVICE_US[usize::from(target >= fast)];
    let mut flows = vec![0_u64; target_count];
    // For each balancer and target: flows and requests in the last status, and the times of the offers since.
    let mut views = vec![vec![(0, 0, Vec::new()); target_count]; BALANCERS as usize];
    let mut held = vec![0.0; target_count];
    let samples = (END_MS / 2 / STEP_MS) as f64;
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        for target in 0..target_count {
            let ended = (0..flows[target]).filter(|_| random.random_bool(STEP_MS as f64 / LIFE_MS));
            flows[target] -= ended.count() as u64;
            let is_busy = REQUESTS_PER_MS * service_us(target) as f64 / 1_000.0;
            for (balancer, views) in views.iter_mut().enumerate() {
                let phase_ms = (target * 370 + balancer * 110) as u64;
                if (now_ms + phase_ms).is_multiple_of(STATUS_INTERVAL_MS) {
                    let busy = (0..flows[target]).filter(|_| random.random_bool(is_busy)).count();
                    views[target] = (flows[target], busy as u64, Vec::new());
                }
            }
            held[target] += if now_ms >= END_MS / 2 { flows[target] as f64 / samples } else { 0.0 };
        }
        let per_step = FLOWS_PER_TARGET * target_count as f64 * STEP_MS as f64 / LIFE_MS;
        let opened = per_step as usize + usize::from(random.random_bool(per_step.fract()));
        for _ in 0..opened {
            let views = &mut views[random.random_range(0..BALANCERS as usize)];
            let candidate = |(target, view): (usize, &(u64, u64, Vec<u64>))| {
                let (reported, busy, offers) = view;
                let recent = offers.iter().filter(|offered_ms| **offered_ms + 100 > now_ms);
                Candidate {
                    slots: SLOTS,
                    service_time_us: service_us(target),
                    flows: reported + offers.len() as u64,
                    busy: *busy,
                    ahead: Some(*busy),
                    offered_ahead: recent.count() as u64,
                    ..SimulatedTarget::new((0, 1.0)).candidate(target, 0, random.random())
                }
            };
            let chain = ranking(views.iter().enumerate().map(candidate).collect());
            let chosen = usize::from(chain[0].ip().octets()[3]);
            views[chosen].2.push(now_ms);
            flows[chosen] += 1;
        }
    }
    held
}

const URGENT: u16 = 8080;
const LESS_URGENT: u16 = 443;
const UNCLASSED: u16 = 80;
/// Urgent route with a second service that has a small share of the flows.
const SPLIT: u16 = 9090;

fn class(priority: u32) -> Option<RequestClass> {
    let objective_ms = if priority == 1 { 300 } else { 250 };
    Some(RequestClass { priority, objective_ms, timeout_ms: 3_000 })
}

/// A balancer of zone `a` that knows these targets and no store, with routes of priority 1 and 2 and one without
/// a class.
fn balancer(statuses: &[TargetStatus]) -> BalancerState {
    let mut balancer = BalancerState::new("a", address(100, 7720));
    balancer.knows_all_agents = true;
    configure(&mut balancer);
    statuses.iter().for_each(|status| {
        balancer.targets.apply_status(status.clone(), 0, 0);
    });
    balancer
}

fn configure(balancer: &mut BalancerState) {
    let routes = [(URGENT, false), (LESS_URGENT, true), (UNCLASSED, true), (SPLIT, true)];
    let mut configuration = configuration_of(1, "vypocet", &routes);
    for (port, priority) in [(URGENT, 1), (LESS_URGENT, 2), (SPLIT, 1)] {
        configuration.routes[&address(200, port)].class = class(priority);
    }
    let services = &mut configuration.routes[&address(200, SPLIT)].services;
    services[0].weight = 1_000_000;
    services.push(WeightedService { service: "zpravy".to_owned(), weight: 1 });
    balancer.routing.apply_configuration(configuration, revision(10));
}

/// Status of a target with this many requests of priorities 1 and 2 on its four slots.
fn loaded(octet: u8, zone: &str, urgent: u32, less_urgent: u32) -> TargetStatus {
    let load_by_priority = Some(LoadByPriority::new([0, urgent, less_urgent, 0]));
    let busy = urgent + less_urgent;
    TargetStatus { load_by_priority, busy, flows: busy, ..status_of(octet, zone, "vypocet") }
}

fn first_agent(decision: &ForwardingDecision) -> u8 {
    match decision {
        ForwardingDecision::Send(destinations) => destinations[0].0.ip().octets()[3],
        other => panic!("expected an offer, got {other:?}"),
    }
}

/// What a balancer that knows these targets does with an opening of this age after all agents have refused it.
fn refuse_at(statuses: &[TargetStatus], route: u16, age_ms: u64) -> ForwardingDecision {
    let mut balancer = balancer(statuses);
    let opening = opening_of(route, 1);
    balancer.flow_locations.note_opening(opening.flow, 0, 1);
    let decision = balancer.decide_again(&opening, age_ms);
    let ForwardingDecision::Send(offer) = decision else { panic!("{decision:?}") };
    let (first, header) = &offer[0];
    balancer.handle_returned_segment(
        &opening,
        &returned(*first, header.search_id, true),
        age_ms + 1,
    )
}

/// Number of 600 openings of a route that a fresh copy of the balancer offers to each agent first.
fn first_agents(statuses: &[TargetStatus], route: u16, now_ms: u64) -> IndexMap<u8, u32> {
    let mut counts = IndexMap::new();
    for port in 1..=600 {
        let decision = balancer(statuses).decide(&opening_of(route, port), now_ms);
        *counts.entry(first_agent(&decision)).or_default() += 1;
    }
    counts
}

/// The rule for flows without a class before speeds and loads by priority were known.
fn former_rank(mut candidates: Vec<Candidate<'_>>, local_zone: &str) -> Vec<SocketAddrV4> {
    let sums = |is_local: bool| {
        let group = candidates
            .iter()
            .filter(|candidate| !candidate.is_cold && (candidate.zone == local_zone) == is_local);
        group.fold((0, 0, 0), |sum, c| (sum.0 + c.busy, sum.1 + c.slots, sum.2 + c.flows))
    };
    let (local, remote) = (sums(true), sums(false));
    let percent = |sum: (u64, u64, u64)| (sum.1 > 0).then(|| sum.0 * 100 / sum.1);
    let stays = match (percent(local), percent(remote)) {
        (Some(local), Some(remote)) => local < 70 || local <= remote + 15,
        (local, _) => local.is_some(),
    };
    let (slots, flows) =
        if stays { (local.1, local.2) } else { (local.1 + remote.1, local.2 + remote.2) };
    candidates.sort_by_key(|c| {
        let is_within = (c.flows + 1) * slots * 100 <= (flows + 1) * c.slots * 110 + slots * 100;
        (c.is_cold, stays && c.zone != local_zone, !is_within, u64::MAX - c.score)
    });
    addresses(candidates)
}

/// Lets 3,000 openings wait at 15 balancers until 40 targets of 3 slots return, and then takes the next one
/// whenever a slot is free. A third is urgent; the callers began at any time in the 720 ms before, so that two
/// thirds can no longer be in time. Returns the share of the urgent and of the other answers that are in time.
fn serve_backlog(routes: [u16; 2], seed: u64) -> [f64; 2] {
    const BACKLOG: usize = 3_000;
    const RETURN_MS: u64 = 720;
    let mut random = StdRng::seed_from_u64(seed);
    let mut balancers: Vec<BalancerState> =
        (0..15).map(|_| BalancerState::new("a", address(100, 7720))).collect();
    let mut opened_ms: Vec<u64> = (0..BACKLOG).map(|_| random.random_range(0..RETURN_MS)).collect();
    opened_ms.sort_unstable();
    let is_urgent: Vec<bool> = (0..BACKLOG).map(|_| random.random_ratio(1, 3)).collect();
    for (index, opened_ms) in opened_ms.iter().enumerate() {
        let opening = opening_of(routes[usize::from(!is_urgent[index])], index as u16);
        let balancer = &mut balancers[index % 15];
        balancer.decide(&opening, *opened_ms);
        assert!(balancer.queue(&opening, &[], *opened_ms).0);
    }
    for balancer in &mut balancers {
        balancer.knows_all_agents = true;
        configure(balancer);
        balancer.targets.apply_status(status_of(11, "a", "vypocet"), 0, RETURN_MS);
    }
    let (mut answers, mut in_time) = ([0, 0], [0, 0]);
    let mut ends_ms: Vec<u64> = Vec::new();
    for now_ms in RETURN_MS.. {
        ends_ms.retain(|end_ms| *end_ms > now_ms);
        let due = balancers.iter_mut().flat_map(|balancer| {
            // Each balancer gets its share of the slots; what it has no slot for stays queued.
            balancer.take_releasable(120usize.saturating_sub(ends_ms.len()).div_ceil(15), now_ms)
        });
        let due: Vec<_> = due.collect();
        for waiting in due {
            let index = usize::from(waiting.segment.flow.caller.port());
            let kind = usize::from(!is_urgent[index]);
            let (end_ms, objective_ms) = (now_ms + SERVICE_MS as u64, [300, 250][kind]);
            ends_ms.push(end_ms);
            answers[kind] += 1;
            in_time[kind] += usize::from(end_ms - opened_ms[index] <= objective_ms);
        }
        if answers[0] + answers[1] == BACKLOG {
            break;
        }
    }
    [0, 1].map(|kind| in_time[kind] as f64 / answers[kind] as f64)
}

cases! {
    balancers_with_outdated_statuses_do_not_all_choose_the_same_free_target: {
        let rankings: [(&str, Order); 5] = [
            ("flows per slot", flows_per_slot),
            ("least reported", least_reported),
            ("least loaded", least_loaded),
            ("two choices", two_choices),
            ("weighted by free capacity", weighted_by_free_capacity),
        ];
        // Most targets are full throughout, so that the few free slots draw all balancers.
        let scarce = |target| match target { 0..4 => (0, 1.0), 4..10 => (2, 1.0), _ => (3, 1.0) };
        let scarce: Vec<(usize, f64)> = (0..TARGETS).map(scarce).collect();
        for (name, ranking) in rankings {
            println!("{name}: {:.2} {:.3?}", burst_hops(ranking, 7), simulate(ranking, &scarce, 0.8, 7));
        }
        // Guards against a herd: the mean number of agents asked in a burst, and refusals under steady load.
        assert!(burst_hops(weighted_by_free_capacity, 7) < 0.9 * burst_hops(least_loaded, 7));
        let (weighted, by_flows) =
            (simulate(weighted_by_free_capacity, &scarce, 0.8, 7), simulate(flows_per_slot, &scarce, 0.8, 7));
        assert!(weighted.hops < 0.9 * by_flows.hops, "{weighted:?} {by_flows:?}");
        assert!(weighted.refused < 0.5 * by_flows.refused, "{weighted:?} {by_flows:?}");
        assert!(weighted.in_time > by_flows.in_time, "{weighted:?} {by_flows:?}");
    };
    without_estimates_and_classes_the_ranking_is_the_former_one: {
        let mut random = StdRng::seed_from_u64(7);
        for _ in 0..2_000 {
            let count = random.random_range(0..30);
            let candidate = |index: u8| {
                let slots = random.random_range(1..7);
                let (busy, flows) = (random.random_range(0..2 * slots), random.random_range(0..40));
                Candidate {
                    zone: ["a", "b", "c"][random.random_range(0..3)],
                    slots, busy, flows,
                    service_time_us: 0,
                    is_cold: random.random_ratio(1, 5),
                    ..SimulatedTarget::new((0, 1.0)).candidate(index.into(), 0, random.random())
                }
            };
            let candidates: Vec<Candidate<'_>> = (0..count).map(candidate).collect();
            let ranked = Ranking::new(candidates.clone(), "a", LoadBasis::Flows).chain(8);
            assert_eq!(ranked, former_rank(candidates, "a"));
        }
    };
    targets_get_openings_by_their_relative_speed: {
        // Two of four idle targets take four times as long as the others; a fifth has no estimate.
        let status = |octet, service_time_us| TargetStatus { service_time_us, ..loaded(octet, "a", 0, 0) };
        let statuses =
            [status(1, 30_000), status(2, 30_000), status(3, 30_000), status(4, 120_000), status(5, 0)];
        let counts = first_agents(&statuses, URGENT, 1);
        // 600 over capacities of 1, 1, 1, 0.25 and 1.
        assert!((20..=52).contains(&counts[&4]), "{counts:?}");
        assert!([1, 2, 3, 5].iter().all(|octet| (110..=172).contains(&counts[octet])), "{counts:?}");
    };
    an_estimate_neither_starves_a_target_nor_draws_all_openings: {
        let status = |octet, service_time_us| TargetStatus { service_time_us, ..loaded(octet, "a", 0, 0) };
        let statuses = [status(1, 30_000), status(2, 30_000), status(3, 10), status(4, 9_000_000)];
        let counts = first_agents(&statuses, URGENT, 1);
        // 600 over capacities of 1, 1, 2 and 0.125.
        assert!(counts[&3] <= 330 && counts[&4] >= 5, "{counts:?}");
    };
    cold_targets_of_known_speed_rank_among_the_warm_and_failing_ones_last: {
        let cold = |octet, service_time_us| TargetStatus {
            service_time_us, phase: TargetPhase::Cold, ..loaded(octet, "a", 0, 0)
        };
        let failing = TargetStatus { is_failing: true, ..loaded(4, "a", 0, 0) };
        let statuses = [loaded(1, "a", 1, 0), cold(2, 40_000), cold(3, 0), failing];
        for route in [URGENT, UNCLASSED] {
            let mut firsts = IndexSet::new();
            for port in 1..=100 {
                let decision = balancer(&statuses).decide(&opening_of(route, port), 1);
                let ForwardingDecision::Send(destinations) = &decision else { panic!("{decision:?}") };
                assert_eq!(destinations[0].1.chain.last(), Some(&agent(4)), "{route}");
                // Without a class, a cold target of unknown speed comes after the others. With one, it counts like
                // the median, as it would stay unknown without openings.
                let is_second_last = destinations[0].1.chain[1] == agent(3);
                assert!(is_second_last || route == URGENT, "{route}");
                firsts.insert(first_agent(&decision));
            }
            let expected = if route == URGENT { 3 } else { 2 };
            assert_eq!(firsts.len(), expected, "{route}: {firsts:?}");
        }
    };
    an_urgent_opening_stays_where_a_less_urgent_one_finds_no_capacity: {
        // The zone's four slots are taken by less urgent requests, another zone is idle.
        let statuses = [loaded(11, "a", 1, 3), loaded(12, "a", 1, 3), loaded(21, "b", 0, 0)];
        assert_eq!(first_agents(&statuses, LESS_URGENT, 1).keys().collect::<Vec<_>>(), [&21]);
        assert!(!first_agents(&statuses, URGENT, 1).contains_key(&21));
        // An agent of an older build reports no priorities: all its requests count.
        let older = |octet| TargetStatus { load_by_priority: None, ..loaded(octet, "a", 1, 3) };
        let statuses = [older(11), older(12), loaded(21, "b", 0, 0)];
        assert_eq!(first_agents(&statuses, URGENT, 1).keys().collect::<Vec<_>>(), [&21]);
    };
    offers_of_the_same_priority_or_a_more_urgent_one_count_at_once: {
        let mut balancer = balancer(&[loaded(11, "a", 0, 0), loaded(12, "a", 0, 0)]);
        let mut offer = |route, port, now_ms| first_agent(&balancer.decide(&opening_of(route, port), now_ms));
        let less_urgent: Vec<u8> = (1..=8).map(|port| offer(LESS_URGENT, port, 1)).collect();
        assert_eq!(less_urgent.iter().filter(|octet| **octet == 11).count(), 4, "{less_urgent:?}");
        let urgent: Vec<u8> = (1..=8).map(|port| offer(URGENT, port, 2)).collect();
        assert_eq!(urgent.iter().filter(|octet| **octet == 11).count(), 4, "{urgent:?}");
    };
    a_refused_opening_is_offered_again_to_the_target_that_is_free_by_then: {
        // Repeated offers started behind the best target of the ranking, which may be the only free one.
        let mut balancer = balancer(&(1..=10).map(|octet| loaded(octet, "a", 4, 0)).collect::<Vec<_>>());
        for (sequence, octet) in (2..=9).zip(1..) {
            let now_ms = sequence * 110;
            let free = TargetStatus { sequence, ..loaded(octet, "a", 3, 0) };
            balancer.targets.apply_status(free, 0, now_ms);
            let decision = balancer.decide_again(&opening_of(URGENT, 1), now_ms);
            assert_eq!(first_agent(&decision), octet);
            let ForwardingDecision::Send(offer) = decision else { panic!() };
            let search_id = offer[0].1.search_id;
            balancer.handle_returned_segment(&opening_of(URGENT, 1), &returned(agent(octet), search_id, true), now_ms + 5);
            let full = TargetStatus { sequence: sequence + 1, ..loaded(octet, "a", 4, 0) };
            balancer.targets.apply_status(full, 0, now_ms + 6);
        }
    };
    a_status_that_is_old_counts_as_the_mean_load: {
        // Target 12 was idle when it last reported. A balancer cut off from it must not prefer it for that.
        let mut later = balancer(&[loaded(11, "a", 2, 0), loaded(12, "a", 0, 0)]);
        later.targets.note_zone_seen("a", 2_500);
        later.targets.apply_status(TargetStatus { sequence: 9, ..loaded(11, "a", 2, 0) }, 0, 2_500);
        let flows = 1..=400;
        let first = |port| later.targets.opening_ranking(&later.routing, "vypocet", class(1), port, "a", 2_501).chain(8)[0];
        let count = flows.filter(|port| first(*port) == agent(12)).count();
        assert!((160..=240).contains(&count), "{count}");
    };
    a_balancer_that_starts_in_an_overload_spreads_openings_evenly: {
        // Its first statuses are relayed and old, those of zone `b` as well.
        let mut statuses: Vec<TargetStatus> = (11..=16).map(|octet| loaded(octet, "a", 9, 9)).collect();
        statuses.push(loaded(21, "b", 0, 0));
        let mut started = balancer(&[]);
        ["a", "b"].iter().for_each(|zone| started.targets.note_zone_seen(zone, 9_000));
        for status in statuses {
            let update = TargetUpdate { status, age_ms: 8_000, is_suspected: false };
            started.targets.apply_relayed_update(&update, 9_000);
        }
        let mut counts: IndexMap<u8, u32> = IndexMap::new();
        for port in 1..=600 {
            *counts.entry(first_agent(&started.decide(&opening_of(URGENT, port), 9_001))).or_default() += 1;
        }
        assert!(counts.len() == 6 && counts.values().all(|count| (70..=130).contains(count)), "{counts:?}");
    };
    late_and_repeated_statuses_change_nothing: {
        let idle = loaded(11, "a", 0, 0);
        let full = TargetStatus { sequence: 5, ..loaded(11, "a", 4, 0) };
        let statuses = [idle.clone(), full.clone(), full, idle, loaded(12, "a", 0, 0)];
        assert_eq!(first_agents(&statuses, URGENT, 1).keys().collect::<Vec<_>>(), [&12]);
    };
    a_load_that_balancers_relay_to_each_other_becomes_old: {
        let mut cut_off = balancer(&[loaded(11, "a", 2, 2), loaded(12, "a", 0, 0)]);
        let relayed = loaded(12, "a", 0, 0).load();
        for now_ms in (500..=2_500).step_by(500) {
            cut_off.targets.note_zone_seen("a", now_ms);
            cut_off.targets.apply_load(&relayed, now_ms);
        }
        // Both loads are unknown by now, so target 12 is not preferred for having been idle.
        let first = |port| cut_off.targets.opening_ranking(&cut_off.routing, "vypocet", class(1), port, "a", 2_501).chain(8)[0];
        let count = (1..=400).filter(|port| first(*port) == agent(12)).count();
        assert!((160..=240).contains(&count), "{count}");
    };
    a_load_of_an_agents_former_process_does_not_stay: {
        // Its number was higher than those of the new process, whose loads were ignored until they passed it.
        let restarted = |sequence, urgent| TargetStatus { incarnation: 900, sequence, ..loaded(11, "a", urgent, 0) };
        let mut balancer = balancer(&[loaded(12, "a", 2, 0), restarted(0, 0)]);
        let former = TargetLoadReport { sequence: 40_000, ..loaded(11, "a", 0, 0).load() };
        balancer.targets.apply_load(&former, 1);
        balancer.targets.apply_status(restarted(1, 0), 0, 300);
        balancer.targets.apply_load(&restarted(2, 4).load(), 300);
        let first = |port| balancer.targets.opening_ranking(&balancer.routing, "vypocet", class(1), port, "a", 301).chain(8)[0];
        assert!((1..=50).all(|port| first(port) == agent(12)));
    };
    a_zone_that_is_out_gets_no_opening_whatever_its_load: {
        let mut balancer = balancer(&[loaded(11, "a", 4, 4), loaded(21, "b", 0, 0)]);
        balancer.routing.apply_zone("b", true, revision(11));
        let decision = balancer.decide(&opening_of(URGENT, 1), 1);
        assert_eq!(first_agent(&decision), 11);
        balancer.routing.apply_zone("b", false, revision(12));
        assert_eq!(first_agent(&balancer.decide(&opening_of(URGENT, 2), 2)), 21);
    };
    established_segments_are_released_before_openings_and_urgent_openings_first: {
        let mut balancer = balancer(&[]);
        balancer.knows_all_agents = false;
        let openings = [
            (LESS_URGENT, 1, 1_000),
            (URGENT, 2, 1_000),
            (LESS_URGENT, 3, 1_240),
            (URGENT, 4, 1_200),
            (UNCLASSED, 5, 1_000),
        ];
        for (route, port, now_ms) in openings {
            balancer.decide(&opening_of(route, port), now_ms);
            assert!(balancer.queue(&opening_of(route, port), &[], now_ms).0);
        }
        // A retransmission of which the balancer has not received the first transmission.
        let copy = Segment { retransmission: 2, ..opening_of(URGENT, 6) };
        balancer.decide(&copy, 1_240);
        balancer.queue(&copy, &[], 1_240);
        balancer.queue(&segment_of(LESS_URGENT, 7), &[], 1_240);
        balancer.knows_all_agents = true;
        balancer.targets.apply_status(loaded(11, "a", 0, 0), 0, 1_250);
        let released = balancer.take_releasable(64, 1_250);
        let ports: Vec<u16> = released.iter().map(|waiting| waiting.segment.flow.caller.port()).collect();
        assert_eq!(ports, [7, 4, 3, 5, 6, 2, 1]);
    };
    a_backlog_of_openings_leaves_room_for_open_flows_and_urgent_openings: {
        let mut balancer = balancer(&[]);
        let queue = |balancer: &mut BalancerState, segment: &Segment| {
            balancer.decide(segment, 1);
            balancer.queue(segment, &[], 1)
        };
        let less_urgent = (1..=3_000).filter(|port| queue(&mut balancer, &opening_of(LESS_URGENT, *port)).0);
        assert_eq!(less_urgent.count(), MAX_WAITING_OPENINGS);
        let urgent = (1..=500).map(|port| queue(&mut balancer, &opening_of(URGENT, port)));
        let urgent: Vec<(bool, usize)> = urgent.collect();
        assert!(urgent.iter().all(|(has_room, _)| *has_room));
        assert_eq!(urgent.iter().map(|(_, dropped)| dropped).sum::<usize>(), 512, "64 for every 64");
        assert!((1..=500).all(|port| queue(&mut balancer, &segment_of(LESS_URGENT, port + 4_000)).0));
    };
    of_a_backlog_after_a_power_loss_more_is_in_time_than_first_come_first_served: {
        let first_come = serve_backlog([UNCLASSED, UNCLASSED], 7);
        let ordered = serve_backlog([URGENT, LESS_URGENT], 7);
        println!("in time, urgent and less urgent: {first_come:.3?} {ordered:.3?}");
        assert!(ordered[0] > 0.25 && ordered[0] > first_come[0] + 0.2, "{first_come:?} {ordered:?}");
        assert!(ordered[1] >= first_come[1], "{first_come:?} {ordered:?}");
    };
    an_opening_is_refused_once_no_target_of_any_zone_can_serve_it: {
        // Forty urgent requests ahead on four slots of 200 ms take 1.85 s.
        let hopeless = |octet, zone| TargetStatus { service_time_us: 200_000, ..loaded(octet, zone, 40, 0) };
        let refuse = |other: TargetStatus, port, now_ms| {
            let mut balancer = balancer(&[hopeless(11, "a"), other]);
            let opening = opening_of(URGENT, port);
            balancer.decide(&opening, now_ms);
            let ForwardingDecision::Send(offer) = balancer.decide_again(&opening, now_ms + 250) else { panic!() };
            balancer.handle_returned_segment(&opening, &returned(agent(11), 1, true), now_ms + 250);
            balancer.handle_returned_segment(&opening, &returned(agent(11), offer[0].1.search_id, true), now_ms + 255)
        };
        assert_eq!(refuse(hopeless(21, "b"), 1, 1), ForwardingDecision::Reset(ResetReason::Overload));
        let free = loaded(21, "b", 4, 9);
        assert_eq!(refuse(free, 1, 1), ForwardingDecision::Wait(WaitReason::AllFull));
    };
    refusals_of_openings_that_began_together_are_spread: {
        // Refused callers retry at once; after a power loss all of them would retry at the same moment.
        let mut refused: IndexMap<u64, u32> = IndexMap::new();
        for port in 1..=300u64 {
            let hash = opening_of(URGENT, port as u16).flow.hash();
            let last = (0..1_400).find(|age_ms| !offering::is_worth_offering(*age_ms, 0, hash));
            *refused.entry(last.unwrap_or(u64::MAX) / 50).or_default() += 1;
        }
        assert!(refused.keys().all(|step| (22..=26).contains(step)), "{refused:?}");
        assert!(refused.values().all(|count| *count <= 110), "{refused:?}");
    };
    no_opening_is_refused_while_another_offer_of_it_is_out: {
        let hopeless = |octet| TargetStatus { service_time_us: 200_000, ..loaded(octet, "a", 40, 0) };
        let mut balancer = balancer(&[hopeless(11), hopeless(12)]);
        balancer.decide(&opening_of(URGENT, 1), 1);
        let copy = Segment { retransmission: 2, ..opening_of(URGENT, 1) };
        let ForwardingDecision::Send(offer) = balancer.decide(&copy, 601) else { panic!() };
        let decision = balancer.handle_returned_segment(&copy, &returned(agent(12), offer[0].1.search_id, true), 605);
        assert_eq!(decision, ForwardingDecision::Drop(DropReason::LateRefusal));
    };
    openings_whose_only_target_is_in_a_zone_that_is_out_keep_no_others_waiting: {
        // Each pass released 64 urgent openings that found no target and were queued again, and no other.
        let mut balancer = balancer(&[status_of(21, "b", "zpravy"), loaded(11, "a", 0, 0)]);
        let mut configuration = configuration_of(2, "vypocet", &[(URGENT, false), (LESS_URGENT, true)]);
        configuration.routes[&address(200, URGENT)].services[0].service = "zpravy".to_owned();
        configuration.routes[&address(200, URGENT)].class = class(1);
        configuration.routes[&address(200, LESS_URGENT)].class = class(2);
        balancer.routing.apply_configuration(configuration, revision(11));
        balancer.routing.apply_zone("b", true, revision(12));
        balancer.knows_all_agents = false;
        for port in 1..=200 {
            let route = if port <= 100 { URGENT } else { LESS_URGENT };
            balancer.decide(&opening_of(route, port), 1);
            assert!(balancer.queue(&opening_of(route, port), &[], 1).0);
        }
        let released = balancer.take_releasable(64, 60);
        assert_eq!(released.len(), 64);
        assert!(released.iter().all(|waiting| waiting.segment.flow.service.port() == LESS_URGENT));
    };
    an_idle_target_that_fails_does_not_count_as_capacity: {
        // It comes after more candidates than a chain has, so openings waited for it until their callers gave up.
        let hopeless = |octet| TargetStatus { service_time_us: 200_000, ..loaded(octet, "a", 40, 0) };
        let mut statuses: Vec<TargetStatus> = (1..=11).map(hopeless).collect();
        statuses.push(TargetStatus { is_failing: true, ..loaded(12, "a", 0, 0) });
        assert_eq!(refuse_at(&statuses, URGENT, 255), ForwardingDecision::Reset(ResetReason::Overload));
    };
    another_service_of_the_route_that_is_not_offered_the_opening_is_no_capacity: {
        // A service without targets, or one to which the weights give other flows, made openings wait.
        let hopeless = |octet| TargetStatus { service_time_us: 200_000, ..loaded(octet, "a", 40, 0) };
        let other = status_of(21, "a", "zpravy");
        for statuses in [vec![hopeless(11)], vec![hopeless(11), other]] {
            assert_eq!(refuse_at(&statuses, SPLIT, 255), ForwardingDecision::Reset(ResetReason::Overload));
        }
    };
    any_value_of_another_node_is_ranked: {
        // Loads of other builds or of invalid input overflowed sums and products.
        let extreme = |octet| TargetStatus {
            slots: if octet == 11 { u32::MAX } else { 1 },
            flows: u32::MAX,
            busy: u32::MAX,
            load_by_priority: LoadByPriority::from_cumulative(&[u32::MAX; 4]),
            service_time_us: if octet == 11 { 1 } else { u32::MAX },
            ..loaded(octet, "a", 0, 0)
        };
        let statuses: Vec<TargetStatus> = (11..=14).map(extreme).collect();
        for (statuses, route) in [(&statuses[..], URGENT), (&statuses[1..], URGENT), (&statuses[..], UNCLASSED)] {
            let mut balancer = balancer(statuses);
            for port in 1..=80 {
                let opening = opening_of(route, port);
                let decision = balancer.decide(&opening, 1);
                let ForwardingDecision::Send(offer) = &decision else { panic!("{decision:?}") };
                let (first, header) = &offer[0];
                assert_eq!(header.chain.len() + 1, statuses.len());
                balancer.handle_returned_segment(&opening, &returned(*first, header.search_id, true), 2);
            }
        }
    };
    cold_targets_that_may_take_no_more_do_not_fill_the_chain: {
        // Eight cold targets of the local zone at their limit refused the opening, which was reset although a warm
        // target of another zone was idle.
        let cold = |octet| TargetStatus { phase: TargetPhase::Cold, ..loaded(octet, "a", 0, 0) };
        let mut statuses: Vec<TargetStatus> = (1..=10).map(cold).collect();
        statuses.push(loaded(21, "b", 0, 0));
        let mut balancer = balancer(&statuses);
        let opening = opening_of(URGENT, 1);
        for now_ms in [1, 100] {
            let decision = balancer.decide_again(&opening, now_ms);
            let ForwardingDecision::Send(offer) = decision else { panic!("{decision:?}") };
            let (first, header) = &offer[0];
            assert_eq!(header.chain.last(), Some(&agent(21)), "{now_ms}");
            assert_ne!(*first, agent(21));
            balancer.handle_returned_segment(&opening, &returned(agent(21), header.search_id, true), now_ms + 5);
        }
    };
    a_target_that_fails_again_gets_its_first_trial_after_an_interval: {
        // The time of a trial in an earlier failure counted, so that any opening, repeatable or not, went there.
        let status = |sequence, is_failing| TargetStatus { sequence, is_failing, ..loaded(12, "a", 0, 0) };
        let others: Vec<TargetStatus> = (1..=4).map(|octet| loaded(octet, "a", 0, 0)).collect();
        let mut balancer = balancer(&[others, vec![status(1, true)]].concat());
        let (routing, targets) = (&balancer.routing, &mut balancer.targets);
        let mut trial = |sequence, is_failing, now_ms| {
            targets.apply_status(status(sequence, is_failing), 0, now_ms);
            (1..=4).for_each(|octet| {
                targets.apply_status(TargetStatus { sequence, ..loaded(octet, "a", 0, 0) }, 0, now_ms);
            });
            targets.begin_trial(routing, "vypocet", "a", true, now_ms)
        };
        assert_eq!(trial(2, true, 100), None);
        assert_eq!(trial(3, true, 1_100), Some(agent(12)));
        assert_eq!(trial(4, false, 2_000), None);
        assert_eq!(trial(5, true, 9_000), None);
        assert_eq!(trial(6, true, 10_000), Some(agent(12)));
    };
    a_pass_over_waiting_openings_looks_at_each_target_once_for_each_route: {
        // Guards against a look at all targets for each opening, which keeps a balancer busy when all nodes start.
        let shortest_pass = |agent_count: u32| {
            let mut balancer = balancer(&[]);
            for index in 0..agent_count {
                let address = |port| SocketAddrV4::new(Ipv4Addr::from(0x0a01_0000 + index), port);
                let (data, control) = (address(8172), address(7720));
                let status = TargetStatus { phase: TargetPhase::Introducing, ..loaded(1, "a", 0, 0) };
                balancer.targets.apply_status(TargetStatus { data, control, ..status }, 0, 1);
            }
            (1..=1_500).for_each(|port| assert!(balancer.queue(&opening_of(URGENT, port), &[], 1).0));
            let pass = |_| {
                let start = thread_time();
                assert!(balancer.take_releasable(64, 2).is_empty());
                thread_time() - start
            };
            (0..15).map(pass).min().expect("there are passes")
        };
        let (few, many) = (shortest_pass(34), shortest_pass(3_400));
        println!("pass over 1,500 openings with 34 and 3,400 targets: {few:?} {many:?}");
        assert!(many < 20 * few, "{few:?} {many:?}");
    };
    long_flows_are_spread_in_proportion_to_capacity: {
        // Guards against fast targets that get as many flows as slow ones, and against a choice that piles flows up
        // at some of several equal targets.
        let without_speeds: Order = |candidates| former_rank(candidates, "a");
        for (fast, slow) in [(1, 3), (9, 25)] {
            let spread = |name: &str, ranking: Order| {
                let held = long_flows(ranking, fast, slow, 7);
                let mean = |held: &[f64]| held.iter().sum::<f64>() / held.len() as f64;
                let over_mean = held[0..fast].iter().copied().fold(0.0, f64::max) / mean(&held);
                let (fast, slow) = held.split_at(fast);
                println!("{name}: busiest over the mean {over_mean:.2}, {fast:.0?} {slow:.0?}");
                ([mean(fast), mean(slow)], held.clone())
            };
            spread("former rule", without_speeds);
            let (means, held) = spread("weighted by free capacity", weighted_by_free_capacity);
            // The capacity of a target is limited to twice that of one of median speed.
            let share = |flows: f64| flows / held.iter().sum::<f64>();
            let expected = 2.0 / (2 * fast + slow) as f64;
            assert!((share(means[0]) / expected - 1.0).abs() < 0.25, "{means:?}");
            for (index, flows) in held.iter().enumerate() {
                let mean = means[usize::from(index >= fast)];
                assert!((flows / mean - 1.0).abs() < 0.15, "{index}: {held:.0?}");
            }
        }
    };
    a_retransmitted_opening_goes_to_the_target_that_has_accepted_it: {
        // A target whose load had grown was no longer in the chain, so that a second target accepted the same flow.
        let statuses: Vec<TargetStatus> = (1..=20).map(|octet| loaded(octet, "a", 0, 0)).collect();
        let mut balancer = balancer(&statuses);
        let first = first_agent(&balancer.decide(&opening_of(URGENT, 1), 1));
        balancer.flow_locations.record_holder(opening_of(URGENT, 1).flow, agent(first), false, 3);
        let full = TargetStatus { sequence: 2, ..loaded(first, "a", 4, 0) };
        balancer.targets.apply_status(full.clone(), 0, 100);
        let copy = Segment { retransmission: 1, ..opening_of(URGENT, 1) };
        assert_eq!(first_agent(&balancer.decide(&copy, 201)), first);
        // A draining target gets no openings.
        let leaving = TargetStatus { sequence: 3, phase: TargetPhase::Leaving, ..full };
        balancer.targets.apply_status(leaving, 0, 300);
        let copy = Segment { retransmission: 2, ..opening_of(URGENT, 1) };
        assert_ne!(first_agent(&balancer.decide(&copy, 601)), first);
    };
    an_opening_waits_while_candidates_are_left_that_have_not_been_asked: {
        // Eight agents that had just started again refused an opening without being full. It was reset, although
        // other targets were idle.
        let refuse = |target_count, route| {
            let statuses: Vec<TargetStatus> = (1..=target_count).map(|octet| loaded(octet, "a", 0, 0)).collect();
            let mut balancer = balancer(&statuses);
            let opening = opening_of(route, 1);
            let ForwardingDecision::Send(offer) = balancer.decide(&opening, 1) else { panic!() };
            let (first, header) = &offer[0];
            balancer.handle_returned_segment(&opening, &returned(*first, header.search_id, false), 5)
        };
        assert_eq!(refuse(9, URGENT), ForwardingDecision::Wait(WaitReason::AllFull));
        for (target_count, route) in [(8, URGENT), (9, UNCLASSED)] {
            assert_eq!(refuse(target_count, route), ForwardingDecision::Reset(ResetReason::NoTarget));
        }
    };
    an_objective_shorter_than_the_usual_answer_does_not_make_every_opening_late: {
        // Openings of the most urgent route were released after all others, as none could be in time.
        let short = RequestClass { priority: 0, objective_ms: 60, timeout_ms: 1_000 };
        assert!(offering::can_be_in_time(0, &short) && offering::can_be_in_time(30, &short));
        assert!(!offering::can_be_in_time(31, &short));
        let usual = RequestClass { objective_ms: 250, ..short };
        assert!(offering::can_be_in_time(170, &usual) && !offering::can_be_in_time(171, &usual));
    };
}
