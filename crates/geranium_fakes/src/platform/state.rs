//! Values, leases and history.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use geranium_core::time::Timestamp;
use geranium_platform::etcd::wire::{
    Base64, Compare, Int64, KeyValue, PutRequest, RangeRequest, RangeResponse, RequestOp,
    ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
};

use super::key_range::{bounds, in_range};
use super::leases::Leases;
use super::{Change, PlatformError};

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    value: Bytes,
    mod_revision: u64,
    lease: u64,
}

/// Bytes of values kept for watches; older changes are compacted.
const MAX_HISTORY_BYTES: usize = 64 << 20;

/// The whole state of the stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformState {
    revision: u64,
    compacted: u64,
    history_limit: usize,
    entries: BTreeMap<Bytes, Entry>,
    leases: Leases,
    history: VecDeque<Change>,
    history_bytes: usize,
}

impl PlatformState {
    /// Makes an empty store, which has revision 1 as in etcd.
    #[must_use]
    pub fn new(history_limit: usize) -> Self {
        Self {
            revision: 1,
            compacted: 0,
            history_limit,
            entries: BTreeMap::new(),
            leases: Leases::default(),
            history: VecDeque::new(),
            history_bytes: 0,
        }
    }

    /// Returns the revision of the store.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of leases.
    #[must_use]
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// Returns the head of an answer.
    #[must_use]
    pub const fn header(&self) -> ResponseHeader {
        ResponseHeader {
            revision: Int64(self.revision),
        }
    }

    /// Reads a key or a range of keys.
    #[must_use]
    pub fn range(&self, req: &RangeRequest) -> RangeResponse {
        let kvs: Vec<KeyValue> = self
            .entries
            .range::<[u8], _>(bounds(&req.key.0, &req.range_end.0))
            .map(|(key, entry)| key_value(key, entry))
            .collect();
        RangeResponse {
            header: self.header(),
            count: Int64(kvs.len() as u64),
            kvs,
        }
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if the transaction is not valid; nothing is written then.
    pub fn transact(&mut self, req: &TxnRequest) -> Result<TxnResponse, PlatformError> {
        let mut succeeded = true;
        for compare in &req.compare {
            succeeded &= self.holds(compare)?;
        }
        let steps = if succeeded {
            &req.success
        } else {
            &req.failure
        };
        self.check_writes(steps)?;
        let revision = self.revision + 1;
        let responses = steps
            .iter()
            .map(|step| self.apply(step, revision))
            .collect();
        self.trim_history();
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Writes a value without a condition.
    pub fn put(&mut self, key: &str, value: Bytes) {
        let revision = self.revision + 1;
        let put = PutRequest {
            key: Base64::from_text(key),
            value: Base64(value),
            lease: Int64(0),
        };
        self.write(&put, revision);
        self.trim_history();
    }

    /// Grants a lease; `id` zero asks for a new id.
    pub fn grant(&mut self, id: u64, ttl: Duration, now: Timestamp) -> u64 {
        self.leases.grant(id, ttl, now)
    }

    /// Prolongs a lease and returns its time to live; `None` if it does not exist.
    pub fn keep_alive(&mut self, id: u64, now: Timestamp) -> Option<Duration> {
        self.leases.keep_alive(id, now)
    }

    /// Ends a lease and deletes its values.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease does not exist.
    pub fn revoke(&mut self, id: u64) -> Result<(), PlatformError> {
        let keys = self.leases.remove(id);
        let keys = keys.ok_or(PlatformError::LeaseNotFound)?;
        let revision = self.revision + 1;
        for key in keys {
            self.delete(&key, revision);
        }
        self.trim_history();
        Ok(())
    }

    /// Ends the leases whose time is over; returns whether a value was deleted.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.revision;
        self.end_leases(self.leases.ended_by(now));
        self.revision != before
    }

    /// Ends every lease.
    pub fn expire_all(&mut self) {
        self.end_leases(self.leases.ids());
    }

    /// Forgets the history up to the present revision.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
        self.history_bytes = 0;
    }

