//! The work of relaying one completion.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use geranium_core::event::{EventDraft, EventKind, EventSubject};
use geranium_core::group::Temperature;
use geranium_core::id::GroupId;
use geranium_core::limit::{ColdOutcome, CrashId, CrashVerdict, RetryBackoff};
use geranium_core::route::{Dispatch, RouteChoice, RoutePath, RouteQuery, RouteRefusal};
use geranium_core::stream::{
    Delivery, FinishReason, Piece, PieceBody, ResumePoint, StreamAssembler, StreamEnd, StreamLimits,
};
use geranium_core::time::Timestamp;
use geranium_engine::{CompletionEvent, CompletionStream, EngineApi, EngineError, Resume};
use geranium_net::ApiError;
use hyper::StatusCode;

use super::attempt;
use super::chunk::read_piece;
use super::output::ReaderGone;
use super::trial::{Trial, suspect_of};
use super::witness::CrashWitness;
use super::{RelayOutput, RelayRequest};
use crate::caller::refusal;
use crate::node::Node;
use crate::traffic::Admitted;

/// Longest wait for the first token of an attempt.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait between two tokens.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two looks whether the group still may be used.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a group may be closed before its streams are resumed elsewhere.
const CLOSED_GRACE: Duration = Duration::from_millis(1_000);

/// Pause before routing is tried again while no group can take the request.
const ROUTE_PAUSE: Duration = Duration::from_millis(20);

/// Longest time that a request waits for a group while it has none.
const ROUTE_PATIENCE: Duration = Duration::from_secs(3);

/// How one attempt ended.
enum AttemptEnd {
    /// The answer is whole.
    Whole,
    /// The group broke off; the request may have run in part.
    Broken(String),
    /// The request left the group, which did not fail.
    Left(String),
    /// The group refused the request without running it.
    NotRun(String),
    /// The caller left or reads too slowly.
    ReaderGone,
    /// The deadline passed.
    DeadlinePassed,
    /// The answer cannot go on anywhere.
    Failed(ApiError),
}

/// Relays one completion.
pub struct RelayJob {
    node: Arc<Node>,
    req: RelayRequest,
    output: RelayOutput,
    assembler: StreamAssembler,
    /// Data of pieces that the assembler has not delivered yet, by token.
    raw: BTreeMap<u64, Bytes>,
    exclude: Vec<GroupId>,
    /// Token at which the caller's part of the answer begins.
    offset: u64,
    prior_text: String,
    accepted_at: Timestamp,
    crashed: bool,
    trial: Option<Trial>,
    witness: Option<CrashWitness>,
    any_sent: bool,
    _admitted: Admitted,
}

impl RelayJob {
    /// Makes a job for an admitted request.
    #[must_use]
    pub fn new(
        node: Arc<Node>,
        req: RelayRequest,
        output: RelayOutput,
        admitted: Admitted,
    ) -> Self {
        let accepted_at = node.clock.now();
        let assembler = StreamAssembler::new(req.request.clone(), StreamLimits::default());
        let (offset, prior_text) = req
            .resume
            .clone()
            .map_or((0, String::new()), |r| (r.from_index, r.text));
        Self {
            node,
            req,
            output,
            assembler,
            raw: BTreeMap::new(),
            exclude: Vec::new(),
            offset,
            prior_text,
            accepted_at,
            crashed: false,
            trial: None,
            witness: None,
            any_sent: false,
            _admitted: admitted,
        }
    }

    /// Tries groups until the answer is whole or cannot become so.
    pub async fn run(mut self) {
        let outcome = self.relay().await;
        let kind = crate::metrics::CallKind::Chat;
        match outcome {
            Ok(()) => self.node.metrics.answered(kind, "complete"),
            Err(None) => self.node.metrics.answered(kind, "caller_left"),
            Err(Some(e)) => {
                self.node.metrics.answered(kind, &e.kind);
                self.note_failure(&e);
                self.output.fail(e).await;
            }
        }
    }

