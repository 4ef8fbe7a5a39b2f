//! Command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use geranium_settings::{SettingSpec, SettingsReader, render_help};

use crate::ctl_error::CtlError;

const HOSTS: SettingSpec = SettingSpec::new(
    "--hosts",
    "IP:PORT,...",
    "Operator addresses of entry hosts; the first that answers is asked.",
);
const TOKEN: SettingSpec = SettingSpec::new(
    "--operator-token",
    "TEXT",
    "Operator token; prefer the variable.",
)
.secret();
const OPERATOR: SettingSpec =
    SettingSpec::new("--operator", "NAME", "Name kept with each change.").or("operator");
const TIMEOUT: SettingSpec =
    SettingSpec::new("--timeout-ms", "MILLISECONDS", "Longest wait of --wait.").or("15000");
const GENERATION: SettingSpec = SettingSpec::new(
    "--generation",
    "NUMBER",
    "Generation that the change builds on.",
);
const REASON: SettingSpec = SettingSpec::new("--reason", "TEXT", "Why, for drain.").or("");
const SVG: SettingSpec = SettingSpec::new("--svg", "FILE", "Writes the time line as a picture.");
const REQUEST: SettingSpec = SettingSpec::new("--request", "ID", "Events of a request.");
const GROUP: SettingSpec = SettingSpec::new("--group", "ID", "Events of a group.");
const HOST: SettingSpec = SettingSpec::new("--host", "NAME", "Events of a host.");
const RECORD: SettingSpec = SettingSpec::new("--record", "NAME", "Events of a record.");
const ACCOUNT: SettingSpec = SettingSpec::new("--account", "NAME", "Events of an account.");
const KIND: SettingSpec = SettingSpec::new("--kind", "KIND", "Events or records of a kind.");
const SINCE: SettingSpec = SettingSpec::new("--since-s", "SECONDS", "Events of the last seconds.");

const SPECS: &[SettingSpec] = &[
    HOSTS, TOKEN, OPERATOR, TIMEOUT, GENERATION, REASON, SVG, REQUEST, GROUP, HOST, RECORD,
    ACCOUNT, KIND, SINCE,
];

const USAGE: &str = "\
geraniumctl: operates the geraniumcourse serving system

usage: geraniumctl COMMAND [ARGUMENT...] [SETTING...]

commands:
  validate FILE            checks a record without writing it
  apply FILE [--wait]      writes a record; --wait until it is in force everywhere
  get KIND NAME            shows a record
  list [--kind KIND]       lists records
  diff FILE                shows what apply would change; exit code 7 if it differs
  delete KIND NAME [--wait]
  history KIND NAME        shows the changes of a record, newest first
  status                   shows what is asked for, what is served and what is missing
  drain domain|host NAME   takes a failure domain or a host out of service
  undrain domain|host NAME brings it back
  timeline [--follow]      merges the events of all entry hosts
  explain request|group|host|record ID
  hash-key                 reads an account key from standard input, prints its hash

kinds of record: model, account, service, drain

exit codes: 0 done, 1 failed, 2 usage, 3 lost race, 4 invalid record,
  5 accepted but not in force everywhere in time, 6 not found, 7 differs

switches: --json for programs, --wait, --follow, --help, --version
";

