//! Errors of the logger.

use quick_error::quick_error;

quick_error! {
    /// Error while installing the logger.
    #[derive(Debug)]
    pub enum JsonLoggerError {
        /// Another logger is already installed.
        AlreadyInstalled {
            display("a logger is already installed")
        }
    }
}
