//! Documents submitted by operators.

use serde_json::Value;

use super::fields::Fields;
use super::json::{DUPLICATE_FIELD_PREFIX, UniqueJson};
use super::read::{read_account, read_drain, read_model, read_service};
use super::{
    FieldViolation, FieldViolations, RecordError, RecordKey, RecordKind, RecordSpec, SchemaVersion,
};
use crate::id::RecordName;

/// Maximum size of a document in bytes; the store accepts values up to a megabyte.
pub const MAX_DOCUMENT_LEN: usize = 256 * 1_024;

/// A validated document: the JSON that the operator wrote and its normal form.
///
/// # Examples
///
/// ```
/// use geranium_core::record::{Document, RecordError};
///
/// let text = r#"{"schema_version": 2, "kind": "drain", "name": "lima-2-out",
///     "target": {"failure_domain": "lima-2"}, "reason": "power work"}"#;
/// assert_eq!(Document::parse(text)?.key().to_string(), "drain/lima-2-out");
///
/// let text = text.replace("target", "tagret");
/// let Err(RecordError::Invalid(violations)) = Document::parse(&text) else {
///     unreachable!();
/// };
/// let fields: Vec<&str> = violations.0.iter().map(|f| f.field.as_str()).collect();
/// assert_eq!(fields, ["target", "tagret"]);
/// # Ok::<(), RecordError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    key: RecordKey,
    version: SchemaVersion,
    value: Value,
    spec: RecordSpec,
}

impl Document {
    /// Parses and validates JSON text.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::NotJson`], [`RecordError::DuplicateField`] or
    /// [`RecordError::TooLarge`] if the text cannot be parsed, and
    /// [`RecordError::Invalid`] with every violation if the document is not valid.
    pub fn parse(text: &str) -> Result<Self, RecordError> {
        if text.len() > MAX_DOCUMENT_LEN {
            return Err(RecordError::TooLarge(text.len(), MAX_DOCUMENT_LEN));
        }
        let UniqueJson(value) = serde_json::from_str(text).map_err(|e| json_error(&e))?;
        Self::from_value(value)
    }

    /// Validates a JSON value.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Invalid`] with every violation if the document is
    /// not valid.
    pub fn from_value(value: Value) -> Result<Self, RecordError> {
        let Some(map) = value.as_object() else {
            return Err(not_an_object(&value));
        };
        let mut fields = Fields::new(String::new(), map);
        let read = read_document(&mut fields);
        let violations = fields.finish();
        match read {
            Some((key, version, spec)) if violations.is_empty() => Ok(Self {
                key,
                version,
                value,
                spec,
            }),
            _ => Err(RecordError::Invalid(FieldViolations(violations))),
        }
    }

    /// Returns the kind and name.
    #[must_use]
    pub const fn key(&self) -> &RecordKey {
        &self.key
    }

    /// Returns the schema version that the operator wrote.
    #[must_use]
    pub const fn version(&self) -> SchemaVersion {
        self.version
    }

    /// Returns the document as the operator wrote it.
    #[must_use]
    pub const fn value(&self) -> &Value {
        &self.value
    }

    /// Returns the normal form, which does not depend on the schema version.
    #[must_use]
    pub const fn spec(&self) -> &RecordSpec {
        &self.spec
    }

    /// Returns the document and its normal form.
    #[must_use]
    pub fn into_parts(self) -> (Value, RecordSpec) {
        (self.value, self.spec)
    }
}

fn read_document(fields: &mut Fields<'_>) -> Option<(RecordKey, SchemaVersion, RecordSpec)> {
    let version = read_version(fields);
    let kind = read_kind(fields);
    let name = fields.id::<RecordName>("name");
    let (Some(version), Some(kind)) = (version, kind) else {
        // The valid fields depend on the version and the kind, so the remaining
        // fields cannot be checked.
        fields.accept_unknown();
        return None;
    };
    // A missing name is already reported; the remaining fields are read so that
    // their violations are reported too.
    let placeholder = name.clone().unwrap_or_else(|| RecordName::new("unnamed"));
    let spec = match kind {
        RecordKind::Account => read_account(fields, &placeholder).map(RecordSpec::Account),
        RecordKind::Drain => read_drain(fields, placeholder).map(RecordSpec::Drain),
        RecordKind::Model => read_model(fields, placeholder, version).map(RecordSpec::Model),
        RecordKind::Service => read_service(fields, placeholder).map(RecordSpec::Service),
    };
    Some((RecordKey::new(kind, name?), version, spec?))
}

fn read_version(fields: &mut Fields<'_>) -> Option<SchemaVersion> {
    let valid = "schema version 1 or 2";
    let number = fields.required::<u64>("schema_version", valid)?;
    let version = SchemaVersion::from_number(number);
    if version.is_none() {
        fields.reject("schema_version", valid);
    }
    version
}

fn read_kind(fields: &mut Fields<'_>) -> Option<RecordKind> {
    let valid = "account, drain, model or service";
    let text = fields.required::<String>("kind", valid)?;
    let kind = text.parse().ok();
    if kind.is_none() {
        fields.reject("kind", valid);
    }
    kind
}

fn json_error(error: &serde_json::Error) -> RecordError {
    let (line, column) = (error.line(), error.column());
    let position = format!(" at line {line} column {column}");
    let detail = error.to_string().replace(&position, "");
    match detail.strip_prefix(DUPLICATE_FIELD_PREFIX) {
        Some(name) => RecordError::DuplicateField(name.to_owned(), line),
        None => RecordError::NotJson(line, column, detail),
    }
}

fn not_an_object(value: &Value) -> RecordError {
    RecordError::Invalid(FieldViolations(vec![FieldViolation {
        field: "document".to_owned(),
        value: value.to_string(),
        valid: "a JSON object with schema_version, kind and name".to_owned(),
    }]))
}
