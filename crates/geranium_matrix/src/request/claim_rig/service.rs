//! The plain service and the connections to it.

use geranium_core::once::UpstreamOutcome;
use geranium_core::time::Timestamp;

use super::{ClaimRig, Event, ONE_WAY, PAUSE, SERVICE_TIME, SLOW, service_answer};
use crate::request::{BackendFault, RequestMutation, RequestStep};

impl ClaimRig {
    pub(super) fn send(&mut self, n: usize, attempt: u32, before: Timestamp) {
        if !self.hosts[n].reaches_backends() || self.schedule.now() >= before {
            let outcome = UpstreamOutcome::NotSent;
            self.schedule
                .after(ONE_WAY, Event::ServiceAnswers(n, attempt, outcome));
            return;
        }
        if n == 0 {
            self.strike(RequestStep::Dispatch);
            self.strike(RequestStep::Shutdown);
        }
        let wait = match self.backend {
            BackendFault::Pauses => PAUSE,
            BackendFault::Straggles => SLOW,
            _ => ONE_WAY,
        };
        self.schedule
            .after(wait + SERVICE_TIME, Event::ServiceRuns(n, attempt));
    }

    pub(super) fn service_runs(&mut self, n: usize, attempt: u32) {
        self.callers[n].runs += 1;
        let broken = matches!(self.backend, BackendFault::Dies | BackendFault::CrashesEach)
            || !self.hosts[n].reaches_backends();
        let outcome = if !broken {
            UpstreamOutcome::Answered(service_answer())
        } else if self.mutation == Some(RequestMutation::BrokenTakenForUnsent) {
            UpstreamOutcome::NotSent
        } else {
            UpstreamOutcome::Unknown
        };
        self.schedule
            .after(ONE_WAY, Event::ServiceAnswers(n, attempt, outcome));
    }
}
