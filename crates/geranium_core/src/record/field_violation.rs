//! Invalid fields of a document.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An invalid field: its path, its value and what would be valid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldViolation {
    /// Path of the field, such as `placements[1].replicas`.
    pub field: String,
    /// Value of the field as JSON, or `absent` if the field is missing.
    pub value: String,
    /// Description of the valid values.
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

/// All invalid fields of one document.
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
