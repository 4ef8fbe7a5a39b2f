//! Why a request ended as it did, from log lines alone.

use std::io::Read;

use crate::ctl_error::CtlError;
use crate::exit::Exit;

/// Prints the lines of a request, a host or a group, and what the processes that
/// had it believed of the backend servers concerned.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn run(path: &str, id: &str) -> Result<Exit, CtlError> {
    let lines = geranium_telemetry::explain(&read(path)?, id);
    if lines.is_empty() {
        eprintln!("no line names {id:?}");
        return Ok(Exit::NotFound);
    }
    for line in lines {
        out!("{line}");
    }
    Ok(Exit::Done)
}

fn read(path: &str) -> Result<String, CtlError> {
    let error = |e| CtlError::File(path.to_owned(), e);
    if path == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(error)?;
        return Ok(text);
    }
    let bytes = std::fs::read(path).map_err(error)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
