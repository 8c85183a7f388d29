//! Complete system on the loopback interface for tests and measurements. The daemons run as child processes,
//! the stand-ins inside the calling process.
//!
//! Each system uses its own subnet `127.N.0.0/16`, so that several systems can run at the same time.

mod address;
mod daemon;
mod files;
mod plan;

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rhubarbthread::process::keys::read_cluster_keys;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::baseline::Baseline;
use crate::baseline::BaselineBalancer;
use crate::fabric::BalancerAddress;
use crate::fabric::Fabric;
use crate::fabric::FabricPlan;
use crate::load::LoadPlan;
use crate::store::StandinStore;
use crate::system::address::address;
use crate::system::address::balancer_address;
use crate::system::address::service_address;
pub use crate::system::daemon::Daemon;
use crate::system::daemon::start_daemon;
pub use crate::system::plan::ServicePlan;
pub use crate::system::plan::SystemPlan;
use crate::target::Target;
use crate::target::TargetPlan;

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time-out for the system to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Paths of the programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `rhubarbthread-balancer`.
    pub balancer: PathBuf,
    /// `rhubarbthread-agent`.
    pub agent: PathBuf,
    /// `rhubarbthread`, the operators' tool.
    pub operator: PathBuf,
}

impl Programs {
    /// Returns the programs in the folder of the running program.
    pub fn beside_current_exe() -> io::Result<Programs> {
        let exe = std::env::current_exe()?;
        let folder = exe.parent().unwrap_or(Path::new("."));
        Ok(Programs {
            balancer: folder.join("rhubarbthread-balancer"),
            agent: folder.join("rhubarbthread-agent"),
            operator: folder.join("rhubarbthread"),
        })
    }
}

/// Place for one target and the agent beside it, which can be stopped and started again.
pub struct TargetPlace {
    /// Service of the target.
    pub service: ServicePlan,
    /// Availability zone of the agent.
    pub zone: String,
    /// Agent daemon, while it runs.
    pub agent: Option<Daemon>,
    /// Target, while it runs.
    pub target: Option<Arc<Target>>,
}

/// Running system.
pub struct System {
    /// Plan that the system was started with.
    pub plan: SystemPlan,
    programs: Programs,
    folder: PathBuf,
    /// Stand-in store.
    pub store: StandinStore,
    /// Stand-in fabric.
    pub fabric: Arc<Fabric>,
    /// Balancer daemons; `None` for those that are stopped.
    pub balancers: Vec<Option<Daemon>>,
    /// Places of the targets and their agents.
    pub places: Vec<TargetPlace>,
    client: reqwest::Client,
}

impl System {
    /// Starts all parts, publishes the services, and waits until all daemons are ready. `folder` must be
    /// empty.
    pub async fn start(plan: SystemPlan, programs: Programs, folder: &Path) -> System {
        let mut system = System::start_without_daemons(plan, programs, folder).await;
        for index in 0..system.plan.balancers {
            system.start_balancer(index);
        }
        for index in 0..system.places.len() {
            system.start_agent(index);
            system.start_target(index, true).await;
        }
        system.publish();
        system.wait_until_ready().await;
        system
    }

    /// Starts the store and the fabric and writes all files, but starts no daemon or target.
    pub async fn start_without_daemons(
        plan: SystemPlan,
        programs: Programs,
        folder: &Path,
    ) -> System {
        let store = StandinStore::new(plan.seed);
        let subnet = plan.subnet;
        tokio::spawn(store.clone().serve(address(subnet, 90, 1, 2379)));
        let services = (0..plan.services.len()).map(|index| service_address(subnet, index));
        let fabric_plan = FabricPlan {
            listen: address(subnet, 90, 2, 7000),
            services: services.collect(),
            balancers: (0..plan.balancers).map(|index| balancer_address(subnet, index)).collect(),
            faults: plan.faults,
            seed: plan.seed,
        };
        let fabric =
            Fabric::start(&fabric_plan).await.expect("the addresses of the fabric are free");
        let zones = plan.zones.clone();
        let of_service = |service: &ServicePlan| vec![service.clone(); service.targets];
        let places = plan.services.iter().flat_map(of_service).enumerate();
        let places = places.map(|(index, service)| TargetPlace {
            service,
            zone: zones[index % zones.len()].clone(),
            agent: None,
            target: None,
        });
        let system = System {
            places: places.collect(),
            balancers: (0..plan.balancers).map(|_| None).collect(),
            plan,
            programs,
            folder: folder.to_owned(),
            store,
            fabric,
            client: reqwest::Client::new(),
        };
        system.write_files();
        system
    }

