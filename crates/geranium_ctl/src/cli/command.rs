//! Parsing of commands and their arguments.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use geranium_core::event::EventKind;
use geranium_core::id::{AccountId, FailureDomainId, GroupId, HostId, RecordName, RequestId};
use geranium_core::record::RecordKind;
use geranium_settings::{SettingSpec, SettingsReader};

use super::specs::{ACCOUNT, GROUP, HOST, KIND, RECORD, REQUEST, SINCE};

/// Kinds of target that can be drained.
const DRAIN_TARGETS: &[&str] = &["domain", "host"];

/// Kinds of object that can be explained.
const EXPLAIN_SUBJECTS: &[&str] = &["request", "group", "host", "record"];

/// Conditions on events, which are sent as a query string.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TimelineFilter {
    /// Query parameters except the start time.
    pub pairs: Vec<(&'static str, String)>,
    /// Maximum age of the events.
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
    /// Shows the status of all failure domains.
    Status,
    /// Takes a failure domain or a host out of service.
    Drain(String, String),
    /// Brings a failure domain or a host back into service.
    Undrain(String, String),
    /// Merges the events of all entry hosts.
    Timeline(TimelineFilter),
    /// Explains the state of a request, a group, a host or a record.
    Explain(String, String),
    /// Explains a request, a host or a group from a file of log lines.
    ExplainLog(String, String),
    /// Shows the routes, services and groups known to an entry host of the users' platform.
    Beliefs(String),
    /// Shows the room at the groups of each model, known to an entry host of the users' platform.
    Room(String),
    /// Hashes an account key.
    HashKey,
}

/// Reads the conditions on events from the settings.
pub fn read_filter<E>(reader: &mut SettingsReader<E>) -> TimelineFilter
where
    E: Fn(&str) -> Option<String>,
{
    let conditions = [
        ("request", parsed_setting::<RequestId, _>(reader, &REQUEST)),
        ("group", parsed_setting::<GroupId, _>(reader, &GROUP)),
        ("host", parsed_setting::<HostId, _>(reader, &HOST)),
        ("record", parsed_setting::<RecordName, _>(reader, &RECORD)),
        ("account", parsed_setting::<AccountId, _>(reader, &ACCOUNT)),
        ("kind", parsed_setting::<String, _>(reader, &KIND)),
    ];
    let given = conditions
        .into_iter()
        .filter_map(|(name, id)| Some((name, id?)));
    TimelineFilter {
        pairs: given.collect(),
        since: reader.optional::<u64>(&SINCE).map(Duration::from_secs),
    }
}

/// Reads an optional setting, validates it as a `T` and returns it as text.
fn parsed_setting<T, E>(reader: &mut SettingsReader<E>, spec: &SettingSpec) -> Option<String>
where
    T: FromStr + Display,
    T::Err: Display,
    E: Fn(&str) -> Option<String>,
{
    reader.optional::<T>(spec).map(|value| value.to_string())
}

/// Reads the command; returns `None` if an error was recorded.
pub fn read_command<E>(reader: &mut SettingsReader<E>, filter: TimelineFilter) -> Option<Command>
where
    E: Fn(&str) -> Option<String>,
{
    let Some(command_name) = reader.next_positional() else {
        reader.record_conflict("a command is missing; see geraniumctl --help");
        return None;
    };
    let command = match command_name.as_str() {
        "validate" => Command::Validate(argument(reader, "FILE")?),
        "apply" => Command::Apply(argument(reader, "FILE")?),
        "get" => record_key(reader, Command::Get)?,
        "list" => Command::List(checked_record_kind(reader, filter)?),
        "diff" => Command::Diff(argument(reader, "FILE")?),
        "delete" => record_key(reader, Command::Delete)?,
        "history" => record_key(reader, Command::History)?,
        "status" => Command::Status,
        "drain" => kind_and_name(reader, DRAIN_TARGETS, Command::Drain)?,
        "undrain" => kind_and_name(reader, DRAIN_TARGETS, Command::Undrain)?,
        "timeline" => Command::Timeline(checked_event_kind(reader, filter)?),
        "explain" => kind_and_name(reader, EXPLAIN_SUBJECTS, Command::Explain)?,
        "explain-log" => {
            let file = argument(reader, "FILE")?;
            Command::ExplainLog(file, argument(reader, "ID")?)
        }
        "beliefs" => Command::Beliefs(argument(reader, "ADDRESS")?),
        "room" => Command::Room(argument(reader, "ADDRESS")?),
        "hash-key" => Command::HashKey,
        other => {
            reader.record_conflict(format!(
                "command {other:?} does not exist; see geraniumctl --help"
            ));
            return None;
        }
    };
    Some(command)
}

