//! Description of one setting.

/// Prefix of environment variables.
const ENV_PREFIX: &str = "GERANIUM_";

/// Description of one setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// The flag with its dashes.
    pub flag: &'static str,
    /// What the value is, for the help text and for faults.
    pub value_hint: &'static str,
    /// What the setting does.
    pub help: &'static str,
    /// Default value as text, if there is one.
    pub default: Option<&'static str>,
    /// Whether the value must not be shown.
    pub secret: bool,
    /// Name of the environment variable, if it does not follow from the flag.
    pub variable_override: Option<&'static str>,
}

impl SettingSpec {
    /// Describes a setting without a default.
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

    /// Adds a default.
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

    /// Names the environment variable, where somebody else has chosen it.
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
