//! Queued requests that a change starts or refuses.

use super::{AdmissionRefusal, RefusedTicket, StartedTicket, Ticket};
use crate::id::AccountId;

/// Queued requests that may start or were refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionChange {
    /// Requests that may start now.
    pub started: Vec<StartedTicket>,
    /// Requests that were refused and not run.
    pub refused: Vec<RefusedTicket>,
}

impl AdmissionChange {
    /// Adds a queued request that was refused.
    pub(super) fn refuse(
        &mut self,
        ticket: Ticket,
        account: &AccountId,
        refusal: AdmissionRefusal,
    ) {
        self.refused.push(RefusedTicket {
            ticket,
            account: account.clone(),
            refusal,
        });
    }
}
