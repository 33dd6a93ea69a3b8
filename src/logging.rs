//! Logs to standard error at the level given by `LOG_LEVEL`: one line per event, as text, `key=value` pairs or JSON.

use std::fmt::Write as _;
use std::io::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Metadata, Record};
use serde_json::Map;

use crate::tunables::LogFormat;

/// Writes log events to standard error.
struct StderrLogger {
    controller: String,
    format: LogFormat,
}

impl log::Log for StderrLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = format_line(self.format, &self.controller, wall.as_millis() as u64, record);
        // A single write per line keeps the lines of several processes from interleaving. The result is ignored, as a
        // failure to log must not stop the program.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

/// The key-value pairs of one event, in the order in which they are written.
struct KeyValues(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for KeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.push((key.as_str().into(), value.to_string()));
        Ok(())
    }
}

fn format_line(format: LogFormat, controller: &str, wall_ms: u64, record: &Record<'_>) -> String {
    if format == LogFormat::Text {
        return format!("{} {controller} {}\n", record.level(), record.args());
    }
    let KeyValues(pairs) = key_values(controller, wall_ms, record);
    if format == LogFormat::Json { format_json(pairs) } else { format_logfmt(&pairs) }
}

fn key_values(controller: &str, wall_ms: u64, record: &Record<'_>) -> KeyValues {
    let level = record.level().as_str().to_ascii_lowercase();
    let mut pairs = KeyValues(vec![
        ("ts_ms".into(), wall_ms.to_string()),
        ("level".into(), level),
        ("node".into(), controller.into()),
        ("msg".into(), record.args().to_string()),
    ]);
    // Pairs that cannot be formatted are omitted; the message is useful without them.
    let _ = record.key_values().visit(&mut pairs);
    pairs
}

fn format_json(pairs: Vec<(String, String)>) -> String {
    let object: Map<String, serde_json::Value> =
        pairs.into_iter().map(|(key, value)| (key, value.into())).collect();
    format!("{}\n", serde_json::Value::Object(object))
}

fn format_logfmt(pairs: &[(String, String)]) -> String {
    let mut line = String::new();
    for (index, (key, value)) in pairs.iter().enumerate() {
        let separator = if index == 0 { "" } else { " " };
        // Writing to a string does not fail.
        let _ = if needs_quotes(value) {
            write!(line, "{separator}{key}={value:?}")
        } else {
            write!(line, "{separator}{key}={value}")
        };
    }
    line.push('\n');
    line
}

fn needs_quotes(value: &str) -> bool {
    value.is_empty() || !value.bytes().all(|b| b.is_ascii_graphic() && b != b'"' && b != b'=')
}

/// Installs the logger of this process; `controller` names the controller in each line. The environment variable
/// `LOG_LEVEL` sets the level, `info` by default.
pub fn init(controller: &str, format: LogFormat) {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::Error,
        Ok("warn") => LevelFilter::Warn,
        Ok("debug") => LevelFilter::Debug,
        Ok("trace") => LevelFilter::Trace,
        _ => LevelFilter::Info,
    };
    log::set_max_level(level);
    // If a logger is already installed in this process, as in tests, it is kept.
    let _ = log::set_boxed_logger(Box::new(StderrLogger { controller: controller.into(), format }));
}

#[cfg(test)]
#[path = "tests/logging.rs"]
mod tests;
