//! Daemon that forwards the datagrams of callers to agents.

use std::path::Path;
use std::process::exit;

use rhubarbthread::error::Result;
use rhubarbthread::process::balancer;
use rhubarbthread::process::daemon;
use rhubarbthread::process::daemon::Daemon;
use rhubarbthread::process::keys::read_cluster_keys;
use rhubarbthread::process::settings::BalancerSettings;
use rhubarbthread::process::settings::LogSettings;
use rhubarbthread::process::tls;

struct BalancerDaemon;

impl Daemon for BalancerDaemon {
    type Settings = BalancerSettings;

    const NAME: &'static str = "rhubarbthread-balancer";

    fn read_settings(path: &Path) -> Result<BalancerSettings> {
        let settings = BalancerSettings::read(path)?;
        read_cluster_keys(&settings.keys_file)?;
        tls::mutual_tls_configs(&settings.tls)?;
        Ok(settings)
    }

    fn log_settings(settings: &BalancerSettings) -> &LogSettings {
        &settings.log
    }

    async fn run(settings: BalancerSettings) -> Result<()> {
        balancer::run(settings).await
    }
}

fn main() {
    exit(daemon::main::<BalancerDaemon>());
}
