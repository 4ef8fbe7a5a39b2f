//! Errors of a server.

use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Error while starting a server.
    #[derive(Debug)]
    pub enum ServerError {
        /// The server cannot listen on the address.
        Bind(address: SocketAddr, err: std::io::Error) {
            display("cannot listen on {}: {}", address, err)
            source(err)
        }
    }
}
