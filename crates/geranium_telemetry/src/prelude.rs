//! Commonly used types of this crate.

pub use crate::{
    Event, EventFilter, EventId, EventPage, EventRecorder, JsonLogger, ProcessIdentity,
};
