//! How long a client waits for a response.

use std::time::Duration;

/// Time limits of a response.
///
/// A response that is under way is read on while parts of it arrive: how long it takes depends on
/// its size and on the link, and asking again would send the same bytes once more.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use geranium_net::ResponseTimeout;
///
/// let whole = ResponseTimeout::from(Duration::from_secs(1));
/// assert_eq!(whole.total, whole.head);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimeout {
    /// Time until the response starts.
    pub head: Duration,
    /// Time between two parts of the body.
    pub pause: Duration,
    /// Time until the response is complete.
    pub total: Duration,
}

impl From<Duration> for ResponseTimeout {
    /// Allows `total` for the whole response, however it is spread.
    fn from(total: Duration) -> Self {
        Self {
            head: total,
            pause: total,
            total,
        }
    }
}
