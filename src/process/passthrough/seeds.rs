//! Seeds of a node. Each use reads the settings file again, since an operator may change it with or without
//! sending SIGHUP.

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

/// Reads and checks the settings file of one role, and returns the part that all roles share.
pub type ReadNodeSettings = fn(&Path) -> Result<NodeSettings>;

/// The seeds that the settings file names.
pub struct Seeds {
    path: PathBuf,
    read: ReadNodeSettings,
    last_valid: Mutex<Vec<SocketAddrV4>>,
}

impl Seeds {
    /// Starts with the seeds of checked settings. `read` reads their file again.
    pub fn new(settings: &NodeSettings, read: ReadNodeSettings) -> Seeds {
        Seeds { path: settings.path.clone(), read, last_valid: Mutex::new(settings.seeds.clone()) }
    }

    /// Reads the file again. If it is invalid, the seeds of the last valid file apply.
    pub fn current(&self) -> Vec<SocketAddrV4> {
        let mut last_valid = self.last_valid.lock().unwrap_or_else(PoisonError::into_inner);
        match (self.read)(&self.path) {
            Ok(settings) => last_valid.clone_from(&settings.seeds),
            Err(error) => log_event!(Event::ReloadFailed, "{error}"),
        }
        last_valid.clone()
    }

    /// The seeds' hosts at another port. All hosts use the same ports.
    pub fn with_port(&self, port: u16) -> Vec<SocketAddrV4> {
        self.current().into_iter().map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect()
    }

    /// Reads the settings again on each SIGHUP, until the process ends.
    pub async fn reload_on_signal(&self) -> Result<()> {
        let hang_up = signal(SignalKind::hangup());
        let mut hang_up = hang_up.map_err(|source| Error::Runtime { source })?;
        while hang_up.recv().await.is_some() {
            log_event!(Event::Reloaded, "seeds={:?}", self.current());
        }
        Ok(())
    }
}
