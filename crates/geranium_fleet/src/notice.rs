//! Notices that a backend server attaches to its answers.

use std::time::Duration;

/// Maximum pause that a backend server is granted. A request for a longer one is reduced to
/// this, so that a wrong value does not disable the backend server until its next restart.
pub const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Pause for a backend server that asks for one without a readable duration.
pub const DEFAULT_PAUSE: Duration = Duration::from_secs(1);

/// What a backend server announces about itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Whether the backend server is about to stop and takes no new work.
    pub leaving: bool,
    /// Time for which the backend server takes no new work from this entry host.
    pub pause: Option<Duration>,
    /// Limit on the requests that the backend server takes from all entry hosts together.
    pub limit: LimitNotice,
}

/// What an answer says of the limit on requests to its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// The answer names no limit.
    #[default]
    Unlimited,
    /// The server takes this number of requests per second.
    PerSecond(f64),
    /// The answer names a limit that is no valid number.
    Unreadable,
}

impl LimitNotice {
    /// Parses a number of requests per second; fractions are allowed.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_fleet::notice::LimitNotice;
    ///
    /// assert_eq!(LimitNotice::parse("2.5"), LimitNotice::PerSecond(2.5));
    /// assert_eq!(LimitNotice::parse("-1"), LimitNotice::Unreadable);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Self::PerSecond(rate),
            Ok(_) | Err(_) => Self::Unreadable,
        }
    }

    /// Returns the stricter of two notices of the same answer.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::PerSecond(a), Self::PerSecond(b)) => Self::PerSecond(a.min(b)),
            (limit @ Self::PerSecond(_), _) | (_, limit @ Self::PerSecond(_)) => limit,
            (Self::Unreadable, _) | (_, Self::Unreadable) => Self::Unreadable,
            (Self::Unlimited, Self::Unlimited) => Self::Unlimited,
        }
    }
}

/// Parses the pause that a backend server asked for when it refused a request, in seconds;
/// fractions are allowed.
///
/// Dates and other text that is no valid number of seconds count as [`DEFAULT_PAUSE`], as
/// the server did ask for a pause.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_fleet::notice::{DEFAULT_PAUSE, MAX_PAUSE, parse_pause};
///
/// assert_eq!(parse_pause("1.5"), Duration::from_millis(1_500));
/// assert_eq!(parse_pause("1e30"), MAX_PAUSE);
/// assert_eq!(parse_pause("soon"), DEFAULT_PAUSE);
/// ```
#[must_use]
pub fn parse_pause(text: &str) -> Duration {
    match text.trim().parse::<f64>() {
        Ok(seconds) if seconds >= 0.0 => {
            Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64()))
        }
        Ok(_) | Err(_) => DEFAULT_PAUSE,
    }
}
