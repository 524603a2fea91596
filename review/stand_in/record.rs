//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    since: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &str) -> std::io::Result<Record> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), since: Instant::now() })
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.since.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}
