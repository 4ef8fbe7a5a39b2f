//! When a caller should come back after a refusal.

use std::time::Duration;

use geranium_core::time::Timestamp;
use geranium_fleet::dispatch::NoHost;

use super::refusal::RefusalReason;

/// `Retry-After` while this process is shutting down; the caller gets another entry host.
const RETRY_AFTER_SHUTDOWN: Duration = Duration::from_millis(10);
/// `Retry-After` while no backend server can take the request, for example because a group
/// is being formed.
const RETRY_AFTER_NO_GROUP: Duration = Duration::from_millis(1_200);
/// `Retry-After` while all backend servers are at capacity.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(500);
/// `Retry-After` while this entry host can reach no backend server; the caller gets another
/// entry host.
const RETRY_AFTER_CUT_OFF: Duration = Duration::from_millis(100);
/// `Retry-After` while a trial of another request with the same refused prompt part runs.
pub(super) const RETRY_AFTER_TRIAL: Duration = Duration::from_secs(3);
/// `Retry-After` while a newer configuration may be in force elsewhere; the caller gets another
/// entry host.
const RETRY_AFTER_OUTDATED: Duration = Duration::from_millis(500);
/// `Retry-After` while no configuration is known.
const RETRY_AFTER_NO_CONFIGURATION: Duration = Duration::from_millis(1_000);

impl RefusalReason {
    /// Returns the time after which a retry by the caller may succeed, if ever.
    pub(super) fn retry_after(self, now: Timestamp) -> Option<Duration> {
        match self {
            Self::NoHost(why) => Some(retry_after_no_host(why, now)),
            Self::NoCapacity(_) => Some(RETRY_AFTER_FULL),
            Self::Leaving => Some(RETRY_AFTER_SHUTDOWN),
            Self::CrashesServers(retry_after) => Some(retry_after),
            Self::OutdatedConfiguration => Some(RETRY_AFTER_OUTDATED),
            Self::NoConfiguration => Some(RETRY_AFTER_NO_CONFIGURATION),
            _ => None,
        }
    }
}

/// Returns the time after which a backend server may be available.
fn retry_after_no_host(why: NoHost, now: Timestamp) -> Duration {
    match why {
        NoHost::None | NoHost::AllTried => RETRY_AFTER_NO_GROUP,
        NoHost::Paused(until) => until.since(now),
        NoHost::CutOff => RETRY_AFTER_CUT_OFF,
        NoHost::AtColdLimit | NoHost::AtServerLimit | NoHost::Full => RETRY_AFTER_FULL,
    }
}
