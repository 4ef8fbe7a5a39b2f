//! Reader of the fields of a JSON object that collects every violation.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::FieldViolation;
use crate::id::IdError;

/// Description of valid identifiers for violations.
pub(super) const VALID_ID: &str =
    "text of 1 to 128 letters, digits, '-', '_', '.' and ':', without spaces";

/// Maximum length of a value quoted in a violation, in characters.
const MAX_QUOTED_LEN: usize = 80;

/// Reads the fields of one object. A read that returns `None` has added a
/// violation.
pub(super) struct Fields<'a> {
    path: String,
    map: &'a Map<String, Value>,
    known: BTreeSet<&'static str>,
    violations: Vec<FieldViolation>,
    accepts_unknown: bool,
}

impl<'a> Fields<'a> {
    /// Creates a reader for the object at `path`, which is empty for a whole
    /// document.
    pub(super) fn new(path: String, map: &'a Map<String, Value>) -> Self {
        Self {
            path,
            map,
            known: BTreeSet::new(),
            violations: Vec::new(),
            accepts_unknown: false,
        }
    }

    /// Adds a violation for a field of this object.
    pub(super) fn reject(&mut self, name: &str, valid: impl Into<String>) {
        let violation = FieldViolation {
            field: self.path_of(name),
            value: quote(self.map.get(name)),
            valid: valid.into(),
        };
        self.violations.push(violation);
    }

    /// Returns the value of a field if it is present and not null, and marks the
    /// field as known.
    pub(super) fn get(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.insert(name);
        self.map.get(name).filter(|value| !value.is_null())
    }

    /// Reads a required field.
    pub(super) fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        valid: &str,
    ) -> Option<T> {
        let read = self.get(name).map(T::deserialize);
        match read {
            Some(Ok(value)) => Some(value),
            _ => {
                self.reject(name, valid);
                None
            }
        }
    }

    /// Reads a field that has a default value.
    pub(super) fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        valid: &str,
        default: T,
    ) -> Option<T> {
        match self.get(name) {
            None => Some(default),
            Some(_) => self.required(name, valid),
        }
    }

    /// Reads an integer within a range.
    pub(super) fn number(&mut self, name: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        let valid = format!("a whole number from {} to {}", range.start(), range.end());
        let number = self.required::<u32>(name, &valid)?;
        if range.contains(&number) {
            return Some(number);
        }
        self.reject(name, valid);
        None
    }

    /// Reads an identifier.
    pub(super) fn id<T: FromStr<Err = IdError>>(&mut self, name: &'static str) -> Option<T> {
        let text = self.required::<String>(name, VALID_ID)?;
        let id = text.parse().ok();
        if id.is_none() {
            self.reject(name, VALID_ID);
        }
        id
    }

    /// Reads a non-empty string of at most `max_len` bytes.
    pub(super) fn text(&mut self, name: &'static str, max_len: usize) -> Option<String> {
        let valid = format!("text of 1 to {max_len} bytes");
        let text = self.required::<String>(name, &valid)?;
        if text.is_empty() || text.len() > max_len {
            self.reject(name, valid);
            return None;
        }
        Some(text)
    }

    /// Reads a list of strings. If `read` rejects an element, its error describes
    /// the valid values.
    pub(super) fn list<T>(
        &mut self,
        name: &'static str,
        valid: &str,
        read: impl Fn(&str) -> Result<T, String>,
    ) -> Option<Vec<T>> {
        let items = self.array(name, valid)?;
        let mut list = Vec::with_capacity(items.len());
        for (i, item) in items.iter().enumerate() {
            let element = item.as_str().ok_or_else(|| valid.to_owned());
            match element.and_then(&read) {
                Ok(element) => list.push(element),
                Err(valid) => self.violations.push(FieldViolation {
                    field: format!("{}[{i}]", self.path_of(name)),
                    value: quote(Some(item)),
                    valid,
                }),
            }
        }
        (list.len() == items.len()).then_some(list)
    }

    /// Reads a list of identifiers.
    pub(super) fn ids<T: FromStr<Err = IdError>>(&mut self, name: &'static str) -> Option<Vec<T>> {
        self.list(name, "a list of names", |text| {
            text.parse().map_err(|_| VALID_ID.to_owned())
        })
    }

    /// Reads a list of objects.
    pub(super) fn objects<T>(
        &mut self,
        name: &'static str,
        valid: &str,
        read: impl Fn(&mut Fields<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let items = self.array(name, valid)?;
        let mut list = Vec::with_capacity(items.len());
        for (i, item) in items.iter().enumerate() {
            let path = format!("{}[{i}]", self.path_of(name));
            list.extend(self.object(path, item, valid, &read));
        }
        (list.len() == items.len()).then_some(list)
    }

    /// Accepts unknown fields without a violation.
    pub(super) fn accept_unknown(&mut self) {
        self.accepts_unknown = true;
    }

    /// Adds a violation for each unknown field and returns all violations.
    pub(super) fn finish(mut self) -> Vec<FieldViolation> {
        if self.accepts_unknown {
            return self.violations;
        }
        let is_known = |name: &&String| self.known.contains(name.as_str());
        let unknown: Vec<&String> = self.map.keys().filter(|name| !is_known(name)).collect();
        let known: Vec<&str> = self.known.iter().copied().collect();
        let valid = format!("no such field; known fields are {}", known.join(", "));
        for name in unknown {
            self.reject(name, valid.as_str());
        }
        self.violations
    }

    fn object<T>(
        &mut self,
        path: String,
        item: &Value,
        valid: &str,
        read: impl Fn(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(map) = item.as_object() else {
            self.violations.push(FieldViolation {
                field: path,
                value: quote(Some(item)),
                valid: valid.to_owned(),
            });
            return None;
        };
        let mut fields = Fields::new(path, map);
        let object = read(&mut fields);
        self.violations.extend(fields.finish());
        object
    }

    fn array(&mut self, name: &'static str, valid: &str) -> Option<&'a Vec<Value>> {
        let items = self.get(name).and_then(Value::as_array);
        if items.is_none() {
            self.reject(name, valid);
        }
        items
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}

/// Renders a value for a violation, truncated to [`MAX_QUOTED_LEN`] characters.
fn quote(value: Option<&Value>) -> String {
    let Some(value) = value else {
        return "absent".to_owned();
    };
    let text = value.to_string();
    if text.chars().count() <= MAX_QUOTED_LEN {
        return text;
    }
    let head: String = text.chars().take(MAX_QUOTED_LEN).collect();
    format!("{head}...")
}
