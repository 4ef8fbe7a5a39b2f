//! HTTP server with limits on connections, headers and time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use viz::{Responder, Router, Tree};

use crate::ServerError;

/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerConfig {
    /// Maximum number of concurrent connections; further ones wait in the listener's backlog.
    pub max_connections: usize,
    /// Timeout for reading the head of a request.
    pub header_timeout: Duration,
    /// Maximum size of a request head, in bytes; also bounds the buffer of a connection.
    pub max_head: usize,
    /// Maximum number of headers.
    pub max_headers: usize,
    /// How long a shutdown waits for running requests to complete.
    pub shutdown_timeout: Duration,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_timeout: Duration::from_secs(10),
            max_head: 32 << 10,
            max_headers: 64,
            shutdown_timeout: Duration::from_secs(600),
        }
    }
}

/// A bound HTTP server.
pub struct HttpServer {
    listener: TcpListener,
    cfg: ServerConfig,
}

impl HttpServer {
    /// Binds the server to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address.
    pub async fn bind(address: SocketAddr, cfg: ServerConfig) -> Result<Self, ServerError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|e| ServerError::Bind(address, e))?;
        Ok(Self { listener, cfg })
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot report the address.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `shutdown` is cancelled and the running requests complete or the
    /// shutdown timeout expires.
    pub async fn run(self, router: Router, shutdown: CancellationToken) {
        let tree = Arc::new(Tree::from(router));
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.cfg.max_connections));
        loop {
            let accepted = tokio::select! {
                accepted = accept(&self.listener, &permits) => accepted,
                () = shutdown.cancelled() => break,
            };
            match accepted {
                Ok((stream, remote, permit)) => {
                    self.serve(&tree, &graceful, stream, remote, permit);
                }
                Err(e) => {
                    log::warn!("cannot accept a connection: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(self.listener);
        if tokio::time::timeout(self.cfg.shutdown_timeout, graceful.shutdown())
            .await
            .is_err()
        {
            log::warn!("connections are still open at the end of the shutdown timeout");
        }
    }

    fn serve(
        &self,
        tree: &Arc<Tree>,
        graceful: &GracefulShutdown,
        stream: TcpStream,
        remote: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) {
        // Tokens are streamed as small writes, which Nagle's algorithm would delay.
        let _ = stream.set_nodelay(true);
        let responder = Responder::new(tree.clone(), Some(remote));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.cfg.header_timeout)
            .max_buf_size(self.cfg.max_head)
            .max_headers(self.cfg.max_headers)
            .serve_connection(TokioIo::new(stream), responder);
        let conn = graceful.watch(conn);
        tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!("connection of {remote} ended: {e}");
            }
            drop(permit);
        });
    }
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let permit = permits
        .clone()
        .acquire_owned()
        .await
        .map_err(std::io::Error::other)?;
    let (stream, remote) = listener.accept().await?;
    Ok((stream, remote, permit))
}
