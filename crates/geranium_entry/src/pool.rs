//! Pool of HTTP connections to backend servers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::host::HostId;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderMap};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;

/// Timeout for connecting to a backend server or to another entry host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout of a connection if the server does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Fraction of the announced idle timeout after which a connection is no longer reused, so
/// that a request does not race with the server closing it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Largest read buffer of a connection, in bytes. It limits the size of a response header,
/// and thus the memory that a server can occupy by sending an endless header.
const MAX_BUFFER: usize = 64 << 10;

quick_error! {
    /// Failure to open a connection. No part of a request was sent.
    #[derive(Debug)]
    pub enum ConnectError {
        /// Connecting failed, for example because the connection was refused.
        Failed(address: SocketAddr, cause: std::io::Error) {
            display("failed to connect to {}: {}", address, cause)
        }
        /// Connecting timed out.
        Timeout(address: SocketAddr, timeout: Duration) {
        display("connecting to {} timed out after {} ms", address, timeout.as_millis())
        }
        /// The HTTP handshake failed.
        Handshake(address: SocketAddr, cause: hyper::Error) {
            display("HTTP handshake with {} failed: {}", address, cause)
        }
    }
}

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether it was used for a request before.
    pub(crate) reused: bool,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    expires_at: Timestamp,
}

/// Idle connections by backend server. The key includes the host id, so that a server that
/// takes over an address gets no connections of its predecessor.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<(HostId, SocketAddr), Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that is still usable out of the pool.
    pub(crate) fn take(
        &self,
        id: &HostId,
        address: SocketAddr,
        now: Timestamp,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&(id.clone(), address))?;
        while let Some(connection) = connections.pop() {
            if now < connection.expires_at && connection.sender.is_ready() {
                return Some(Connection {
                    sender: connection.sender,
                    reused: true,
                });
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting failed or timed out.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(ConnectError::Failed(address, e)),
            Err(_) => return Err(ConnectError::Timeout(address, CONNECT_TIMEOUT)),
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(address:% = address; "failed to set TCP_NODELAY: {e}");
        }
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| ConnectError::Handshake(address, e))?;
        tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!(address:% = address; "connection to a backend server failed: {e}");
            }
        });
        Ok(Connection {
            sender,
            reused: false,
        })
    }

    /// Puts back a connection whose response was read completely.
    pub(crate) fn put(
        &self,
        id: &HostId,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        idle_for: Option<Duration>,
        now: Timestamp,
    ) {
        let Some(idle_for) = idle_for.filter(|_| !sender.is_closed()) else {
            return;
        };
        let expires_at = now + idle_for;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry((id.clone(), address)).or_default();
        connections.push(IdleConnection { sender, expires_at });
    }

    /// Puts a connection that was not used yet into the pool.
    pub(crate) fn put_unused(
        &self,
        id: &HostId,
        address: SocketAddr,
        connection: Connection,
        now: Timestamp,
    ) {
        let idle_for = Some(DEFAULT_IDLE_TIMEOUT);
        self.put(id, address, connection.sender, idle_for, now);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self, now: Timestamp) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|c| now < c.expires_at && !c.sender.is_closed());
            !connections.is_empty()
        });
    }
}

/// Returns the idle timeout of a connection after a response, or `None` if it must not be
/// reused.
pub(crate) fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers.get_all(CONNECTION).iter().any(|v| {
        let text = v.to_str().unwrap_or_default();
        text.split(',')
            .any(|t| t.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let Some(value) = headers.get("keep-alive").and_then(|v| v.to_str().ok()) else {
        return Some(DEFAULT_IDLE_TIMEOUT);
    };
    let named = value.split(',').find_map(|part| {
        let (name, seconds) = part.split_once('=')?;
        (name.trim().eq_ignore_ascii_case("timeout"))
            .then_some(seconds)?
            .trim()
            .parse::<u32>()
            .ok()
    });
    Some(named.map_or(DEFAULT_IDLE_TIMEOUT, |s| {
        Duration::from_secs(u64::from(s)).mul_f64(IDLE_TIMEOUT_FRACTION)
    }))
}
