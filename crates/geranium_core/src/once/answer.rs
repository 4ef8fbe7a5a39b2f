//! Responses of a service, and the form in which they are stored for resends.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

use super::key::hex;

/// A complete HTTP response of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are forwarded to the caller and stored.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Bytes,
}

/// The part of a response that is stored to answer resends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<(String, String)>,
    /// Response body or its digest.
    pub body: StoredBody,
}

/// A stored response body.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// The complete body.
    Whole(#[serde(serialize_with = "to_base64", deserialize_with = "from_base64")] Bytes),
    /// Only the digest, because the body exceeds the size limit for storage.
    Digest {
        /// SHA-256 of the body in lower-case hexadecimal.
        sha256: String,
        /// Length of the body, in bytes.
        len: u64,
    },
}

impl StoredAnswer {
    /// Creates the stored form of a response; a body of more than `max_body` bytes
    /// is replaced by its digest.
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
