//! Answers of a service, and what is kept of them.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

use super::key::hex;

/// A whole answer of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: u16,
    /// The headers that are passed on and kept.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// What is kept of an answer for resends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body or its digest.
    pub body: StoredBody,
}

/// A kept body.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// The whole body.
    Whole(#[serde(serialize_with = "to_base64", deserialize_with = "from_base64")] Bytes),
    /// Only the digest, because the body was larger than what is kept.
    Digest {
        /// SHA-256 of the body in lower-case hexadecimal.
        sha256: String,
        /// Length of the body, in bytes.
        len: u64,
    },
}

impl StoredAnswer {
    /// Keeps an answer, its body only up to `max_body` bytes.
    #[must_use]
    pub fn of(answer: &UpstreamAnswer, max_body: usize) -> Self {
        let body = if answer.body.len() <= max_body {
            StoredBody::Whole(answer.body.clone())
        } else {
            StoredBody::Digest {
                sha256: hex(&Sha256::digest(&answer.body)),
                len: answer.body.len() as u64,
            }
        };
        Self {
            status: answer.status,
            headers: answer.headers.clone(),
            body,
        }
    }
}

fn to_base64<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(body))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    let body = STANDARD.decode(text).map_err(de::Error::custom)?;
    Ok(Bytes::from(body))
}
