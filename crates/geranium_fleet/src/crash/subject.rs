//! What may have crashed a backend server.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::prompt_parts::PartId;

/// Something that may crash the backend servers that run it. Of two that explain crashes
/// equally well the smaller one is preferred, thus a part rather than a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashSubject {
    /// A prompt part that requests may share.
    Part(PartId),
    /// A request as a whole, by the hash of its path, account and body.
    Request(u64),
}

impl fmt::Display for CrashSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "request-{fingerprint:x}"),
            Self::Part(part) => write!(f, "part-{part}"),
        }
    }
}
