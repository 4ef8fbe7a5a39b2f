//! Timeouts and limits of replica group control.

use std::time::Duration;

/// Maximum age of an engine report that keeps a gate open.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(750);

/// Time without a report after which a member is considered failed and is replaced.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1_250);

/// Gap between two inputs after which the process assumes that it was paused.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// Interval at which an order is resent until a report shows its effect.
pub const ORDER_RESEND_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum age of the last confirmation of the table for orders to be sent.
///
/// It exceeds [`STORE_TIMEOUT`], so that a slow read still confirms the table.
pub const TABLE_CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(2_000);

/// Timeout of a read or write of the table, after which the table is read again.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a dissolving group must be idle before its hosts are released.
pub const DRAIN_IDLE_PERIOD: Duration = Duration::from_millis(2_000);

/// Maximum time that a dissolving group may keep serving its running requests.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(900);

/// Time for which a host whose engine ignores fencing stays unused between two groups.
pub const UNFENCED_COOLDOWN: Duration = Duration::from_secs(30);

/// Time after which a member still loading, while another member is ready, is a straggler.
pub const STRAGGLER_LIMIT: Duration = Duration::from_secs(120);

/// Sliding window over which missed reports are counted.
pub const STRAGGLER_WINDOW: Duration = Duration::from_secs(10);

/// Number of missed reports within the window that makes a member a straggler.
pub const STRAGGLER_MISSES: usize = 12;

/// Maximum number of hosts that load weights concurrently, to stay within the throughput
/// of the weight store.
pub const MAX_LOADING_HOSTS: usize = 16;

/// Timeouts and limits of replica group control.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupConfig {
    /// Maximum age of an engine report that keeps a gate open.
    pub report_max_age: Duration,
    /// Time without a report after which a member is considered failed and is replaced.
    pub silence_limit: Duration,
    /// Gap between two inputs after which the process assumes that it was paused.
    pub pause_limit: Duration,
    /// Interval at which an order is resent until a report shows its effect.
    pub order_resend_interval: Duration,
    /// Maximum age of the last confirmation of the table for orders to be sent.
    pub table_confirmation_max_age: Duration,
    /// Timeout of a read or write of the table, after which the table is read again.
    pub store_timeout: Duration,
    /// Time for which a dissolving group must be idle before its hosts are released.
    pub drain_idle_period: Duration,
    /// Maximum time that a dissolving group may keep serving its running requests.
    pub drain_limit: Duration,
    /// Time for which a host whose engine ignores fencing stays unused between two groups.
    pub unfenced_cooldown: Duration,
    /// Time after which a member still loading, while another member is ready, is a straggler.
    pub straggler_limit: Duration,
    /// Sliding window over which missed reports are counted.
    pub straggler_window: Duration,
    /// Number of missed reports within the window that makes a member a straggler.
    pub straggler_misses: usize,
    /// Maximum number of hosts that load weights concurrently, to stay within the throughput
    /// of the weight store.
    pub max_loading_hosts: usize,
}

impl Default for GroupConfig {
    fn default() -> Self {
        Self {
            report_max_age: REPORT_MAX_AGE,
            silence_limit: SILENCE_LIMIT,
            pause_limit: PAUSE_LIMIT,
            order_resend_interval: ORDER_RESEND_INTERVAL,
            table_confirmation_max_age: TABLE_CONFIRMATION_MAX_AGE,
            store_timeout: STORE_TIMEOUT,
            drain_idle_period: DRAIN_IDLE_PERIOD,
            drain_limit: DRAIN_LIMIT,
            unfenced_cooldown: UNFENCED_COOLDOWN,
            straggler_limit: STRAGGLER_LIMIT,
            straggler_window: STRAGGLER_WINDOW,
            straggler_misses: STRAGGLER_MISSES,
            max_loading_hosts: MAX_LOADING_HOSTS,
        }
    }
}
