//! What the known state of a backend server was read from.

use std::fmt;

use geranium_core::id::StoreRevision;

/// The source of what is known of a backend server's group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evidence {
    /// No source was stated.
    #[default]
    Unstated,
    /// Its entry in the store, as of a revision.
    Entry(StoreRevision),
    /// Its report about itself.
    Report,
    /// Its answer to an order.
    Answer,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unstated => write!(f, "unstated source"),
            Self::Entry(revision) => write!(f, "entry at revision {}", revision.0),
            Self::Report => write!(f, "report"),
            Self::Answer => write!(f, "answer"),
        }
    }
}
