//! What was sent, answered and run, with the time since the start.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    since: Instant,
    lines: Mutex<Vec<String>>,
    /// How often each request has run.
    pub runs: Mutex<BTreeMap<String, u32>>,
}

impl Record {
    pub fn new() -> Record {
        Record { since: Instant::now(), lines: Mutex::default(), runs: Mutex::default() }
    }

    pub fn line(&self, text: &str) {
        let at = self.since.elapsed().as_millis();
        self.lines.lock().unwrap().push(format!("{at:>6} ms {text}"));
    }

    /// Records that a request begins to run.
    pub fn ran(&self, id: &str) {
        *self.runs.lock().unwrap().entry(id.into()).or_default() += 1;
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = File::create(path)?;
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}