    /// Address of a service.
    pub fn service(&self, index: usize) -> SocketAddr {
        service_address(self.plan.subnet, index)
    }

    /// Path of the certificate of the certificate authority.
    pub fn authority(&self) -> PathBuf {
        self.folder.join("keys/authority.pem")
    }

    /// Plan of a moderate load on all services.
    pub fn load_plan(&self) -> LoadPlan {
        LoadPlan {
            services: (0..self.plan.services.len()).map(|index| self.service(index)).collect(),
            authority: self.authority(),
            server_name: "localhost".to_owned(),
            callers: 20,
            requests: 40,
            flow_requests: 0,
            pause_ms: 100,
            work_ms: 10,
            streams: 20,
            stream_chunks: 60,
            stream_ms: 100,
            non_idempotent_percent: 30,
            deadline: Duration::from_secs(20),
            retry_budget_percent: 10,
            seed: self.plan.seed,
            id_prefix: String::new(),
        }
    }

    /// Starts or restarts a balancer.
    pub fn start_balancer(&mut self, index: usize) {
        let config = self.folder.join(format!("balancer-{index}.jsonc"));
        let log = self.folder.join(format!("balancer-{index}.log"));
        self.balancers[index] = Some(start_daemon(&self.programs.balancer, &config, &log));
    }

    /// Starts or restarts an agent.
    pub fn start_agent(&mut self, index: usize) {
        let config = self.folder.join(format!("agent-{index}.jsonc"));
        let log = self.folder.join(format!("agent-{index}.log"));
        self.places[index].agent = Some(start_daemon(&self.programs.agent, &config, &log));
    }

    /// Starts a target at a place, warm or cold. The previous target must have ended.
    pub async fn start_target(&mut self, index: usize, warm: bool) -> Arc<Target> {
        let place = &self.places[index];
        let plan = TargetPlan {
            listen: self.target_address(index),
            agent: self.agent_admin(index),
            service: place.service.name.clone(),
            slots: place.service.slots,
            connections: place.service.connections,
            first_limit: place.service.first_limit,
            growth_answers: place.service.growth_answers,
            warm,
            process: format!("{index}-{:08x}", rand::random::<u32>()),
            sheds_load: false,
        };
        self.start_target_with(index, plan).await
    }

    /// Starts a target at a place with another plan than that of its service.
    pub async fn start_target_with(&mut self, index: usize, plan: TargetPlan) -> Arc<Target> {
        let target = Target::start(plan).await.expect("the address of the target is free");
        self.places[index].target = Some(Arc::clone(&target));
        target
    }

    /// Target that runs at a place. Panics if there is none.
    pub fn target(&self, index: usize) -> &Arc<Target> {
        self.places[index].target.as_ref().expect("a target is running at this place")
    }

    /// Address that the target of a place listens on.
    pub fn target_address(&self, index: usize) -> SocketAddr {
        address(self.plan.subnet, 3, index as u8 + 1, 8080).into()
    }

    /// Admin address of the agent of a place.
    pub fn agent_admin(&self, index: usize) -> SocketAddrV4 {
        address(self.plan.subnet, 2, index as u8 + 1, 7002)
    }

    /// Data address of the agent of a place.
    pub fn agent_data(&self, index: usize) -> SocketAddrV4 {
        address(self.plan.subnet, 2, index as u8 + 1, 7000)
    }

    /// Admin address of a balancer.
    pub fn balancer_admin(&self, index: usize) -> SocketAddrV4 {
        balancer_address(self.plan.subnet, index).admin
    }

    /// Directs the fabric to baseline balancers instead of the real ones. The real ones keep running, because
    /// the baseline balancers get the live targets from them.
    pub async fn use_baseline(&self, kind: Baseline) {
        let keys = read_cluster_keys(&self.folder.join("keys/cluster-keys.jsonc"));
        let keys = keys.expect("the keys were created at the start").tag_keys;
        let names = self.plan.services.iter().map(|service| service.name.clone());
        let services = names.enumerate().map(|(index, name)| (name, self.service(index)));
        let mut balancers = Vec::new();
        for index in 0..self.plan.balancers {
            let listen = address(self.plan.subnet, 4, index as u8 + 1, 7000);
            let admin = self.balancer_admin(index);
            BaselineBalancer::start(kind, listen, admin, services.clone().collect(), keys.clone())
                .await
                .expect("the address of the baseline balancer is free");
            balancers.push(BalancerAddress { data: listen, admin });
        }
        self.fabric.set_balancers(&balancers);
        sleep(Duration::from_secs(1)).await;
    }

