//! Lines for the operators, on standard error.

use std::fmt::Arguments;
use std::io::Write;
use std::time::Duration;

/// Writes lines, so many a second; what goes beyond is counted and told with the next second's first line.
pub struct Log {
    most: u32,
    second: u64,
    written: u32,
    dropped: u32,
}

impl Log {
    /// A log of so many lines a second.
    pub fn new(most: u32) -> Log {
        Log { most, second: 0, written: 0, dropped: 0 }
    }

    /// What is of use to know.
    pub fn info(&mut self, now: Duration, text: Arguments) {
        self.line(now, "info", text);
    }

    /// What someone may have to look at.
    pub fn warn(&mut self, now: Duration, text: Arguments) {
        self.line(now, "warn", text);
    }

    fn line(&mut self, now: Duration, level: &str, text: Arguments) {
        // A log that cannot be written must not stop the ingress: errors are passed over.
        let mut out = std::io::stderr().lock();
        if now.as_secs() != self.second {
            if self.dropped > 0 {
                let _ = writeln!(out, "roseyard: warn: log: {} lines dropped", self.dropped);
            }
            (self.second, self.written, self.dropped) = (now.as_secs(), 0, 0);
        }
        if self.written >= self.most {
            self.dropped += 1;
            return;
        }
        self.written += 1;
        let _ = writeln!(out, "roseyard: {level}: {text}");
    }
}
