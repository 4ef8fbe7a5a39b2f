//! The command line of `geranium-fakes`.

mod args;
mod error;
mod run;

pub use args::{Command, HELP, PlatformArgs, parse};
pub use error::CliError;
pub use run::run;
