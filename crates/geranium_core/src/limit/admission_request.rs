//! A request submitted for admission.

use crate::id::AccountId;
use crate::time::Timestamp;

/// A request submitted for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Client account of the caller.
    pub account: &'a AccountId,
    /// Priority, higher first.
    pub priority: u8,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Timestamp,
}
