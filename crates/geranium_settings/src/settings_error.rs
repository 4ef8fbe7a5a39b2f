//! Errors in settings.

use std::fmt;

use quick_error::quick_error;

quick_error! {
    /// Error in one setting or argument.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingFault {
        /// A required setting is missing.
        Missing(flag: String, variable: String, valid: String) {
            display("{} (or {}) is missing; valid: {}", flag, variable, valid)
        }
        /// The value of a setting is invalid.
        Invalid(flag: String, value: String, valid: String, detail: String) {
            display("{} has the value {:?}: {}; valid: {}", flag, value, detail, valid)
        }
        /// Settings or arguments that are invalid in combination or as a whole.
        Conflict(detail: String) {
            display("{}", detail)
        }
        /// An unexpected argument.
        Unexpected(argument: String) {
            display("unexpected argument {:?}; see --help", argument)
        }
    }
}

/// All errors in the settings of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Errors in the order in which the settings were read.
    pub faults: Vec<SettingFault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
