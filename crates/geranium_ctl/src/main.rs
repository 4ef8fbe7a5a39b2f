//! `geraniumctl`: the operator's command-line tool.

#[macro_use]
mod out;

mod cli;
mod command;
mod ctl_error;
mod document;
mod exit;
mod output;
mod timeline_svg;

use std::process::ExitCode;

use cli::Invocation;
use ctl_error::CtlError;
use exit::Exit;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    let outcome = Invocation::read(args, |name| std::env::var(name).ok()).and_then(run);
    match outcome {
        Ok(exit) => exit.into(),
        Err(e) => {
            eprintln!("{e}");
            Exit::from(&e).into()
        }
    }
}

fn run(invocation: Invocation) -> Result<Exit, CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CtlError::Runtime)?;
    runtime.block_on(command::run(invocation))
}
