//! What a backend server says of itself in an answer, beside the answer.

use std::time::Duration;

/// Longest pause that a backend server is granted. One that asks for more gets this much,
/// so that a wrong value does not put it out of use until it starts anew.
pub const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Pause of a backend server that asks for one without a time that can be read.
pub const DEFAULT_PAUSE: Duration = Duration::from_secs(1);

/// What a backend server says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether it is about to end and takes nothing more.
    pub leaving: bool,
    /// Time for which it takes nothing more from this entry host.
    pub pause: Option<Duration>,
}

/// Reads the time for which a backend server that refused a request wants nothing more:
/// seconds, also fractions.
///
/// A date and other text that is no number of seconds count as [`DEFAULT_PAUSE`], as the
/// server did ask for a pause.
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
