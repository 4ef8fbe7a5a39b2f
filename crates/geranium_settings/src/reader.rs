//! Reader of settings.

use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;

use pico_args::Arguments;

use crate::{SettingFault, SettingSpec, SettingsError};

/// Shown in place of a secret value.
const REDACTED: &str = "(hidden)";

/// Reads settings and collects every fault.
pub struct SettingsReader<E> {
    args: Arguments,
    env: E,
    faults: Vec<SettingFault>,
}

impl<E: Fn(&str) -> Option<String>> SettingsReader<E> {
    /// Makes a reader of arguments (without the program's name) and of a
    /// function that looks up environment variables.
    pub fn new(args: Vec<OsString>, env: E) -> Self {
        Self {
            args: Arguments::from_vec(args),
            env,
            faults: Vec::new(),
        }
    }

    /// Returns whether a flag without a value was given.
    pub fn switch(&mut self, flag: &'static str) -> bool {
        self.args.contains(flag)
    }

    /// Takes the next argument that is not a flag.
    pub fn next_positional(&mut self) -> Option<String> {
        self.args.opt_free_from_str::<String>().ok().flatten()
    }

    /// Reads a setting that must be given; `None` stands for a recorded fault.
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

    /// Reads a setting that may be left out.
    pub fn optional<T>(&mut self, spec: &SettingSpec) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.raw_value(spec)?;
        self.parse(spec, &text)
    }

    /// Reads a setting with several values, separated by commas.
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

    /// Reads a setting with one or more values, separated by commas.
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

    /// Records that a setting is missing, unless its value has a fault already.
    pub fn record_missing(&mut self, spec: &SettingSpec) {
        let has_fault = |fault: &SettingFault| match fault {
            SettingFault::Missing(flag, ..) | SettingFault::Invalid(flag, ..) => flag == spec.flag,
            SettingFault::Conflict(_) | SettingFault::Unexpected(_) => false,
        };
        if !self.faults.iter().any(has_fault) {
            self.faults.push(missing_fault(spec));
        }
    }

    /// Records a fault that concerns several settings.
    pub fn record_conflict(&mut self, detail: impl Into<String>) {
        self.faults.push(SettingFault::Conflict(detail.into()));
    }

    /// Records a value that parses but is out of range.
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

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Returns every fault, arguments without a meaning included.
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
