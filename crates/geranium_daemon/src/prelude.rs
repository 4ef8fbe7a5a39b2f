//! Types that most users of this crate need.

pub use crate::node::Node;
pub use crate::settings::{DaemonCommand, DaemonSettings};
pub use crate::startup::Daemon;
