//! Entry point of the stand-ins.

use std::process::ExitCode;

use geranium_fakes::cli;

/// Exit code for a command line that is not valid.
const EXIT_USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let command = match cli::parse(args) {
        Ok(command) => command,
        Err(e) => {
            eprintln!("geranium-fakes: {e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match cli::run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("geranium-fakes: {e}");
            ExitCode::FAILURE
        }
    }
}
