//! One idempotency key at several entry hosts.

mod calls;
mod service;
mod store;
mod verdict;

use std::time::Duration;

use geranium_core::id::{AccountId, HostId, Incarnation, RequestId, StoreRevision};
use geranium_core::once::{
    Claim, ClaimAnswer, ClaimCall, ClaimHolder, ClaimInput, ClaimRequest, Fingerprint, ReadOutcome,
    StoredAnswer, UpstreamAnswer, UpstreamOutcome, WriteOutcome,
};
use geranium_core::time::Timestamp;

use super::claim_host::ClaimHost;
use super::claim_store::ClaimStore;
use super::schedule::Schedule;
use super::{
    BackendFault, EntryFault, Impact, RequestMutation, RequestStep, RequestViolation, StoreFault,
};

/// Time of the first submission.
const START: Timestamp = Timestamp::from_millis(1_000_000);

/// Time of one way to the store or the service.
const ONE_WAY: Duration = Duration::from_millis(2);

/// Time on top of that while the store is slow.
const SLOW: Duration = Duration::from_millis(400);

/// Time after which a lost answer is given up.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time that the service works on a call.
const SERVICE_TIME: Duration = Duration::from_millis(50);

/// Time for which a process or a backend server is paused.
const PAUSE: Duration = Duration::from_secs(8);

/// Time from the first submission to the first resend.
const RESEND_AFTER: Duration = Duration::from_secs(3);

/// Time from the first submission to the end of the faults.
const HEALED_AFTER: Duration = Duration::from_secs(30);

/// Time from the first submission to the last resend.
const LAST_RESEND_AFTER: Duration = Duration::from_secs(180);

/// Time that callers wait.
const DEADLINE: Duration = Duration::from_secs(10);

/// Requests with the key: the first, a resend, and one after the faults.
const REQUESTS: usize = 3;

/// The request that is sent after the faults.
const LAST: usize = REQUESTS - 1;

#[derive(Debug)]
enum Event {
    Submit(usize),
    StoreApplies(usize, u64, Claim, StoreRevision),
    StoreAnswers(usize, u64, WriteOutcome),
    StoreReads(usize, u64),
    ReadAnswers(usize, u64, ReadOutcome),
    HolderChecked(usize, ClaimHolder),
    Send(usize, u32, Timestamp),
    ServiceRuns(usize, u32),
    ServiceAnswers(usize, u32, UpstreamOutcome),
    Wake(usize),
    Healed,
}

#[derive(Debug, Default)]
struct Caller {
    call: Option<ClaimCall>,
    answers: Vec<ClaimAnswer>,
    runs: u32,
    dispatched_early: bool,
}

/// One idempotency key at several entry hosts.
#[derive(Debug)]
pub struct ClaimRig {
    step: RequestStep,
    impact: Impact,
    mutation: Option<RequestMutation>,
    schedule: Schedule<Event>,
    store: ClaimStore,
    store_fault: StoreFault,
    hosts: [ClaimHost; REQUESTS],
    callers: [Caller; REQUESTS],
    backend: BackendFault,
    struck: bool,
}

impl ClaimRig {
    /// Makes a rig in which the faults strike at a step.
    #[must_use]
    pub fn new(step: RequestStep, impact: Impact, mutation: Option<RequestMutation>) -> Self {
        Self {
            step,
            impact,
            mutation,
            schedule: Schedule::new(START),
            store: ClaimStore::default(),
            store_fault: StoreFault::None,
            hosts: [ClaimHost::default(); REQUESTS],
            callers: Default::default(),
            backend: BackendFault::None,
            struck: false,
        }
    }

    /// Runs the requests to their end and returns the promises that were broken.
    #[must_use]
    pub fn run(mut self) -> Vec<RequestViolation> {
        self.schedule.after(Duration::ZERO, Event::Submit(0));
        self.schedule.after(RESEND_AFTER, Event::Submit(1));
        self.schedule.after(HEALED_AFTER, Event::Healed);
        self.schedule.after(LAST_RESEND_AFTER, Event::Submit(LAST));
        let end = START + LAST_RESEND_AFTER + DEADLINE + DEADLINE;
        while let Some(event) = self.schedule.next(end) {
            self.handle(event);
        }
        self.violations()
    }

    /// Lets the faults strike if their step is reached for the first time.
    fn strike(&mut self, step: RequestStep) {
        if step != self.step || self.struck {
            return;
        }
        self.struck = true;
        let now = self.schedule.now();
        for (host, fault) in [(0, self.impact.first), (1, self.impact.second)] {
            self.hosts[host].fault = fault;
            if fault == EntryFault::Paused {
                self.hosts[host].paused_until = Some(now + PAUSE);
            }
        }
        self.store_fault = self.impact.store;
        if self.store_fault == StoreFault::Restored {
            self.store.restore();
        }
        self.backend = self.impact.backend;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(n) => self.submit(n),
            Event::StoreApplies(n, op, claim, expected) => {
                self.store_applies(n, op, &claim, expected);
            }
            Event::StoreReads(n, op) => self.store_reads(n, op),
            Event::ServiceRuns(n, attempt) => self.service_runs(n, attempt),
            Event::Healed => self.heal(),
            event => self.handle_at_host(event),
        }
    }

    /// Handles what a host has to be awake for.
    fn handle_at_host(&mut self, event: Event) {
        let (Event::StoreAnswers(n, ..)
        | Event::ReadAnswers(n, ..)
        | Event::HolderChecked(n, ..)
        | Event::Send(n, ..)
        | Event::ServiceAnswers(n, ..)
        | Event::Wake(n)
        | Event::Submit(n)) = event
        else {
            return;
        };
        let host = self.hosts[n];
        if host.is_dead() {
            return;
        }
        if let Some(until) = host
            .paused_until
            .filter(|&until| self.schedule.now() < until)
        {
            self.schedule.at(until, event);
            return;
        }
        match event {
            Event::StoreAnswers(n, op, outcome) => {
                self.feed(n, ClaimInput::Written { op, outcome });
            }
            Event::ReadAnswers(n, op, outcome) => self.feed(n, ClaimInput::Read { op, outcome }),
            Event::HolderChecked(n, holder) => self.check_holder(n, holder),
            Event::Send(n, attempt, before) => self.send(n, attempt, before),
            Event::ServiceAnswers(n, attempt, outcome) => {
                self.feed(n, ClaimInput::Upstream { attempt, outcome });
            }
            Event::Wake(n) => self.feed(n, ClaimInput::Tick),
            _ => {}
        }
    }

    fn heal(&mut self) {
        for host in &mut self.hosts {
            host.heal();
        }
        self.store_fault = StoreFault::None;
        self.backend = BackendFault::None;
    }
}

fn holder(n: usize) -> ClaimHolder {
    ClaimHolder {
        host: HostId::new(format!("entry-{n}")),
        incarnation: Incarnation(1),
        nonce: n as u64,
    }
}

fn request(n: usize, now: Timestamp) -> ClaimRequest {
    ClaimRequest {
        request: RequestId::new(format!("request-{n}")),
        account: AccountId::new("editorial"),
        key: "removal-17".parse().expect("valid key"),
        key_issued_at: None,
        fingerprint: Fingerprint::of("POST", "/removals", b"{}"),
        deadline: now + DEADLINE,
    }
}

fn service_answer() -> UpstreamAnswer {
    UpstreamAnswer {
        status: 200,
        headers: Vec::new(),
        body: "removed".into(),
    }
}

fn kept_answer() -> StoredAnswer {
    StoredAnswer::of(&service_answer(), usize::MAX)
}