    /// Runs the operators' tool and returns its exit code and its output.
    pub fn run_operator_tool(&self, arguments: &[&str]) -> (i32, String) {
        let output = Command::new(&self.programs.operator)
            .arg("--config")
            .arg(self.folder.join("rhubarbthread.jsonc"))
            .args(arguments)
            .output()
            .expect("the operators' tool can be started");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    /// Publishes the service files. It retries, because the store may not be listening yet.
    pub fn publish(&self) {
        let folder = self.services_folder();
        for _ in 0..100 {
            let (code, _) =
                self.run_operator_tool(&["publish", folder.to_str().expect("the path is UTF-8")]);
            if code == 0 {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!(
            "the service files could not be published; result of the check: {:?}",
            self.run_operator_tool(&["check", folder.to_str().unwrap()])
        );
    }

    /// Folder of the service files.
    pub fn services_folder(&self) -> PathBuf {
        self.folder.join("services")
    }

    /// Takes a zone out of service, or puts it back, with the operators' tool.
    pub fn set_zone(&self, zone: &str, out: bool) {
        let direction = if out { "out" } else { "in" };
        let (code, text) = self.run_operator_tool(&["zone", direction, zone]);
        assert_eq!(code, 0, "{text}");
    }

    /// Waits until every running daemon is ready and every running balancer knows all running targets.
    pub async fn wait_until_ready(&self) {
        self.wait_for("all daemons ready", READY_TIMEOUT, async |system: &System| {
            for index in 0..system.balancers.len() {
                let runs = system.balancers[index].is_some();
                if runs && !system.knows_all_targets(index).await {
                    return false;
                }
            }
            for index in 0..system.places.len() {
                let runs = system.places[index].agent.is_some();
                if runs && !system.is_ready(system.agent_admin(index)).await {
                    return false;
                }
            }
            true
        })
        .await;
    }

    async fn knows_all_targets(&self, index: usize) -> bool {
        let admin = self.balancer_admin(index);
        let Some(status) = self.status(admin).await else {
            return false;
        };
        let targets = status["targets"].as_array().cloned().unwrap_or_default();
        let serving = |target: &&Value| {
            target["lost"] == json!(false)
                && (target["phase"] == json!("serving") || target["phase"] == json!("cold"))
        };
        let running = self.places.iter().filter(|place| place.agent.is_some()).count();
        self.is_ready(admin).await && targets.iter().filter(serving).count() >= running
    }

    /// Waits for a condition and returns how long it took. Panics after the time-out, with `what` as the name
    /// of the condition.
    pub async fn wait_for(
        &self,
        what: &str,
        timeout: Duration,
        condition: impl AsyncFn(&System) -> bool,
    ) -> Duration {
        let start = Instant::now();
        while !condition(self).await {
            assert!(
                start.elapsed() < timeout,
                "{what}: not reached within {timeout:?}\n{}",
                self.logs()
            );
            sleep(POLL_INTERVAL).await;
        }
        start.elapsed()
    }

    /// Whether the readiness check of a daemon succeeds.
    pub async fn is_ready(&self, admin: SocketAddrV4) -> bool {
        let answer = self.client.get(format!("http://{admin}/ready")).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Status report of a daemon; `None` if it does not answer.
    pub async fn status(&self, admin: SocketAddrV4) -> Option<Value> {
        let request = self.client.get(format!("http://{admin}/status"));
        let answer = request.timeout(Duration::from_secs(2)).send().await.ok()?;
        answer.json().await.ok()
    }

    /// Value of a metric, given by its name with all labels as they are printed. 0 if the daemon does not
    /// answer or has no such metric.
    pub async fn metric(&self, admin: SocketAddrV4, name: &str) -> f64 {
        let request = self.client.get(format!("http://{admin}/metrics"));
        let Ok(answer) = request.timeout(Duration::from_secs(2)).send().await else {
            return 0.0;
        };
        let text = answer.text().await.unwrap_or_default();
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        value.unwrap_or(0.0)
    }

    /// Last lines of all log files, for failure messages.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        let Ok(entries) = fs::read_dir(&self.folder) else {
            return text;
        };
        for entry in entries.flatten().filter(|entry| is_log(&entry.path())) {
            let log = fs::read_to_string(entry.path()).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let last = &lines[lines.len().saturating_sub(8)..];
            text += &format!("{}\n{}\n", entry.path().display(), last.join("\n"));
        }
        text
    }

    /// Path of an agent's trace file.
    pub fn trace_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("agent-{index}.trace"))
    }
}

fn is_log(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "log")
}
