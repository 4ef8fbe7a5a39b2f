//! Applies an operator's change of a record to the platform's store.

use std::time::Duration;

use geranium_core::event::{EventDraft, EventKind, EventSubject};
use geranium_core::id::StoreRevision;
use geranium_core::record::{
    ApplyError, ApplyOutcome as WriteOutcome, ApplyPlan, ApplyRequest as ChangeRequest,
    CurrentRecord, Document, Expectation, Generation, KnownTopology, RecordChange, RecordKey,
    Severity, StoredRecord,
};
use geranium_net::ApiError;
use geranium_operator::{ApplyAnswer, ApplyOutcome, ApplyRequest, HistoryEntry, LostRace};
use geranium_platform::{CasOutcome, KvStore, StoreError, StoredValue, Swap};
use hyper::StatusCode;

use crate::changes;
use crate::node::Node;

/// Maximum number of attempts to apply a change, and of reads to resolve the outcome of its
/// write.
const MAX_ATTEMPTS: usize = 5;

/// Delay before each read that resolves a write with an unknown outcome.
const READ_BACK_DELAY: Duration = Duration::from_millis(100);

/// Interval at which this host is polled for a change that must come into force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum number of polls for a change that must come into force on this host.
const MAX_IN_FORCE_POLLS: usize = 500;

/// Delay after which callers may retry while the platform's service does not answer.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Writes a change by compare-and-swap against the version that the operator has read.
///
/// # Errors
///
/// Returns an error if the change is not valid, or if the platform's service is unavailable
/// or the outcome of the write stays unknown.
pub async fn apply(
    node: &Node,
    key: RecordKey,
    document: Option<Document>,
    req: &ApplyRequest,
) -> Result<ApplyAnswer, ApiError> {
    let change = ChangeRequest {
        key,
        document,
        expected: req
            .expected_generation
            .map_or(Expectation::Any, |g| Expectation::Generation(Generation(g))),
        operator: req.operator.clone(),
        writer: node.next_writer_id(),
    };
    for _ in 0..MAX_ATTEMPTS {
        if let Some(answer) = apply_once(node, &change).await? {
            return Ok(answer);
        }
    }
    Err(unknown_outcome(&change.key))
}

/// Plans and writes a change once. Returns `None` if the change has to be planned again.
async fn apply_once(node: &Node, change: &ChangeRequest) -> Result<Option<ApplyAnswer>, ApiError> {
    let current = read(node, &change.key).await?;
    let view = node.published.view();
    let topology = KnownTopology::from_hosts(view.hosts.iter());
    let plan = match ApplyPlan::new(change, &current, &view.records, &topology, node.clock.now()) {
        Ok(plan) => plan,
        Err(e) => return handle_apply_error(change, e),
    };
    let base = newest(
        &current,
        view.records.get(&change.key).map(|e| e.stored.as_ref()),
    );
    if plan.unchanged {
        let generation = base.map_or(0, |record| record.generation().0);
        return Ok(Some(answer(
            ApplyOutcome::Unchanged,
            generation,
            &plan,
            base,
        )));
    }
    let accepted = || {
        answer(
            ApplyOutcome::Accepted,
            plan.record.generation().0,
            &plan,
            base,
        )
    };
    match write(node, &plan).await {
        Ok(CasOutcome::Applied(revision)) => {
            publish_write(node, &plan.record, revision).await;
            Ok(Some(accepted()))
        }
        Ok(CasOutcome::Conflict(values)) => {
            let latest = read_value(values.into_iter().next());
            Ok(resolve_conflict(change, &plan, &latest))
        }
        Err(e) if e.may_have_taken_effect() => match resolve_write(node, &plan).await? {
            (WriteOutcome::Applied, revision) => {
                publish_write(node, &plan.record, revision).await;
                Ok(Some(accepted()))
            }
            (WriteOutcome::Superseded(winner), _) => {
                Ok(Some(lost_race_answer(change, &winner, None)))
            }
            (WriteOutcome::NotApplied | WriteOutcome::Replan, _) => Ok(None),
            (WriteOutcome::Unknown(_), _) => Err(unknown_outcome(&change.key)),
        },
        Err(e) => Err(unavailable(&e)),
    }
}

async fn write(node: &Node, plan: &ApplyPlan) -> Result<CasOutcome, StoreError> {
    let swap = Swap {
        key: plan.record.key.store_key(),
        expected: plan.expected,
        value: Some(plan.record.to_store().into()),
        lease: None,
    };
    node.store.transact(vec![swap]).await
}

/// Reads the record until the outcome of a write is known; returns it with the revision.
async fn resolve_write(
    node: &Node,
    plan: &ApplyPlan,
) -> Result<(WriteOutcome, StoreRevision), ApiError> {
    for _ in 0..MAX_ATTEMPTS {
        tokio::time::sleep(READ_BACK_DELAY).await;
        let Ok(current) = read(node, &plan.record.key).await else {
            continue;
        };
        let outcome = plan.resolve_outcome(&current);
        if outcome != WriteOutcome::NotApplied {
            return Ok((outcome, current.revision));
        }
    }
    // The write may still be in flight, so another plan could write twice.
    Err(unknown_outcome(&plan.record.key))
}

