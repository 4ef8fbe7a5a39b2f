//! Failures of a server.

use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Failure to start a server.
    #[derive(Debug)]
    pub enum ServerError {
        /// The address cannot be listened on.
        Bind(address: SocketAddr, err: std::io::Error) {
            display("cannot listen on {}: {}", address, err)
            source(err)
        }
    }
}
