//! Fake of a model engine.

use std::time::Duration;

use geranium_core::engine::{
    Assignment, EnginePhase, EngineReport, HostEntry, LoadOrder, Order, OrderAction,
};
use geranium_core::group::OrderOutcome;
use geranium_core::id::{FencingNumber, Incarnation};
use geranium_core::time::Timestamp;

const LOAD_TIME: Duration = Duration::from_millis(3_000);
const WARM_UP_TIME: Duration = Duration::from_millis(2_000);
const SLOWDOWN: u32 = 8;

/// A straggler answers one poll out of this many.
const STRAGGLER_ANSWERS_ONE_IN: u64 = 3;

/// Multiplier that scatters the polls that a straggler answers.
const SCATTER: u64 = 0x9E37_79B9_7F4A_7C15;

/// A model engine with its host.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// The host as the platform knows it.
    pub entry: HostEntry,
    /// Whether the engine runs.
    pub alive: bool,
    /// Until when the engine is paused.
    pub paused_until: Option<Timestamp>,
    /// Whether the engine has begun to leave.
    pub leaving: bool,
    /// Whether the engine is a straggler.
    pub straggles: bool,
    /// Running requests that an order cut off.
    pub cut_requests: usize,
    incarnation: Incarnation,
    sequence: u64,
    polls: u64,
    fencing: FencingNumber,
    assignment: Option<Assignment>,
    loaded_at: Timestamp,
    requests_end: Vec<Timestamp>,
}

impl FakeEngine {
    /// Makes an engine without a model.
    #[must_use]
    pub fn new(entry: HostEntry) -> Self {
        Self {
            entry,
            alive: true,
            paused_until: None,
            leaving: false,
            straggles: false,
            cut_requests: 0,
            incarnation: Incarnation(1),
            sequence: 0,
            polls: 0,
            fencing: FencingNumber(0),
            assignment: None,
            loaded_at: Timestamp::default(),
            requests_end: Vec::new(),
        }
    }

    /// Returns whether the engine works at a moment.
    #[must_use]
    pub fn is_up(&self, now: Timestamp) -> bool {
        self.alive && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns what the engine follows.
    #[must_use]
    pub fn assignment(&self) -> Option<&Assignment> {
        self.assignment.as_ref()
    }

    /// Returns how far the engine is with its model.
    #[must_use]
    pub fn phase(&self, now: Timestamp) -> EnginePhase {
        if self.assignment.is_none() {
            EnginePhase::Idle
        } else if now < self.loaded_at {
            EnginePhase::Loading
        } else if now < self.loaded_at + WARM_UP_TIME {
            EnginePhase::Cold
        } else {
            EnginePhase::Warm
        }
    }

    /// Returns whether the engine serves an assignment at a moment.
    #[must_use]
    pub fn serves(&self, now: Timestamp, expected: &Assignment) -> bool {
        self.is_up(now)
            && self.assignment.as_ref() == Some(expected)
            && matches!(self.phase(now), EnginePhase::Cold | EnginePhase::Warm)
    }

    /// Starts a request that runs for a while.
    pub fn start_request(&mut self, now: Timestamp, time: Duration) {
        self.requests_end.push(now + time);
    }

    /// Starts a new incarnation, which has lost everything.
    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.sequence = 0;
        self.fencing = FencingNumber(0);
        self.assignment = None;
        self.alive = true;
        self.requests_end.clear();
    }

    /// Answers a request for a report; a straggler answers only now and then.
    pub fn report(&mut self, now: Timestamp) -> Option<EngineReport> {
        self.polls += 1;
        let scattered = self.polls.wrapping_mul(SCATTER) >> 32;
        if self.straggles && !scattered.is_multiple_of(STRAGGLER_ANSWERS_ONE_IN) {
            return None;
        }
        self.sequence += 1;
        let running = self.running(now);
        Some(EngineReport {
            host: self.entry.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing: self.fencing,
            assignment: self.assignment.clone(),
            phase: self.phase(now),
            leaving: self.leaving,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: 0,
            kv_free_tokens: 1_000,
        })
    }

    /// Takes or refuses an order.
    pub fn take(&mut self, now: Timestamp, order: &Order) -> OrderOutcome {
        if self.entry.checks_fencing && order.fencing < self.fencing {
            return OrderOutcome::Refused {
                highest: self.fencing,
            };
        }
        self.fencing = self.fencing.max(order.fencing);
        match &order.action {
            OrderAction::Load(load) => self.load(now, order.fencing, load),
            OrderAction::Release => self.follow(now, None),
            OrderAction::Fence => {}
        }
        OrderOutcome::Accepted
    }

    fn load(&mut self, now: Timestamp, fencing: FencingNumber, load: &LoadOrder) {
        let wanted = Assignment {
            group: load.group.clone(),
            fencing,
            model: load.model.clone(),
            version: load.version.clone(),
            adapters: load.adapters.clone(),
            rank: load.rank,
        };
        let keeps_weights = self.assignment.as_ref().is_some_and(|a| {
            let renumbered = Assignment {
                fencing,
                ..a.clone()
            };
            renumbered == wanted
        });
        if keeps_weights {
            self.assignment = Some(wanted);
            return;
        }
        self.follow(now, Some(wanted));
        let slowdown = if self.straggles { SLOWDOWN } else { 1 };
        self.loaded_at = now + LOAD_TIME * slowdown;
    }

    fn follow(&mut self, now: Timestamp, assignment: Option<Assignment>) {
        if self.assignment != assignment {
            self.cut_requests += self.running(now);
            self.requests_end.clear();
            self.assignment = assignment;
        }
    }

    fn running(&self, now: Timestamp) -> usize {
        let running = self.requests_end.iter().filter(|&&end| end > now);
        running.count()
    }
}
