//! Status codes that a response may have.

use hyper::StatusCode;

/// First number above all status codes of the protocol.
const STATUS_END: u16 = 600;

/// Returns whether a status code is one of the protocol's five classes. Parsers also let others
/// with three digits pass.
///
/// # Examples
///
/// ```
/// use geranium_net::is_protocol_status;
/// use hyper::StatusCode;
///
/// assert!(is_protocol_status(StatusCode::OK));
/// let odd = StatusCode::from_u16(600);
/// assert!(odd.is_ok_and(|s| !is_protocol_status(s)));
/// ```
#[must_use]
pub fn is_protocol_status(status: StatusCode) -> bool {
    status.as_u16() < STATUS_END
}
