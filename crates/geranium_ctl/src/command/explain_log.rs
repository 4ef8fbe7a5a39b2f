//! Explains the outcome of a request from log lines alone.

use std::io::Read;

use crate::ctl_error::CtlError;
use crate::exit::Exit;

/// Prints the log lines of a request, a host or a group, and what the processes involved
/// logged about their own state and the backend servers involved.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn run(path: &str, id: &str) -> Result<Exit, CtlError> {
    let lines = geranium_telemetry::explain(&read(path)?, id);
    if lines.is_empty() {
        eprintln!("no log line contains {id:?}");
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
