//! Events that explain decisions.
//!
//! A decision that changes the service returns an [`EventDraft`]; the driver adds
//! the time, the host and its incarnation.

mod draft;
mod kind;
mod outbox;
mod subject;

pub use draft::EventDraft;
pub use kind::EventKind;
pub use outbox::EventOutbox;
pub use subject::EventSubject;
