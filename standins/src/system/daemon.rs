//! Daemons as processes.

use std::fs;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use tokio::time::sleep;

/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A daemon that runs as a process; dropped, it is killed.
pub struct Daemon {
    child: Child,
}

impl Daemon {
    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the process was started here and not waited for");
    }

    /// Waits for the end; `None` where it does not come in time.
    pub async fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("the process can be awaited") {
                return Some(status.code().unwrap_or(-1));
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts a daemon that logs to a file.
pub fn start_daemon(program: &Path, config: &Path, log: &Path) -> Daemon {
    let mut options = fs::OpenOptions::new();
    let log = options.create(true).append(true).open(log).expect("the folder is writable");
    let child = Command::new(program)
        .arg("--config")
        .arg(config)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("the daemon starts");
    Daemon { child }
}
