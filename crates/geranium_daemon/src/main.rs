//! `geraniumd`: an entry host of the serving system.

use std::process::ExitCode;

fn main() -> ExitCode {
    geranium_daemon::process::main()
}
