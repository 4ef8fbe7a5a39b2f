//! The calls of the gateway.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use geranium_core::time::Timestamp;
use geranium_net::read_body;
use geranium_platform::etcd::wire::{
    Int64, Lease, PutRequest, PutResponse, RangeRequest, RequestOp, ResponseHeader, TxnRequest,
    WatchRequest,
};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use viz::{Body, IntoResponse, Request, Response};

use super::call::{
    CallKind, LEASE_GRANT, LEASE_KEEP_ALIVE, LEASE_REVOKE, PUT, RANGE, RateLimits, TRANSACTION,
    WATCH, count,
};
use super::fault::FaultState;
use super::watcher::{OpenWatch, Watcher, line};
use super::{PlatformConfig, PlatformError, PlatformFault, PlatformState, PlatformStats};
use crate::http::{Gate, drop_connection, json, parse_json};

/// Largest body of a call, in bytes.
const MAX_BODY: usize = 64 << 20;

/// What the calls share.
pub(super) struct Handler {
    cfg: PlatformConfig,
    gates: Vec<Gate>,
    started: Instant,
    state: Arc<Mutex<PlatformState>>,
    snapshot: Mutex<Option<PlatformState>>,
    fault: Mutex<FaultState>,
    stats: Mutex<PlatformStats>,
    open_watches: Arc<Mutex<u64>>,
    limits: RateLimits,
    changed: watch::Sender<u64>,
}

impl Handler {
    pub fn new(cfg: PlatformConfig, gates: Vec<Gate>) -> Self {
        Self {
            gates,
            started: Instant::now(),
            state: Arc::new(Mutex::new(PlatformState::new(cfg.history_limit))),
            snapshot: Mutex::default(),
            fault: Mutex::default(),
            stats: Mutex::default(),
            open_watches: Arc::default(),
            limits: RateLimits::new(cfg.max_reads_per_second, cfg.max_writes_per_second),
            changed: watch::Sender::new(0),
            cfg,
        }
    }

    pub async fn range(&self, mut req: Request) -> Response {
        self.call(RANGE, &mut req, |state, _, body: RangeRequest| {
            Ok(state.range(&body))
        })
        .await
    }

    pub async fn put_value(&self, mut req: Request) -> Response {
        self.call(PUT, &mut req, |state, _, body: PutRequest| {
            let put = RequestOp {
                request_put: Some(body),
                ..RequestOp::default()
            };
            let txn = TxnRequest {
                success: vec![put],
                ..TxnRequest::default()
            };
            let header = state.transact(&txn)?.header;
            Ok(PutResponse { header })
        })
        .await
    }

    pub async fn transact(&self, mut req: Request) -> Response {
        self.call(TRANSACTION, &mut req, |state, _, body: TxnRequest| {
            state.transact(&body)
        })
        .await
    }

    pub async fn grant(&self, mut req: Request) -> Response {
        self.call(LEASE_GRANT, &mut req, |state, now, body: Lease| {
            let id = state.grant(body.id.0, Duration::from_secs(body.ttl.0), now);
            Ok(lease_answer(state.header(), id, body.ttl.0))
        })
        .await
    }

    pub async fn revoke(&self, mut req: Request) -> Response {
        self.call(LEASE_REVOKE, &mut req, |state, _, body: Lease| {
            state.revoke(body.id.0)?;
            Ok(lease_answer(state.header(), 0, 0))
        })
        .await
    }

    pub async fn keep_alive(&self, mut req: Request) -> Response {
        let body = match self.begin::<Lease>(LEASE_KEEP_ALIVE, &mut req).await {
            Ok(body) => body,
            Err(res) => return res,
        };
        let answer = {
            let mut state = self.state.lock();
            let ttl = state.keep_alive(body.id.0, self.now());
            lease_answer(
                state.header(),
                body.id.0,
                ttl.map_or(0, |ttl| ttl.as_secs()),
            )
        };
        self.finish(LEASE_KEEP_ALIVE, streamed(line(answer))).await
    }

    pub async fn watch(&self, mut req: Request) -> Response {
        let body = match self.begin::<WatchRequest>(WATCH, &mut req).await {
            Ok(body) => body,
            Err(res) => return res,
        };
        let watcher = Watcher::new(
            self.state.clone(),
            self.changed.subscribe(),
            body.create_request,
            self.cfg.progress_interval,
            OpenWatch::new(self.open_watches.clone()),
        );
        let mut res = Response::new(Body::from_stream(watcher.into_stream()));
        set_json(&mut res);
        res
    }

