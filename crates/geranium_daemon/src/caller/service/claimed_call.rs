//! Call to a plain service that runs under a claim.

use geranium_core::once::{UpstreamAnswer, UpstreamOutcome};
use geranium_core::time::Timestamp;
use geranium_engine::{ServiceCall, ServiceClient, ServiceError, ServiceResponse};
use geranium_telemetry::ProcessClock;

use crate::claim::UpstreamCall;

/// Sends a claimed call to the endpoints of its service.
pub(super) struct ClaimedCall {
    pub(super) services: ServiceClient,
    pub(super) clock: ProcessClock,
    pub(super) endpoints: Vec<ServiceCall>,
    pub(super) deadline: Timestamp,
}

impl UpstreamCall for ClaimedCall {
    async fn send(&mut self, before: Timestamp) -> UpstreamOutcome {
        for call in &self.endpoints {
            let now = self.clock.now();
            if now >= before || now >= self.deadline {
                return UpstreamOutcome::NotSent;
            }
            match self
                .services
                .call(call.clone(), self.deadline.since(now))
                .await
            {
                Ok(answer) => return UpstreamOutcome::Answered(upstream_answer(answer)),
                Err(ServiceError::OutcomeUnknown(_)) => return UpstreamOutcome::Unknown,
                // Nothing was sent, so that the next endpoint can be tried safely.
                Err(ServiceError::NotSent(_)) => {}
            }
        }
        UpstreamOutcome::NotSent
    }
}

fn upstream_answer(answer: ServiceResponse) -> UpstreamAnswer {
    let headers = answer.headers.iter().filter_map(|(name, value)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    });
    UpstreamAnswer {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: answer.body,
    }
}
