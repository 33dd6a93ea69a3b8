//! The record of a run: one line an event, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

pub fn open(path: &str) {
    START.get_or_init(Instant::now);
    FILE.get_or_init(|| Mutex::new(File::create(path).expect("record file")));
}

/// Seconds since the start.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn line(text: &str) {
    if let Some(file) = FILE.get() {
        let _ = writeln!(file.lock().unwrap_or_else(|e| e.into_inner()), "{:8.3} {text}", now());
    }
}

#[macro_export]
macro_rules! rec {
    ($($arg:tt)*) => { $crate::record::line(&format!($($arg)*)) };
}
