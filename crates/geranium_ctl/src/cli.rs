//! Command line.

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

/// A command with the settings.
#[derive(Clone, PartialEq, Eq)]
pub struct Invocation {
    /// The command.
    pub command: Command,
    /// Operator addresses of entry hosts.
    pub hosts: Vec<SocketAddr>,
    /// Operator token.
    pub token: String,
    /// Name of the operator.
    pub operator: String,
    /// Longest wait.
    pub timeout: Duration,
    /// Generation that a change builds on.
    pub generation: Option<u64>,
    /// Why something is drained.
    pub reason: String,
    /// Where to write a picture.
    pub svg: Option<String>,
    /// Output for programs.
    pub json: bool,
    /// Wait until in force everywhere.
    pub wait: bool,
    /// Keep printing events.
    pub follow: bool,
}

impl Invocation {
    /// Reads the command line and the environment.
    ///
    /// # Errors
    ///
    /// Returns an error if an argument or a setting is not valid.
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
        // These need no operator address.
        let offline = matches!(
            command,
            Some(Command::HashKey | Command::ExplainLog(..) | Command::Beliefs(_))
        );
        if !offline && hosts.is_empty() {
            reader.record_missing(&HOSTS);
        }
        if !offline && token.is_none() {
            reader.record_missing(&TOKEN);
        }
        reader.finish()?;
        Ok(Self {
            // An absent command has recorded its fault, so finish has failed.
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

    /// Makes the invocation of a command that needs no setting.
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
