//! The record of a run: what was sent, answered and run, each with its time.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes `record.txt`. Clones share the file and the clock.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            start: Instant::now(),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64() * 1000.0;
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{now:10.1} ms  {text}");
            let _ = file.flush();
        }
    }

    /// Writes a line, and also prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
