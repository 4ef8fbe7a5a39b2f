//! Reads settings from arguments and environment variables.

use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;

use pico_args::Arguments;

use crate::{SettingFault, SettingSpec, SettingsError};

/// Replaces secret values in error messages.
const REDACTED: &str = "(hidden)";

/// Reads settings and collects all errors, so that they can be reported together.
pub struct SettingsReader<E> {
    args: Arguments,
    env: E,
    faults: Vec<SettingFault>,
}

impl<E: Fn(&str) -> Option<String>> SettingsReader<E> {
    /// Creates a reader from the arguments, without the program name, and a
    /// function that looks up environment variables.
    pub fn new(args: Vec<OsString>, env: E) -> Self {
        Self {
            args: Arguments::from_vec(args),
            env,
            faults: Vec::new(),
        }
    }

    /// Returns whether a flag that takes no value is present.
    pub fn switch(&mut self, flag: &'static str) -> bool {
        self.args.contains(flag)
    }

    /// Takes the next positional argument.
    pub fn next_positional(&mut self) -> Option<String> {
        self.args.opt_free_from_str::<String>().ok().flatten()
    }

    /// Reads a required setting; returns `None` if an error was recorded.
    pub fn required<T>(&mut self, spec: &SettingSpec) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.raw_value(spec) else {
            self.faults.push(missing_fault(spec));
            return None;
        };
        self.parse(spec, &text)
    }

    /// Reads an optional setting.
    pub fn optional<T>(&mut self, spec: &SettingSpec) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.raw_value(spec)?;
        self.parse(spec, &text)
    }

    /// Reads a comma-separated list, which may be empty.
    pub fn list<T>(&mut self, spec: &SettingSpec) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.raw_value(spec) else {
            return Vec::new();
        };
        let words = text.split(',').map(str::trim).filter(|w| !w.is_empty());
        words.filter_map(|word| self.parse(spec, word)).collect()
    }

    /// Reads a comma-separated list that must have at least one value.
    pub fn required_list<T>(&mut self, spec: &SettingSpec) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let values = self.list(spec);
        if values.is_empty() {
            self.record_missing(spec);
        }
        values
    }

    /// Records that a setting is missing, unless an error is already recorded for it.
    pub fn record_missing(&mut self, spec: &SettingSpec) {
        let has_fault = |fault: &SettingFault| match fault {
            SettingFault::Missing(flag, ..) | SettingFault::Invalid(flag, ..) => flag == spec.flag,
            SettingFault::Conflict(_) | SettingFault::Unexpected(_) => false,
        };
        if !self.faults.iter().any(has_fault) {
            self.faults.push(missing_fault(spec));
        }
    }

    /// Records an error that is not limited to a single setting.
    pub fn record_conflict(&mut self, detail: impl Into<String>) {
        self.faults.push(SettingFault::Conflict(detail.into()));
    }

    /// Records an invalid value, such as one that parses but is out of range.
    pub fn record_invalid(
        &mut self,
        spec: &SettingSpec,
        value: impl Display,
        detail: impl Into<String>,
    ) {
        self.faults.push(SettingFault::Invalid(
            spec.flag.to_owned(),
            redacted(spec, &value.to_string()),
            spec.value_hint.to_owned(),
            detail.into(),
        ));
    }

    /// Finishes reading and reports all recorded errors.
    ///
    /// # Errors
    ///
    /// Returns all recorded errors, including one for each unexpected argument.
    pub fn finish(mut self) -> Result<(), SettingsError> {
        for rest in self.args.finish() {
            let text = rest.to_string_lossy().into_owned();
            self.faults.push(SettingFault::Unexpected(text));
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(SettingsError {
            faults: self.faults,
        })
    }

    fn raw_value(&mut self, spec: &SettingSpec) -> Option<String> {
        match self.args.opt_value_from_str::<_, String>(spec.flag) {
            Ok(Some(text)) => return Some(text),
            Ok(None) => {}
            Err(e) => {
                let detail = e.to_string();
                self.record_invalid(spec, "", detail);
                return None;
            }
        }
        let from_env = (self.env)(&spec.variable()).filter(|text| !text.is_empty());
        from_env.or_else(|| spec.default.map(str::to_owned))
    }

    fn parse<T>(&mut self, spec: &SettingSpec, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                let detail = T::Err::to_string(&e);
                self.record_invalid(spec, text, detail);
                None
            }
        }
    }
}

fn missing_fault(spec: &SettingSpec) -> SettingFault {
    SettingFault::Missing(
        spec.flag.to_owned(),
        spec.variable(),
        spec.value_hint.to_owned(),
    )
}

fn redacted(spec: &SettingSpec, value: &str) -> String {
    if spec.secret {
        REDACTED.to_owned()
    } else {
        value.to_owned()
    }
}
