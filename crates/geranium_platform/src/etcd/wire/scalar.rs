//! Bytes and integers as the gateway writes them.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes that travel as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64(pub Bytes);

impl Base64 {
    /// Makes bytes from text.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }

    /// Returns whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the bytes as text, with invalid UTF-8 replaced.
    #[must_use]
    pub fn to_text(&self) -> String {
        String::from_utf8_lossy(&self.0).into_owned()
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&base64::display::Base64Display::new(&self.0, &STANDARD))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        let bytes = STANDARD
            .decode(text.as_bytes())
            .map_err(de::Error::custom)?;
        Ok(Self(Bytes::from(bytes)))
    }
}

/// A 64-bit integer that travels as a string; a number is understood too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub u64);

impl Int64 {
    /// Returns whether the integer is zero, which the gateway leaves out.
    #[must_use]
    pub const fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Int64Visitor)
    }
}

struct Int64Visitor;

impl de::Visitor<'_> for Int64Visitor {
    type Value = Int64;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a non-negative 64-bit integer as string or number")
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Int64, E> {
        Ok(Int64(value))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Int64, E> {
        text.parse().map(Int64).map_err(E::custom)
    }
}
