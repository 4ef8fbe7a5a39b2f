//! Table, text and JSON output.

use comfy_table::presets::NOTHING;
use comfy_table::{ContentArrangement, Table};
use serde::Serialize;

use crate::ctl_error::CtlError;

/// Maximum line width, in columns.
const WIDTH: u16 = 100;

/// Indentation of continuation lines, less the space before their first word.
const INDENT: usize = 3;

/// Prints a value as JSON.
///
/// # Errors
///
/// Returns an error if the value cannot be serialized.
pub fn print_json(value: &impl Serialize) -> Result<(), CtlError> {
    let text = serde_json::to_string_pretty(value).map_err(|e| CtlError::Output(e.to_string()))?;
    out!("{text}");
    Ok(())
}

/// Prints each value as one line of JSON.
///
/// # Errors
///
/// Returns an error if a value cannot be serialized.
pub fn print_json_lines(values: &[impl Serialize]) -> Result<(), CtlError> {
    for value in values {
        let text = serde_json::to_string(value).map_err(|e| CtlError::Output(e.to_string()))?;
        out!("{text}");
    }
    Ok(())
}

/// Creates a table with a header row.
pub fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(NOTHING)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_width(WIDTH)
        .set_header(header.iter().copied());
    table
}

/// Prints labelled text, wrapped between words at [`WIDTH`] columns.
pub fn print_wrapped(label: &str, text: &str) {
    let mut line = format!("{label}:");
    for word in text.split_whitespace() {
        if line.chars().count() + 1 + word.chars().count() > usize::from(WIDTH) {
            out!("{line}");
            line = " ".repeat(INDENT);
        }
        line.push(' ');
        line.push_str(word);
    }
    out!("{line}");
}
