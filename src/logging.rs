//! Logs on standard error, one line an event, at `LOG_LEVEL`, as text, `key=value` pairs or JSON.

use std::fmt::Write as _;
use std::io::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Metadata, Record};
use serde_json::Map;

use crate::tunables::LogFormat;

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
        // One write a line: lines of several processes do not mix. A full pipe is not worth dying for.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

/// The pairs of one event, in their order.
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
    let level = record.level().as_str().to_ascii_lowercase();
    let mut pairs = KeyValues(vec![
        ("ts_ms".into(), wall_ms.to_string()),
        ("level".into(), level),
        ("node".into(), controller.into()),
        ("msg".into(), record.args().to_string()),
    ]);
    // Pairs that cannot be read are left out; the message says it all.
    let _ = record.key_values().visit(&mut pairs);
    match format {
        LogFormat::Json => {
            let object: Map<String, serde_json::Value> =
                pairs.0.into_iter().map(|(key, value)| (key, value.into())).collect();
            format!("{}\n", serde_json::Value::Object(object))
        }
        LogFormat::Logfmt | LogFormat::Text => format_logfmt(&pairs.0),
    }
}

fn format_logfmt(pairs: &[(String, String)]) -> String {
    let mut line = String::new();
    for (at, (key, value)) in pairs.iter().enumerate() {
        let space = if at == 0 { "" } else { " " };
        let plain =
            !value.is_empty() && value.bytes().all(|b| b.is_ascii_graphic() && b != b'"' && b != b'=');
        // Writing to a string does not fail.
        let _ =
            if plain { write!(line, "{space}{key}={value}") } else { write!(line, "{space}{key}={value:?}") };
    }
    line.push('\n');
    line
}

pub fn init(controller: &str, format: LogFormat) {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::Error,
        Ok("warn") => LevelFilter::Warn,
        Ok("debug") => LevelFilter::Debug,
        Ok("trace") => LevelFilter::Trace,
        _ => LevelFilter::Info,
    };
    log::set_max_level(level);
    // A second start (tests) keeps the first logger.
    let _ = log::set_boxed_logger(Box::new(StderrLogger { controller: controller.into(), format }));
}

#[cfg(test)]
#[path = "tests/logging.rs"]
mod tests;
