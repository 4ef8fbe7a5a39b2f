//! Description of one setting.

/// Prefix of environment variables.
const ENV_PREFIX: &str = "GERANIUM_";

/// Description of one setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// The flag with its dashes.
    pub flag: &'static str,
    /// What the value is, for the help text and for faults.
    pub value: &'static str,
    /// What the setting does.
    pub help: &'static str,
    /// Default value as text, if there is one.
    pub default: Option<&'static str>,
    /// Whether the value must not be shown.
    pub secret: bool,
    /// Name of the environment variable, if it does not follow from the flag.
    pub named_variable: Option<&'static str>,
}

impl SettingSpec {
    /// Describes a setting without a default.
    #[must_use]
    pub const fn new(flag: &'static str, value: &'static str, help: &'static str) -> Self {
        Self {
            flag,
            value,
            help,
            default: None,
            secret: false,
            named_variable: None,
        }
    }

    /// Adds a default.
    #[must_use]
    pub const fn or(mut self, default: &'static str) -> Self {
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
    pub const fn from_variable(mut self, name: &'static str) -> Self {
        self.named_variable = Some(name);
        self
    }

    /// Returns the name of the environment variable.
    #[must_use]
    pub fn variable(&self) -> String {
        if let Some(name) = self.named_variable {
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
