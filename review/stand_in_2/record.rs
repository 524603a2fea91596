//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begin: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = Mutex::new(File::create(path).expect("record"));
        Record { begin: Instant::now(), file }
    }

    pub fn line(&self, text: &str) {
        let ms = self.begin.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{ms:>6} {text}");
        println!("{ms:>6} {text}");
    }
}
