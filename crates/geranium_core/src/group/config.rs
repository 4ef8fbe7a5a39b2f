//! Time limits of group control.

use std::time::Duration;

/// Age at which a report no longer holds a gate open.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(750);

/// Silence after which a member is taken for failed and replaced.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1_250);

/// Gap between two inputs after which the process takes itself to have paused.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// Time after which an order is sent again if no report shows its effect.
pub const ORDER_RESEND_INTERVAL: Duration = Duration::from_millis(1_000);

/// Age of the last confirmation of the table beyond which no order is sent.
///
/// It is above [`STORE_TIMEOUT`], so that a slow read still confirms the table.
pub const TABLE_CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(2_000);

/// Time after which a read or write without an outcome is settled by a new read.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that a dissolving group must have been idle before its hosts are released.
pub const DRAIN_IDLE_PERIOD: Duration = Duration::from_millis(2_000);

/// Longest time that a dissolving group may go on with running requests.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(900);

/// Time that a host whose engine ignores fencing rests between two groups.
pub const UNFENCED_COOLDOWN: Duration = Duration::from_secs(30);

/// Time after which a member that still loads, while another is done, is a straggler.
pub const STRAGGLER_LIMIT: Duration = Duration::from_secs(120);

/// Time over which missed reports are counted.
pub const STRAGGLER_WINDOW: Duration = Duration::from_secs(10);

/// Missed reports within the window that make a member a straggler.
pub const STRAGGLER_MISSES: usize = 12;

/// Hosts that load weights at the same time, which keeps to the weight store's rate.
pub const MAX_LOADING_HOSTS: usize = 16;

/// Time limits of group control.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupConfig {
    /// Age at which a report no longer holds a gate open.
    pub report_max_age: Duration,
    /// Silence after which a member is taken for failed and replaced.
    pub silence_limit: Duration,
    /// Gap between two inputs after which the process takes itself to have paused.
    pub pause_limit: Duration,
    /// Time after which an order is sent again if no report shows its effect.
    pub order_resend_interval: Duration,
    /// Age of the last confirmation of the table beyond which no order is sent.
    pub table_confirmation_max_age: Duration,
    /// Time after which a read or write without an outcome is settled by a new read.
    pub store_timeout: Duration,
    /// Time that a dissolving group must have been idle before its hosts are released.
    pub drain_idle_period: Duration,
    /// Longest time that a dissolving group may go on with running requests.
    pub drain_limit: Duration,
    /// Time that a host whose engine ignores fencing rests between two groups.
    pub unfenced_cooldown: Duration,
    /// Time after which a member that still loads, while another is done, is a straggler.
    pub straggler_limit: Duration,
    /// Time over which missed reports are counted.
    pub straggler_window: Duration,
    /// Missed reports within the window that make a member a straggler.
    pub straggler_misses: usize,
    /// Hosts that load weights at the same time, which keeps to the weight store's rate.
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
