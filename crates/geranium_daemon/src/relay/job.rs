//! Relays one completion over one or more attempts.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use geranium_core::event::{EventDraft, EventKind, EventSubject};
use geranium_core::group::Temperature;
use geranium_core::id::GroupId;
use geranium_core::limit::{ColdOutcome, RetryBackoff};
use geranium_core::route::{Dispatch, RouteChoice, RoutePath};
use geranium_core::stream::{ResumePoint, StreamAssembler, StreamLimits};
use geranium_core::time::Timestamp;
use geranium_engine::{EngineApi, Resume};
use geranium_net::{ApiError, MemoryReservation};
use hyper::StatusCode;

use super::attempt_outcome::AttemptOutcome;
use super::crash_detector::CrashDetector;
use super::trial::Trial;
use super::{RelayOutput, RelayRequest};
use crate::caller::refusal;
use crate::node::Node;
use crate::traffic::AdmissionGuard;

/// Relays one completion.
pub struct RelayJob {
    pub(super) node: Arc<Node>,
    pub(super) req: RelayRequest,
    pub(super) output: RelayOutput,
    pub(super) assembler: StreamAssembler,
    /// Data of chunks that the assembler has not delivered yet, by token index.
    pub(super) pending_data: BTreeMap<u64, Bytes>,
    pub(super) excluded_groups: Vec<GroupId>,
    /// Index of the first token that this job sends to the caller.
    pub(super) token_offset: u64,
    prior_text: String,
    pub(super) accepted_at: Timestamp,
    pub(super) has_crashed: bool,
    pub(super) trial: Option<Trial>,
    pub(super) crash_detector: Option<CrashDetector>,
    pub(super) any_sent: bool,
    /// Memory of what is kept of the answer, beside the output.
    pub(super) memory: MemoryReservation,
    _admission: AdmissionGuard,
}

impl RelayJob {
    /// Creates a job for an admitted request.
    #[must_use]
    pub fn new(
        node: Arc<Node>,
        req: RelayRequest,
        output: RelayOutput,
        admission: AdmissionGuard,
    ) -> Self {
        let accepted_at = node.clock.now();
        let assembler = StreamAssembler::new(req.request.clone(), StreamLimits::default());
        let (token_offset, prior_text) = req
            .resume
            .clone()
            .map_or((0, String::new()), |r| (r.from_index, r.text));
        Self {
            memory: node.response_memory.reservation(),
            node,
            req,
            output,
            assembler,
            pending_data: BTreeMap::new(),
            excluded_groups: Vec::new(),
            token_offset,
            prior_text,
            accepted_at,
            has_crashed: false,
            trial: None,
            crash_detector: None,
            any_sent: false,
            _admission: admission,
        }
    }

    /// Tries groups until the answer is complete or the request fails.
    pub async fn run(mut self) {
        let outcome = self.relay().await;
        let kind = crate::metrics::CallKind::Chat;
        match outcome {
            Ok(()) => self.node.metrics.count_request(kind, "complete"),
            Err(None) => self.node.metrics.count_request(kind, "caller_left"),
            Err(Some(e)) => {
                self.node.metrics.count_request(kind, &e.kind);
                self.record_failure(&e);
                self.output.fail(e).await;
            }
        }
    }

    /// Returns `Err(None)` if the caller disconnected.
    async fn relay(&mut self) -> Result<(), Option<ApiError>> {
        let backoff = RetryBackoff::default();
        for attempt in 0_u32.. {
            if attempt > 0 {
                self.spend_retry()?;
                let delay = backoff.delay(attempt - 1, &mut rand::rng());
                tokio::time::sleep(delay).await;
            }
            let (choice, mut dispatch) = self.select_group().await?;
            self.crash_detector = CrashDetector::new(&self.node, &choice);
            if choice.temperature == Temperature::Cold {
                self.node.metrics.cold_starts.inc();
            }
            let attempt_outcome = self.run_attempt(&choice, &mut dispatch).await;
            let cold_outcome = match &attempt_outcome {
                AttemptOutcome::Completed => ColdOutcome::Succeeded,
                AttemptOutcome::Interrupted(_) => ColdOutcome::Failed,
                _ => ColdOutcome::Cancelled,
            };
            let now = self.node.clock.now();
            self.node
                .traffic
                .end_request(now, &choice, dispatch, cold_outcome);
            match attempt_outcome {
                AttemptOutcome::Completed => {
                    self.record_success(now).await;
                    return Ok(());
                }
                AttemptOutcome::CallerGone => {
                    self.cancel(&choice).await;
                    return Err(None);
                }
                AttemptOutcome::DeadlinePassed => {
                    self.cancel(&choice).await;
                    return Err(Some(refusal::deadline_passed(self.any_sent)));
                }
                AttemptOutcome::Failed(e) => {
                    self.cancel(&choice).await;
                    return Err(Some(e));
                }
                AttemptOutcome::NotRun(cause) => self.exclude_group(now, &choice, &cause),
                AttemptOutcome::Withdrawn(cause) => {
                    self.cancel(&choice).await;
                    self.exclude_group(now, &choice, &cause);
                }
                AttemptOutcome::Interrupted(cause) => {
                    self.record_crash(now, &choice).await;
                    self.cancel(&choice).await;
                    self.exclude_group(now, &choice, &cause);
                }
            }
        }
        Ok(())
    }

