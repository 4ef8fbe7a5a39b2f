//! Re-exports of the most commonly used types.

pub use crate::dialect::{Dialect, HeaderNames};
pub use crate::entry_host::{EntryHostError, run};
pub use crate::log_writer::LogWriter;
pub use crate::settings::{EntrySettings, SharedBounds};
pub use crate::store_update::StoreUpdate;
