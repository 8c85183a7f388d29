//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at_s:9.3} {text}");
    }
}