    /// Puts a fault into force.
    pub fn set_fault(&self, fault: &PlatformFault) {
        self.fault.lock().set(fault);
        {
            let mut state = self.state.lock();
            if fault.snapshot {
                *self.snapshot.lock() = Some(state.clone());
            }
            if fault.expire_leases {
                state.expire_all();
            }
            if fault.compact {
                state.compact();
            }
            if fault.restore
                && let Some(copy) = &*self.snapshot.lock()
            {
                *state = copy.clone();
            }
        }
        self.notify();
        if fault.restore {
            // A service that was restored has been restarted.
            self.gates.iter().for_each(Gate::cut);
        }
        if let Some(connections) = fault.connections {
            for (position, gate) in self.gates.iter().enumerate() {
                if fault.endpoint.is_none_or(|endpoint| endpoint == position) {
                    gate.set(connections);
                }
            }
        }
    }

    pub fn stats(&self) -> PlatformStats {
        let state = self.state.lock();
        PlatformStats {
            open_watches: *self.open_watches.lock(),
            leases: state.lease_count() as u64,
            revision: state.revision(),
            ..self.stats.lock().clone()
        }
    }

    /// Writes a value directly, as another user of the service would.
    pub fn put(&self, key: &str, value: Bytes) {
        self.state.lock().put(key, value);
        self.notify();
    }

    /// Ends the leases whose time is over.
    pub fn expire(&self) {
        if self.state.lock().expire(self.now()) {
            self.notify();
        }
    }

    async fn call<B: DeserializeOwned, A: Serialize>(
        &self,
        kind: CallKind,
        req: &mut Request,
        run: impl FnOnce(&mut PlatformState, Timestamp, B) -> Result<A, PlatformError>,
    ) -> Response {
        let body = match self.begin::<B>(kind, req).await {
            Ok(body) => body,
            Err(res) => return res,
        };
        let now = self.now();
        let outcome = {
            let mut state = self.state.lock();
            state.expire(now);
            run(&mut state, now, body)
        };
        self.notify();
        let res = match outcome {
            Ok(answer) => json(StatusCode::OK, &answer),
            Err(e) => e.into_response(),
        };
        self.finish(kind, res).await
    }

    /// Counts a call and lets it fail before it has an effect.
    async fn begin<B: DeserializeOwned>(
        &self,
        kind: CallKind,
        req: &mut Request,
    ) -> Result<B, Response> {
        count(&mut self.stats.lock().calls, kind);
        let (unavailable, delay) = {
            let fault = self.fault.lock();
            (fault.unavailable, fault.delay)
        };
        tokio::time::sleep(delay).await;
        if unavailable {
            return Err(PlatformError::Unavailable.into_response());
        }
        if !self.limits.take(kind, self.now()) {
            count(&mut self.stats.lock().rate_limited, kind);
            return Err(PlatformError::TooManyRequests.into_response());
        }
        let body = read_body(req, MAX_BODY)
            .await
            .map_err(IntoResponse::into_response)?;
        parse_json(&body).map_err(|e| PlatformError::Invalid(e.to_string()).into_response())
    }

    /// Delays or loses the answer of a call that has had its effect.
    async fn finish(&self, kind: CallKind, res: Response) -> Response {
        let (loses, delay) = {
            let mut fault = self.fault.lock();
            let loses = kind.is_write && res.status().is_success() && fault.loses_answer();
            (loses, fault.answer_delay)
        };
        tokio::time::sleep(delay).await;
        if loses {
            self.stats.lock().lost_answers += 1;
            return drop_connection();
        }
        res
    }

    fn notify(&self) {
        self.changed.send_replace(self.state.lock().revision());
    }

    fn now(&self) -> Timestamp {
        Timestamp(0) + self.started.elapsed()
    }
}

fn lease_answer(header: ResponseHeader, id: u64, ttl: u64) -> Lease {
    Lease {
        header: Some(header),
        id: Int64(id),
        ttl: Int64(ttl),
    }
}

fn streamed(line: Bytes) -> Response {
    let mut res = Response::new(Body::Full(http_body_util::Full::new(line)));
    set_json(&mut res);
    res
}

fn set_json(res: &mut Response) {
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json);
}
