//! Seeds, read anew from the settings whenever they are needed: the file changes while the process
//! runs, with SIGHUP or without a signal.

use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::Error;
use crate::error::Result;
use crate::log_event;
use crate::process::events::Event;
use crate::process::passthrough::settings::NodeSettings;

/// Reads and checks the settings of one role.
pub type ReadNodeSettings = fn(&Path) -> Result<NodeSettings>;

/// The seeds as the settings name them now.
pub struct Seeds {
    path: PathBuf,
    read: ReadNodeSettings,
    last: Mutex<Vec<SocketAddrV4>>,
}

impl Seeds {
    /// Starts with the seeds of checked settings; `read` reads their file again.
    pub fn new(settings: &NodeSettings, read: ReadNodeSettings) -> Seeds {
        Seeds { path: settings.path.clone(), read, last: Mutex::new(settings.seeds.clone()) }
    }

    /// Reads the file again; where it is wrong, what was read last holds.
    pub fn current(&self) -> Vec<SocketAddrV4> {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        match (self.read)(&self.path) {
            Ok(settings) => last.clone_from(&settings.seeds),
            Err(error) => log_event!(Event::ReloadFailed, "{error}"),
        }
        last.clone()
    }

    /// Where the seeds listen on another port; ports are the same on all hosts.
    pub fn with_port(&self, port: u16) -> Vec<SocketAddrV4> {
        self.current().into_iter().map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect()
    }

    /// Reads the settings at each SIGHUP, for as long as the process runs.
    pub async fn reload_on_signal(&self) -> Result<()> {
        let hang_up = signal(SignalKind::hangup());
        let mut hang_up = hang_up.map_err(|source| Error::Runtime { source })?;
        while hang_up.recv().await.is_some() {
            log_event!(Event::Reloaded, "seeds={:?}", self.current());
        }
        Ok(())
    }
}
