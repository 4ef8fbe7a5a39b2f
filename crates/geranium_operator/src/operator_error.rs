//! Failures of operator calls.

use std::net::SocketAddr;

use geranium_net::{ApiError, ClientError};
use quick_error::quick_error;

quick_error! {
    /// Failure of an operator call.
    #[derive(Debug)]
    pub enum OperatorError {
        /// The entry host could not be reached or gave no usable answer.
        Call(err: ClientError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The entry host refused the call.
        Refused(address: SocketAddr, err: Box<ApiError>) {
            display("{} refused the call: {}", address, err)
            source(err.as_ref())
        }
        /// The entry host answered with a status that was not expected.
        Status(address: SocketAddr, status: u16) {
            display("{} answered with status {}", address, status)
        }
    }
}
