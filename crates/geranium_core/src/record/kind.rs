//! Kinds of record.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::RecordError;

/// What a record describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// A client account and its keys.
    Account,
    /// A failure domain or host out of service.
    Drain,
    /// A model, its placement and the client accounts that may use it.
    Model,
    /// An HTTP service other than a model engine, and its routes.
    Service,
}

impl RecordKind {
    /// Every kind, ordered by name.
    pub const ALL: [Self; 4] = [Self::Account, Self::Drain, Self::Model, Self::Service];

    /// Returns the name used in documents and store keys.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Account => "account",
            Self::Drain => "drain",
            Self::Model => "model",
            Self::Service => "service",
        }
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RecordKind {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self, RecordError> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| RecordError::UnknownKind(text.to_owned()))
    }
}
