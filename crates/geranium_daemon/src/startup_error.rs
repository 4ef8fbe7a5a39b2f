//! Errors at startup.

use geranium_net::ServerError;
use geranium_peer::PeerError;
use geranium_telemetry::JsonLoggerError;
use quick_error::quick_error;

quick_error! {
    /// Error that prevents the daemon from starting.
    #[derive(Debug)]
    pub enum StartupError {
        /// The async runtime cannot be created.
        Runtime(err: std::io::Error) {
            display("cannot start the runtime: {}", err)
            source(err)
        }
        /// A signal handler cannot be installed.
        Signal(err: std::io::Error) {
            display("cannot listen for signals: {}", err)
            source(err)
        }
        /// An HTTP listener cannot be bound.
        Server(err: ServerError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The peer server or the peer client cannot be started.
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
