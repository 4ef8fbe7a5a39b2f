//! The parts that the prompt of a request consists of.

use std::fmt;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

/// Longest hexadecimal id that is kept as it is; a longer one does not fit and is hashed.
const MAX_HEX_DIGITS: usize = 16;

/// Identifies a part of a prompt; equal parts of different prompts have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl PartId {
    /// Returns the id for a text: its value if it is a hexadecimal number, else a hash.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_fleet::prompt_parts::PartId;
    ///
    /// assert_eq!(PartId::from_text("5c1e07a2"), PartId(0x5c1e_07a2));
    /// assert_eq!(PartId::from_text("5c1e07a2").to_string(), "5c1e07a2");
    /// assert_ne!(PartId::from_text("greeting"), PartId::from_text("farewell"));
    /// ```
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        let number = u64::from_str_radix(text, 16);
        if let Some(number) = number.ok().filter(|_| text.len() <= MAX_HEX_DIGITS) {
            return Self(number);
        }
        let mut hasher = rustc_hash::FxHasher::default();
        text.hash(&mut hasher);
        Self(hasher.finish())
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The parts of a request's prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// Parts that prompts of other requests may contain too, in order, without repetitions.
    pub shared: Vec<PartId>,
    /// The last part, which belongs to this request or its session alone.
    pub own: Option<PartId>,
}

impl FromIterator<PartId> for PromptParts {
    fn from_iter<I: IntoIterator<Item = PartId>>(parts: I) -> Self {
        let mut shared: Vec<PartId> = Vec::new();
        let mut own = None;
        for part in parts {
            let Some(before) = own.replace(part) else {
                continue;
            };
            if !shared.contains(&before) {
                shared.push(before);
            }
        }
        Self { shared, own }
    }
}

impl fmt::Display for PromptParts {
    /// Writes the ids in order, separated by commas.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, part) in self.shared.iter().chain(&self.own).enumerate() {
            let separator = if i == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
