//! Calls of callers that presented the token.

use std::rc::Rc;

use capnp::Error;
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;

use super::PeerHandler;
use super::connection::{Acceptor, Connection};
use crate::peer_capnp::entry_host;
use crate::wire;

/// Calls of one caller that presented the token.
pub(super) struct Calls<H> {
    acceptor: Rc<Acceptor<H>>,
    connection: Rc<Connection>,
}

impl<H: PeerHandler> Calls<H> {
    pub(super) const fn new(acceptor: Rc<Acceptor<H>>, connection: Rc<Connection>) -> Self {
        Self {
            acceptor,
            connection,
        }
    }

    /// Counts a call; fails if too many are in progress.
    fn begin(&self) -> Result<SemaphorePermit<'_>, Error> {
        self.connection.used_at.set(Instant::now());
        let permit = self.acceptor.calls.try_acquire();
        permit.map_err(|_| Error::overloaded("too many calls in progress".to_owned()))
    }

    fn handler(&self) -> &H {
        &self.acceptor.handler
    }
}

impl<H: PeerHandler> entry_host::Server for Calls<H> {
    async fn heartbeat(
        self: Rc<Self>,
        params: entry_host::HeartbeatParams,
        mut results: entry_host::HeartbeatResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let heartbeat = wire::read_heartbeat(params.get()?.get_heartbeat()?)?;
        let answer = self.handler().heartbeat(heartbeat).await;
        wire::write_heartbeat(results.get().init_answer(), &answer);
        Ok(())
    }

    async fn pull_records(
        self: Rc<Self>,
        params: entry_host::PullRecordsParams,
        mut results: entry_host::PullRecordsResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let caller = wire::read_member(params.get()?.get_caller()?)?;
        let held = wire::read_versions(params.get()?.get_held()?)?;
        let answer = self.handler().pull_records(caller, held).await;
        wire::write_pull_answer(results.get().init_answer(), &answer);
        Ok(())
    }

    async fn push_records(
        self: Rc<Self>,
        params: entry_host::PushRecordsParams,
        _results: entry_host::PushRecordsResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let caller = wire::read_member(params.get()?.get_caller()?)?;
        let records = wire::read_records(params.get()?.get_records()?)?;
        self.handler().push_records(caller, records).await;
        Ok(())
    }

    async fn in_force(
        self: Rc<Self>,
        params: entry_host::InForceParams,
        mut results: entry_host::InForceResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let keys = params.get()?.get_keys()?;
        let keys = keys.iter().map(wire::parse).collect::<Result<_, _>>()?;
        let index = self.handler().in_force(keys).await;
        let versions = results.get().init_versions(wire::count(index.0.len()));
        wire::write_versions(versions, &index);
        Ok(())
    }

    async fn command(
        self: Rc<Self>,
        params: entry_host::CommandParams,
        mut results: entry_host::CommandResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let command = wire::read_json(params.get()?.get_command()?)?;
        let reply = self.handler().command(command).await;
        results.get().set_reply(&wire::write_json(&reply)?);
        Ok(())
    }
}
