//! Parsing of the command line.

mod command;
mod specs;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use geranium_settings::SettingsReader;

pub use command::{Command, TimelineFilter};
pub use specs::help;

use crate::ctl_error::CtlError;
use command::{read_command, read_filter};
use specs::{GENERATION, HOSTS, OPERATOR, REASON, SVG, TIMEOUT, TOKEN};

/// A command with its settings.
#[derive(Clone, PartialEq, Eq)]
pub struct Invocation {
    /// Command to run.
    pub command: Command,
    /// Operator addresses of the entry hosts to call.
    pub hosts: Vec<SocketAddr>,
    /// Operator token.
    pub token: String,
    /// Operator name that is recorded with each change.
    pub operator: String,
    /// Timeout of `--wait`.
    pub timeout: Duration,
    /// Generation that a change is based on.
    pub generation: Option<u64>,
    /// Reason of a drain.
    pub reason: String,
    /// Path of the SVG file to write.
    pub svg: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether to wait until a change is in force on all entry hosts.
    pub wait: bool,
    /// Whether to keep printing new events.
    pub follow: bool,
}

impl Invocation {
    /// Parses the command line and the environment.
    ///
    /// # Errors
    ///
    /// Returns an error if an argument or a setting is invalid.
    pub fn read(
        args: Vec<OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, CtlError> {
        let mut reader = SettingsReader::new(args, env);
        if reader.switch("--help") {
            return Ok(Self::without_settings(Command::Help));
        }
        if reader.switch("--version") {
            return Ok(Self::without_settings(Command::Version));
        }
        let json = reader.switch("--json");
        let wait = reader.switch("--wait");
        let follow = reader.switch("--follow");
        let filter = read_filter(&mut reader);
        let hosts = reader.list(&HOSTS);
        let token: Option<String> = reader.optional(&TOKEN);
        let operator = reader.required(&OPERATOR);
        let timeout: Option<u64> = reader.required(&TIMEOUT);
        let generation = reader.optional(&GENERATION);
        let reason = reader.optional(&REASON);
        let svg = reader.optional(&SVG);
        let command = read_command(&mut reader, filter);
        // These commands don't call the operator interface, so they need no address or token.
        let offline = matches!(
            command,
            Some(
                Command::HashKey | Command::ExplainLog(..) | Command::Beliefs(_) | Command::Room(_)
            )
        );
        if !offline && hosts.is_empty() {
            reader.record_missing(&HOSTS);
        }
        if !offline && token.is_none() {
            reader.record_missing(&TOKEN);
        }
        reader.finish()?;
        Ok(Self {
            // `finish` has already failed if there is no command, because that is recorded as
            // an error.
            command: command.unwrap_or(Command::Help),
            hosts,
            token: token.unwrap_or_default(),
            operator: operator.unwrap_or_default(),
            timeout: Duration::from_millis(timeout.unwrap_or_default()),
            generation,
            reason: reason.unwrap_or_default(),
            svg,
            json,
            wait,
            follow,
        })
    }

    /// Creates the invocation of a command that needs no settings.
    fn without_settings(command: Command) -> Self {
        Self {
            command,
            hosts: Vec::new(),
            token: String::new(),
            operator: String::new(),
            timeout: Duration::ZERO,
            generation: None,
            reason: String::new(),
            svg: None,
            json: false,
            wait: false,
            follow: false,
        }
    }
}
