//! Outcome of submitting a request for admission.

use super::{AdmissionRefusal, Ticket};

/// Outcome of submitting a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The request may start now.
    Admitted(Ticket),
    /// The request is queued; a later change starts or refuses it.
    Queued(Ticket),
    /// The request was refused and was not run.
    Refused(AdmissionRefusal),
}
