//! Fake of the platform's store: one table and one lease.

use std::time::Duration;

use geranium_core::group::GroupTable;
use geranium_core::id::{Incarnation, StoreRevision};
use geranium_core::time::Timestamp;

use super::message::Message;

/// Time that a lease lasts without renewal.
pub(super) const LEASE_TTL: Duration = Duration::from_millis(3_000);

/// One table, changed by compare-and-swap, and one lease.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeStore {
    /// Every state that the table has had, oldest first.
    history: Vec<(GroupTable, StoreRevision)>,
    lease: Option<(Incarnation, Timestamp)>,
    /// Whether answers to writes are lost.
    pub(super) lose_write_answers: bool,
    /// Whether writes ignore the expected revision.
    pub(super) ignore_expected: bool,
    /// Whether every process is granted the lease.
    pub(super) grant_to_all: bool,
    /// Tables written since they were last taken.
    pub(super) written: Vec<GroupTable>,
    /// Writes that took effect.
    pub(super) writes: u64,
    /// Calls that were answered.
    pub(super) calls: u64,
}

impl FakeStore {
    /// Returns the present table.
    pub(super) fn table(&self) -> Option<&GroupTable> {
        self.history.last().map(|(table, _)| table)
    }

    /// Forgets the last writes, like a restore from an older copy.
    pub(super) fn forget_writes(&mut self, writes: usize) {
        let kept = self.history.len().saturating_sub(writes).max(1);
        self.history.truncate(kept);
    }

    /// Answers a call; `None` if the answer is lost.
    pub(super) fn answer(&mut self, now: Timestamp, message: Message) -> Option<Message> {
        self.calls += 1;
        match message {
            Message::Read(call) => {
                let table = self.table().cloned();
                Some(Message::ReadAnswer(call, table, self.revision()))
            }
            Message::Write(call, table, expected) => {
                let outcome = self.write(table, expected);
                let lost = self.lose_write_answers && outcome.is_some();
                (!lost).then_some(Message::WriteAnswer(call, outcome))
            }
            Message::Lease(call, holder) => {
                Some(Message::LeaseAnswer(call, self.grant(now, holder)))
            }
            Message::Release(holder) => {
                if self.lease.is_some_and(|(present, _)| present == holder) {
                    self.lease = None;
                }
                None
            }
            _ => None,
        }
    }

    fn revision(&self) -> StoreRevision {
        self.history.last().map(|(_, r)| *r).unwrap_or_default()
    }

    fn write(&mut self, table: GroupTable, expected: StoreRevision) -> Option<StoreRevision> {
        if expected != self.revision() && !self.ignore_expected {
            return None;
        }
        let revision = self.revision().next();
        self.history.push((table.clone(), revision));
        self.written.push(table);
        self.writes += 1;
        Some(revision)
    }

    fn grant(&mut self, now: Timestamp, holder: Incarnation) -> bool {
        if self.grant_to_all {
            return true;
        }
        let taken = self
            .lease
            .is_some_and(|(other, until)| other != holder && until > now);
        if taken {
            return false;
        }
        self.lease = Some((holder, now + LEASE_TTL));
        true
    }
}
