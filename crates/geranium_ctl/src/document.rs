//! Record files.

use serde_json::Value;

use crate::ctl_error::CtlError;

/// A record file with the kind and name from its document.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordFile {
    /// Kind of the record.
    pub kind: String,
    /// Name of the record.
    pub name: String,
    /// Content of the file.
    pub document: Value,
}

impl RecordFile {
    /// Reads a JSON file, or standard input if `path` is `-`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not JSON, or lacks its kind or
    /// name.
    pub fn read(path: &str) -> Result<Self, CtlError> {
        let text = read_text(path)?;
        let document: Value = serde_json::from_str(&text)
            .map_err(|e| CtlError::Document(path.to_owned(), e.to_string()))?;
        let kind = text_field(path, &document, "kind")?;
        let name = text_field(path, &document, "name")?;
        Ok(Self {
            kind,
            name,
            document,
        })
    }
}

fn read_text(path: &str) -> Result<String, CtlError> {
    let text = if path == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    text.map_err(|e| CtlError::File(path.to_owned(), e))
}

fn text_field(path: &str, document: &Value, name: &str) -> Result<String, CtlError> {
    let text = document.get(name).and_then(Value::as_str);
    text.map(str::to_owned).ok_or_else(|| {
        CtlError::Document(
            path.to_owned(),
            format!("field {name:?} is missing or not a string"),
        )
    })
}
