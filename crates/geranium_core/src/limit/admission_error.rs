//! Refusals of admission.

use std::time::Duration;

use quick_error::quick_error;

use crate::id::AccountId;

quick_error! {
    /// Why a request was refused before it started. The request was not run.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AdmissionRefusal {
        /// No record lets the client account use the model.
        UnknownAccount(account: AccountId) {
            display("client account {:?} has no share of the model", account.as_str())
        }
        /// The deadline passed before the request could start.
        DeadlinePassed(account: AccountId) {
            display("the deadline of a request of client account {:?} passed", account.as_str())
        }
        /// The wait in the queue would pass the deadline.
        Overloaded(account: AccountId, wait: Duration, retry_after: Duration) {
            display(
                "the queue of client account {:?} takes {} ms, longer than the deadline allows",
                account.as_str(), wait.as_millis()
            )
        }
        /// The queue holds as many requests as it may.
        QueueFull(account: AccountId, retry_after: Duration) {
            display("the queue of client account {:?} is full", account.as_str())
        }
        /// No group can take requests of the model.
        NoCapacity(account: AccountId, retry_after: Duration) {
            display("no group can take requests of client account {:?}", account.as_str())
        }
    }
}

impl AdmissionRefusal {
    /// Returns the time after which another try may succeed, where there is one.
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
