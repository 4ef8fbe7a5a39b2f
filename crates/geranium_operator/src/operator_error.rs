//! Errors of operator calls.

use std::net::SocketAddr;

use geranium_net::{ApiError, ClientError};
use quick_error::quick_error;

quick_error! {
    /// Error of a call to the operator interface.
    #[derive(Debug)]
    pub enum OperatorError {
        /// The entry host could not be reached or its response was unusable.
        Call(err: ClientError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The entry host rejected the call.
        Refused(address: SocketAddr, err: Box<ApiError>) {
            display("{} rejected the call: {}", address, err)
            source(err.as_ref())
        }
        /// The entry host returned an unexpected status.
        Status(address: SocketAddr, status: u16) {
            display("{} returned unexpected status {}", address, status)
        }
    }
}
