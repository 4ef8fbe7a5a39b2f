//! Errors of calls to plain services.

use geranium_net::ClientError;
use quick_error::quick_error;

quick_error! {
    /// Error of a call to a plain service.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ServiceError {
        /// The call did not reach the service, so it was not run.
        NotSent(err: ClientError) {
            display("call did not reach the service: {}", err)
            source(err)
        }
        /// The call was sent and no complete response arrived, so it may have run.
        OutcomeUnknown(err: ClientError) {
            display("outcome of the call is unknown: {}", err)
            source(err)
        }
    }
}
