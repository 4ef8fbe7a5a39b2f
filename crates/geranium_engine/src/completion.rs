//! Request to run a completion on an engine.

use std::time::Duration;

use bytes::Bytes;
use geranium_core::id::{FencingNumber, GroupId, RequestId};

use crate::client::invalid_request;
use crate::{EngineError, Resume};

/// Header with the id of the request.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the id of the group that the request is addressed to.
pub const GROUP_HEADER: &str = "x-group-id";
/// Header with the fencing number under which the group serves.
pub const FENCING_HEADER: &str = "x-fencing";
/// Header with the priority, from 0 (lowest) to 9 (highest).
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the time that remains until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Request to run a completion on a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Group that the request is addressed to. An engine of any other group
    /// refuses it.
    pub group: GroupId,
    /// Fencing number under which the group serves.
    pub fencing: FencingNumber,
    /// Priority from 0 (lowest) to 9 (highest).
    pub priority: u8,
    /// Time that remains until the caller's deadline.
    pub remaining: Duration,
    /// JSON body as the caller sent it.
    pub body: Bytes,
    /// Position at which to resume, if another engine began the completion.
    pub resume: Option<Resume>,
}

impl CompletionRequest {
    /// Returns the caller's body, with the `resume` field added if it is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the `resume` field is to be added and the body is not a
    /// JSON object.
    pub fn body_with_resume(&self) -> Result<Bytes, EngineError> {
        let Some(resume) = &self.resume else {
            return Ok(self.body.clone());
        };
        let mut body: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(&self.body).map_err(|e| invalid_request(&e))?;
        let resume = serde_json::to_value(resume).map_err(|e| invalid_request(&e))?;
        body.insert("resume".to_owned(), resume);
        let body = serde_json::to_vec(&body).map_err(|e| invalid_request(&e))?;
        Ok(Bytes::from(body))
    }
}
