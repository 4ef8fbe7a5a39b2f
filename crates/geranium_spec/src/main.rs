//! Checks the specification and prints what was found.
//!
//! Without arguments every property is checked; with `--mutate NAME` one guard is
//! removed, and the shortest trace to a violation is printed. The exit status is
//! non-zero if a property is violated.

use std::fmt::Write as _;
use std::io::{self, Write as _};
use std::process::ExitCode;

use geranium_spec::prelude::*;
use quick_error::quick_error;

quick_error! {
    /// Fault of the command line.
    #[derive(Debug)]
    enum UsageError {
        /// An option lacks its value, or its value is not valid.
        Option(source: pico_args::Error) {
            display("{}", source)
            from()
        }
        /// Arguments that have no meaning.
        Unexpected(text: String) {
            display("unexpected arguments {}; valid are --small, --mutate NAME, --list-mutations", text)
        }
    }
}

/// What the command line asks for.
enum Command {
    Check(Level),
    Mutate(Mutation),
    ListMutations,
}

fn main() -> ExitCode {
    match parse() {
        Ok(Command::Check(level)) => print_checks(level),
        Ok(Command::Mutate(mutation)) => print_mutation(mutation),
        Ok(Command::ListMutations) => list_mutations(),
        Err(e) => {
            eprintln!("geranium_spec: {e}");
            ExitCode::from(2)
        }
    }
}

fn parse() -> Result<Command, UsageError> {
    let mut args = pico_args::Arguments::from_env();
    let list = args.contains("--list-mutations");
    let small = args.contains("--small");
    let mutation: Option<Mutation> = args.opt_value_from_str("--mutate")?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(UsageError::Unexpected(format!("{rest:?}")));
    }
    let level = if small { Level::Small } else { Level::Full };
    Ok(match mutation {
        _ if list => Command::ListMutations,
        Some(mutation) => Command::Mutate(mutation),
        None => Command::Check(level),
    })
}

fn print_checks(level: Level) -> ExitCode {
    let reports = check_all(level);
    let failed = reports.iter().filter(|report| !report.passed()).count();
    let mut text: String = reports.iter().map(ToString::to_string).collect();
    let _ = writeln!(text, "{} models, {failed} failed", reports.len());
    print(&text, ExitCode::from(u8::from(failed > 0)))
}

fn print_mutation(mutation: Mutation) -> ExitCode {
    match check_mutation(mutation) {
        Some(violation) => print(&format!("{mutation}: {violation}"), ExitCode::FAILURE),
        None => {
            let text = format!("{mutation}: no property is violated\n");
            print(&text, ExitCode::SUCCESS)
        }
    }
}

fn list_mutations() -> ExitCode {
    let lines = Mutation::ALL.iter().map(|mutation| format!("{mutation}\n"));
    print(&lines.collect::<String>(), ExitCode::SUCCESS)
}

/// Prints a text; a reader that closes the pipe early changes nothing.
fn print(text: &str, status: ExitCode) -> ExitCode {
    match io::stdout().write_all(text.as_bytes()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => {
            eprintln!("geranium_spec: {e}");
            ExitCode::from(2)
        }
        _ => status,
    }
}
