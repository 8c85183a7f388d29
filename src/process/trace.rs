//! Trace files of the inputs to a daemon's decisions, one JSON object in each line, for replay in
//! tests.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;

use serde::Serialize;
use snafu::ResultExt;

use crate::error::FileSnafu;
use crate::error::Result;
use crate::log_event;
use crate::process::events::Event;

/// Writer of a trace file. Without a file it discards all lines.
#[derive(Debug, Default)]
pub struct Trace {
    file: Option<Mutex<BufWriter<File>>>,
}

impl Trace {
    /// Creates the trace file, or a writer without a file if `path` is `None`.
    pub fn new(path: Option<&Path>) -> Result<Trace> {
        let Some(path) = path else {
            return Ok(Trace::default());
        };
        let file = File::create(path).context(FileSnafu { path })?;
        Ok(Trace { file: Some(Mutex::new(BufWriter::new(file))) })
    }

    /// Whether there is a trace file.
    pub fn is_enabled(&self) -> bool {
        self.file.is_some()
    }

    /// Writes one line and flushes it. A failure is logged, and the daemon goes on without the
    /// line.
    pub fn write(&self, line: &impl Serialize) {
        let Some(file) = &self.file else {
            return;
        };
        let mut file = file.lock().expect("lock is not poisoned");
        let written = serde_json::to_writer(&mut *file, line)
            .map_err(std::io::Error::from)
            .and_then(|()| file.write_all(b"\n"))
            .and_then(|()| file.flush());
        if let Err(error) = written {
            log_event!(Event::TraceFailed, "{error}");
        }
    }
}
