//! Entry point of the process `geraniumd`.

use std::process::ExitCode;

use geranium_settings::EXIT_INVALID_SETTINGS;

use crate::settings::{DaemonCommand, DaemonSettings, help};
use crate::startup::Daemon;
use crate::startup_error::StartupError;

/// Runs the daemon with the arguments and environment variables of this process.
#[must_use]
pub fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    match DaemonCommand::read(args, |name| std::env::var(name).ok()) {
        Ok(DaemonCommand::Help) => print!("{}", help()),
        Ok(DaemonCommand::Version) => println!("geraniumd {}", env!("CARGO_PKG_VERSION")),
        Ok(DaemonCommand::Check) => println!("settings are valid"),
        Ok(DaemonCommand::Run(settings)) => {
            if let Err(e) = run(*settings) {
                eprintln!("geraniumd: {e}");
                return ExitCode::FAILURE;
            }
        }
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    }
    ExitCode::SUCCESS
}

fn run(settings: DaemonSettings) -> Result<(), StartupError> {
    let runtime = tokio::runtime::Runtime::new().map_err(StartupError::Runtime)?;
    runtime.block_on(async {
        let mut daemon = Daemon::prepare(settings)?;
        daemon.install_logger()?;
        daemon.add_peers()?;
        daemon.add_group_control();
        daemon.add_store_watches();
        daemon.add_leader_election();
        daemon.add_traffic_ticks();
        daemon.add_cache_event_polling();
        daemon.add_claim_sweep();
        daemon.add_caller_interface().await?;
        daemon.add_operator_interface().await?;
        daemon.run_until_signal().await
    })
}
