//! Failures of the logger.

use quick_error::quick_error;

quick_error! {
    /// Failure to install the logger.
    #[derive(Debug)]
    pub enum JsonLoggerError {
        /// Another logger is installed already.
        AlreadyInstalled {
            display("a logger is installed already")
        }
    }
}
