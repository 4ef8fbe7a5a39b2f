//! What the parts of one stream have in common.

use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Response, StatusCode};

/// Status and content type of a stream, which callers get from its first part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StreamFormat {
    status: StatusCode,
    /// Content type without parameters, in lower case.
    content_type: Option<String>,
}

impl StreamFormat {
    /// Returns the format of a response.
    pub(super) fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        let essence = content_type.and_then(|text| text.split(';').next());
        Self {
            status,
            content_type: essence.map(|text| text.trim().to_ascii_lowercase()),
        }
    }

    /// Returns whether a response can be a further part of the stream: a response of another
    /// kind would end it as if it were complete.
    pub(super) fn is_continued_by<B>(&self, res: &Response<B>) -> bool {
        let other = Self::new(res.status(), res.headers());
        let same_type = match (&self.content_type, &other.content_type) {
            (Some(own), Some(other)) => own == other,
            _ => true,
        };
        self.status == other.status && same_type
    }
}
