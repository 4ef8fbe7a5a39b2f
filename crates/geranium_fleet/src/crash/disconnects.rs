//! Requests whose backend server disconnected and may have crashed.

use std::time::Duration;

use geranium_core::time::Timestamp;

use super::{CrashCount, CrashId, CrashReport};

/// Time within which a backend server must be seen to have ended after it dropped a request;
/// a backend server that keeps running has not crashed.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(6);
/// Maximum number of requests that wait for a confirmation.
const MAX_DISCONNECTS: usize = 4_096;
/// Maximum number of requests in one report.
const MAX_REPORTED: usize = 64;

#[derive(Clone, Debug)]
struct Disconnect {
    from: CrashId,
    /// Counts of the request's subjects when it was sent.
    counts: Vec<CrashCount>,
    at: Timestamp,
}

/// Requests that were dropped by backend servers which are not known to have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Disconnects {
    waiting: Vec<Disconnect>,
}

impl Disconnects {
    /// Adds a request that a backend server dropped.
    pub(super) fn add(&mut self, from: CrashId, counts: Vec<CrashCount>, now: Timestamp) {
        self.waiting
            .retain(|d| now.since(d.at) < CONFIRMATION_WINDOW);
        if self.waiting.len() < MAX_DISCONNECTS {
            let at = now;
            self.waiting.push(Disconnect { from, counts, at });
        }
    }

    /// Takes out the requests that an incarnation dropped shortly before it ended, as a
    /// report in which the crash is counted; `None` if there are none.
    pub(super) fn confirm(&mut self, crash: &CrashId, now: Timestamp) -> Option<CrashReport> {
        let mut requests = Vec::new();
        self.waiting.retain_mut(|d| {
            if d.from != *crash {
                return true;
            }
            if now.since(d.at) < CONFIRMATION_WINDOW && requests.len() < MAX_REPORTED {
                for count in &mut d.counts {
                    count.crashes = count.crashes.saturating_add(1);
                }
                requests.push(std::mem::take(&mut d.counts));
            }
            false
        });
        (!requests.is_empty()).then(|| CrashReport {
            crash: crash.clone(),
            requests,
        })
    }
}
