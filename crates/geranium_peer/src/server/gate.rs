//! First object of a connection: lets callers with the token in.

use std::net::SocketAddr;
use std::rc::Rc;

use capnp::Error;

use super::PeerHandler;
use super::calls::Calls;
use super::connection::{Acceptor, Connection};
use crate::peer_capnp::gate;

/// Detail of the refusal of a token, which the client recognises.
pub(crate) const TOKEN_REFUSED: &str = "token refused";

/// Lets callers with the token in.
pub(super) struct Gate<H> {
    acceptor: Rc<Acceptor<H>>,
    connection: Rc<Connection>,
    caller: SocketAddr,
}

impl<H: PeerHandler> Gate<H> {
    pub(super) const fn new(
        acceptor: Rc<Acceptor<H>>,
        connection: Rc<Connection>,
        caller: SocketAddr,
    ) -> Self {
        Self {
            acceptor,
            connection,
            caller,
        }
    }
}

impl<H: PeerHandler> gate::Server for Gate<H> {
    async fn open(
        self: Rc<Self>,
        params: gate::OpenParams,
        mut results: gate::OpenResults,
    ) -> Result<(), Error> {
        let is_valid = {
            let token = params.get()?.get_token()?;
            self.acceptor.config.token.matches(token)
        };
        if !is_valid {
            log::warn!("peer {} presented a token that is not valid", self.caller);
            return Err(Error::failed(TOKEN_REFUSED.to_owned()));
        }
        self.connection.is_open.set(true);
        let calls = Calls::new(Rc::clone(&self.acceptor), Rc::clone(&self.connection));
        results.get().set_host(capnp_rpc::new_client(calls));
        Ok(())
    }
}
