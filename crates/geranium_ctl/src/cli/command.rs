//! Commands and their arguments.

use std::time::Duration;

use geranium_core::event::EventKind;
use geranium_settings::SettingsReader;

use super::specs::{ACCOUNT, GROUP, HOST, KIND, RECORD, REQUEST, SINCE};

/// What can be drained.
const DRAINABLE: &[&str] = &["domain", "host"];

/// What can be explained.
const EXPLAINABLE: &[&str] = &["request", "group", "host", "record"];

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

/// Reads the conditions on events.
pub fn read_filter<E>(reader: &mut SettingsReader<E>) -> TimelineFilter
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

/// Reads the command; `None` stands for a recorded fault.
pub fn read_command<E>(reader: &mut SettingsReader<E>, filter: TimelineFilter) -> Option<Command>
where
    E: Fn(&str) -> Option<String>,
{
    let Some(word) = reader.word() else {
        reader.conflict("a command is missing; see geraniumctl --help");
        return None;
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
        "drain" => Command::Drain(one_of(reader, DRAINABLE)?, argument(reader, "NAME")?),
        "undrain" => Command::Undrain(one_of(reader, DRAINABLE)?, argument(reader, "NAME")?),
        "timeline" => Command::Timeline(checked(reader, filter)?),
        "explain" => Command::Explain(one_of(reader, EXPLAINABLE)?, argument(reader, "ID")?),
        "hash-key" => Command::HashKey,
        other => {
            reader.conflict(format!(
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
    let word = reader.word();
    if word.is_none() {
        reader.conflict(format!(
            "argument {name} is missing; see geraniumctl --help"
        ));
    }
    word
}

fn one_of<E>(reader: &mut SettingsReader<E>, valid: &[&str]) -> Option<String>
where
    E: Fn(&str) -> Option<String>,
{
    let valid_words = valid.join("|");
    let word = argument(reader, &valid_words)?;
    if valid.contains(&word.as_str()) {
        return Some(word);
    }
    reader.conflict(format!("argument {word:?} is not one of {valid_words}"));
    // The name belongs to the refused word and is no fault of its own.
    let _ = reader.word();
    None
}

/// Checks the kind of events, which no entry host needs to be asked for.
fn checked<E>(reader: &mut SettingsReader<E>, filter: TimelineFilter) -> Option<TimelineFilter>
where
    E: Fn(&str) -> Option<String>,
{
    let Some(kind) = kind_of(filter.clone()) else {
        return Some(filter);
    };
    let names: Vec<&str> = EventKind::ALL.iter().map(|kind| kind.as_str()).collect();
    if names.contains(&kind.as_str()) {
        return Some(filter);
    }
    let valid = format!("no event has this kind; kinds: {}", names.join(", "));
    reader.invalid(&KIND, kind, valid);
    None
}

fn kind_of(filter: TimelineFilter) -> Option<String> {
    let kind = filter.pairs.into_iter().find(|(name, _)| *name == "kind");
    kind.map(|(_, value)| value)
}
