//! Settings and help text.

use geranium_settings::{SettingSpec, render_help};

/// Entry hosts to ask.
pub const HOSTS: SettingSpec = SettingSpec::new(
    "--hosts",
    "IP:PORT,...",
    "Operator addresses of entry hosts; the first that answers is asked.",
);
/// Operator token.
pub const TOKEN: SettingSpec = SettingSpec::new(
    "--operator-token",
    "TEXT",
    "Operator token; prefer the variable.",
)
.secret();
/// Name of the operator.
pub const OPERATOR: SettingSpec =
    SettingSpec::new("--operator", "NAME", "Name kept with each change.").default_value("operator");
/// Longest wait.
pub const TIMEOUT: SettingSpec =
    SettingSpec::new("--timeout-ms", "MILLISECONDS", "Longest wait of --wait.")
        .default_value("15000");
/// Generation that a change builds on.
pub const GENERATION: SettingSpec = SettingSpec::new(
    "--generation",
    "NUMBER",
    "Generation that the change builds on.",
);
/// Reason of a drain.
pub const REASON: SettingSpec =
    SettingSpec::new("--reason", "TEXT", "Why, for drain.").default_value("");
/// File of the picture.
pub const SVG: SettingSpec =
    SettingSpec::new("--svg", "FILE", "Writes the time line as a picture.");
/// Filter by request.
pub const REQUEST: SettingSpec = SettingSpec::new("--request", "ID", "Events of a request.");
/// Filter by group.
pub const GROUP: SettingSpec = SettingSpec::new("--group", "ID", "Events of a group.");
/// Filter by host.
pub const HOST: SettingSpec = SettingSpec::new("--host", "NAME", "Events of a host.");
/// Filter by record.
pub const RECORD: SettingSpec = SettingSpec::new("--record", "NAME", "Events of a record.");
/// Filter by client account.
pub const ACCOUNT: SettingSpec = SettingSpec::new("--account", "NAME", "Events of an account.");
/// Filter by kind.
pub const KIND: SettingSpec = SettingSpec::new("--kind", "KIND", "Events or records of a kind.");
/// Filter by time.
pub const SINCE: SettingSpec =
    SettingSpec::new("--since-s", "SECONDS", "Events of the last seconds.");

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
  explain-log FILE ID      the same for a request, a host or a group of geranium-entry,
                           from its log lines alone; FILE may be -
  beliefs ADDRESS          shows routes, backend servers and groups that a geranium-entry
                           knows; ADDRESS is that of its metrics
  hash-key                 reads an account key from standard input, prints its hash

kinds of record: model, account, service, drain

exit codes: 0 done, 1 failed, 2 usage, 3 lost race, 4 invalid record,
  5 accepted but not in force everywhere in time, 6 not found, 7 differs

switches: --json for programs, --wait, --follow, --help, --version
";

/// Renders the help text.
#[must_use]
pub fn help() -> String {
    format!("{USAGE}\nsettings:\n{}", render_help(SPECS))
}
