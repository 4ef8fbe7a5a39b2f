//! Output for people and for programs.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use geranium_core::time::Timestamp;
use serde::Serialize;

use crate::ctl_error::CtlError;

/// Prints a value as JSON.
///
/// # Errors
///
/// Returns an error if the value cannot be serialised.
pub fn print_json(value: &impl Serialize) -> Result<(), CtlError> {
    let text = serde_json::to_string_pretty(value).map_err(|e| CtlError::Output(e.to_string()))?;
    println!("{text}");
    Ok(())
}

/// Makes a table with a header.
pub fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(NOTHING)
        .set_header(header.iter().copied());
    table
}

/// Renders the time of day in UTC with milliseconds.
pub fn time_of_day(time: Timestamp) -> String {
    let millis = time.as_millis();
    let seconds = millis / 1_000 % 86_400;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        seconds / 3_600,
        seconds / 60 % 60,
        seconds % 60,
        millis % 1_000
    )
}
