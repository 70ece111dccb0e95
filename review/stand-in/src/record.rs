//! Record of what a case sent, got and saw.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, String> {
        let file = File::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Self { started: Instant::now(), file: Mutex::new(file) })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with the time of an earlier event.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with the lock");
        // The outcome of a case does not depend on its record.
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
