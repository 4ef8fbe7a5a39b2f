//! Settings of the daemon.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::id::{FailureDomainId, HostId};
use geranium_settings::{SettingSpec, SettingsError, SettingsReader, render_help};
use log::LevelFilter;

const HOST: SettingSpec = SettingSpec::new(
    "--host",
    "NAME",
    "Name of this entry host, unique in the system.",
);
const FAILURE_DOMAIN: SettingSpec = SettingSpec::new(
    "--failure-domain",
    "NAME",
    "Failure domain of this entry host.",
);
const CALLER_ADDRESS: SettingSpec =
    SettingSpec::new("--caller-address", "IP:PORT", "Listener for callers.");
const OPERATOR_ADDRESS: SettingSpec = SettingSpec::new(
    "--operator-address",
    "IP:PORT",
    "Listener for operators and metrics.",
);
const PEER_ADDRESS: SettingSpec = SettingSpec::new(
    "--peer-address",
    "IP:PORT",
    "Listener for other entry hosts.",
);
const PEERS: SettingSpec = SettingSpec::new(
    "--peers",
    "IP:PORT,...",
    "Peer addresses of entry hosts to join; this host's own may be among them.",
)
.default_value("");
const PLATFORM: SettingSpec = SettingSpec::new(
    "--platform",
    "IP:PORT,...",
    "Addresses of the platform's key-value service.",
);
const OPERATOR_TOKEN: SettingSpec = SettingSpec::new(
    "--operator-token",
    "TEXT of 16 bytes or more",
    "Token that operator calls must carry; prefer the variable.",
)
.secret();
const PEER_TOKEN: SettingSpec = SettingSpec::new(
    "--peer-token",
    "TEXT of 16 bytes or more",
    "Token that entry hosts show each other; prefer the variable.",
)
.secret();
const LOG_LEVEL: SettingSpec = SettingSpec::new(
    "--log-level",
    "off|error|warn|info|debug|trace",
    "Least level logged.",
)
.default_value("info");
const EVENT_CAPACITY: SettingSpec =
    SettingSpec::new("--event-capacity", "1 to 1000000", "Events kept in memory.")
        .default_value("8192");
const REPORT_INTERVAL: SettingSpec = SettingSpec::new(
    "--report-interval-ms",
    "50 to 5000",
    "Time between two reports asked of a backend server.",
)
.default_value("250");
const DEFAULT_DEADLINE: SettingSpec = SettingSpec::new(
    "--default-deadline-ms",
    "1 to 3600000",
    "Deadline of a request that names none.",
)
.default_value("60000");
const MAX_BODY: SettingSpec = SettingSpec::new(
    "--max-body-bytes",
    "1024 to 67108864",
    "Largest request body.",
)
.default_value("1048576");
const RESPONSE_MEMORY: SettingSpec = SettingSpec::new(
    "--response-memory-bytes",
    "1048576 to 68719476736",
    "Memory for all answers of backend servers that callers have not taken yet.",
)
.default_value("134217728");
const MAX_CONNECTIONS: SettingSpec = SettingSpec::new(
    "--max-connections",
    "1 to 100000",
    "Caller connections at a time.",
)
.default_value("4096");
const SHUTDOWN_TIMEOUT: SettingSpec = SettingSpec::new(
    "--shutdown-timeout-ms",
    "1 to 3600000",
    "Longest time for running requests after a stop was asked for.",
)
.default_value("600000");
const MAX_LOADS: SettingSpec = SettingSpec::new(
    "--max-loads",
    "1 to 1000",
    "Hosts of this failure domain that load weights at a time, the weight store's rate.",
)
.default_value("16");

/// All settings, in the order of the help text.
pub const SPECS: &[SettingSpec] = &[
    HOST,
    FAILURE_DOMAIN,
    CALLER_ADDRESS,
    OPERATOR_ADDRESS,
    PEER_ADDRESS,
    PEERS,
    PLATFORM,
    OPERATOR_TOKEN,
    PEER_TOKEN,
    LOG_LEVEL,
    EVENT_CAPACITY,
    REPORT_INTERVAL,
    DEFAULT_DEADLINE,
    MAX_BODY,
    RESPONSE_MEMORY,
    MAX_CONNECTIONS,
    SHUTDOWN_TIMEOUT,
    MAX_LOADS,
];

/// Minimum length of a token, in bytes.
const MIN_TOKEN_LEN: usize = 16;

/// Validated settings of the daemon.
#[derive(Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Name of this entry host.
    pub host: HostId,
    /// Failure domain of this entry host.
    pub failure_domain: FailureDomainId,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Address of the listener for operators and metrics.
    pub operator_address: SocketAddr,
    /// Address of the listener for other entry hosts.
    pub peer_address: SocketAddr,
    /// Peer addresses of entry hosts to join.
    pub peers: Vec<SocketAddr>,
    /// Addresses of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// Token that operator requests must carry.
    pub operator_token: String,
    /// Token that entry hosts use to authenticate to each other.
    pub peer_token: String,
    /// Most verbose level that is logged.
    pub log_level: LevelFilter,
    /// Maximum number of events kept in memory.
    pub event_capacity: usize,
    /// Interval at which a backend server is asked for a report.
    pub report_interval: Duration,
    /// Deadline of a request that sets none.
    pub default_deadline: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Memory for all answers of backend servers that callers have not taken yet, in bytes.
    pub response_memory: usize,
    /// Maximum number of concurrent caller connections.
    pub max_connections: usize,
    /// Maximum time that running requests get to complete during a shutdown.
    pub shutdown_timeout: Duration,
    /// Maximum number of hosts of this failure domain that load weights at the same time, as
    /// the rate of the weight store allows.
    pub max_loads: usize,
}

