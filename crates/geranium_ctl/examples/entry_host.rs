//! The daemon as a process for the tests of `geraniumctl`.
//!
//! A test may start the binaries of its own package only; `cargo test` builds
//! this example before it runs them.

use std::process::ExitCode;

fn main() -> ExitCode {
    geranium_daemon::process::main()
}
