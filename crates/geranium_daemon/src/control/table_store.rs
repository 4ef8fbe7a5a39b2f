//! Reads and writes the group table.

use geranium_core::group::{GroupTable, WriteOutcome};
use geranium_core::id::{FailureDomainId, StoreRevision};
use geranium_platform::{CasOutcome, KvStore, StoreError, StoredValue, Swap};
use tokio::sync::mpsc;

use super::ControlInput;

/// Prefix of the group table keys.
const TABLE_PREFIX: &str = "/geranium/groups/";

/// Returns the key of the group table of a failure domain.
pub fn table_key(failure_domain: &FailureDomainId) -> String {
    format!("{TABLE_PREFIX}{failure_domain}")
}

/// Reads and writes the group table of one failure domain.
pub struct TableStore<S> {
    store: S,
    key: String,
    tx: mpsc::Sender<ControlInput>,
}

impl<S: KvStore> TableStore<S> {
    /// Creates the store access for the table of a failure domain.
    pub fn new(store: S, failure_domain: &FailureDomainId, tx: mpsc::Sender<ControlInput>) -> Self {
        Self {
            store,
            key: table_key(failure_domain),
            tx,
        }
    }

    /// Reads the table. A failed read sends no input; the controller requests it again.
    pub fn load(&self, read: u64) {
        let (store, key, tx) = (self.store.clone(), self.key.clone(), self.tx.clone());
        tokio::spawn(async move {
            let (table, revision) = match store.get(&key).await {
                Ok(None) => (None, StoreRevision::default()),
                Ok(Some(value)) => match parse_table(&value) {
                    Some(table) => (Some(table), value.revision),
                    None => return,
                },
                Err(e) => {
                    log::debug!("cannot read the group table: {e}");
                    return;
                }
            };
            let input = ControlInput::TableRead {
                read,
                table,
                revision,
            };
            let _ = tx.send(input).await;
        });
    }

    /// Writes the table and sends the outcome to the control task.
    pub fn write(&self, table: &GroupTable, expected: StoreRevision) {
        let (store, tx) = (self.store.clone(), self.tx.clone());
        let value = match serde_json::to_vec(table) {
            Ok(value) => value,
            Err(e) => {
                log::error!("cannot serialize the group table: {e}");
                return;
            }
        };
        let sequence = table.version().sequence;
        let key = self.key.clone();
        let swap = Swap {
            key,
            expected,
            value: Some(value.into()),
            lease: None,
        };
        tokio::spawn(async move {
            let outcome = write_outcome(store.transact(vec![swap]).await);
            let input = ControlInput::TableWritten { sequence, outcome };
            let _ = tx.send(input).await;
        });
    }
}

/// Parses a stored group table; logs an invalid one and returns `None`.
pub(super) fn parse_table(value: &StoredValue) -> Option<Box<GroupTable>> {
    serde_json::from_slice(&value.value)
        .inspect_err(|e| log::error!("invalid group table in {:?}: {e}", value.key))
        .ok()
}

fn write_outcome(outcome: Result<CasOutcome, StoreError>) -> WriteOutcome {
    match outcome {
        Ok(CasOutcome::Applied(revision)) => WriteOutcome::Applied { revision },
        Ok(CasOutcome::Conflict(_)) => WriteOutcome::Conflict,
        Err(e) if e.may_have_taken_effect() => WriteOutcome::Ambiguous,
        Err(e) => {
            log::debug!("cannot write the group table: {e}");
            WriteOutcome::Failed
        }
    }
}