async fn read(node: &Node, key: &RecordKey) -> Result<CurrentRecord, ApiError> {
    match node.store.get(&key.store_key()).await {
        Ok(value) => Ok(read_value(value)),
        Err(e) => Err(unavailable(&e)),
    }
}

fn read_value(value: Option<StoredValue>) -> CurrentRecord {
    let Some(value) = value else {
        return CurrentRecord::default();
    };
    let stored = StoredRecord::from_store(&value.key, &value.value).ok();
    CurrentRecord {
        stored,
        revision: value.revision,
    }
}

fn newest<'a>(
    current: &'a CurrentRecord,
    known: Option<&'a StoredRecord>,
) -> Option<&'a StoredRecord> {
    current
        .stored
        .iter()
        .chain(known)
        .max_by_key(|record| record.rank())
}

async fn publish_write(node: &Node, record: &StoredRecord, revision: StoreRevision) {
    let reason = format!(
        "{} wrote {} as generation {} at revision {revision}",
        record.change.operator,
        record.key,
        record.generation()
    );
    let subject = EventSubject::record(&record.key.name);
    node.record(EventDraft::new(EventKind::StoreWritten, subject, reason));
    node.send_accepted_record(record.clone(), revision).await;
    wait_in_force(node, record).await;
}

/// Waits until a change is in force on this host, so that the operator's next change is
/// checked against it. Gives up after [`MAX_IN_FORCE_POLLS`] polls.
async fn wait_in_force(node: &Node, record: &StoredRecord) {
    for _ in 0..MAX_IN_FORCE_POLLS {
        let view = node.published.view();
        if view.records.generation(&record.key) >= record.generation() {
            return;
        }
        tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}

fn handle_apply_error(
    change: &ChangeRequest,
    e: ApplyError,
) -> Result<Option<ApplyAnswer>, ApiError> {
    match e {
        ApplyError::Conflict(_, _, winner, differences) => {
            let differences = differences
                .into_iter()
                .flat_map(changes::render_change)
                .collect();
            Ok(Some(lost_race_answer(change, &winner, Some(differences))))
        }
        ApplyError::NotFound(key) => Err(ApiError::new(
            StatusCode::NOT_FOUND,
            "not_found",
            format!("record {key} does not exist"),
        )),
        ApplyError::Rejected(key, findings) => Err(ApiError::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "invalid_record",
            format!("record {key} is not valid together with the other records"),
        )
        .with_faults(findings.iter().map(ToString::to_string).collect())),
    }
}

/// Returns the answer for a write that another change preceded, or `None` if the store
/// has no readable version, so that the change is planned again.
fn resolve_conflict(
    change: &ChangeRequest,
    plan: &ApplyPlan,
    latest: &CurrentRecord,
) -> Option<ApplyAnswer> {
    let stored = latest.stored.as_ref()?;
    if stored.includes_write(plan.record.writer()) {
        // An earlier attempt of the same change took effect.
        return Some(answer(
            ApplyOutcome::Accepted,
            stored.generation().0,
            plan,
            None,
        ));
    }
    let differences = changes::render_diff(stored.document.as_ref(), plan.record.document.as_ref());
    Some(lost_race_answer(change, &stored.change, Some(differences)))
}

fn lost_race_answer(
    change: &ChangeRequest,
    winner: &RecordChange,
    differences: Option<Vec<String>>,
) -> ApplyAnswer {
    log::info!(
        "change of {} lost the race against operator {:?}",
        change.key,
        winner.operator
    );
    ApplyAnswer {
        outcome: ApplyOutcome::LostRace,
        generation: winner.generation.0,
        changes: Vec::new(),
        warnings: Vec::new(),
        lost_race: Some(LostRace {
            winner: history_entry(winner),
            differences: differences.unwrap_or_default(),
        }),
    }
}

fn answer(
    outcome: ApplyOutcome,
    generation: u64,
    plan: &ApplyPlan,
    base: Option<&StoredRecord>,
) -> ApplyAnswer {
    let old = base.and_then(|record| record.document.as_ref());
    let changes = changes::render_diff(old, plan.record.document.as_ref());
    let warnings = plan
        .warnings
        .iter()
        .filter(|f| f.severity == Severity::Warning);
    ApplyAnswer {
        outcome,
        generation,
        changes,
        warnings: warnings
            .map(|finding| finding.violation.to_string())
            .collect(),
        lost_race: None,
    }
}

/// Converts a change to its entry in the history that operators read.
#[must_use]
pub fn history_entry(change: &RecordChange) -> HistoryEntry {
    HistoryEntry {
        generation: change.generation.0,
        operator: change.operator.clone(),
        written_at: change.written_at,
        deleted: change.deleted,
    }
}

fn unavailable(e: &StoreError) -> ApiError {
    ApiError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "store_unavailable",
        e.to_string(),
    )
    .not_run()
    .retry_after(STORE_RETRY_AFTER)
}

fn unknown_outcome(key: &RecordKey) -> ApiError {
    let message = format!(
        "it is unknown whether the change of {key} was accepted; read the record to find out"
    );
    ApiError::new(StatusCode::GATEWAY_TIMEOUT, "outcome_unknown", message)
}
