//! Stand-in for the network fabric: forwards each datagram of a caller to a random live balancer, and can
//! drop, duplicate, reorder and delay datagrams.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::connection::envelope;
use rhubarbthread::connection::envelope::EnvelopeHeader;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Time between two health checks of the balancers.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time-out of a health check.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Extra delay of a reordered datagram.
const REORDER_DELAY: Duration = Duration::from_millis(5);

/// Size of the receive buffers, in bytes; a longer datagram is truncated.
const MAX_DATAGRAM_BYTES: usize = 4_096;

/// Addresses of a balancer that the fabric uses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct BalancerAddress {
    /// Address that datagrams are sent to.
    pub data: SocketAddrV4,
    /// Address of the health check.
    pub admin: SocketAddrV4,
}

/// Faults that the fabric injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct FabricFaults {
    /// Datagrams dropped, in thousandths.
    pub drop_permille: u32,
    /// Datagrams sent twice, in thousandths.
    pub duplicate_permille: u32,
    /// Datagrams delayed so that later ones overtake them, in thousandths.
    pub reorder_permille: u32,
    /// Delay of every datagram, in microseconds.
    pub delay_us: u64,
    /// Whether health checks are ignored, so that all balancers count as live.
    pub ignore_probes: bool,
}

/// Configuration of the fabric.
#[derive(Clone, Debug)]
pub struct FabricPlan {
    /// Address that agents send their envelopes to.
    pub listen: SocketAddrV4,
    /// Addresses of the services, which the fabric receives the callers' datagrams on.
    pub services: Vec<SocketAddr>,
    /// Balancers to forward to.
    pub balancers: Vec<BalancerAddress>,
    /// Faults from the start.
    pub faults: FabricFaults,
    /// Seed for the random faults and the choice of balancers.
    pub seed: u64,
}

/// Counters of datagrams.
#[derive(Debug, Default)]
pub struct FabricCounts {
    /// Datagrams received from callers.
    pub from_callers: AtomicU64,
    /// Datagrams received from agents for callers.
    pub to_callers: AtomicU64,
    /// Datagrams dropped as an injected fault.
    pub dropped: AtomicU64,
}

/// Running fabric.
pub struct Fabric {
    envelopes: UdpSocket,
    services: IndexMap<SocketAddr, Arc<UdpSocket>>,
    balancers: RwLock<Vec<BalancerAddress>>,
    live: RwLock<Vec<SocketAddrV4>>,
    faults: RwLock<FabricFaults>,
    random: Mutex<StdRng>,
    /// Counters since the start.
    pub counts: FabricCounts,
}

impl Fabric {
    /// Binds the sockets and starts to forward datagrams.
    pub async fn start(plan: &FabricPlan) -> io::Result<Arc<Fabric>> {
        let mut services = IndexMap::new();
        for address in &plan.services {
            services.insert(*address, Arc::new(UdpSocket::bind(address).await?));
        }
        let fabric = Arc::new(Fabric {
            envelopes: UdpSocket::bind(plan.listen).await?,
            services,
            balancers: RwLock::new(plan.balancers.clone()),
            live: RwLock::new(plan.balancers.iter().map(|balancer| balancer.data).collect()),
            faults: RwLock::new(plan.faults),
            random: Mutex::new(StdRng::seed_from_u64(plan.seed)),
            counts: FabricCounts::default(),
        });
        for (address, socket) in &fabric.services {
            let receiver = Arc::clone(&fabric).receive_from_callers(*address, Arc::clone(socket));
            tokio::spawn(receiver);
        }
        tokio::spawn(Arc::clone(&fabric).receive_from_agents());
        tokio::spawn(Arc::clone(&fabric).probe_balancers());
        Ok(fabric)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: FabricFaults) {
        *self.faults.write().expect("lock is not poisoned") = faults;
    }

    /// Replaces the balancers; it takes effect with the next health checks.
    pub fn set_balancers(&self, balancers: &[BalancerAddress]) {
        *self.balancers.write().expect("lock is not poisoned") = balancers.to_vec();
    }

