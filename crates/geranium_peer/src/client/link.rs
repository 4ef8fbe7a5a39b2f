//! The connection to one peer, made again when it fails.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use capnp::ErrorKind;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::call::PeerCall;
use crate::config::reader_options;
use crate::peer_capnp::{entry_host, gate};
use crate::server::TOKEN_REFUSED;
use crate::{PeerClientConfig, PeerError};

/// Calls without an answer in a row after which a connection is given up.
const MAX_TIMEOUTS: u32 = 2;

/// The connection to one peer.
pub(super) struct Link {
    address: SocketAddr,
    config: Arc<PeerClientConfig>,
    /// Held while a connection is made, so that only one is.
    connecting: Mutex<()>,
    state: RefCell<LinkState>,
}

struct LinkState {
    connection: Option<Connection>,
    /// Counts connections, so that a late failure of an old one is told apart.
    epoch: u64,
    timeouts: u32,
    backoff: Duration,
    not_before: Option<Instant>,
    used_at: Instant,
    in_progress: usize,
}

struct Connection {
    host: entry_host::Client,
    task: RpcTask,
}

/// The task that moves the messages of a connection; it ends when dropped.
struct RpcTask(JoinHandle<()>);

impl Drop for RpcTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Link {
    pub(super) fn new(address: SocketAddr, config: Arc<PeerClientConfig>) -> Self {
        let state = LinkState {
            connection: None,
            epoch: 0,
            timeouts: 0,
            backoff: config.backoff_min,
            not_before: None,
            used_at: Instant::now(),
            in_progress: 0,
        };
        Self {
            address,
            config,
            connecting: Mutex::new(()),
            state: RefCell::new(state),
        }
    }

    /// Returns whether the link was used lately.
    pub(super) fn is_used(&self) -> bool {
        let state = self.state.borrow();
        state.in_progress > 0 || state.used_at.elapsed() < self.config.idle_timeout
    }

    /// Makes a call within a time limit, which starts once there is a connection.
    pub(super) async fn call<C: PeerCall>(
        &self,
        call: C,
        limit: Duration,
    ) -> Result<C::Answer, PeerError> {
        self.state.borrow_mut().in_progress += 1;
        let answer = match self.connect().await {
            Ok((host, epoch)) => {
                let answer = timeout(limit, call.make(host)).await;
                self.judge(answer.ok(), epoch, limit)
            }
            Err(e) => Err(e),
        };
        let mut state = self.state.borrow_mut();
        state.in_progress -= 1;
        state.used_at = Instant::now();
        answer
    }

    /// Turns what came of a call into an answer; gives up a broken connection.
    fn judge<T>(
        &self,
        answer: Option<capnp::Result<T>>,
        epoch: u64,
        limit: Duration,
    ) -> Result<T, PeerError> {
        let mut state = self.state.borrow_mut();
        let is_current = state.epoch == epoch;
        match answer {
            Some(Ok(answer)) => {
                state.timeouts = 0;
                Ok(answer)
            }
            Some(Err(e)) => {
                if e.kind == ErrorKind::Disconnected && is_current {
                    state.close();
                }
                Err(self.error(&e))
            }
            None => {
                state.timeouts += 1;
                if state.timeouts >= MAX_TIMEOUTS && is_current {
                    state.close();
                }
                Err(PeerError::Timeout(self.address, limit))
            }
        }
    }

    /// Returns the connection, which is made if there is none.
    async fn connect(&self) -> Result<(entry_host::Client, u64), PeerError> {
        let _connecting = self.connecting.lock().await;
        if let Some(open) = self.open() {
            return Ok(open);
        }
        self.check_backoff()?;
        let made = timeout(self.config.connect_timeout, self.make_connection()).await;
        let made = made.unwrap_or(Err(PeerError::Unreachable(
            self.address,
            "no connection in time".to_owned(),
        )));
        let mut state = self.state.borrow_mut();
        match made {
            Ok(connection) => {
                state.epoch += 1;
                state.timeouts = 0;
                state.backoff = self.config.backoff_min;
                let host = connection.host.clone();
                state.connection = Some(connection);
                Ok((host, state.epoch))
            }
            Err(e) => {
                state.not_before = Some(Instant::now() + state.backoff);
                state.backoff = (state.backoff * 2).min(self.config.backoff_max);
                Err(e)
            }
        }
    }

    fn open(&self) -> Option<(entry_host::Client, u64)> {
        let state = self.state.borrow();
        let connection = state.connection.as_ref()?;
        let is_open = !connection.task.0.is_finished();
        is_open.then(|| (connection.host.clone(), state.epoch))
    }

    fn check_backoff(&self) -> Result<(), PeerError> {
        let state = self.state.borrow();
        let now = Instant::now();
        match state.not_before {
            Some(at) if at > now => Err(PeerError::BackingOff(self.address, at - now)),
            _ => Ok(()),
        }
    }

    /// Connects and presents the token.
    async fn make_connection(&self) -> Result<Connection, PeerError> {
        let unreachable = |e: std::io::Error| PeerError::Unreachable(self.address, e.to_string());
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let (reader, writer) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        let address = self.address;
        let task = RpcTask(spawn_local(async move {
            if let Err(e) = system.await {
                log::debug!("connection to peer {address} ended: {e}");
            }
        }));
        let mut request = gate.open_request();
        request.get().set_token(self.config.token.as_bytes());
        let host = async {
            let response = request.send().promise.await?;
            response.get()?.get_host()
        };
        match host.await {
            Ok(host) => Ok(Connection { host, task }),
            Err(e) => Err(self.error(&e)),
        }
    }

    fn error(&self, error: &capnp::Error) -> PeerError {
        let detail = error.to_string();
        match error.kind {
            ErrorKind::Disconnected => PeerError::Disconnected(self.address, detail),
            ErrorKind::Overloaded => PeerError::Overloaded(self.address),
            _ if detail.contains(TOKEN_REFUSED) => PeerError::TokenRefused(self.address),
            _ => PeerError::Failed(self.address, detail),
        }
    }
}

impl LinkState {
    fn close(&mut self) {
        self.connection = None;
        self.timeouts = 0;
    }
}
