//! The calls of the etcd client.

use std::sync::Arc;
use std::time::Duration;

use futures::Stream;
use geranium_core::id::StoreRevision;

use super::EtcdConfig;
use super::transport::{Call, Transport};
use super::watch;
use super::wire::{
    Base64, Compare, Int64, KeyValue, Lease, PutRequest, RangeRequest, RangeResponse, RequestOp,
    StreamMessage, TxnRequest, TxnResponse, prefix_end,
};
use crate::{
    CasOutcome, KvStore, LeaseId, RangeRead, StoreCallCounter, StoreCallKind, StoreError,
    StoredValue, Swap, WatchBatch,
};

/// Name of a lease call in errors and in place of a key.
const LEASE: &str = "lease";

/// Client of etcd's JSON gateway; clones share connections, limits and counts.
///
/// # Examples
///
/// ```no_run
/// # async fn example() -> Result<(), geranium_platform::StoreError> {
/// use geranium_platform::{EtcdClient, EtcdConfig, KvStore};
///
/// let endpoint = std::net::SocketAddr::from(([127, 0, 0, 1], 2379));
/// let store = EtcdClient::new(EtcdConfig::new(vec![endpoint]));
/// let hosts = store.range("/platform/hosts/").await?;
/// println!("{} hosts at revision {}", hosts.values.len(), hosts.revision);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct EtcdClient {
    transport: Arc<Transport>,
    counter: Arc<StoreCallCounter>,
}

impl EtcdClient {
    /// Makes a client.
    #[must_use]
    pub fn new(cfg: EtcdConfig) -> Self {
        let counter = Arc::new(StoreCallCounter::default());
        Self {
            transport: Arc::new(Transport::new(cfg, counter.clone())),
            counter,
        }
    }

    /// Returns the counts of the calls sent so far.
    #[must_use]
    pub fn counter(&self) -> Arc<StoreCallCounter> {
        self.counter.clone()
    }

    async fn read_range(&self, key: &str, range_end: Base64) -> Result<RangeRead, StoreError> {
        let call = Call {
            kind: StoreCallKind::Range,
            path: "/v3/kv/range",
            key,
        };
        let body = RangeRequest {
            key: Base64::from_text(key),
            range_end,
        };
        let answer: RangeResponse = self.transport.read(call, &body).await?;
        Ok(RangeRead {
            values: answer.kvs.into_iter().map(stored_value).collect(),
            revision: StoreRevision(answer.header.revision.0),
        })
    }

    async fn lease_call<T: serde::de::DeserializeOwned>(
        &self,
        kind: StoreCallKind,
        path: &'static str,
        body: Lease,
    ) -> Result<T, StoreError> {
        let call = Call {
            kind,
            path,
            key: LEASE,
        };
        let outcome = self.transport.write(call, &body).await;
        outcome.map_err(|e| name_lease(e, body.id.0))
    }
}

impl KvStore for EtcdClient {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let read = self.read_range(key, Base64::default()).await?;
        Ok(read.values.into_iter().next())
    }

    async fn range(&self, prefix: &str) -> Result<RangeRead, StoreError> {
        let end = Base64(prefix_end(prefix.as_bytes()));
        self.read_range(prefix, end).await
    }

    async fn transact(&self, swaps: Vec<Swap>) -> Result<CasOutcome, StoreError> {
        let call = Call {
            kind: StoreCallKind::Transaction,
            path: "/v3/kv/txn",
            key: swaps.first().map_or("", |swap| swap.key.as_str()),
        };
        let lease = swaps.iter().find_map(|swap| swap.lease);
        let answer: TxnResponse = self
            .transport
            .write(call, &transaction(&swaps))
            .await
            .map_err(|e| name_lease(e, lease.map_or(0, |lease| lease.0)))?;
        if answer.succeeded {
            return Ok(CasOutcome::Applied(StoreRevision(answer.header.revision.0)));
        }
        let present = answer
            .responses
            .into_iter()
            .filter_map(|op| op.response_range)
            .flat_map(|range| range.kvs)
            .map(stored_value)
            .collect();
        Ok(CasOutcome::Conflict(present))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let body = Lease {
            ttl: Int64(whole_seconds(ttl)),
            ..Lease::default()
        };
        let granted: Lease = self
            .lease_call(StoreCallKind::LeaseGrant, "/v3/lease/grant", body)
            .await?;
        Ok(LeaseId(granted.id.0))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let body = Lease {
            id: Int64(lease.0),
            ..Lease::default()
        };
        let message: StreamMessage<Lease> = self
            .lease_call(StoreCallKind::LeaseKeepAlive, "/v3/lease/keepalive", body)
            .await?;
        match message.result {
            Some(kept) if !kept.ttl.is_zero() => Ok(Duration::from_secs(kept.ttl.0)),
            // The gateway reports a lease that has ended as one without a time to live.
            _ => Err(StoreError::LeaseNotFound(lease.0)),
        }
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let body = Lease {
            id: Int64(lease.0),
            ..Lease::default()
        };
        self.lease_call::<Lease>(StoreCallKind::LeaseRevoke, "/v3/lease/revoke", body)
            .await?;
        Ok(())
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
    ) -> Result<
        impl Stream<Item = Result<WatchBatch, StoreError>> + Send + Unpin + 'static,
        StoreError,
    > {
        watch::open(self.transport.clone(), prefix, after).await
    }
}

/// Converts a value of the gateway.
pub(super) fn stored_value(kv: KeyValue) -> StoredValue {
    StoredValue {
        key: kv.key.to_text(),
        value: kv.value.0,
        revision: StoreRevision(kv.mod_revision.0),
    }
}

fn transaction(swaps: &[Swap]) -> TxnRequest {
    TxnRequest {
        compare: swaps.iter().map(compare).collect(),
        success: swaps.iter().map(write_op).collect(),
        failure: swaps.iter().map(read_op).collect(),
    }
}

fn compare(swap: &Swap) -> Compare {
    Compare {
        result: "EQUAL".to_owned(),
        target: "MOD".to_owned(),
        key: Base64::from_text(&swap.key),
        mod_revision: Int64(swap.expected.0),
    }
}

fn write_op(swap: &Swap) -> RequestOp {
    let key = Base64::from_text(&swap.key);
    match &swap.value {
        Some(value) => RequestOp {
            request_put: Some(PutRequest {
                key,
                value: Base64(value.clone()),
                lease: Int64(swap.lease.map_or(0, |lease| lease.0)),
            }),
            ..RequestOp::default()
        },
        None => RequestOp {
            request_delete_range: Some(single_key(key)),
            ..RequestOp::default()
        },
    }
}

fn read_op(swap: &Swap) -> RequestOp {
    RequestOp {
        request_range: Some(single_key(Base64::from_text(&swap.key))),
        ..RequestOp::default()
    }
}

fn single_key(key: Base64) -> RangeRequest {
    RangeRequest {
        key,
        range_end: Base64::default(),
    }
}

/// Fills in the lease that the gateway's error does not name.
fn name_lease(e: StoreError, lease: u64) -> StoreError {
    match e {
        StoreError::LeaseNotFound(_) => StoreError::LeaseNotFound(lease),
        e => e,
    }
}

/// Rounds up, since leases have whole seconds and must not end early.
fn whole_seconds(ttl: Duration) -> u64 {
    ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0)
}
