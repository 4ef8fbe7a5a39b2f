//! An HTTP listener whose connections can be made to fail.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geranium_net::ServerError;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use viz::{Request, Responder, Response, Router, Tree};

use super::answer::DropConnection;
use super::{Gate, GateState};

/// Pause before the address is tried again after it could not be bound.
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// A running listener; dropping it closes every connection.
#[derive(Debug)]
pub struct FakeListener {
    address: SocketAddr,
    shutdown: CancellationToken,
}

impl FakeListener {
    /// Starts to serve a router behind a gate.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn start(
        listen: SocketAddr,
        router: Router,
        gate: Gate,
    ) -> Result<Self, ServerError> {
        let bind_error = |e| ServerError::Bind(listen, e);
        let listener = TcpListener::bind(listen).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let shutdown = CancellationToken::new();
        let acceptor = Acceptor {
            address,
            tree: Arc::new(Tree::from(router)),
            gate,
        };
        let stop = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = acceptor.run(listener, &stop) => {}
                () = stop.cancelled() => {}
            }
        });
        Ok(Self { address, shutdown })
    }

    /// Returns the address that is listened on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for FakeListener {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

struct Acceptor {
    address: SocketAddr,
    tree: Arc<Tree>,
    gate: Gate,
}

impl Acceptor {
    async fn run(&self, listener: TcpListener, stop: &CancellationToken) {
        let mut listener = listener;
        loop {
            tokio::select! {
                () = self.accept_all(&listener, stop) => {}
                () = self.gate.wait_for(GateState::Refuse, true) => {}
            }
            drop(listener);
            self.gate.wait_for(GateState::Refuse, false).await;
            listener = self.rebind().await;
        }
    }

    async fn rebind(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(e) => log::warn!("cannot listen on {} again: {e}", self.address),
            }
            tokio::time::sleep(BIND_PAUSE).await;
        }
    }

    async fn accept_all(&self, listener: &TcpListener, stop: &CancellationToken) {
        loop {
            match listener.accept().await {
                Ok((stream, remote)) if self.gate.state() != GateState::Close => {
                    self.serve(stream, remote, stop.clone());
                }
                Ok(_) => {}
                Err(e) => {
                    log::warn!("cannot accept a connection: {e}");
                    tokio::time::sleep(BIND_PAUSE).await;
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream, remote: SocketAddr, stop: CancellationToken) {
        // Tokens are small writes that must not wait for each other.
        let _ = stream.set_nodelay(true);
        let responder = Arc::new(Responder::new(self.tree.clone(), Some(remote)));
        let service = service_fn(move |req| answer(responder.clone(), req));
        let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let (gate, cut) = (self.gate.clone(), self.gate.cut_signal());
        tokio::spawn(async move {
            tokio::select! {
                outcome = run_unless_hanging(conn, &gate) => {
                    if let Err(e) = outcome {
                        log::debug!("connection of {remote} ended: {e}");
                    }
                }
                () = cut => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

/// Runs a connection while its gate does not hang.
async fn run_unless_hanging<T>(conn: impl Future<Output = T>, gate: &Gate) -> T {
    tokio::pin!(conn);
    loop {
        gate.wait_for(GateState::Hang, false).await;
        tokio::select! {
            biased;
            () = gate.wait_for(GateState::Hang, true) => {}
            outcome = &mut conn => return outcome,
        }
    }
}

async fn answer(
    responder: Arc<Responder<SocketAddr>>,
    req: Request<Incoming>,
) -> io::Result<Response> {
    let res = match responder.call(req).await {
        Ok(res) => res,
        Err(never) => match never {},
    };
    if res.extensions().get::<DropConnection>().is_some() {
        return Err(io::Error::other("the answer is lost by command"));
    }
    Ok(res)
}