    /// Returns the oldest revision that a watch can begin with, if `start` is older.
    #[must_use]
    pub fn compacted_before(&self, start: u64) -> Option<u64> {
        (start <= self.compacted).then_some(self.compacted)
    }

    /// Returns the changes of a range of keys from a revision on.
    #[must_use]
    pub fn changes(&self, start: u64, req: &RangeRequest) -> Vec<Change> {
        let first = self.history.partition_point(|c| c.revision < start);
        self.history
            .range(first..)
            .filter(|c| in_range(&c.key, &req.key.0, &req.range_end.0))
            .cloned()
            .collect()
    }

    fn end_leases(&mut self, ids: Vec<u64>) {
        for id in ids {
            // Each id was just found.
            let _ = self.revoke(id);
        }
    }

    fn holds(&self, compare: &Compare) -> Result<bool, PlatformError> {
        let equal = matches!(compare.result.as_str(), "" | "EQUAL");
        if !equal || compare.target != "MOD" {
            let detail = format!(
                "comparison {:?} of {:?} is not supported; EQUAL of MOD is",
                compare.result, compare.target
            );
            return Err(PlatformError::Invalid(detail));
        }
        let present = self.entries.get(&compare.key.0);
        Ok(present.map_or(0, |entry| entry.mod_revision) == compare.mod_revision.0)
    }

    fn check_writes(&self, steps: &[RequestOp]) -> Result<(), PlatformError> {
        let mut keys = BTreeSet::new();
        for put in steps.iter().filter_map(|step| step.request_put.as_ref()) {
            if !put.lease.is_zero() && !self.leases.contains(put.lease.0) {
                return Err(PlatformError::LeaseNotFound);
            }
            if !keys.insert(&put.key.0) {
                return Err(PlatformError::DuplicateKey);
            }
        }
        Ok(())
    }

    fn apply(&mut self, step: &RequestOp, revision: u64) -> ResponseOp {
        if let Some(put) = &step.request_put {
            self.write(put, revision);
        }
        if let Some(delete) = &step.request_delete_range {
            let keys: Vec<Bytes> = self
                .entries
                .range::<[u8], _>(bounds(&delete.key.0, &delete.range_end.0))
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.delete(&key, revision);
            }
        }
        ResponseOp {
            response_range: step.request_range.as_ref().map(|range| self.range(range)),
        }
    }

    fn write(&mut self, put: &PutRequest, revision: u64) {
        let key = put.key.0.clone();
        let entry = Entry {
            value: put.value.0.clone(),
            mod_revision: revision,
            lease: put.lease.0,
        };
        if let Some(old) = self.entries.insert(key.clone(), entry) {
            self.leases.detach(old.lease, &key);
        }
        self.leases.attach(put.lease.0, &key);
        self.record(Change {
            revision,
            key,
            value: Some(put.value.0.clone()),
            lease: put.lease.0,
        });
    }

    fn delete(&mut self, key: &Bytes, revision: u64) {
        let Some(old) = self.entries.remove(key) else {
            return;
        };
        self.leases.detach(old.lease, key);
        self.record(Change {
            revision,
            key: key.clone(),
            value: None,
            lease: 0,
        });
    }

    fn record(&mut self, change: Change) {
        self.revision = change.revision;
        self.history_bytes += change.value_len();
        self.history.push_back(change);
    }

    /// Forgets the oldest revisions, never a part of one.
    fn trim_history(&mut self) {
        while self.history.len() > self.history_limit || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.front().map(|change| change.revision) else {
                return;
            };
            self.compacted = oldest;
            let rest = self.history.partition_point(|c| c.revision <= oldest);
            let forgotten = self.history.drain(..rest);
            self.history_bytes -= forgotten.map(|change| change.value_len()).sum::<usize>();
        }
    }
}

fn key_value(key: &Bytes, entry: &Entry) -> KeyValue {
    KeyValue {
        key: Base64(key.clone()),
        mod_revision: Int64(entry.mod_revision),
        value: Base64(entry.value.clone()),
        lease: Int64(entry.lease),
    }
}
