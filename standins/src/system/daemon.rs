//! Daemons as child processes.

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

/// Time between two checks whether the process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Daemon that runs as a child process and is killed on drop.
pub struct Daemon {
    child: Child,
}

impl Daemon {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the child process can be signalled until it has been waited for");
    }

    /// Waits for the process to end. Returns its exit code, -1 if a signal ended it, or `None` after the
    /// time-out.
    pub async fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Some(status) =
                self.child.try_wait().expect("the state of the child process is readable")
            {
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

    /// Kills the process and waits for its end.
    pub fn kill(mut self) {
        self.kill_and_wait();
    }

    fn kill_and_wait(&mut self) {
        // Errors are ignored: the process may already have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill_and_wait();
    }
}

/// Starts a daemon whose standard error is appended to the file `log`.
pub fn start_daemon(program: &Path, config: &Path, log: &Path) -> Daemon {
    let mut options = fs::OpenOptions::new();
    let log = options
        .create(true)
        .append(true)
        .open(log)
        .expect("the folder of the log file is writable");
    let child = Command::new(program)
        .arg("--config")
        .arg(config)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("the daemon can be started");
    Daemon { child }
}
