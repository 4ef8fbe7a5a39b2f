//! The types that most users of this crate need.

pub use crate::dialect::{Dialect, HeaderNames};
pub use crate::fact::Fact;
pub use crate::log_writer::LogWriter;
pub use crate::node::{NodeError, run};
pub use crate::settings::{EntrySettings, SharedBounds};
