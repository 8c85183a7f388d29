//! Traces of the inputs to the decisions of a daemon, one JSON object a line, for replay in tests.

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

/// Writes a trace, or nothing where none is set.
#[derive(Debug, Default)]
pub struct Trace {
    file: Option<Mutex<BufWriter<File>>>,
}

impl Trace {
    /// Opens the file of a trace; without a path nothing is written.
    pub fn new(path: Option<&Path>) -> Result<Trace> {
        let Some(path) = path else {
            return Ok(Trace::default());
        };
        let file = File::create(path).context(FileSnafu { path })?;
        Ok(Trace { file: Some(Mutex::new(BufWriter::new(file))) })
    }

    /// Whether anything is written.
    pub fn is_enabled(&self) -> bool {
        self.file.is_some()
    }

    /// Writes one line.
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