    /// Data addresses of the balancers that currently receive datagrams.
    pub fn live_balancers(&self) -> Vec<SocketAddrV4> {
        self.live.read().expect("lock is not poisoned").clone()
    }

    async fn receive_from_callers(self: Arc<Self>, service: SocketAddr, socket: Arc<UdpSocket>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut bytes = Vec::new();
        loop {
            let Ok((length, caller)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.counts.from_callers.fetch_add(1, Ordering::Relaxed);
            envelope::encode(&EnvelopeHeader::new(caller, service), &buffer[..length], &mut bytes);
            for delay in self.delivery_delays() {
                let Some(balancer) = self.pick_balancer() else {
                    continue;
                };
                self.send_after(bytes.clone(), delay, balancer.into()).await;
            }
        }
    }

    async fn send_after(self: &Arc<Self>, bytes: Vec<u8>, delay: Duration, to: SocketAddr) {
        if delay.is_zero() {
            // A datagram that cannot be sent is dropped, as in a real network.
            let _ = self.envelopes.send_to(&bytes, to).await;
            return;
        }
        let fabric = Arc::clone(self);
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = fabric.envelopes.send_to(&bytes, to).await;
        });
    }

    async fn receive_from_agents(self: Arc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = self.envelopes.recv_from(&mut buffer).await else {
                continue;
            };
            let Ok((header, datagram)) = envelope::decode(&buffer[..length]) else {
                continue;
            };
            let Some(socket) = self.services.get(&header.source) else {
                continue;
            };
            self.counts.to_callers.fetch_add(1, Ordering::Relaxed);
            for delay in self.delivery_delays() {
                if delay.is_zero() {
                    let _ = socket.send_to(datagram, header.destination).await;
                    continue;
                }
                let (socket, datagram) = (Arc::clone(socket), datagram.to_vec());
                tokio::spawn(async move {
                    sleep(delay).await;
                    let _ = socket.send_to(&datagram, header.destination).await;
                });
            }
        }
    }

    /// Delay of each copy of one datagram that is to be delivered; empty if the datagram is dropped.
    fn delivery_delays(&self) -> Vec<Duration> {
        let faults = *self.faults.read().expect("lock is not poisoned");
        let mut random = self.random.lock().expect("lock is not poisoned");
        let mut occurs = |permille: u32| permille > 0 && random.random_range(0..1000) < permille;
        if occurs(faults.drop_permille) {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return Vec::new();
        }
        let delay = Duration::from_micros(faults.delay_us);
        let first = if occurs(faults.reorder_permille) { delay + REORDER_DELAY } else { delay };
        let mut delays = vec![first];
        if occurs(faults.duplicate_permille) {
            delays.push(delay);
        }
        delays
    }

    fn pick_balancer(&self) -> Option<SocketAddrV4> {
        let live = self.live.read().expect("lock is not poisoned");
        if live.is_empty() {
            return None;
        }
        let index = self.random.lock().expect("lock is not poisoned").random_range(0..live.len());
        Some(live[index])
    }

    async fn probe_balancers(self: Arc<Self>) {
        let client = reqwest::Client::new();
        loop {
            let balancers = self.balancers.read().expect("lock is not poisoned").clone();
            let ignore_probes = self.faults.read().expect("lock is not poisoned").ignore_probes;
            let mut ready = Vec::new();
            for balancer in &balancers {
                let url = format!("http://{}/ready", balancer.admin);
                let answer = client.get(url).timeout(PROBE_TIMEOUT).send().await;
                let is_ready = answer.is_ok_and(|answer| answer.status().is_success());
                if is_ready || ignore_probes {
                    ready.push(balancer.data);
                }
            }
            // If no balancer is ready, the fabric forwards to all of them, as real fabrics do.
            if ready.is_empty() {
                ready = balancers.iter().map(|balancer| balancer.data).collect();
            }
            *self.live.write().expect("lock is not poisoned") = ready;
            sleep(PROBE_INTERVAL).await;
        }
    }
}
