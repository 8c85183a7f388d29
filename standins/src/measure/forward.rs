//! Throughput of forwarding established flows, compared with a bare UDP forwarder that uses the same
//! batching, and memory of a balancer by number of flow tags.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use rhubarbthread::connection::envelope;
use rhubarbthread::connection::envelope::EnvelopeHeader;
use rhubarbthread::connection::tag::Tag;
use rhubarbthread::connection::tag::TagKey;
use rhubarbthread::connection::tag::TagKeys;
use rhubarbthread::process::forwarder;
use rhubarbthread::process::forwarder::Batch;
use rhubarbthread::process::forwarder::Forwarder;
use rhubarbthread::process::forwarder::OutgoingDatagram;
use rhubarbthread::process::forwarder::SharedForwardingTable;
use rhubarbthread::process::keys::read_cluster_keys;
use rhubarbthread::process::metrics::BalancerMetrics;
use rhubarbthread::version::record::Record;
use rhubarbthread::version::record::ServiceRecord;
use rhubarbthread::version::records::Records;
use rhubarbthread::version::table::ForwardingTable;
use serde_json::json;

use crate::measure::process_stats;
use crate::measure::report::Report;
use crate::system::Programs;
use crate::system::ServicePlan;
use crate::system::System;
use crate::system::SystemPlan;

/// Runs of the throughput measurement; the median is reported.
const RUNS: usize = 5;
const RUN_TIME: Duration = Duration::from_secs(2);
const PAYLOAD_BYTES: usize = 1_200;
const SUBNET: u8 = 250;
const SERVICE_NUMBER: u16 = 1;

/// Numbers of flow tags at which the memory is read.
const TAG_COUNTS: [u32; 3] = [0, 10_000, 100_000];

fn address(host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, SUBNET, 7, host), port)
}

fn service_address() -> SocketAddr {
    SocketAddr::from(([10, 0, 80, 1], 4433))
}

/// Runs the throughput and the memory measurement.
pub async fn run(programs: &Programs, report: &mut Report) {
    let mut ratios = Vec::new();
    for number in 0..RUNS {
        let ours = measure(Some(forwarder()));
        let bare = measure(None);
        ratios.push(ours / bare);
        report.add(json!({
            "measure": "forward",
            "run": number,
            "payload_bytes": PAYLOAD_BYTES,
            "datagrams_per_core_second": ours.round(),
            "bare_datagrams_per_core_second": bare.round(),
            "ratio": (ours / bare * 1000.0).round() / 1000.0,
            "target": 0.8,
        }));
    }
    ratios.sort_by(f64::total_cmp);
    report.add(json!({"measure": "forward", "median_ratio": ratios[RUNS / 2], "target": 0.8}));
    measure_memory(programs, report).await;
}

fn tag_keys() -> TagKeys {
    TagKeys::new(vec![TagKey::new(1, &[7; 32])])
}

fn forwarder() -> Arc<Forwarder> {
    let mut records = Records::new();
    records.merge(&Record::Service(ServiceRecord {
        revision: 1,
        name: "s".to_owned(),
        removed: false,
        number: SERVICE_NUMBER,
        address: service_address(),
        first_limit: 1,
        growth_answers: 1,
        request_deadline_ms: 1_000,
        retry_budget_percent: 10,
        zones: Vec::new(),
        stream_paths: Vec::new(),
    }));
    let table = SharedForwardingTable::default();
    *table.write().expect("lock is not poisoned") = Arc::new(ForwardingTable::new(&records, &[]));
    Forwarder::new(table, tag_keys(), Arc::new(BalancerMetrics::new()))
}

/// Datagrams forwarded per second of processor time, by `forwarder` or, without one, by a bare forwarder.
fn measure(forwarder: Option<Arc<Forwarder>>) -> f64 {
    let input = address(1, 7000);
    let sink = UdpSocket::bind(address(2, 7000)).expect("the address is free");
    let socket = forwarder::open_socket(input).expect("the address is free");
    let stop = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..2)
        .map(|number| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || send_until(input, number, &stop))
        })
        .collect();
    let forwarding = thread::spawn({
        let stop = Arc::clone(&stop);
        move || forward_until(forwarder.as_deref(), &socket, &stop)
    });
    thread::sleep(RUN_TIME);
    stop.store(true, Ordering::Relaxed);
    senders.into_iter().for_each(|sender| sender.join().expect("the sender does not panic"));
    let rate = forwarding.join().expect("the forwarder does not panic");
    drop(sink);
    rate
}

