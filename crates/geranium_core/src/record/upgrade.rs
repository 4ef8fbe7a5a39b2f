//! Conversion of documents to the latest schema version.

use serde_json::{Map, Value, json};

use super::read::{DEFAULT_COLD_CONCURRENCY, DEFAULT_WARM_CONCURRENCY};
use super::{Document, RecordError, RecordSpec, SchemaVersion};

impl Document {
    /// Converts this document to the latest schema version without changing its
    /// normal form.
    ///
    /// | version 1 | version 2 |
    /// | --- | --- |
    /// | `failure_domains`, `replicas_per_domain` | `placements` |
    /// | `accounts: [NAME]` | `accounts: [{account, weight: 1}]` |
    /// | none | `cold_concurrency: 2`, `warm_concurrency: 32` |
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Invalid`] if the upgraded document is not valid.
    pub fn upgraded(&self) -> Result<Self, RecordError> {
        if self.version() == SchemaVersion::LATEST {
            return Ok(self.clone());
        }
        let mut map = self.value().as_object().cloned().unwrap_or_default();
        let latest = SchemaVersion::LATEST.number();
        map.insert("schema_version".to_owned(), json!(latest));
        if let RecordSpec::Model(model) = self.spec() {
            map.remove("failure_domains");
            map.remove("replicas_per_domain");
            insert(&mut map, "placements", json!(model.placements));
            insert(&mut map, "accounts", json!(model.accounts));
            insert(
                &mut map,
                "cold_concurrency",
                json!(DEFAULT_COLD_CONCURRENCY),
            );
            insert(
                &mut map,
                "warm_concurrency",
                json!(DEFAULT_WARM_CONCURRENCY),
            );
        }
        Self::from_value(Value::Object(map))
    }
}

fn insert(map: &mut Map<String, Value>, name: &str, value: Value) {
    map.insert(name.to_owned(), value);
}
