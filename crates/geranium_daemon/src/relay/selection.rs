//! Selection of the group for an attempt.

use std::time::Duration;

use geranium_core::limit::{ColdOutcome, CrashVerdict};
use geranium_core::route::{Dispatch, RouteChoice, RoutePath, RouteQuery, RouteRefusal};
use geranium_net::ApiError;

use super::RelayJob;
use super::trial::Trial;
use crate::caller::refusal;

/// Delay before routing is retried while no group can take the request.
const ROUTE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time that a request waits for an available group.
const MAX_ROUTE_WAIT: Duration = Duration::from_secs(3);

impl RelayJob {
    /// Selects a group. A request suspected of causing crashes also needs a trial
    /// permit for it.
    pub(super) async fn select_group(
        &mut self,
    ) -> Result<(RouteChoice, Dispatch), Option<ApiError>> {
        loop {
            let now = self.node.clock.now();
            let verdict = self.node.traffic.crash_verdict(now, &self.req.fingerprint);
            if verdict == CrashVerdict::Refused {
                return Err(Some(refusal::crashes_servers()));
            }
            let (choice, dispatch) = self.wait_for_group().await?;
            // For a remote group, the entry host of its failure domain requests the permit.
            if verdict == CrashVerdict::Clear || choice.path != RoutePath::Direct {
                return Ok((choice, dispatch));
            }
            self.trial = Trial::request(&self.node, self.req.fingerprint, &choice).await;
            if self.trial.is_some() {
                return Ok((choice, dispatch));
            }
            let now = self.node.clock.now();
            self.node
                .traffic
                .end_request(now, &choice, dispatch, ColdOutcome::Cancelled);
            tokio::select! {
                () = tokio::time::sleep(ROUTE_RETRY_INTERVAL) => {}
                () = self.output.closed() => return Err(None),
            }
        }
    }

    /// Selects a group; waits up to [`MAX_ROUTE_WAIT`] if none can take the request.
    async fn wait_for_group(&mut self) -> Result<(RouteChoice, Dispatch), Option<ApiError>> {
        let start = self.node.clock.now();
        loop {
            let now = self.node.clock.now();
            if now >= self.req.deadline {
                return Err(Some(refusal::deadline_passed(self.any_sent)));
            }
            let query = RouteQuery {
                model: &self.req.model,
                account: &self.req.account,
                prefix: &self.req.prefix,
                exclude: &self.excluded_groups,
                forwarded: self.req.forwarded,
            };
            let refusal_reason = match self.node.traffic.start_request(now, &query) {
                Ok(chosen) => return Ok(chosen),
                Err(reason) => reason,
            };
            let is_permanent = matches!(refusal_reason, RouteRefusal::NotAllowed(..));
            if is_permanent || now.since(start) >= MAX_ROUTE_WAIT {
                return Err(Some(refusal::route(&refusal_reason, self.any_sent)));
            }
            if matches!(refusal_reason, RouteRefusal::Unavailable(_)) {
                // An excluded group may have been repaired in the meantime.
                self.excluded_groups.clear();
            }
            tokio::select! {
                () = tokio::time::sleep(ROUTE_RETRY_INTERVAL) => {}
                () = self.output.closed() => return Err(None),
            }
        }
    }
}
