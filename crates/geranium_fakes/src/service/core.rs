//! What the calls share.

use std::time::Duration;

use bytes::Bytes;
use geranium_net::read_body;
use hyper::StatusCode;
use parking_lot::Mutex;
use serde::Serialize;
use viz::{IntoResponse, Request, RequestExt, Response};

use super::{ServiceFault, ServiceStats};
use crate::http::{Gate, drop_connection, json};

/// Header that names one call over all its attempts.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Largest body of a call, in bytes.
const MAX_BODY: usize = 64 << 20;

#[derive(Serialize)]
struct Echo<'a> {
    method: &'a str,
    path: &'a str,
    idempotency_key: Option<&'a str>,
    /// Executions with this key, or of the whole service without one.
    execution: u64,
    body: std::borrow::Cow<'a, str>,
}

/// One service.
pub(super) struct ServiceCore {
    gate: Gate,
    fault: Mutex<ServiceFault>,
    stats: Mutex<ServiceStats>,
}

impl ServiceCore {
    pub fn new(gate: Gate) -> Self {
        Self {
            gate,
            fault: Mutex::default(),
            stats: Mutex::default(),
        }
    }

    /// Executes a call and answers with what it was sent.
    pub async fn call(&self, mut req: Request) -> Response {
        self.stats.lock().received += 1;
        let body = match read_body(&mut req, MAX_BODY).await {
            Ok(body) => body,
            Err(e) => return e.into_response(),
        };
        let delay = self.fault.lock().delay_before_ms;
        tokio::time::sleep(Duration::from_millis(delay.unwrap_or(0))).await;
        if take(&mut self.fault.lock().drop_calls) {
            return drop_connection();
        }
        let res = self.execute(&req, &body);
        let delay = self.fault.lock().delay_after_ms;
        tokio::time::sleep(Duration::from_millis(delay.unwrap_or(0))).await;
        if take(&mut self.fault.lock().drop_answers) {
            return drop_connection();
        }
        res
    }

    /// Puts a fault into force.
    pub fn set_fault(&self, new: ServiceFault) {
        let connections = new.connections;
        let mut fault = self.fault.lock();
        let old = std::mem::take(&mut *fault);
        *fault = ServiceFault {
            connections: None,
            delay_before_ms: new.delay_before_ms.or(old.delay_before_ms),
            delay_after_ms: new.delay_after_ms.or(old.delay_after_ms),
            drop_calls: new.drop_calls.or(old.drop_calls),
            drop_answers: new.drop_answers.or(old.drop_answers),
            status: new.status.or(old.status),
        };
        drop(fault);
        if let Some(connections) = connections {
            self.gate.set(connections);
        }
    }

    /// Returns the counts.
    pub fn stats(&self) -> ServiceStats {
        self.stats.lock().clone()
    }

    fn execute(&self, req: &Request, body: &Bytes) -> Response {
        let key: Option<String> = req.header(IDEMPOTENCY_KEY);
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        let echo = Echo {
            method: req.method().as_str(),
            path,
            idempotency_key: key.as_deref(),
            execution: self.count(key.as_deref(), req.method().as_str(), req.path()),
            body: String::from_utf8_lossy(body),
        };
        let status = self.fault.lock().status.unwrap_or_default();
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
        json(status, &echo)
    }

    fn count(&self, key: Option<&str>, method: &str, path: &str) -> u64 {
        let mut stats = self.stats.lock();
        stats.executed += 1;
        *stats.routes.entry(format!("{method} {path}")).or_default() += 1;
        let Some(key) = key else {
            return stats.executed;
        };
        let executions = stats.executions.entry(key.to_owned()).or_default();
        *executions += 1;
        *executions
    }
}

/// Takes one from a number of faults that are left.
fn take(left: &mut Option<u32>) -> bool {
    match left {
        Some(n) if *n > 0 => {
            *n -= 1;
            true
        }
        _ => false,
    }
}
