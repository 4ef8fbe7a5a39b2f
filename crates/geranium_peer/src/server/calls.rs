//! Calls of callers that presented the token.

use std::rc::Rc;
use std::time::Duration;

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

    async fn cold_credits(
        self: Rc<Self>,
        params: entry_host::ColdCreditsParams,
        mut results: entry_host::ColdCreditsResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let request = wire::read_credit_request(params.get()?.get_request()?)?;
        let answer = self.handler().cold_credits(request).await;
        wire::write_credit_answer(results.get().init_answer(), &answer);
        Ok(())
    }

    async fn claim_state(
        self: Rc<Self>,
        params: entry_host::ClaimStateParams,
        mut results: entry_host::ClaimStateResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let key = wire::text(params.get()?.get_key())?;
        let wait = Duration::from_micros(params.get()?.get_wait_micros());
        let state = self.handler().claim_state(key, wait).await;
        wire::write_claim_state(results.get().init_state(), &state);
        Ok(())
    }

    async fn drain_notice(
        self: Rc<Self>,
        params: entry_host::DrainNoticeParams,
        _results: entry_host::DrainNoticeResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let notice = wire::read_drain_notice(params.get()?.get_notice()?)?;
        self.handler().drain_notice(notice).await;
        Ok(())
    }

    async fn start_trial(
        self: Rc<Self>,
        params: entry_host::StartTrialParams,
        mut results: entry_host::StartTrialResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let request = wire::read_trial_request(params.get()?.get_request()?)?;
        let answer = self.handler().start_trial(request).await;
        wire::write_trial_answer(results.get().init_answer(), &answer);
        Ok(())
    }

    async fn end_trial(
        self: Rc<Self>,
        params: entry_host::EndTrialParams,
        _results: entry_host::EndTrialResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let request = wire::read_trial_request(params.get()?.get_request()?)?;
        self.handler().end_trial(request).await;
        Ok(())
    }

    async fn share_crashes(
        self: Rc<Self>,
        params: entry_host::ShareCrashesParams,
        _results: entry_host::ShareCrashesResults,
    ) -> Result<(), Error> {
        let _permit = self.begin()?;
        let digest = wire::read_crashes(params.get()?.get_digest()?)?;
        self.handler().share_crashes(digest).await;
        Ok(())
    }
}
