//! The types that most users of this crate need.

pub use crate::{
    Event, EventFilter, EventId, EventPage, EventRecorder, JsonLogger, ProcessIdentity,
};
