//! Daemon that runs beside a target: terminates the callers' flows and forwards their requests to the target.

use std::path::Path;
use std::process::exit;

use rhubarbthread::error::Result;
use rhubarbthread::process::agent;
use rhubarbthread::process::daemon;
use rhubarbthread::process::daemon::Daemon;
use rhubarbthread::process::keys::read_cluster_keys;
use rhubarbthread::process::settings::AgentSettings;
use rhubarbthread::process::settings::LogSettings;
use rhubarbthread::process::tls;

struct AgentDaemon;

impl Daemon for AgentDaemon {
    type Settings = AgentSettings;

    const NAME: &'static str = "rhubarbthread-agent";

    fn read_settings(path: &Path) -> Result<AgentSettings> {
        let settings = AgentSettings::read(path)?;
        read_cluster_keys(&settings.keys_file)?;
        tls::mutual_tls_configs(&settings.tls)?;
        tls::caller_server_config(&settings.caller_tls)?;
        Ok(settings)
    }

    fn log_settings(settings: &AgentSettings) -> &LogSettings {
        &settings.log
    }

    async fn run(settings: AgentSettings) -> Result<()> {
        agent::run(settings).await
    }
}

fn main() {
    exit(daemon::main::<AgentDaemon>());
}
