//! Hashes an account key.

use geranium_core::record::hash_key;

use crate::ctl_error::CtlError;
use crate::exit::Exit;

/// Reads an account key from standard input and prints its hash.
///
/// # Errors
///
/// Returns an error if standard input cannot be read or is empty.
pub fn run() -> Result<Exit, CtlError> {
    let text = std::io::read_to_string(std::io::stdin())
        .map_err(|e| CtlError::File("standard input".to_owned(), e))?;
    let key = text.trim();
    if key.is_empty() {
        return Err(CtlError::Usage("the account key is empty".to_owned()));
    }
    out!("{}", hash_key(key));
    Ok(Exit::Done)
}
