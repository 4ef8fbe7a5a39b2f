//! Forwarding of requests to another entry host while this one cannot reach the backend
//! servers.

use std::time::Duration;

use geranium_fleet::dispatch::NoHost;
use geranium_fleet::forward_targets::ForwardTarget;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};

use super::active_request::ActiveRequest;
use super::attempt::AttemptError;
use super::refusal::RefusalReason;
use crate::dialect::Dialect;

/// Header of a forwarded request: number of backend servers that it may still run on.
const ATTEMPTS_LEFT: HeaderName = HeaderName::from_static("geranium-attempts-left");
/// Header of a response to a forwarded request that another entry host may still serve.
const NOT_TAKEN: HeaderName = HeaderName::from_static("geranium-not-taken");
/// Value of [`NOT_TAKEN`] of an entry host without a path to the backend servers.
const NO_PATH: &str = "path";
/// Value of [`NOT_TAKEN`] of an entry host that takes other requests: it has used its part of
/// a shared limit, or the server that it selected has ended.
const NOT_NOW: &str = "not_now";

/// Number of entry hosts that are asked in turn to take a request. Each that is cut off too
/// costs a round trip; with two of three cut off, one in 300 requests finds none.
const MAX_TARGETS: usize = 14;
/// The same after the servers that this entry host selected have failed, though it reaches
/// others: most likely the next one has failed for the other entry host as well.
const MAX_TARGETS_IF_REACHED: usize = 1;
/// Time for which entry hosts are asked, as those that are out of reach do not answer.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(600);
/// Minimum time left that is worth asking another entry host.
const MIN_FORWARD_TIME: Duration = Duration::from_millis(50);

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// Another entry host, which cannot reach the backend servers.
    EntryHost,
}

/// Removes what another entry host added to the headers of a request; returns the number of
/// backend servers that it may still run on.
pub(super) fn take_attempts_left(headers: &mut HeaderMap) -> Option<u32> {
    let value = headers.remove(ATTEMPTS_LEFT)?;
    value.to_str().ok()?.parse().ok()
}

/// Marks a response to a forwarded request that another entry host may still serve.
pub(super) fn mark_if_not_taken<B>(res: &mut Response<B>) {
    let Some(reason) = res.extensions().get::<RefusalReason>() else {
        return;
    };
    let value = match reason {
        RefusalReason::NoHost(NoHost::CutOff)
        | RefusalReason::NoConfiguration
        | RefusalReason::OutdatedConfiguration
        | RefusalReason::Leaving => NO_PATH,
        RefusalReason::NoHost(NoHost::AtColdLimit | NoHost::AtServerLimit)
        | RefusalReason::NoCapacity("connect" | "silent") => NOT_NOW,
        _ => return,
    };
    res.headers_mut()
        .insert(NOT_TAKEN, HeaderValue::from_static(value));
}

/// Returns the failure of an attempt that another entry host did not take.
pub(super) fn not_taken_error<B>(res: &Response<B>) -> Option<AttemptError> {
    let value = res.headers().get(NOT_TAKEN)?;
    let cause = if value.as_bytes() == NOT_NOW.as_bytes() {
        NOT_NOW
    } else {
        NO_PATH
    };
    Some(AttemptError::NotTaken(cause))
}

impl<D: Dialect> ActiveRequest<D> {
    /// Returns whether this entry host has to forward the request, as it cannot reach any
    /// backend server.
    pub(super) fn has_to_forward(&self) -> bool {
        self.forward_next || (self.origin == Origin::Caller && self.shared.is_cut_off())
    }

    /// Returns whether the request can go to another entry host after an attempt that failed
    /// for want of a path; if so, the next one does.
    pub(super) fn may_forward(&mut self, error: AttemptError) -> bool {
        let is_not_taken = matches!(error, AttemptError::NotTaken(_));
        let is_untried = error.is_unreached() && !self.attempts.may_have_run();
        self.forward_next = (is_not_taken || is_untried)
            && self.origin == Origin::Caller
            && self.remaining_time() > MIN_FORWARD_TIME
            && self.choose_target().is_some();
        self.forward_next
    }

    /// Selects the entry host that takes the request over.
    pub(super) fn choose_target(&self) -> Option<ForwardTarget> {
        let now = self.shared.now();
        let searched_for = self.search_began.map(|at| now.since(at));
        let max_targets = if self.shared.is_cut_off() {
            MAX_TARGETS
        } else {
            MAX_TARGETS_IF_REACHED
        };
        if self.tried_entry_hosts.len() >= max_targets || searched_for > Some(MAX_SEARCH_TIME) {
            return None;
        }
        let mut core = self.shared.core.borrow_mut();
        let core = &mut *core;
        core.forward_targets
            .choose(&self.tried_entry_hosts, now, &mut core.rng)
    }

    /// Records whether another entry host took the request.
    pub(super) fn record_forwarding(&self, name: &str, error: Option<AttemptError>) {
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        match error {
            None => core.forward_targets.record_taken(name, now),
            Some(AttemptError::NotTaken(cause)) if cause != NOT_NOW => {
                core.forward_targets.record_not_taken(name, now);
            }
            Some(_) => {}
        }
    }

    /// Adds the headers that another entry host needs to select a backend server.
    pub(super) fn add_forward_headers<B>(&self, req: &mut Request<B>) {
        let names = self.shared.dialect.headers();
        let headers = req.headers_mut();
        if let Some(key) = &self.account_key {
            headers.insert(names.account_key.clone(), key.clone());
        }
        let left = HeaderValue::from(self.attempts.left());
        headers.insert(ATTEMPTS_LEFT, left);
    }
}
