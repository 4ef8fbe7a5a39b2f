//! Failures to start.

use geranium_net::ServerError;
use geranium_peer::PeerError;
use geranium_telemetry::JsonLoggerError;
use quick_error::quick_error;

quick_error! {
    /// Failure to start the daemon.
    #[derive(Debug)]
    pub enum StartupError {
        /// The runtime cannot start.
        Runtime(err: std::io::Error) {
            display("cannot start the runtime: {}", err)
            source(err)
        }
        /// The signal handler cannot be installed.
        Signal(err: std::io::Error) {
            display("cannot listen for signals: {}", err)
            source(err)
        }
        /// A listener cannot be bound.
        Server(err: ServerError) {
            display("{}", err)
            source(err)
            from()
        }
        /// Peers cannot be served or called.
        Peer(err: PeerError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The logger cannot be installed.
        Logger(err: JsonLoggerError) {
            display("{}", err)
            source(err)
            from()
        }
    }
}
