//! How responses show where their bodies end.

use hyper::Response;
use hyper::body::Body;
use hyper::header::{HeaderMap, TRANSFER_ENCODING};

/// How a response shows where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length or by chunks, or it cannot have a body.
    Explicit,
    /// By the end of its connection.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of a response whose body was not read yet.
    #[must_use]
    pub fn of<B: Body>(res: &Response<B>) -> Self {
        let has_length = res.body().size_hint().exact().is_some();
        if has_length || is_chunked(res.headers()) {
            Self::Explicit
        } else {
            Self::Connection
        }
    }
}

/// Returns whether the last transfer coding is chunked; with any other, the body ends with its
/// connection (RFC 9112, section 6.3).
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let coding = codings.rsplit(',').next().unwrap_or_default();
    coding.trim().eq_ignore_ascii_case("chunked")
}
