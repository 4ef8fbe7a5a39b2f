//! Logger that writes JSON lines.

use std::collections::BTreeMap;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde::Serialize;
use simplelog::{ConfigBuilder, SharedLogger, WriteLogger};

use crate::{JsonLoggerError, ProcessIdentity};

#[derive(Serialize)]
struct JsonLine<'a> {
    time_us: u64,
    level: &'a str,
    target: &'a str,
    host: &'a str,
    failure_domain: &'a str,
    incarnation: u64,
    message: String,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    fields: BTreeMap<String, String>,
}

/// Collects the key-value pairs of a log record.
#[derive(Default)]
struct FieldCollector(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Logger that writes each record as a JSON object on its own line, through `simplelog`.
///
/// `simplelog` cannot write JSON itself, so its prefixes are disabled; it still provides
/// level filtering, locking and output.
pub struct JsonLogger<W: Write + Send + 'static> {
    identity: ProcessIdentity,
    level: LevelFilter,
    inner: Box<WriteLogger<W>>,
}

impl<W: Write + Send + 'static> JsonLogger<W> {
    /// Creates a logger that writes to `out`.
    pub fn new(identity: ProcessIdentity, level: LevelFilter, out: W) -> Self {
        let config = ConfigBuilder::new()
            .set_max_level(LevelFilter::Off)
            .set_time_level(LevelFilter::Off)
            .set_thread_level(LevelFilter::Off)
            .set_target_level(LevelFilter::Off)
            .set_location_level(LevelFilter::Off)
            .build();
        Self {
            identity,
            level,
            inner: WriteLogger::new(level, config, out),
        }
    }

    /// Installs the logger for the whole process.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is already installed.
    pub fn install(self) -> Result<(), JsonLoggerError> {
        log::set_max_level(self.level);
        log::set_boxed_logger(Box::new(self)).map_err(|_| JsonLoggerError::AlreadyInstalled)
    }

    fn render(&self, record: &Record<'_>) -> Option<String> {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut fields = FieldCollector::default();
        // `FieldCollector` never returns an error.
        let _ = record.key_values().visit(&mut fields);
        let line = JsonLine {
            time_us: u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX),
            level: record.level().as_str(),
            target: record.target(),
            host: self.identity.host.as_str(),
            failure_domain: self.identity.failure_domain.as_str(),
            incarnation: self.identity.incarnation.0,
            message: record.args().to_string(),
            fields: fields.0,
        };
        serde_json::to_string(&line).ok()
    }
}

impl<W: Write + Send + 'static> Log for JsonLogger<W> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Some(line) = self.render(record) else {
            return;
        };
        self.inner.log(
            &Record::builder()
                .level(record.level())
                .target(record.target())
                .args(format_args!("{line}"))
                .build(),
        );
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

impl<W: Write + Send + 'static> SharedLogger for JsonLogger<W> {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&simplelog::Config> {
        self.inner.config()
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}
