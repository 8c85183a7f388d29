//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn new(path: &str) -> std::io::Result<Record> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Record { start: Instant::now(), file })
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
        let _ = file.flush();
    }
}
