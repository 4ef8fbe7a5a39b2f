//! One streamed answer and the groups that may produce it.

mod groups;
mod verdict;

use std::collections::BTreeSet;
use std::time::Duration;

use geranium_core::id::{AccountId, GroupId, ModelId, RequestId};
use geranium_core::limit::{
    CrashId, CrashRegistry, CrashSettings, CrashVerdict, RequestFingerprint, RetryBudget,
    RetryBudgetSettings,
};
use geranium_core::stream::{
    ChunkBody, Delivery, FinishReason, StreamAssembler, StreamChunk, StreamLimits,
};
use geranium_core::time::Timestamp;

use super::schedule::Schedule;
use super::{EntryFault, Impact, RequestMutation, RequestStep, RequestViolation};

/// Time at which the request is sent.
const START: Timestamp = Timestamp::from_millis(1_000_000);

/// Tokens of the whole answer.
const TOKENS: u64 = 12;

/// Tokens after which a stream is half done.
const HALF: u64 = 6;

/// Groups that serve the model.
const GROUPS: usize = 4;

/// Groups that a request may take down.
const MAX_CRASHED_GROUPS: usize = 2;

/// Time from one token to the next.
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// Time after which a silent group is given up.
const STALL: Duration = Duration::from_secs(1);

/// Time for which the entry host is paused.
const PAUSE: Duration = Duration::from_secs(3);

/// Time for which a backend server is paused: it goes on while another one
/// produces the rest.
const BACKEND_PAUSE: Duration = Duration::from_millis(1_050);

/// Time that the caller waits.
const DEADLINE: Duration = Duration::from_secs(20);

#[derive(Debug)]
enum Event {
    Dispatch,
    Arrives(StreamChunk),
    GroupEnds(u32),
    StallCheck(u32, u64),
    Deadline,
}

/// One streamed answer and the groups that may produce it.
#[derive(Debug)]
pub struct StreamRig {
    step: RequestStep,
    impact: Impact,
    mutation: Option<RequestMutation>,
    schedule: Schedule<Event>,
    stream: StreamAssembler,
    retries: RetryBudget,
    crashes: CrashRegistry,
    tried: BTreeSet<usize>,
    crashed: usize,
    heard: u64,
    /// First token of the present attempt.
    attempt_from: u64,
    struck: bool,
    paused_until: Option<Timestamp>,
    text: String,
    end: Option<Delivery>,
    caller_cut: bool,
}

impl StreamRig {
    /// Makes a rig in which the faults strike at a step.
    #[must_use]
    pub fn new(step: RequestStep, impact: Impact, mutation: Option<RequestMutation>) -> Self {
        Self {
            step,
            impact,
            mutation,
            schedule: Schedule::new(START),
            stream: StreamAssembler::new(RequestId::new("stream"), StreamLimits::default()),
            retries: RetryBudget::new(RetryBudgetSettings::retries()),
            crashes: CrashRegistry::new(CrashSettings::default()),
            tried: BTreeSet::new(),
            crashed: 0,
            heard: 0,
            attempt_from: 0,
            struck: false,
            paused_until: None,
            text: String::new(),
            end: None,
            caller_cut: false,
        }
    }

    /// Runs the stream to its end and returns the promises that were broken.
    #[must_use]
    pub fn run(mut self) -> Vec<RequestViolation> {
        self.strike(RequestStep::Admission);
        self.retries.request(START);
        self.schedule.after(Duration::ZERO, Event::Dispatch);
        self.schedule.after(DEADLINE, Event::Deadline);
        let end = START + DEADLINE + DEADLINE;
        while let Some(event) = self.schedule.next(end) {
            if let Some(until) = self.paused_until.filter(|&u| self.schedule.now() < u) {
                self.schedule.at(until, event);
            } else if !self.caller_cut {
                self.handle(event);
                self.deliver();
            }
        }
        self.violations()
    }

