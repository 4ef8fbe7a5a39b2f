//! Hash of an account key.

use geranium_core::record::hash_key;

use crate::ctl_error::CtlError;
use crate::exit::Exit;

/// Reads a key from standard input and prints its hash.
///
/// # Errors
///
/// Returns an error if standard input cannot be read.
pub fn run() -> Result<Exit, CtlError> {
    let text = std::io::read_to_string(std::io::stdin())
        .map_err(|e| CtlError::File("standard input".to_owned(), e))?;
    println!("{}", hash_key(text.trim()));
    Ok(Exit::Done)
}
