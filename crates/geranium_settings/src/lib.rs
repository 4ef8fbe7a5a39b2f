//! Reads settings from flags and environment variables.
//!
//! The setting `caller-address` can be given by the flag `--caller-address` or
//! the variable `GERANIUM_CALLER_ADDRESS`; the flag takes precedence. A
//! [`SettingsReader`] collects all errors, so that they can be reported together.
//!
//! # Examples
//!
//! ```
//! use geranium_settings::{SettingSpec, SettingsReader};
//!
//! const PORT: SettingSpec = SettingSpec::new("--port", "NUMBER", "Port to listen on.");
//!
//! let args = vec!["--port".into(), "8080".into()];
//! let mut reader = SettingsReader::new(args, |_| None);
//! let port: Option<u16> = reader.required(&PORT);
//! assert!(reader.finish().is_ok());
//! assert_eq!(port, Some(8080));
//! ```

mod help;
mod reader;
mod settings_error;
mod spec;

pub mod prelude;

pub use help::render_help;
pub use reader::SettingsReader;
pub use settings_error::{SettingFault, SettingsError};
pub use spec::SettingSpec;

/// Exit code of a process with invalid settings or arguments.
pub const EXIT_INVALID_SETTINGS: u8 = 2;