/// Command given on the command line.
pub enum DaemonCommand {
    /// Run the daemon.
    Run(Box<DaemonSettings>),
    /// Validate the settings and exit.
    Check,
    /// Print the help text and exit.
    Help,
    /// Print the version and exit.
    Version,
}

impl DaemonCommand {
    /// Parses the command line and the environment variables.
    ///
    /// # Errors
    ///
    /// Returns all faults of the settings.
    pub fn read(
        args: Vec<OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::new(args, env);
        if reader.switch("--help") {
            return Ok(Self::Help);
        }
        if reader.switch("--version") {
            return Ok(Self::Version);
        }
        let check = reader.switch("--check");
        let settings = read_settings(&mut reader);
        reader.finish()?;
        match settings {
            Some(_) if check => Ok(Self::Check),
            Some(settings) => Ok(Self::Run(Box::new(settings))),
            // Each missing value has recorded a fault, so `finish` has already failed.
            None => Err(SettingsError { faults: Vec::new() }),
        }
    }
}

/// Renders the help text.
#[must_use]
pub fn help() -> String {
    format!(
        "geraniumd: entry host of the geraniumcourse serving system\n\n\
         usage: geraniumd [--check] SETTING...\n\n\
         --check checks the settings and exits; --version prints the version.\n\
         Each setting is a flag or an environment variable; the flag wins.\n\n{}",
        render_help(SPECS)
    )
}

fn read_settings<E>(reader: &mut SettingsReader<E>) -> Option<DaemonSettings>
where
    E: Fn(&str) -> Option<String>,
{
    let host = reader.required(&HOST);
    let failure_domain = reader.required(&FAILURE_DOMAIN);
    let caller_address = read_address(reader, &CALLER_ADDRESS);
    let operator_address = read_address(reader, &OPERATOR_ADDRESS);
    let peer_address = read_address(reader, &PEER_ADDRESS);
    let peers = reader.list(&PEERS);
    let platform = reader.required_list(&PLATFORM);
    let operator_token = read_token(reader, &OPERATOR_TOKEN);
    let peer_token = read_token(reader, &PEER_TOKEN);
    let log_level = reader.required(&LOG_LEVEL);
    let event_capacity = read_in_range(reader, &EVENT_CAPACITY, 1, 1_000_000);
    let report_interval = read_in_range(reader, &REPORT_INTERVAL, 50, 5_000);
    let default_deadline = read_in_range(reader, &DEFAULT_DEADLINE, 1, 3_600_000);
    let max_body = read_in_range(reader, &MAX_BODY, 1_024, 64 << 20);
    let response_memory = read_in_range(reader, &RESPONSE_MEMORY, 1 << 20, 64 << 30);
    let max_connections = read_in_range(reader, &MAX_CONNECTIONS, 1, 100_000);
    let shutdown_timeout = read_in_range(reader, &SHUTDOWN_TIMEOUT, 1, 3_600_000);
    let max_loads = read_in_range(reader, &MAX_LOADS, 1, 1_000);
    check_distinct(reader, [caller_address, operator_address, peer_address]);
    Some(DaemonSettings {
        host: host?,
        failure_domain: failure_domain?,
        caller_address: caller_address?,
        operator_address: operator_address?,
        peer_address: peer_address?,
        peers,
        platform,
        operator_token: operator_token?,
        peer_token: peer_token?,
        log_level: log_level?,
        event_capacity: event_capacity?,
        report_interval: millis(report_interval?),
        default_deadline: millis(default_deadline?),
        max_body: max_body?,
        response_memory: response_memory?,
        max_connections: max_connections?,
        shutdown_timeout: millis(shutdown_timeout?),
        max_loads: max_loads?,
    })
}

fn millis(value: usize) -> Duration {
    Duration::from_millis(value as u64)
}

fn read_address<E>(reader: &mut SettingsReader<E>, spec: &SettingSpec) -> Option<SocketAddr>
where
    E: Fn(&str) -> Option<String>,
{
    let address: SocketAddr = reader.required(spec)?;
    if address.ip().is_unspecified() {
        reader.record_invalid(spec, address, "other hosts need the exact IP number");
        return None;
    }
    Some(address)
}

fn read_token<E>(reader: &mut SettingsReader<E>, spec: &SettingSpec) -> Option<String>
where
    E: Fn(&str) -> Option<String>,
{
    let token: String = reader.required(spec)?;
    if token.len() < MIN_TOKEN_LEN {
        reader.record_invalid(spec, &token, format!("it has {} bytes", token.len()));
        return None;
    }
    Some(token)
}

fn read_in_range<E>(
    reader: &mut SettingsReader<E>,
    spec: &SettingSpec,
    min: usize,
    max: usize,
) -> Option<usize>
where
    E: Fn(&str) -> Option<String>,
{
    let value: usize = reader.required(spec)?;
    if (min..=max).contains(&value) {
        return Some(value);
    }
    reader.record_invalid(spec, value, "it is out of range");
    None
}

fn check_distinct<E>(reader: &mut SettingsReader<E>, addresses: [Option<SocketAddr>; 3])
where
    E: Fn(&str) -> Option<String>,
{
    let [caller, operator, peer] = addresses;
    let equal = |a: Option<SocketAddr>, b: Option<SocketAddr>| a.is_some() && a == b;
    if equal(caller, operator) || equal(caller, peer) || equal(operator, peer) {
        reader
            .record_conflict("--caller-address, --operator-address and --peer-address must differ");
    }
}
