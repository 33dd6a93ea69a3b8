//! Logs on standard error, one line an event, at `LOG_LEVEL`.

use std::io::Write;

use log::{LevelFilter, Metadata, Record};

struct Stderr {
    node: String,
}

impl log::Log for Stderr {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = format!("{} {} {}\n", record.level(), self.node, record.args());
        // One write a line: lines of several processes do not mix. A full pipe is not worth dying for.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

pub fn start(node: &str) {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::Error,
        Ok("warn") => LevelFilter::Warn,
        Ok("debug") => LevelFilter::Debug,
        Ok("trace") => LevelFilter::Trace,
        _ => LevelFilter::Info,
    };
    log::set_max_level(level);
    // A second start (tests) keeps the first logger.
    let _ = log::set_boxed_logger(Box::new(Stderr { node: node.into() }));
}
