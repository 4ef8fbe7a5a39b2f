//! Faults of settings.

use std::fmt;

use quick_error::quick_error;

quick_error! {
    /// Fault of one setting.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingFault {
        /// A required setting was not given.
        Missing(flag: String, variable: String, valid: String) {
            display("{} (or {}) is missing; valid: {}", flag, variable, valid)
        }
        /// The value is not valid.
        Invalid(flag: String, value: String, valid: String, detail: String) {
            display("{} has the value {:?}: {}; valid: {}", flag, value, detail, valid)
        }
        /// Two settings contradict each other.
        Conflict(detail: String) {
            display("{}", detail)
        }
        /// An argument has no meaning.
        Unexpected(argument: String) {
            display("unexpected argument {:?}; see --help", argument)
        }
    }
}

/// Every fault of the settings of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The faults, in the order of the settings.
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
