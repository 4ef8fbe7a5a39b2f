//! Text identifiers.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Maximum length of a text identifier, in bytes.
pub const MAX_ID_LEN: usize = 128;

quick_error! {
    /// Error in the text of an identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IdError {
        /// The text is empty.
        Empty(kind: &'static str) {
            display("{} is empty", kind)
        }
        /// The text is longer than [`MAX_ID_LEN`].
        TooLong(kind: &'static str, len: usize) {
            display("{} has {} bytes; the maximum is {}", kind, len, MAX_ID_LEN)
        }
        /// The text contains an invalid character.
        InvalidCharacter(kind: &'static str, text: String, character: char) {
            display(
                "{} {:?} contains {:?}; only letters, digits, '-', '_', '.' and ':' are valid",
                kind, text, character
            )
        }
    }
}

fn validate(kind: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty(kind));
    }
    if text.len() > MAX_ID_LEN {
        return Err(IdError::TooLong(kind, text.len()));
    }
    let invalid = |c: &char| !(c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':'));
    match text.chars().find(invalid) {
        Some(c) => Err(IdError::InvalidCharacter(kind, text.to_owned(), c)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier from text that is known to be valid.
            ///
            /// # Panics
            ///
            /// Panics if the text is not a valid identifier; use [`FromStr`] for
            /// untrusted text.
            pub fn new(text: impl AsRef<str>) -> Self {
                match text.as_ref().parse() {
                    Ok(id) => id,
                    Err(e) => panic!("{e}"),
                }
            }

            /// Returns the text of the identifier.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate($kind, text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

text_id!(
    /// A host: a machine that runs an engine or a plain service, or an entry host.
    HostId,
    "host"
);
text_id!(
    /// A failure domain: a set of hosts that fail, leave and return together.
    FailureDomainId,
    "failure domain"
);
text_id!(
    /// A fabric domain: hosts with a shared fast interconnect. A replica never spans
    /// two of them.
    FabricDomainId,
    "fabric domain"
);
text_id!(
    /// A client account.
    AccountId,
    "client account"
);
text_id!(
    /// A replica group; never reused within its failure domain.
    GroupId,
    "group"
);
text_id!(
    /// The name of an operator record, unique within its kind.
    RecordName,
    "record"
);
text_id!(
    /// The name of a model, as used by callers.
    ModelId,
    "model"
);
text_id!(
    /// A request of a caller.
    RequestId,
    "request"
);
