//! Connections of callers.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::PeerHandler;
use super::gate::Gate;
use crate::PeerServerConfig;
use crate::config::reader_options;
use crate::peer_capnp::gate;

/// Time between looks at whether a connection is still used.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Wait after a connection could not be accepted, such as for lack of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Time for the last answers to be sent when the server stops.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Accepts connections and counts what is in progress.
pub(super) struct Acceptor<H> {
    pub(super) config: PeerServerConfig,
    pub(super) handler: H,
    /// One permit for each call in progress.
    pub(super) calls: Semaphore,
    connections: Arc<Semaphore>,
    stopped: watch::Receiver<bool>,
}

/// What is known of one connection.
pub(super) struct Connection {
    pub(super) is_open: Cell<bool>,
    pub(super) used_at: Cell<Instant>,
}

impl<H: PeerHandler> Acceptor<H> {
    pub(super) fn new(
        config: PeerServerConfig,
        handler: H,
        stopped: watch::Receiver<bool>,
    ) -> Self {
        Self {
            calls: Semaphore::new(config.max_calls),
            connections: Arc::new(Semaphore::new(config.max_connections)),
            config,
            handler,
            stopped,
        }
    }

    /// Accepts connections until the server is stopped.
    pub(super) async fn run(self: Rc<Self>, listener: TcpListener) {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => return log::error!("cannot serve peers: {e}"),
        };
        let mut stopped = self.stopped.clone();
        loop {
            tokio::select! {
                // An error means that the server was dropped.
                _ = stopped.wait_for(|stopped| *stopped) => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, caller)) => self.admit(stream, caller),
                    Err(e) => {
                        log::warn!("cannot accept a peer: {e}");
                        sleep(ACCEPT_RETRY).await;
                    }
                },
            }
        }
        drop(listener);
        self.finish_calls().await;
    }

    /// Serves a connection, or closes it if there are too many.
    fn admit(self: &Rc<Self>, stream: TcpStream, caller: SocketAddr) {
        let Ok(permit) = self.connections.clone().try_acquire_owned() else {
            log::warn!("closed a connection of {caller}: too many connections");
            return;
        };
        let acceptor = Rc::clone(self);
        spawn_local(async move {
            acceptor.serve(stream, caller).await;
            drop(permit);
        });
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, caller: SocketAddr) {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("cannot set no-delay for {caller}: {e}");
        }
        let (reader, writer) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            Side::Server,
            reader_options(),
        );
        let connection = Rc::new(Connection {
            is_open: Cell::new(false),
            used_at: Cell::new(Instant::now()),
        });
        let gate = Gate::new(Rc::clone(&self), Rc::clone(&connection), caller);
        let gate: gate::Client = capnp_rpc::new_client(gate);
        let system = RpcSystem::new(Box::new(network), Some(gate.client));
        tokio::select! {
            ended = system => {
                if let Err(e) = ended {
                    log::debug!("connection of {caller} ended: {e}");
                }
            }
            reason = self.unused(&connection) => {
                log::debug!("closed the connection of {caller}: {reason}");
            }
        }
    }

    /// Returns once a connection is to be closed, and why.
    async fn unused(&self, connection: &Connection) -> &'static str {
        loop {
            sleep(LOOK_INTERVAL).await;
            let unused_for = connection.used_at.get().elapsed();
            if !connection.is_open.get() && unused_for > self.config.token_timeout {
                return "no token was presented";
            }
            if unused_for > self.config.idle_timeout {
                return "no call was made";
            }
        }
    }

    /// Waits for the calls in progress, up to the limit of the settings.
    async fn finish_calls(&self) {
        let all = u32::try_from(self.config.max_calls).unwrap_or(u32::MAX);
        let ended = timeout(self.config.stop_timeout, self.calls.acquire_many(all)).await;
        if ended.is_err() {
            log::warn!("stopped serving peers with calls in progress");
        }
        sleep(FLUSH_TIME).await;
    }
}
