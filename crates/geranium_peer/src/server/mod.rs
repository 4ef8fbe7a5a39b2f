//! Server side: accepts connections and hands calls to a handler.

mod calls;
mod connection;
mod gate;
mod handler;

pub(crate) use gate::TOKEN_REFUSED;
pub use handler::PeerHandler;

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;

use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::{PeerError, PeerServerConfig};
use connection::Acceptor;

/// Serves calls of other entry hosts until it is stopped or dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl PeerServer {
    /// Listens and starts the thread that serves.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Bind`] if the address cannot be listened on and
    /// [`PeerError::Start`] if the thread cannot be started.
    pub fn start(config: PeerServerConfig, handler: impl PeerHandler) -> Result<Self, PeerError> {
        let bind_error = |e: std::io::Error| PeerError::Bind(config.address, e.to_string());
        let listener = TcpListener::bind(config.address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let start_error = |e: std::io::Error| PeerError::Start(e.to_string());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(start_error)?;
        let (stop, stopped) = watch::channel(false);
        let serve = move || {
            let acceptor = Rc::new(Acceptor::new(config, handler, stopped));
            LocalSet::new().block_on(&runtime, acceptor.run(listener));
        };
        let builder = thread::Builder::new().name("peer-server".to_owned());
        let thread = builder.spawn(serve).map_err(start_error)?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops: accepts nothing new, lets calls in progress end within the limit of
    /// the settings, and waits for the thread.
    pub fn stop(mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread that served peers had panicked");
        }
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}
