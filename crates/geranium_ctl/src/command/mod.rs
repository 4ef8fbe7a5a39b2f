//! Implementation of the commands.

mod apply;
mod beliefs;
mod drain;
mod explain;
mod explain_log;
mod hash_key;
mod records;
mod room;
mod session;
mod status;
mod timeline;

use crate::cli::{Command, Invocation, help};
use crate::ctl_error::CtlError;
use crate::exit::Exit;

use session::Session;

/// Runs a command.
///
/// # Errors
///
/// Returns an error if the command failed.
pub async fn run(invocation: Invocation) -> Result<Exit, CtlError> {
    let session = Session::new(&invocation);
    match &invocation.command {
        Command::Help => {
            out!("{}", help().trim_end());
            Ok(Exit::Done)
        }
        Command::Version => {
            out!("geraniumctl {}", env!("CARGO_PKG_VERSION"));
            Ok(Exit::Done)
        }
        Command::ExplainLog(path, id) => explain_log::run(path, id),
        Command::Beliefs(address) => beliefs::run(&session, address).await,
        Command::Room(address) => room::run(&session, address).await,
        Command::HashKey => hash_key::run(),
        Command::Validate(path) => apply::validate(&session, path).await,
        Command::Apply(path) => apply::apply(&session, path).await,
        Command::Diff(path) => apply::diff(&session, path).await,
        Command::Delete(kind, name) => apply::delete(&session, kind, name).await,
        Command::Get(kind, name) => records::get(&session, kind, name).await,
        Command::List(kind) => records::list(&session, kind.as_deref()).await,
        Command::History(kind, name) => records::history(&session, kind, name).await,
        Command::Status => status::run(&session).await,
        Command::Drain(kind, name) => drain::drain(&session, kind, name).await,
        Command::Undrain(kind, name) => drain::undrain(&session, kind, name).await,
        Command::Timeline(filter) => timeline::run(&session, filter).await,
        Command::Explain(kind, id) => explain::run(&session, kind, id).await,
    }
}
