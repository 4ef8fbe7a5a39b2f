//! Commonly used items of this crate.

pub use crate::{EXIT_INVALID_SETTINGS, SettingSpec, SettingsError, SettingsReader, render_help};