    fn strike(&mut self, step: RequestStep) {
        if step != self.step || self.struck {
            return;
        }
        self.struck = true;
        match self.impact.first {
            EntryFault::Dies => self.caller_cut = true,
            EntryFault::Paused => self.paused_until = Some(self.schedule.now() + PAUSE),
            EntryFault::CutFromBackends | EntryFault::CutOff => {
                // Pieces on their way are lost; the connection stays silent.
                self.schedule = Schedule::new(self.schedule.now());
                self.schedule.at(START + DEADLINE, Event::Deadline);
                let check = Event::StallCheck(self.stream.attempt(), self.heard);
                self.schedule.after(STALL, check);
            }
            EntryFault::None | EntryFault::CutFromStore | EntryFault::CutFromPeers => {}
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Dispatch => self.dispatch(),
            Event::Arrives(piece) => self.arrives(piece),
            Event::GroupEnds(attempt) => self.group_ends(attempt),
            Event::StallCheck(attempt, heard) => {
                if attempt == self.stream.attempt() && heard == self.heard {
                    self.resume();
                }
            }
            Event::Deadline => self.stream.interrupt(),
        }
    }

    fn arrives(&mut self, mut piece: StreamChunk) {
        if self.mutation == Some(RequestMutation::PiecesUnnumbered) {
            self.renumber(&mut piece);
        }
        let before = self.stream.tokens();
        self.stream.accept(piece);
        if self.stream.tokens() > before {
            self.heard += 1;
            let check = Event::StallCheck(self.stream.attempt(), self.heard);
            self.schedule.after(STALL, check);
        }
        if self.stream.tokens() >= HALF {
            self.strike(RequestStep::MidStream);
            self.strike(RequestStep::Shutdown);
        }
        if self.stream.tokens() >= TOKENS {
            self.strike(RequestStep::End);
        }
    }

    /// Makes a piece look like the next one.
    fn renumber(&mut self, piece: &mut StreamChunk) {
        piece.attempt = self.stream.attempt();
        piece.sequence = self.stream.tokens() - self.attempt_from;
        if let ChunkBody::Tokens { first, .. } = &mut piece.body {
            *first = self.stream.tokens();
        }
    }

    fn group_ends(&mut self, attempt: u32) {
        self.crashed += 1;
        if attempt != self.stream.attempt() {
            return;
        }
        let now = self.schedule.now();
        let crash = CrashId {
            group: GroupId::new(format!("g{}", self.tried.len())),
            generation: 1,
        };
        let fingerprint = fingerprint();
        self.crashes
            .group_crashed(now, &crash, &[fingerprint], Some(fingerprint));
        if self.mutation == Some(RequestMutation::CutTakenForEnd) {
            let tokens = self.stream.tokens();
            let reason = FinishReason::Stop;
            let body = ChunkBody::End { tokens, reason };
            self.stream.accept(StreamChunk {
                sequence: self.heard,
                ..piece_with(attempt, body)
            });
        }
        self.resume();
    }

    fn resume(&mut self) {
        if self.stream.is_ended() {
            return;
        }
        let now = self.schedule.now();
        let forgets = self.mutation == Some(RequestMutation::CrashesForgotten);
        let refused = self.crashes.verdict(now, &fingerprint()) == CrashVerdict::Refused;
        if (refused && !forgets) || !self.retries.try_retry(now) {
            self.stream.interrupt();
            return;
        }
        match self.stream.resume() {
            Ok(point) => {
                debug_assert_eq!(point.text, tokens_text(point.resume_from));
                self.dispatch();
            }
            Err(e) => self.stream.fail(e),
        }
    }

    fn deliver(&mut self) {
        while let Some(delivery) = self.stream.take() {
            match delivery {
                Delivery::Tokens { text, .. } => self.text.push_str(&text),
                last => self.end = Some(last),
            }
        }
    }
}

fn fingerprint() -> RequestFingerprint {
    let account = AccountId::new("editorial");
    RequestFingerprint::of(&account, &ModelId::new("model"), b"prompt")
}

fn tokens_text(tokens: u64) -> String {
    (0..tokens).map(|index| format!("t{index} ")).collect()
}

/// Returns the piece for a token, or for the end after the last one.
fn piece(attempt: u32, sequence: u64, index: u64) -> StreamChunk {
    let body = if index < TOKENS {
        ChunkBody::Tokens {
            first: index,
            count: 1,
            text: format!("t{index} "),
        }
    } else {
        ChunkBody::End {
            tokens: TOKENS,
            reason: FinishReason::Stop,
        }
    };
    StreamChunk {
        sequence,
        ..piece_with(attempt, body)
    }
}

fn piece_with(attempt: u32, body: ChunkBody) -> StreamChunk {
    StreamChunk {
        request: RequestId::new("stream"),
        attempt,
        sequence: 0,
        body,
    }
}
