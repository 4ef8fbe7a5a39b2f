//! Plan of the write for an operator's change, and its outcome.

use super::{ApplyError, ApplyRequest, CurrentRecord, Expectation};
use crate::id::StoreRevision;
use crate::record::{
    Document, Finding, Generation, KnownTopology, RecordChange, RecordSet, Severity, StoredRecord,
    check_change, diff,
};
use crate::time::Timestamp;

/// The write that a change requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyPlan {
    /// Value to write at [`RecordKey::store_key`](crate::record::RecordKey::store_key).
    pub record: StoredRecord,
    /// Revision that the value in the store must still have.
    pub expected: StoreRevision,
    /// Whether the store already holds the requested document, so that no write is
    /// needed.
    pub unchanged: bool,
    /// Warnings for the operator.
    pub warnings: Vec<Finding>,
}

/// Outcome of a write, determined by reading back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The write took effect; later changes may have followed.
    Applied,
    /// The write has not taken effect so far; the same write may be sent again.
    NotApplied,
    /// This other change was written first, so the write can no longer take effect.
    Superseded(RecordChange),
    /// The store was restored to an older version, so a new plan is needed.
    Replan,
    /// The history no longer contains the generation of the write, because too many
    /// changes followed; this is the latest of them.
    Unknown(RecordChange),
}

impl ApplyPlan {
    /// Plans a change, given the record in the store and the records in force on
    /// this host.
    ///
    /// The change is based on the newer of the two versions of the record. It
    /// therefore outranks the version in force even if the store was restored from
    /// an older copy.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError::Conflict`] if the record is not at the expected
    /// generation, [`ApplyError::NotFound`] if the record to change or delete does
    /// not exist, and [`ApplyError::Rejected`] if the change conflicts with other
    /// records.
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

    /// Determines the outcome of the write from a later read of the record.
    ///
    /// This resolves a write whose response was lost, and identifies the change
    /// that won a race against the write.
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

/// Returns the newer of the versions in the store and in force on this host.
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
