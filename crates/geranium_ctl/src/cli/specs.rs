//! Settings and help text.

use geranium_settings::{SettingSpec, render_help};

/// Entry hosts to call.
pub const HOSTS: SettingSpec = SettingSpec::new(
    "--hosts",
    "IP:PORT,...",
    "Operator addresses of entry hosts; the first reachable one is called.",
);
/// Operator token.
pub const TOKEN: SettingSpec = SettingSpec::new(
    "--operator-token",
    "TEXT",
    "Operator token; prefer the environment variable.",
)
.secret();
/// Operator name that is recorded with each change.
pub const OPERATOR: SettingSpec =
    SettingSpec::new("--operator", "NAME", "Name recorded with each change.")
        .default_value("operator");
/// Timeout of `--wait`.
pub const TIMEOUT: SettingSpec =
    SettingSpec::new("--timeout-ms", "MILLISECONDS", "Timeout of --wait.").default_value("15000");
/// Generation that a change is based on.
pub const GENERATION: SettingSpec = SettingSpec::new(
    "--generation",
    "NUMBER",
    "Generation that the change is based on.",
);
/// Reason of a drain.
pub const REASON: SettingSpec =
    SettingSpec::new("--reason", "TEXT", "Reason of a drain.").default_value("");
/// Path of the SVG file.
pub const SVG: SettingSpec =
    SettingSpec::new("--svg", "FILE", "Writes the timeline to an SVG file.");
/// Filters events by request.
pub const REQUEST: SettingSpec = SettingSpec::new("--request", "ID", "Events of a request.");
/// Filters events by group.
pub const GROUP: SettingSpec = SettingSpec::new("--group", "ID", "Events of a group.");
/// Filters events by host.
pub const HOST: SettingSpec = SettingSpec::new("--host", "NAME", "Events of a host.");
/// Filters events by record.
pub const RECORD: SettingSpec = SettingSpec::new("--record", "NAME", "Events of a record.");
/// Filters events by client account.
pub const ACCOUNT: SettingSpec = SettingSpec::new("--account", "NAME", "Events of an account.");
/// Filters events or records by kind.
pub const KIND: SettingSpec = SettingSpec::new("--kind", "KIND", "Events or records of a kind.");
/// Filters events by age.
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
  apply FILE [--wait]      writes a record; --wait waits until it is in force everywhere
  get KIND NAME            shows a record
  list [--kind KIND]       lists records
  diff FILE                shows what apply would change; exit code 7 if anything would
  delete KIND NAME [--wait]
  history KIND NAME        shows the changes of a record, newest first
  status                   shows requested, serving and missing replicas
  drain domain|host NAME   takes a failure domain or a host out of service
  undrain domain|host NAME brings it back into service
  timeline [--follow]      merges the events of all entry hosts
  explain request|group|host|record ID
                           explains its current state
  explain-log FILE ID      explains a request, a host or a group of geranium-entry from
                           its log lines alone; FILE may be - for standard input
  beliefs ADDRESS          shows the routes, backend servers and groups known to a
                           geranium-entry; ADDRESS is its metrics address
  room ADDRESS             shows the requests and slots of each model by failure domain,
                           known to a geranium-entry; ADDRESS is its metrics address
  hash-key                 reads an account key from standard input and prints its hash

record kinds: model, account, service, drain

exit codes: 0 done, 1 failed, 2 usage, 3 lost race, 4 invalid record,
  5 accepted but not in force everywhere before the timeout, 6 not found, 7 differs

switches: --json for JSON output, --wait, --follow, --help, --version
";

/// Renders the help text.
#[must_use]
pub fn help() -> String {
    format!("{USAGE}\nsettings:\n{}", render_help(SPECS))
}
