//! The store as the entry hosts reach it.

use std::time::Duration;

use geranium_core::id::StoreRevision;
use geranium_core::once::{Claim, ReadOutcome, WriteOutcome};

use super::{ClaimRig, Event, ONE_WAY, SLOW, TIMEOUT};
use crate::request::StoreFault;

impl ClaimRig {
    pub(super) fn store_way(&self) -> Duration {
        match self.store_fault {
            StoreFault::Slow => ONE_WAY + SLOW,
            _ => ONE_WAY,
        }
    }

    pub(super) fn store_applies(
        &mut self,
        n: usize,
        op: u64,
        claim: &Claim,
        expected: StoreRevision,
    ) {
        if self.store_fault == StoreFault::Down {
            let answer = Event::StoreAnswers(n, op, WriteOutcome::NoEffect);
            return self.schedule.after(ONE_WAY, answer);
        }
        if !self.hosts[n].reaches_store() {
            let answer = Event::StoreAnswers(n, op, WriteOutcome::Ambiguous);
            return self.schedule.after(TIMEOUT, answer);
        }
        let outcome = self.store.write(claim, expected);
        if self.store_fault == StoreFault::AnswersLost {
            let answer = Event::StoreAnswers(n, op, WriteOutcome::Ambiguous);
            return self.schedule.after(TIMEOUT, answer);
        }
        let wait = self.store_way();
        self.schedule
            .after(wait, Event::StoreAnswers(n, op, outcome));
    }

    pub(super) fn store_reads(&mut self, n: usize, op: u64) {
        let reached = self.store_fault != StoreFault::Down && self.hosts[n].reaches_store();
        let outcome = if reached {
            ReadOutcome::Found(self.store.present())
        } else {
            ReadOutcome::Failed
        };
        let wait = self.store_way();
        self.schedule
            .after(wait, Event::ReadAnswers(n, op, outcome));
    }
}