fn forward_until(forwarder: Option<&Forwarder>, socket: &UdpSocket, stop: &AtomicBool) -> f64 {
    let mut batch = Batch::new();
    let mut forwarded = 0;
    let start_s = thread_cpu_s();
    while !stop.load(Ordering::Relaxed) {
        forwarded += match forwarder {
            Some(forwarder) => forwarder.forward_batch(&mut batch, socket).unwrap_or(0),
            None => forward_bare(&mut batch, socket),
        };
    }
    forwarded as f64 / (thread_cpu_s() - start_s)
}

/// Forwards every datagram of a batch without reading it.
fn forward_bare(batch: &mut Batch, socket: &UdpSocket) -> usize {
    let received = batch.receive(socket).unwrap_or(0);
    batch.outgoing.clear();
    let to = address(2, 7000);
    batch.outgoing.extend((0..received).map(|index| OutgoingDatagram {
        index,
        rewritten: None,
        to,
    }));
    batch.send(socket);
    received
}

fn thread_cpu_s() -> f64 {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("the clock exists");
    time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9
}

fn send_until(to: SocketAddrV4, number: u16, stop: &AtomicBool) {
    let socket = UdpSocket::bind(address(3 + number as u8, 0)).expect("the address is free");
    let keys = tag_keys();
    let envelopes: Vec<Vec<u8>> = (0..1_000)
        .map(|nonce| tagged_envelope(&keys, SERVICE_NUMBER, service_address(), nonce))
        .collect();
    while !stop.load(Ordering::Relaxed) {
        for bytes in &envelopes {
            // A datagram is dropped if the buffer is full; only forwarded ones are counted.
            let _ = socket.send_to(bytes, to);
        }
    }
}

/// Encodes an envelope with a datagram of an established flow, whose connection ID is a flow tag.
fn tagged_envelope(keys: &TagKeys, service: u16, destination: SocketAddr, nonce: u32) -> Vec<u8> {
    let tag = Tag { agent: address(2, 7000), incarnation: 1, service, zone: 1, nonce };
    let mut payload = vec![0x40];
    payload.extend_from_slice(&keys.seal(&tag));
    payload.resize(PAYLOAD_BYTES, 0);
    let caller = SocketAddr::from((Ipv4Addr::from_bits(0x0a63_0000 + nonce), 50_000));
    let mut bytes = Vec::new();
    envelope::encode(&EnvelopeHeader::new(caller, destination), &payload, &mut bytes);
    bytes
}

/// Measures the memory of a real balancer after it has forwarded datagrams of [`TAG_COUNTS`] flows.
async fn measure_memory(programs: &Programs, report: &mut Report) {
    let folder = std::env::temp_dir().join(format!("rhubarbthread-forward-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
    let mut plan = SystemPlan::new(SUBNET).with_services(vec![ServicePlan::new("vypocet", 1, 9)]);
    plan.balancers = 1;
    let system = System::start(plan, programs.clone(), &folder).await;
    let keys = read_cluster_keys(&folder.join("keys/cluster-keys.jsonc"))
        .expect("the generated keys are valid");
    let pid = system.balancers[0].as_ref().expect("the balancer is running").id();
    let socket = UdpSocket::bind(address(9, 0)).expect("the address is free");
    let to = SocketAddrV4::new(Ipv4Addr::new(127, SUBNET, 1, 1), 7000);
    let mut sent = 0;
    for tags in TAG_COUNTS {
        while sent < tags {
            let bytes = tagged_envelope(&keys.tag_keys, SERVICE_NUMBER, system.service(0), sent);
            let _ = socket.send_to(&bytes, to);
            sent += 1;
            if sent.is_multiple_of(64) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        let name = "rhubarbthread_forwarded_established_total";
        let forwarded = system.metric(system.balancer_admin(0), name).await;
        report.add(json!({
            "measure": "forward-memory",
            "flow_tags": tags,
            "forwarded": forwarded,
            "balancer_rss_kb": process_stats::rss_kb(pid),
        }));
    }
    drop(system);
    // An error is ignored: the folder only contains logs and generated files.
    let _ = std::fs::remove_dir_all(folder);
}