    fn spend_retry(&self) -> Result<(), Option<ApiError>> {
        let now = self.node.clock.now();
        if now >= self.req.deadline {
            return Err(Some(refusal::deadline_passed(self.any_sent)));
        }
        let granted = if self.assembler.tokens() > 0 {
            self.node.traffic.try_resume(now)
        } else {
            self.node.traffic.try_retry(now)
        };
        let reason = if granted { "granted" } else { "budget_empty" };
        let label = crate::metrics::ReasonLabel {
            reason: reason.to_owned(),
        };
        self.node.metrics.retries.get_or_create(&label).inc();
        if granted {
            return Ok(());
        }
        Err(Some(refusal::retries_exhausted(self.any_sent)))
    }

    async fn run_attempt(
        &mut self,
        choice: &RouteChoice,
        dispatch: &mut Dispatch,
    ) -> AttemptOutcome {
        let now = self.node.clock.now();
        let resume = match self.resume_point() {
            Ok(resume) => resume,
            Err(e) => return AttemptOutcome::Failed(e),
        };
        let from_index = resume.as_ref().map_or(0, |resume| resume.from_index);
        let opened = match self.open(now, choice, resume).await {
            Ok(opened) => opened,
            Err(end) => {
                self.any_sent = true;
                return end;
            }
        };
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(e) if e.is_not_run() => return AttemptOutcome::NotRun(e.to_string()),
            Err(e) => {
                self.any_sent = true;
                return AttemptOutcome::Interrupted(e.to_string());
            }
        };
        self.any_sent = true;
        self.read_stream(choice, dispatch, &mut stream, from_index, now)
            .await
    }

    /// Returns the position at which the next attempt resumes the answer.
    fn resume_point(&mut self) -> Result<Option<Resume>, ApiError> {
        self.pending_data.clear();
        if !self.any_sent {
            return Ok(self.req.resume.clone());
        }
        let ResumePoint {
            resume_from, text, ..
        } = self.assembler.resume().map_err(|e| refusal::stream(&e))?;
        if resume_from + self.token_offset == 0 {
            return Ok(None);
        }
        let text = format!("{}{text}", self.prior_text);
        Ok(Some(Resume {
            from_index: resume_from + self.token_offset,
            text,
        }))
    }

    fn exclude_group(&mut self, now: Timestamp, choice: &RouteChoice, cause: &str) {
        self.excluded_groups.push(choice.group.clone());
        if self.assembler.tokens() == 0 {
            return;
        }
        self.node.metrics.resumed.inc();
        let reason = format!(
            "the stream of {} was interrupted after {} tokens: {cause}",
            choice.group,
            self.assembler.tokens()
        );
        let subject = EventSubject::request(&self.req.request)
            .with_group(&choice.group)
            .with_account(&self.req.account);
        self.node.recorder.record(
            now,
            EventDraft::new(EventKind::StreamResumed, subject, reason),
        );
    }

    fn record_failure(&self, e: &ApiError) {
        let kind = if e.status == StatusCode::BAD_GATEWAY {
            EventKind::StreamFailed
        } else {
            EventKind::RequestRefused
        };
        let subject = EventSubject::request(&self.req.request).with_account(&self.req.account);
        self.node
            .record(EventDraft::new(kind, subject, e.to_string()));
    }

    /// Cancels the request at the engine, so that its slot becomes free.
    async fn cancel(&self, choice: &RouteChoice) {
        if choice.path == RoutePath::Direct {
            let cancelled = self
                .node
                .engines
                .cancel(choice.address, &self.req.request)
                .await;
            if let Err(e) = cancelled {
                log::debug!("cannot cancel {}: {e}", self.req.request);
            }
        }
    }
}
