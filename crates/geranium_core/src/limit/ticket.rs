//! Tickets of admitted and queued requests.

use std::time::Duration;

use super::AdmissionRefusal;
use crate::id::AccountId;
use crate::time::Timestamp;

/// Identifies a request within one [`Admission`](super::Admission).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A queued request that may start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedTicket {
    /// The request.
    pub ticket: Ticket,
    /// Its client account.
    pub account: AccountId,
    /// Its deadline, to be propagated with the request.
    pub deadline: Timestamp,
    /// Time that it spent in the queue.
    pub waited: Duration,
}

/// A queued request that was refused before it started; it was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedTicket {
    /// The request.
    pub ticket: Ticket,
    /// Its client account.
    pub account: AccountId,
    /// Why it was refused.
    pub refusal: AdmissionRefusal,
}
