//! Rendering of help text.

use std::fmt::Write;

use crate::SettingSpec;

/// Renders the section of the help text that lists the settings.
#[must_use]
pub fn render_help(specs: &[SettingSpec]) -> String {
    let mut text = String::new();
    for spec in specs {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "  {} {}", spec.flag, spec.value_hint);
        let _ = writeln!(text, "      {}", spec.help);
        let default = spec
            .default
            .map_or_else(String::new, |d| format!("; default {d}"));
        let _ = writeln!(text, "      [{}{default}]", spec.variable());
    }
    text
}
