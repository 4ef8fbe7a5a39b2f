//! Commands and their arguments.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use geranium_core::event::EventKind;
use geranium_core::id::{AccountId, FailureDomainId, GroupId, HostId, RecordName, RequestId};
use geranium_core::record::RecordKind;
use geranium_settings::{SettingSpec, SettingsReader};

use super::specs::{ACCOUNT, GROUP, HOST, KIND, RECORD, REQUEST, SINCE};

/// What can be drained.
const DRAIN_TARGETS: &[&str] = &["domain", "host"];

/// What can be explained.
const EXPLAIN_SUBJECTS: &[&str] = &["request", "group", "host", "record"];

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
    /// Explains a request, a host or a group from a file of log lines.
    ExplainLog(String, String),
    /// Shows what an entry host of the users' platform believes.
    Beliefs(String),
    /// Hashes an account key.
    HashKey,
}

/// Reads the conditions on events.
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

/// Reads a setting as text that is valid for a type.
fn parsed_setting<T, E>(reader: &mut SettingsReader<E>, spec: &SettingSpec) -> Option<String>
where
    T: FromStr + Display,
    T::Err: Display,
    E: Fn(&str) -> Option<String>,
{
    reader.optional::<T>(spec).map(|value| value.to_string())
}

/// Reads the command; `None` stands for a recorded fault.
pub fn read_command<E>(reader: &mut SettingsReader<E>, filter: TimelineFilter) -> Option<Command>
where
    E: Fn(&str) -> Option<String>,
{
    let Some(word) = reader.next_positional() else {
        reader.record_conflict("a command is missing; see geraniumctl --help");
        return None;
    };
    let command = match word.as_str() {
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

/// Takes an argument that is valid for a type.
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

/// Takes the kind and the name of a record.
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

/// Takes what something is, one of several words, and its name.
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

/// Checks the kind of records, if one is given.
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

/// Checks the kind of events, which no entry host needs to be asked for.
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
