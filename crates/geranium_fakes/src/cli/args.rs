//! Flags of the stand-ins.

use std::collections::VecDeque;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use geranium_core::id::HostId;
use pico_args::Arguments;

use super::CliError;
use crate::{EngineConfig, PlatformConfig, ServiceConfig};

/// Text of `--help`.
pub const HELP: &str = "\
Stand-ins for the platform, engines and plain services, for tests only.

Usage: geranium-fakes <platform|engine|service> [flags]

Flags of every stand-in:
  --listen ADDRESS          address that is served [127.0.0.1:0]
  --admin ADDRESS           address for POST /fault and GET /fault/stats [127.0.0.1:0]

Flags of platform:
  --listen ADDRESS          may be given several times; POST /fault can make the
                            connections of one address fail, by its position
  --seed-file PATH          JSON object of initial keys; a value that is no string
                            is stored as JSON
  --max-reads-per-second N  reads allowed, watches included [unlimited]
  --max-writes-per-second N writes and lease calls allowed [unlimited]
  --progress-millis N       time between progress notices of a watch [5000]
  --history-limit N         changes kept for watches [10000]

Flags of engine:
  --host NAME               host that the engine runs on (required)
  --checks-fencing BOOL     whether old fencing numbers are refused [true]
  --load-millis N           time to load weights [100]
  --prefill-micros N        time for one block of a prompt that is not cached [0]
  --token-micros N          time for one token [1000]
  --warm-after N            requests that a cold engine finishes to be warm [8]
  --cold-capacity N         requests that a cold engine bears at a time [4]
  --slots N                 requests worked on at a time [256]
  --batch-capacity N        requests above which tokens take longer [64]
  --kv-capacity-tokens N    tokens that fit into the KV cache [1048576]
  --cache-blocks N          blocks that fit into the prefix cache [4096]
  --report-lag-millis N     age of the load figures in a report [0]
  --cache-lag-millis N      age of a cache event when it is first told [0]
  --cache-gap-every N       one cache event of N is lost; 0 loses none [0]
  --member-timeout-millis N silence after which rank 0 misses a member [2000]
  --crash-marker TEXT       text of a prompt that makes the engine fall over

  --help                    prints this text
  --version                 prints the version

Each stand-in prints one line `listen ADDRESS admin ADDRESS` when it is ready, with
several addresses separated by commas, and runs until SIGINT or SIGTERM.
";

/// Settings of the platform with its initial keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformArgs {
    /// Settings.
    pub cfg: PlatformConfig,
    /// JSON object of initial keys.
    pub seed_file: Option<PathBuf>,
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Prints the help.
    Help,
    /// Prints the version.
    Version,
    /// Runs the platform.
    Platform(PlatformArgs),
    /// Runs an engine.
    Engine(Box<EngineConfig>),
    /// Runs a plain service.
    Service(ServiceConfig),
}

/// Parses the command line without the program's name.
///
/// # Errors
///
/// Returns an error that names the argument that is not valid.
pub fn parse(args: Vec<OsString>) -> Result<Command, CliError> {
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let name = args.subcommand()?.unwrap_or_default();
    let command = match name.as_str() {
        "platform" => Command::Platform(platform(&mut args)?),
        "engine" => Command::Engine(Box::new(engine(&mut args)?)),
        "service" => Command::Service(service(&mut args)?),
        _ => return Err(CliError::UnknownCommand(name)),
    };
    match args.finish().first() {
        Some(rest) => Err(CliError::UnknownArgument(
            rest.to_string_lossy().into_owned(),
        )),
        None => Ok(command),
    }
}

fn platform(args: &mut Arguments) -> Result<PlatformArgs, CliError> {
    let mut cfg = PlatformConfig::default();
    let mut listen: VecDeque<SocketAddr> = args.values_from_str("--listen")?.into();
    cfg.listen = listen.pop_front().unwrap_or(cfg.listen);
    cfg.more_listen = listen.into();
    set(args, "--admin", &mut cfg.admin)?;
    cfg.max_reads_per_second = args.opt_value_from_str("--max-reads-per-second")?;
    cfg.max_writes_per_second = args.opt_value_from_str("--max-writes-per-second")?;
    set_millis(args, "--progress-millis", &mut cfg.progress_interval)?;
    set(args, "--history-limit", &mut cfg.history_limit)?;
    let seed_file = args.opt_value_from_str("--seed-file")?;
    Ok(PlatformArgs { cfg, seed_file })
}

fn engine(args: &mut Arguments) -> Result<EngineConfig, CliError> {
    let host: HostId = args.value_from_str("--host")?;
    let mut cfg = EngineConfig::new(host);
    listeners(args, &mut cfg.listen, &mut cfg.admin)?;
    set(args, "--checks-fencing", &mut cfg.checks_fencing)?;
    set_millis(args, "--load-millis", &mut cfg.load_time)?;
    set_micros(args, "--prefill-micros", &mut cfg.prefill_time)?;
    set_micros(args, "--token-micros", &mut cfg.token_time)?;
    set(args, "--warm-after", &mut cfg.warm_after)?;
    set(args, "--cold-capacity", &mut cfg.cold_capacity)?;
    set(args, "--slots", &mut cfg.slots)?;
    set(args, "--batch-capacity", &mut cfg.batch_capacity)?;
    set(args, "--kv-capacity-tokens", &mut cfg.kv_capacity_tokens)?;
    set(args, "--cache-blocks", &mut cfg.cache_blocks)?;
    set_millis(args, "--report-lag-millis", &mut cfg.report_lag)?;
    set_millis(args, "--cache-lag-millis", &mut cfg.cache_lag)?;
    set(args, "--cache-gap-every", &mut cfg.cache_gap_every)?;
    set_millis(args, "--member-timeout-millis", &mut cfg.member_timeout)?;
    cfg.crash_marker = args.opt_value_from_str("--crash-marker")?;
    Ok(cfg)
}

fn service(args: &mut Arguments) -> Result<ServiceConfig, CliError> {
    let mut cfg = ServiceConfig::default();
    listeners(args, &mut cfg.listen, &mut cfg.admin)?;
    Ok(cfg)
}

fn listeners(
    args: &mut Arguments,
    listen: &mut SocketAddr,
    admin: &mut SocketAddr,
) -> Result<(), CliError> {
    set(args, "--listen", listen)?;
    set(args, "--admin", admin)
}

fn set<T>(args: &mut Arguments, name: &'static str, field: &mut T) -> Result<(), CliError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    if let Some(value) = args.opt_value_from_str(name)? {
        *field = value;
    }
    Ok(())
}

fn set_millis(
    args: &mut Arguments,
    name: &'static str,
    field: &mut Duration,
) -> Result<(), CliError> {
    if let Some(millis) = args.opt_value_from_str(name)? {
        *field = Duration::from_millis(millis);
    }
    Ok(())
}

fn set_micros(
    args: &mut Arguments,
    name: &'static str,
    field: &mut Duration,
) -> Result<(), CliError> {
    if let Some(micros) = args.opt_value_from_str(name)? {
        *field = Duration::from_micros(micros);
    }
    Ok(())
}
