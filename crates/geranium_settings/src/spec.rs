//! Specification of a setting.

/// Prefix of the environment variables that are derived from flags.
const ENV_PREFIX: &str = "GERANIUM_";

/// Specification of a setting that can be given by a flag or an environment variable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// Flag, including the leading dashes.
    pub flag: &'static str,
    /// Placeholder or valid values, shown in the help text and in error messages.
    pub value_hint: &'static str,
    /// Description for the help text.
    pub help: &'static str,
    /// Default value as text, if any.
    pub default: Option<&'static str>,
    /// Whether the value is secret and must not be printed.
    pub secret: bool,
    /// Name of the environment variable, if it is not derived from the flag.
    pub variable_override: Option<&'static str>,
}

impl SettingSpec {
    /// Creates the specification of a setting without a default value.
    #[must_use]
    pub const fn new(flag: &'static str, value_hint: &'static str, help: &'static str) -> Self {
        Self {
            flag,
            value_hint,
            help,
            default: None,
            secret: false,
            variable_override: None,
        }
    }

    /// Sets the default value.
    #[must_use]
    pub const fn default_value(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }

    /// Marks the value as secret.
    #[must_use]
    pub const fn secret(mut self) -> Self {
        self.secret = true;
        self
    }

    /// Sets the environment variable, for a name that is defined outside this project.
    #[must_use]
    pub const fn with_variable(mut self, name: &'static str) -> Self {
        self.variable_override = Some(name);
        self
    }

    /// Returns the name of the environment variable.
    #[must_use]
    pub fn variable(&self) -> String {
        if let Some(name) = self.variable_override {
            return name.to_owned();
        }
        format!(
            "{ENV_PREFIX}{}",
            self.flag
                .trim_start_matches('-')
                .replace('-', "_")
                .to_ascii_uppercase()
        )
    }
}
