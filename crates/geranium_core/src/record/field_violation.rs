//! FieldViolations in the fields of a document.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One violation: the field, its value and what would be valid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldViolation {
    /// Path of the field, such as `placements[1].replicas`.
    pub field: String,
    /// Value found there, as JSON; `absent` if there is none.
    pub value: String,
    /// What would be valid.
    pub valid: String,
}

impl fmt::Display for FieldViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            value,
            valid,
        } = self;
        write!(f, "field {field:?} is {value}; valid: {valid}")
    }
}

/// Every violation of one document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FieldViolations(pub Vec<FieldViolation>);

impl fmt::Display for FieldViolations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, violation) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            violation.fmt(f)?;
        }
        Ok(())
    }
}
