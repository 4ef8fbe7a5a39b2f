//! Runs the daemon as a process for the tests of `geraniumctl`.
//!
//! Cargo provides a test only with the binaries of its own package, so the daemon is an
//! example of this package; `cargo test` builds examples before it runs the tests.

use std::process::ExitCode;

fn main() -> ExitCode {
    geranium_daemon::process::main()
}