/// Conditions on events, as rendered into a query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TimelineFilter {
    /// Query pairs other than the time.
    pub pairs: Vec<(&'static str, String)>,
    /// Only events of this last time.
    pub since: Option<Duration>,
}

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Checks a record.
    Validate(String),
    /// Writes a record.
    Apply(String),
    /// Shows a record.
    Get(String, String),
    /// Lists records.
    List(Option<String>),
    /// Shows what a document would change.
    Diff(String),
    /// Deletes a record.
    Delete(String, String),
    /// Shows the changes of a record.
    History(String, String),
    /// Shows the state.
    Status,
    /// Takes something out of service.
    Drain(String, String),
    /// Brings something back.
    Undrain(String, String),
    /// Merges events.
    Timeline(TimelineFilter),
    /// Explains something.
    Explain(String, String),
    /// Hashes an account key.
    HashKey,
}

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
        let help = reader.switch("--help");
        let version = reader.switch("--version");
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
        let command = match (help, version) {
            (true, _) => Command::Help,
            (_, true) => Command::Version,
            _ => read_command(&mut reader, filter)?,
        };
        let offline = matches!(command, Command::Help | Command::Version | Command::HashKey);
        if !offline && hosts.is_empty() {
            reader.invalid(&HOSTS, "", "at least one address is needed");
        }
        if !offline && token.is_none() {
            reader.invalid(&TOKEN, "", "a token is needed");
        }
        reader.finish()?;
        Ok(Self {
            command,
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
}

/// Renders the help text.
#[must_use]
pub fn help() -> String {
    format!("{USAGE}\nsettings:\n{}", render_help(SPECS))
}

fn read_filter<E>(reader: &mut SettingsReader<E>) -> TimelineFilter
where
    E: Fn(&str) -> Option<String>,
{
    let by = [
        ("request", REQUEST),
        ("group", GROUP),
        ("host", HOST),
        ("record", RECORD),
        ("account", ACCOUNT),
        ("kind", KIND),
    ];
    let mut filter = TimelineFilter::default();
    for (name, spec) in by {
        if let Some(value) = reader.optional::<String>(&spec) {
            filter.pairs.push((name, value));
        }
    }
    filter.since = reader.optional::<u64>(&SINCE).map(Duration::from_secs);
    filter
}

fn read_command<E>(
    reader: &mut SettingsReader<E>,
    filter: TimelineFilter,
) -> Result<Command, CtlError>
where
    E: Fn(&str) -> Option<String>,
{
    let Some(word) = reader.word() else {
        return Err(CtlError::Usage("a command is missing".into()));
    };
    let command = match word.as_str() {
        "validate" => Command::Validate(argument(reader, "FILE")?),
        "apply" => Command::Apply(argument(reader, "FILE")?),
        "get" => Command::Get(argument(reader, "KIND")?, argument(reader, "NAME")?),
        "list" => Command::List(kind_of(filter)),
        "diff" => Command::Diff(argument(reader, "FILE")?),
        "delete" => Command::Delete(argument(reader, "KIND")?, argument(reader, "NAME")?),
        "history" => Command::History(argument(reader, "KIND")?, argument(reader, "NAME")?),
        "status" => Command::Status,
        "drain" => Command::Drain(drain_kind(reader)?, argument(reader, "NAME")?),
        "undrain" => Command::Undrain(drain_kind(reader)?, argument(reader, "NAME")?),
        "timeline" => Command::Timeline(filter),
        "explain" => Command::Explain(argument(reader, "WHAT")?, argument(reader, "ID")?),
        "hash-key" => Command::HashKey,
        other => return Err(CtlError::Usage(format!("command {other:?} does not exist"))),
    };
    Ok(command)
}

fn argument<E>(reader: &mut SettingsReader<E>, name: &str) -> Result<String, CtlError>
where
    E: Fn(&str) -> Option<String>,
{
    reader
        .word()
        .ok_or_else(|| CtlError::Usage(format!("argument {name} is missing")))
}

fn drain_kind<E>(reader: &mut SettingsReader<E>) -> Result<String, CtlError>
where
    E: Fn(&str) -> Option<String>,
{
    let kind = argument(reader, "domain|host")?;
    if kind == "domain" || kind == "host" {
        return Ok(kind);
    }
    Err(CtlError::Usage(format!(
        "{kind:?} cannot be drained; domain and host can"
    )))
}

fn kind_of(filter: TimelineFilter) -> Option<String> {
    let kind = filter.pairs.into_iter().find(|(name, _)| *name == "kind");
    kind.map(|(_, value)| value)
}
