//! The project's own programs as processes, with settings like those that the templates of `deploy/` give.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

pub const DATA: u16 = 18_172;
pub const READY: u16 = 18_167;
pub const CONTROL: u16 = 18_166;
pub const INTERNAL: u16 = 17_720;
pub const OUTBOUND: u16 = 18_162;
pub const APP: u16 = 18_165;
pub const METRICS: u16 = 19_464;
pub const STORE: u16 = 18_169;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Machines of one deployment: addresses of a loopback network that nobody uses.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
}

impl Network {
    pub fn find() -> Option<Network> {
        let first = (std::process::id() % 100) as u8;
        (0..100).map(|step| Network { second: 100 + (first + step) % 100 }).find(|network| {
            let is_free = |host, port| TcpListener::bind(network.at(host, port)).is_ok();
            is_free(1, STORE) && is_free(11, DATA) && is_free(21, APP)
        })
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.second, 0, host), port)
    }
}

pub struct Node {
    pub name: String,
    child: Child,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
}

impl Node {
    pub fn start(
        folder: &Path,
        network: Network,
        role: &'static str,
        host: u8,
        zone: &str,
        seeds: &[u8],
    ) -> Node {
        let at = |port| network.at(host, port).to_string();
        let name = format!("{role}-{zone}-{host}");
        let own = match role {
            "balancer" => format!(r#""exchange_address": "{}","#, at(CONTROL)),
            _ => format!(
                r#""announce_address": "{}", "from_target_address": "{}", "target_address": "{}",
  "address_reuse_s": 2, "request_order": "priority","#,
                at(CONTROL),
                at(OUTBOUND),
                at(APP)
            ),
        };
        let seeds = seeds.iter().map(|host| format!("\"{}\"", network.at(*host, CONTROL)));
        let seeds: Vec<String> = seeds.collect();
        let text = format!(
            r#"{{
  "node": "{name}", "availability_zone": "{zone}", {own}
  "data_address": "{}", "control_address": "{}", "ready_address": "{}",
  "metrics_addresses": ["{}"], "seeds": [{}], "store_endpoints": ["http://{}"],
  "store_silence_ms": 4000, "stop_s": 6, "log": {{ "format": "json", "level": "info" }}
}}
"#,
            at(DATA),
            at(INTERNAL),
            at(READY),
            at(METRICS),
            seeds.join(", "),
            network.at(1, STORE)
        );
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text).expect("settings can be written");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(role, &settings, &log);
        Node { name, child, role, settings, log }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` takes any numbers; the child has not been waited for, so that its id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    #[allow(dead_code)]
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    #[allow(dead_code)]
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(self.role, &self.settings, &self.log);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(role: &str, settings: &Path, log: &Path) -> Child {
    let log =
        fs::OpenOptions::new().create(true).append(true).open(log).expect("a log can be written");
    Command::new("target/release/rhubarbthread-node")
        .arg(role)
        .env("RHUBARBTHREAD_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.try_clone().expect("the log can be shared")))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("the program starts")
}
