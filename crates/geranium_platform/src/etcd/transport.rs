//! Endpoints, timeouts, rate limits and counts of calls.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use geranium_core::time::Timestamp;
use geranium_net::{ClientConfig, ClientError, HttpClient, HttpRequest};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::EtcdConfig;
use super::failure::{
    excerpt, is_certain_refusal, no_endpoint, read_failure, refusal, unreachable,
};
use crate::{StoreCallCounter, StoreCallKind, StoreCallResult, StoreError, TokenBucket};

/// Longest time to make a connection.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What a call is about, for errors and counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call<'a> {
    /// Kind of the call.
    pub kind: StoreCallKind,
    /// Path of the gateway.
    pub path: &'static str,
    /// Key or prefix that the call concerns.
    pub key: &'a str,
}

/// Sends calls to one of several endpoints.
#[derive(Debug)]
pub(super) struct Transport {
    http: HttpClient,
    cfg: EtcdConfig,
    counter: Arc<StoreCallCounter>,
    preferred: AtomicUsize,
    started: Instant,
    reads: Option<Mutex<TokenBucket>>,
    writes: Option<Mutex<TokenBucket>>,
}

impl Transport {
    /// Makes a transport.
    pub fn new(cfg: EtcdConfig, counter: Arc<StoreCallCounter>) -> Self {
        let attempt = attempt_timeout(&cfg);
        let http = HttpClient::new(&ClientConfig {
            connect_timeout: attempt.min(MAX_CONNECT_TIMEOUT),
            max_body: cfg.max_answer,
            ..ClientConfig::default()
        });
        let bucket =
            |rate: Option<u32>| rate.map(|n| Mutex::new(TokenBucket::new(n, Timestamp(0))));
        Self {
            http,
            counter,
            preferred: AtomicUsize::new(0),
            started: Instant::now(),
            reads: bucket(cfg.max_reads_per_second),
            writes: bucket(cfg.max_writes_per_second),
            cfg,
        }
    }

    /// Returns the settings.
    pub fn cfg(&self) -> &EtcdConfig {
        &self.cfg
    }

    /// Sends a read, which any endpoint may answer.
    pub async fn read<T: DeserializeOwned>(
        &self,
        call: Call<'_>,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        self.take(call, self.reads.as_ref())?;
        let body = render(call, body)?;
        let mut last = no_endpoint();
        for address in self.endpoints() {
            let outcome = self.read_once(call, address, body.clone()).await;
            self.counter.count(call.kind, StoreCallResult::of(&outcome));
            match outcome {
                Err(e @ StoreError::Unreachable(..)) => last = e,
                outcome => {
                    self.prefer(address);
                    return outcome;
                }
            }
        }
        Err(last)
    }

    /// Sends a write, which goes to another endpoint only if it was not sent.
    pub async fn write<T: DeserializeOwned>(
        &self,
        call: Call<'_>,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        self.take(call, self.writes.as_ref())?;
        let body = render(call, body)?;
        let mut last = no_endpoint();
        for address in self.endpoints() {
            let outcome = self.write_once(call, address, body.clone()).await;
            self.counter.count(call.kind, StoreCallResult::of(&outcome));
            match outcome {
                Err(e @ StoreError::Unreachable(..)) => last = e,
                Err(e @ StoreError::Ambiguous(..)) => {
                    self.avoid(address);
                    return Err(e);
                }
                outcome => {
                    self.prefer(address);
                    return outcome;
                }
            }
        }
        Err(last)
    }

    /// Opens a stream of answers; the caller counts it by [`Transport::count`].
    pub async fn open(
        &self,
        call: Call<'_>,
        body: &impl Serialize,
    ) -> Result<(SocketAddr, Response<Incoming>), StoreError> {
        self.take(call, self.reads.as_ref())?;
        let body = render(call, body)?;
        let mut last = no_endpoint();
        for address in self.endpoints() {
            let req = request(address, call.path, body.clone());
            match self.http.send(req, attempt_timeout(&self.cfg)).await {
                Ok(res) if !res.status().is_server_error() => {
                    self.prefer(address);
                    return Ok((address, res));
                }
                Ok(res) => last = unreachable(address, format!("status {}", res.status())),
                Err(e) => last = unreachable(address, e.to_string()),
            }
            self.count(call.kind, StoreCallResult::Unreachable);
        }
        Err(last)
    }

