//! Findings from checking a change.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::record::FieldViolation;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The change is accepted, and the operator receives the warning.
    Warning,
    /// The change is rejected.
    Error,
}

/// A warning or an error about a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Whether the finding prevents the change.
    pub severity: Severity,
    /// The field, its value and what would be valid.
    #[serde(flatten)]
    pub violation: FieldViolation,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(f, "{severity}: {}", self.violation)
    }
}

/// Collects findings.
#[derive(Debug, Default)]
pub(super) struct Findings(pub(super) Vec<Finding>);

impl Findings {
    pub(super) fn error(
        &mut self,
        field: impl Into<String>,
        value: impl fmt::Display,
        valid: impl Into<String>,
    ) {
        self.push(Severity::Error, field.into(), &value, valid.into());
    }

    pub(super) fn warning(
        &mut self,
        field: impl Into<String>,
        value: impl fmt::Display,
        valid: impl Into<String>,
    ) {
        self.push(Severity::Warning, field.into(), &value, valid.into());
    }

    fn push(&mut self, severity: Severity, field: String, value: &dyn fmt::Display, valid: String) {
        let violation = FieldViolation {
            field,
            value: format!("{:?}", value.to_string()),
            valid,
        };
        self.0.push(Finding {
            severity,
            violation,
        });
    }
}
