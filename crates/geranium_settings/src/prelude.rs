//! The types that most users of this crate need.

pub use crate::{EXIT_INVALID_SETTINGS, SettingSpec, SettingsError, SettingsReader, render_help};
