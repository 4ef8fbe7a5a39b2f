//! The write that carries out an operator's change.

use super::{ApplyError, ApplyRequest, CurrentRecord, Expectation};
use crate::id::StoreRevision;
use crate::record::{
    Document, Finding, Generation, KnownTopology, RecordChange, RecordSet, Severity, StoredRecord,
    check_change, diff,
};
use crate::time::Timestamp;

/// The write that carries out a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyPlan {
    /// Value to write under [`RecordKey::store_key`](crate::record::RecordKey::store_key).
    pub record: StoredRecord,
    /// Revision that the value must still have.
    pub expected: StoreRevision,
    /// Whether the record already is as asked for, so that nothing is written.
    pub unchanged: bool,
    /// Warnings for the operator.
    pub warnings: Vec<Finding>,
}

/// What became of a write, found by reading back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It took effect; later changes may have followed.
    Applied,
    /// It has not taken effect so far; the same write may be sent again.
    NotApplied,
    /// Another change came first: it never takes effect.
    Superseded(RecordChange),
    /// The store went back to an older version: a new plan is needed.
    Replan,
    /// So many changes followed that the history no longer holds the generation of the write.
    Unknown(RecordChange),
}

impl ApplyPlan {
    /// Decides on a change, given what the store holds and what is in force here.
    ///
    /// The change follows the newer of the two. Thus it outranks every version
    /// that is in force even if the store was restored from an older copy.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError::Conflict`] if the operator has read an older
    /// version, [`ApplyError::NotFound`] if there is nothing to delete, and
    /// [`ApplyError::Rejected`] if the change contradicts other records.
    pub fn new(
        request: &ApplyRequest,
        current: &CurrentRecord,
        in_force: &RecordSet,
        topology: &KnownTopology,
        now: Timestamp,
    ) -> Result<Self, ApplyError> {
        let base = newest(request, current, in_force);
        check_expectation(request, base)?;
        let findings = check_change(in_force, &request.key, request.spec(), topology);
        if findings.iter().any(|f| f.severity == Severity::Error) {
            return Err(ApplyError::Rejected(request.key.clone(), findings));
        }
        let document = request.document.as_ref().map(|d| d.value().clone());
        let unchanged =
            base.is_some_and(|b| b.document == document) && base == current.stored.as_ref();
        let record = StoredRecord::following(
            base,
            request.key.clone(),
            document,
            request.operator.as_str(),
            request.writer,
            now,
        );
        Ok(Self {
            record,
            expected: current.revision,
            unchanged,
            warnings: findings,
        })
    }

    /// Tells what became of the write, from what the store holds after it.
    ///
    /// It settles a write whose answer was lost and names the winner of a race.
    #[must_use]
    pub fn resolve_outcome(&self, current: &CurrentRecord) -> ApplyOutcome {
        if current.revision == self.expected {
            return ApplyOutcome::NotApplied;
        }
        let Some(stored) = &current.stored else {
            return ApplyOutcome::Replan;
        };
        if stored.includes_write(self.record.writer()) {
            return ApplyOutcome::Applied;
        }
        let is_same_generation =
            |change: &&RecordChange| change.generation == self.record.generation();
        let mut changes = stored.history.iter().chain([&stored.change]);
        match changes.find(is_same_generation) {
            Some(winner) => ApplyOutcome::Superseded(winner.clone()),
            None if stored.generation() < self.record.generation() => ApplyOutcome::Replan,
            None => ApplyOutcome::Unknown(stored.change.clone()),
        }
    }
}

/// Returns the newer of what the store holds and what is in force here.
fn newest<'a>(
    request: &ApplyRequest,
    current: &'a CurrentRecord,
    in_force: &'a RecordSet,
) -> Option<&'a StoredRecord> {
    let held = in_force.get(&request.key).map(|e| e.stored.as_ref());
    let stored = current.stored.as_ref();
    stored.into_iter().chain(held).max_by_key(|r| r.rank())
}

fn check_expectation(
    request: &ApplyRequest,
    base: Option<&StoredRecord>,
) -> Result<(), ApplyError> {
    let actual = base.map_or(Generation::default(), StoredRecord::generation);
    let is_absent = base.is_none_or(StoredRecord::is_deleted);
    match request.expected {
        Expectation::Generation(expected) if expected != actual => {
            Err(conflict(request, expected, base))
        }
        _ if is_absent && request.document.is_none() => {
            Err(ApplyError::NotFound(request.key.clone()))
        }
        _ => Ok(()),
    }
}

fn conflict(
    request: &ApplyRequest,
    expected: Generation,
    base: Option<&StoredRecord>,
) -> ApplyError {
    let Some(base) = base else {
        return ApplyError::NotFound(request.key.clone());
    };
    let wanted = request.document.as_ref().map(Document::value);
    let differences = diff(base.document.as_ref(), wanted);
    let winner = Box::new(base.change.clone());
    ApplyError::Conflict(request.key.clone(), expected, winner, differences)
}
