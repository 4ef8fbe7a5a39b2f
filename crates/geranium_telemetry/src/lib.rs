//! Event recording, merging of events into one timeline, and JSON logging.

mod event;
mod event_filter;
mod explain;
mod json_logger;
mod json_logger_error;
mod process_clock;
mod recorder;
mod time_of_day;
mod timeline;

pub mod prelude;

pub use event::{Event, EventId};
pub use event_filter::EventFilter;
pub use explain::explain;
pub use json_logger::JsonLogger;
pub use json_logger_error::JsonLoggerError;
pub use process_clock::ProcessClock;
pub use recorder::{EventPage, EventRecorder, ProcessIdentity};
pub use time_of_day::time_of_day;
pub use timeline::merge_events;