fn argument<E>(reader: &mut SettingsReader<E>, name: &str) -> Option<String>
where
    E: Fn(&str) -> Option<String>,
{
    let word = reader.next_positional();
    if word.is_none() {
        reader.record_conflict(format!(
            "argument {name} is missing; see geraniumctl --help"
        ));
    }
    word
}

/// Takes a required argument that must parse as a `T`.
fn parsed_argument<T, E>(reader: &mut SettingsReader<E>, name: &str) -> Option<String>
where
    T: FromStr,
    T::Err: Display,
    E: Fn(&str) -> Option<String>,
{
    let word = argument(reader, name)?;
    if let Err(e) = word.parse::<T>() {
        reader.record_conflict(format!("argument {name} is {word:?}: {e}"));
        return None;
    }
    Some(word)
}

/// Reads the kind and the name of a record.
fn record_key<E>(
    reader: &mut SettingsReader<E>,
    command: impl FnOnce(String, String) -> Command,
) -> Option<Command>
where
    E: Fn(&str) -> Option<String>,
{
    let kind = parsed_argument::<RecordKind, _>(reader, "KIND");
    let name = parsed_argument::<RecordName, _>(reader, "NAME");
    Some(command(kind?, name?))
}

/// Reads one of `kinds` and the name of an object of that kind.
fn kind_and_name<E>(
    reader: &mut SettingsReader<E>,
    kinds: &[&str],
    command: impl FnOnce(String, String) -> Command,
) -> Option<Command>
where
    E: Fn(&str) -> Option<String>,
{
    let valid_words = kinds.join("|");
    let kind = argument(reader, &valid_words)?;
    if !kinds.contains(&kind.as_str()) {
        reader.record_conflict(format!("argument {kind:?} is not one of {valid_words}"));
    }
    let name = match kind.as_str() {
        "request" => parsed_argument::<RequestId, _>(reader, "ID"),
        "group" => parsed_argument::<GroupId, _>(reader, "ID"),
        "record" => parsed_argument::<RecordName, _>(reader, "NAME"),
        "domain" => parsed_argument::<FailureDomainId, _>(reader, "NAME"),
        _ => parsed_argument::<HostId, _>(reader, "NAME"),
    };
    Some(command(kind, name?))
}

/// Validates the record kind, if one is given.
fn checked_record_kind<E>(
    reader: &mut SettingsReader<E>,
    filter: TimelineFilter,
) -> Option<Option<String>>
where
    E: Fn(&str) -> Option<String>,
{
    let kind = kind_filter(filter);
    if let Some(Err(e)) = kind.as_deref().map(RecordKind::from_str) {
        reader.record_invalid(&KIND, kind.unwrap_or_default(), e.to_string());
        return None;
    }
    Some(kind)
}

/// Validates the event kind, if one is given; this needs no call to an entry host.
fn checked_event_kind<E>(
    reader: &mut SettingsReader<E>,
    filter: TimelineFilter,
) -> Option<TimelineFilter>
where
    E: Fn(&str) -> Option<String>,
{
    let Some(kind) = kind_filter(filter.clone()) else {
        return Some(filter);
    };
    let names: Vec<&str> = EventKind::ALL.iter().map(|kind| kind.as_str()).collect();
    if names.contains(&kind.as_str()) {
        return Some(filter);
    }
    let valid = format!("no event has this kind; kinds: {}", names.join(", "));
    reader.record_invalid(&KIND, kind, valid);
    None
}

fn kind_filter(filter: TimelineFilter) -> Option<String> {
    let kind = filter.pairs.into_iter().find(|(name, _)| *name == "kind");
    kind.map(|(_, value)| value)
}