    /// Returns `Err(None)` if the caller left.
    async fn relay(&mut self) -> Result<(), Option<ApiError>> {
        let backoff = RetryBackoff::default();
        for attempt in 0_u32.. {
            if attempt > 0 {
                self.spend_retry()?;
                let delay = backoff.delay(attempt - 1, &mut rand::rng());
                tokio::time::sleep(delay).await;
            }
            let (choice, mut dispatch) = self.choose_for_trial().await?;
            self.witness = CrashWitness::new(&self.node, &choice);
            if choice.temperature == Temperature::Cold {
                self.node.metrics.cold_starts.inc();
            }
            let end = self.try_group(&choice, &mut dispatch).await;
            let outcome = match &end {
                AttemptEnd::Whole => ColdOutcome::Succeeded,
                AttemptEnd::Broken(_) => ColdOutcome::Failed,
                _ => ColdOutcome::Cancelled,
            };
            let now = self.node.clock.now();
            self.node.traffic.end(now, &choice, dispatch, outcome);
            match end {
                AttemptEnd::Whole => {
                    self.note_whole(now).await;
                    return Ok(());
                }
                AttemptEnd::ReaderGone => {
                    self.cancel(&choice).await;
                    return Err(None);
                }
                AttemptEnd::DeadlinePassed => {
                    self.cancel(&choice).await;
                    return Err(Some(refusal::deadline_passed(self.any_sent)));
                }
                AttemptEnd::Failed(e) => {
                    self.cancel(&choice).await;
                    return Err(Some(e));
                }
                AttemptEnd::NotRun(why) => self.move_on(now, &choice, &why),
                AttemptEnd::Left(why) => {
                    self.cancel(&choice).await;
                    self.move_on(now, &choice, &why);
                }
                AttemptEnd::Broken(why) => {
                    self.note_crash(now, &choice).await;
                    self.cancel(&choice).await;
                    self.move_on(now, &choice, &why);
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

    /// Chooses a group; a suspect also needs leave to run there on trial.
    async fn choose_for_trial(&mut self) -> Result<(RouteChoice, Dispatch), Option<ApiError>> {
        loop {
            let now = self.node.clock.now();
            let verdict = self.node.traffic.verdict(now, &self.req.fingerprint);
            if verdict == CrashVerdict::Refused {
                return Err(Some(refusal::crashes_servers()));
            }
            let (choice, dispatch) = self.choose().await?;
            // The entry host of another failure domain asks for leave there.
            if verdict == CrashVerdict::Clear || choice.path != RoutePath::Direct {
                return Ok((choice, dispatch));
            }
            self.trial = Trial::ask(&self.node, self.req.fingerprint, &choice).await;
            if self.trial.is_some() {
                return Ok((choice, dispatch));
            }
            let now = self.node.clock.now();
            self.node
                .traffic
                .end(now, &choice, dispatch, ColdOutcome::Cancelled);
            tokio::select! {
                () = tokio::time::sleep(ROUTE_PAUSE) => {}
                () = self.output.left() => return Err(None),
            }
        }
    }

    /// Chooses a group, waiting for a short time if none can take the request.
    async fn choose(&mut self) -> Result<(RouteChoice, Dispatch), Option<ApiError>> {
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
                exclude: &self.exclude,
                forwarded: self.req.forwarded,
            };
            let refused = match self.node.traffic.start(now, &query) {
                Ok(chosen) => return Ok(chosen),
                Err(refused) => refused,
            };
            let hopeless = matches!(refused, RouteRefusal::NotAllowed(..));
            if hopeless || now.since(start) >= ROUTE_PATIENCE {
                return Err(Some(refusal::route(&refused, self.any_sent)));
            }
            if matches!(refused, RouteRefusal::Unavailable(_)) {
                // A group that failed once may have been repaired since.
                self.exclude.clear();
            }
            tokio::select! {
                () = tokio::time::sleep(ROUTE_PAUSE) => {}
                () = self.output.left() => return Err(None),
            }
        }
    }

    async fn try_group(&mut self, choice: &RouteChoice, dispatch: &mut Dispatch) -> AttemptEnd {
        let now = self.node.clock.now();
        let resume = match self.resume_point() {
            Ok(resume) => resume,
            Err(e) => return AttemptEnd::Failed(e),
        };
        let from = resume.as_ref().map_or(0, |resume| resume.from_index);
        let opened = match self.open(now, choice, resume).await {
            Ok(opened) => opened,
            Err(end) => {
                self.any_sent = true;
                return end;
            }
        };
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(e) if e.is_not_run() => return AttemptEnd::NotRun(e.to_string()),
            Err(e) => {
                self.any_sent = true;
                return AttemptEnd::Broken(e.to_string());
            }
        };
        self.any_sent = true;
        self.read_stream(choice, dispatch, &mut stream, from, now)
            .await
    }

    /// Opens the stream, unless the attempt is given up before the group accepts.
    async fn open(
        &mut self,
        now: Timestamp,
        choice: &RouteChoice,
        resume: Option<Resume>,
    ) -> Result<Result<CompletionStream, EngineError>, AttemptEnd> {
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        let opening = attempt::open(&self.node, now, &self.req, choice, resume);
        tokio::pin!(opening);
        loop {
            tokio::select! {
                opened = &mut opening => return Ok(opened),
                () = self.output.left() => return Err(AttemptEnd::ReaderGone),
                _ = checks.tick() => {
                    if let Some(end) = check(&self.node, &self.req, choice, now, 0) {
                        return Err(end);
                    }
                }
            }
        }
    }

    /// Returns where the next attempt goes on.
    fn resume_point(&mut self) -> Result<Option<Resume>, ApiError> {
        self.raw.clear();
        if !self.any_sent {
            return Ok(self.req.resume.clone());
        }
        let ResumePoint {
            resume_from, text, ..
        } = self.assembler.resume().map_err(|e| refusal::stream(&e))?;
        if resume_from + self.offset == 0 {
            return Ok(None);
        }
        let text = format!("{}{text}", self.prior_text);
        Ok(Some(Resume {
            from_index: resume_from + self.offset,
            text,
        }))
    }

    async fn read_stream(
        &mut self,
        choice: &RouteChoice,
        dispatch: &mut Dispatch,
        stream: &mut CompletionStream,
        from: u64,
        opened_at: Timestamp,
    ) -> AttemptEnd {
        let mut heard_at = opened_at;
        let mut tokens = 0_u64;
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = self.output.left() => return AttemptEnd::ReaderGone,
                _ = checks.tick() => match check(&self.node, &self.req, choice, heard_at, tokens) {
                    Some(end) => return end,
                    None => continue,
                }
            };
            heard_at = self.node.clock.now();
            match event {
                None => return AttemptEnd::Broken("the stream ended without its end".to_owned()),
                Some(Err(e)) => return AttemptEnd::Broken(e.to_string()),
                Some(Ok(CompletionEvent::Done)) => return self.finish_at_marker().await,
                Some(Ok(CompletionEvent::Piece(piece))) => {
                    tokens += 1;
                    if tokens == 1 {
                        // The request is past the point at which a group crashed.
                        self.trial = None;
                        self.note_first_token(choice, dispatch, opened_at, heard_at);
                    }
                    if let Err(end) = self.take_in(piece, from).await {
                        return end;
                    }
                }
            }
        }
    }

    async fn take_in(
        &mut self,
        piece: geranium_engine::CompletionPiece,
        from: u64,
    ) -> Result<(), AttemptEnd> {
        let Some(sequence) = piece.index.checked_sub(from) else {
            return Ok(());
        };
        let body = match read_piece(&piece) {
            Ok(body) => self.rebased(body),
            Err(e) => return Err(AttemptEnd::Broken(format!("a chunk is not JSON: {e}"))),
        };
        self.raw.insert(piece.index, piece.data);
        self.assembler.accept(Piece {
            request: self.req.request.clone(),
            attempt: self.assembler.attempt(),
            sequence,
            body,
        });
        self.deliver().await
    }

    /// Counts tokens from the caller's part of the answer.
    fn rebased(&self, body: PieceBody) -> PieceBody {
        match body {
            PieceBody::Tokens { first, count, text } => PieceBody::Tokens {
                first: first.saturating_sub(self.offset),
                count,
                text,
            },
            PieceBody::End { tokens, reason } => PieceBody::End {
                tokens: tokens.saturating_sub(self.offset),
                reason,
            },
            other => other,
        }
    }

    async fn deliver(&mut self) -> Result<(), AttemptEnd> {
        while let Some(delivery) = self.assembler.take() {
            match delivery {
                Delivery::Tokens { first, text, .. } => {
                    let index = first + self.offset;
                    let data = self.raw.remove(&index).unwrap_or_default();
                    let sent = self.output.piece(index, &data, &text).await;
                    sent.map_err(|ReaderGone| AttemptEnd::ReaderGone)?;
                    self.node.metrics.tokens.inc();
                }
                Delivery::End(end) => self.ended(end).await?,
                Delivery::Error(e) => return Err(AttemptEnd::Failed(refusal::stream(&e))),
            }
        }
        Ok(())
    }

    async fn ended(&mut self, end: StreamEnd) -> Result<(), AttemptEnd> {
        let index = end.tokens + self.offset;
        let last = self.raw.remove(&index).map(|data| (index, data));
        let sent = self.output.end(last, end.tokens, end.reason).await;
        sent.map_err(|ReaderGone| AttemptEnd::ReaderGone)?;
        Err(AttemptEnd::Whole)
    }

    /// Ends an answer whose engine sent the end marker without a reason.
    async fn finish_at_marker(&mut self) -> AttemptEnd {
        let end = PieceBody::End {
            tokens: self.assembler.tokens(),
            reason: FinishReason::Stop,
        };
        let accepted = self.assembler.accept(Piece {
            request: self.req.request.clone(),
            attempt: self.assembler.attempt(),
            sequence: self.assembler.next_sequence(),
            body: end,
        });
        log::debug!("end marker without a reason: {accepted:?}");
        match self.deliver().await {
            Err(end) => end,
            Ok(()) => AttemptEnd::Broken("the end marker came too early".to_owned()),
        }
    }

    fn note_first_token(
        &self,
        choice: &RouteChoice,
        dispatch: &mut Dispatch,
        opened_at: Timestamp,
        now: Timestamp,
    ) {
        self.node
            .traffic
            .first_token(now, choice, dispatch, now.since(opened_at));
        if !self.req.forwarded {
            self.node
                .metrics
                .first_token
                .observe(now.since(self.accepted_at).as_secs_f64());
        }
    }

    async fn note_whole(&mut self, now: Timestamp) {
        self.trial = None;
        if self.crashed {
            let digest = self.node.traffic.cleared(now, &self.req.fingerprint);
            self.node.tell_peers_of_crash(&digest).await;
        }
    }

    /// Charges the crash of a group to the request, before it runs anywhere again.
    async fn note_crash(&mut self, now: Timestamp, choice: &RouteChoice) {
        self.crashed = true;
        let was_on_trial = self.trial.is_some();
        let engine_died = match self.witness.take() {
            Some(witness) => witness.engine_died(&self.node).await,
            None => false,
        };
        if !engine_died {
            self.trial = None;
            return;
        }
        let crash = CrashId {
            group: choice.group.clone(),
            generation: choice.generation,
        };
        let fingerprint = self.req.fingerprint;
        let on_trial = if was_on_trial {
            Some(fingerprint)
        } else {
            suspect_of(&self.node, &crash).await
        };
        if let Some(trial) = self.trial.take() {
            trial.crashed();
        }
        let digest = self
            .node
            .traffic
            .group_crashed(now, &crash, fingerprint, on_trial);
        self.node.tell_peers_of_crash(&digest).await;
    }

    fn move_on(&mut self, now: Timestamp, choice: &RouteChoice, why: &str) {
        self.exclude.push(choice.group.clone());
        if self.assembler.tokens() == 0 {
            return;
        }
        self.node.metrics.resumed.inc();
        let reason = format!(
            "{} broke off after {} tokens: {why}",
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

    fn note_failure(&self, e: &ApiError) {
        let kind = if e.status == StatusCode::BAD_GATEWAY {
            EventKind::StreamFailed
        } else {
            EventKind::RequestRefused
        };
        let subject = EventSubject::request(&self.req.request).with_account(&self.req.account);
        self.node
            .record(EventDraft::new(kind, subject, e.to_string()));
    }

    /// Tells the engine that nobody reads on, so that its slot is free.
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

/// Decides whether the attempt may go on.
fn check(
    node: &Node,
    req: &RelayRequest,
    choice: &RouteChoice,
    heard_at: Timestamp,
    tokens: u64,
) -> Option<AttemptEnd> {
    let now = node.clock.now();
    if now >= req.deadline {
        return Some(AttemptEnd::DeadlinePassed);
    }
    if node.traffic.must_leave(now, choice) {
        return Some(AttemptEnd::Left("its cold credit expired".to_owned()));
    }
    let silent = now.since(heard_at);
    let limit = if tokens == 0 {
        FIRST_TOKEN_TIMEOUT
    } else {
        TOKEN_TIMEOUT
    };
    if silent >= limit {
        return Some(AttemptEnd::Broken(format!(
            "no token for {} ms",
            silent.as_millis()
        )));
    }
    // Only the hosts of its failure domain know the state of a group.
    let is_known = choice.path == RoutePath::Direct;
    if is_known && silent >= CLOSED_GRACE && node.is_broken(&choice.group, choice.fencing) {
        return Some(AttemptEnd::Broken(
            "a member of the group is missing".to_owned(),
        ));
    }
    None
}