    /// Counts a call that this transport does not count itself.
    pub fn count(&self, kind: StoreCallKind, result: StoreCallResult) {
        self.counter.count(kind, result);
    }

    async fn read_once<T: DeserializeOwned>(
        &self,
        call: Call<'_>,
        address: SocketAddr,
        body: Bytes,
    ) -> Result<T, StoreError> {
        let (status, answer) = self
            .exchange(call, address, body)
            .await
            .map_err(|e| read_failure(call, address, &e))?;
        if status.is_server_error() {
            let detail = format!("status {status}: {}", excerpt(&answer));
            return Err(unreachable(address, detail));
        }
        if !status.is_success() {
            return Err(refusal(call, status, &answer));
        }
        serde_json::from_slice(&answer)
            .map_err(|e| StoreError::Malformed(call.key.to_owned(), e.to_string()))
    }

    async fn write_once<T: DeserializeOwned>(
        &self,
        call: Call<'_>,
        address: SocketAddr,
        body: Bytes,
    ) -> Result<T, StoreError> {
        let ambiguous = |detail: String| StoreError::Ambiguous(call.key.to_owned(), detail);
        let (status, answer) = match self.exchange(call, address, body).await {
            Ok(answer) => answer,
            Err(e) if e.is_not_sent() => return Err(unreachable(address, e.to_string())),
            Err(e) => return Err(ambiguous(e.to_string())),
        };
        if is_certain_refusal(status) {
            return Err(refusal(call, status, &answer));
        }
        if !status.is_success() {
            return Err(ambiguous(format!("status {status}: {}", excerpt(&answer))));
        }
        serde_json::from_slice(&answer).map_err(|e| ambiguous(format!("malformed answer: {e}")))
    }

    async fn exchange(
        &self,
        call: Call<'_>,
        address: SocketAddr,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let req = request(address, call.path, body);
        self.http
            .send_buffered(req, attempt_timeout(&self.cfg))
            .await
    }

    fn endpoints(&self) -> impl Iterator<Item = SocketAddr> + use<> {
        let start = self.preferred.load(Ordering::Relaxed);
        let endpoints = self.cfg.endpoints.clone();
        let n = endpoints.len();
        (0..n).map(move |i| endpoints[(start + i) % n])
    }

    fn prefer(&self, address: SocketAddr) {
        if let Some(i) = self.position(address) {
            self.preferred.store(i, Ordering::Relaxed);
        }
    }

    fn avoid(&self, address: SocketAddr) {
        if let Some(i) = self.position(address) {
            let next = (i + 1) % self.cfg.endpoints.len();
            self.preferred.store(next, Ordering::Relaxed);
        }
    }

    fn position(&self, address: SocketAddr) -> Option<usize> {
        self.cfg.endpoints.iter().position(|a| *a == address)
    }

    fn take(&self, call: Call<'_>, bucket: Option<&Mutex<TokenBucket>>) -> Result<(), StoreError> {
        let Some(bucket) = bucket else {
            return Ok(());
        };
        let micros = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        // A bucket is valid after each step, so a panic elsewhere leaves it usable.
        let mut bucket = bucket.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.try_take(Timestamp(micros)).map_err(|after| {
            self.count(call.kind, StoreCallResult::RateLimited);
            StoreError::RateLimited(call.key.to_owned(), after)
        })
    }
}

/// Shares the time of a call among the endpoints, so that one that hangs leaves
/// time for the next.
fn attempt_timeout(cfg: &EtcdConfig) -> Duration {
    let endpoints = u32::try_from(cfg.endpoints.len().max(1)).unwrap_or(u32::MAX);
    cfg.call_timeout / endpoints
}

fn render(call: Call<'_>, body: &impl Serialize) -> Result<Bytes, StoreError> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|e| StoreError::Malformed(call.key.to_owned(), e.to_string()))
}

fn request(address: SocketAddr, path: &'static str, body: Bytes) -> HttpRequest {
    let json = hyper::header::HeaderValue::from_static("application/json");
    HttpRequest::post(address, path)
        .header(hyper::header::CONTENT_TYPE, json)
        .body(body)
}
