//! Reasons for which admission refuses a request.

use std::time::Duration;

use quick_error::quick_error;

use crate::id::AccountId;

quick_error! {
    /// Reason for refusing a request before it started. The request was not run.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AdmissionRefusal {
        /// No record grants the client account access to the model.
        UnknownAccount(account: AccountId) {
            display("client account {:?} has no share of the model", account.as_str())
        }
        /// The deadline passed before the request could start.
        DeadlinePassed(account: AccountId) {
            display(
                "deadline of a request of client account {:?} passed before it could start",
                account.as_str()
            )
        }
        /// The request would wait in the queue past its deadline.
        Overloaded(account: AccountId, wait: Duration, retry_after: Duration) {
            display(
                "request of client account {:?} would wait {} ms, longer than its deadline allows",
                account.as_str(), wait.as_millis()
            )
        }
        /// The queue is at its maximum length.
        QueueFull(account: AccountId, retry_after: Duration) {
            display("the queue of client account {:?} is full", account.as_str())
        }
        /// No group can accept requests for the model.
        NoCapacity(account: AccountId, retry_after: Duration) {
            display("no group can accept requests of client account {:?}", account.as_str())
        }
    }
}

impl AdmissionRefusal {
    /// Returns the delay after which a retry may succeed, if any.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::UnknownAccount(_) | Self::DeadlinePassed(_) => None,
            Self::Overloaded(_, _, retry_after)
            | Self::QueueFull(_, retry_after)
            | Self::NoCapacity(_, retry_after) => Some(*retry_after),
        }
    }
}
