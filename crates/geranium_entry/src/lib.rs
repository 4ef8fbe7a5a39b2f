//! An entry host in front of backend servers that register themselves.
//!
//! It relays requests unchanged to backend servers, resumes event streams on
//! another group when one dies, and, as the elected manager, forms and repairs
//! groups. All state of a process lives in one thread; every decision is made in
//! `geranium_fleet`. A [`Dialect`] translates names and formats of the platform.
//!
//! | module | duty |
//! | --- | --- |
//! | [`dialect`], [`store_update`] | the interface to a platform's names and formats |
//! | [`settings`] | settings of the process |
//! | [`entry_host`] | starts and stops everything |
//! | `relay` | one request from its head to its answer |
//! | `pool` | connections to backend servers |
//! | `store_watcher`, `peer_fallback` | what the store says, from itself or from other entry hosts |
//! | `recent_changes`, `peer_changes` | changes kept for others, and asked of others |
//! | `election`, `manager` | who manages the groups, and the orders to hosts |
//! | `peers` | datagrams between entry hosts |
//! | `watchdog` | silent groups |
//! | `metrics`, `beliefs` | what the process counts, and what it believes |

mod beliefs;
mod crash_reports;
pub mod dialect;
mod election;
pub mod entry_host;
mod log_writer;
mod manager;
mod metrics;
mod peer_changes;
mod peer_fallback;
mod peers;
mod pool;
pub mod prelude;
mod recent_changes;
mod relay;
mod running_attempts;
mod server;
pub mod settings;
pub mod sse;
mod state;
pub mod store_update;
mod store_watcher;
mod watchdog;

pub use dialect::{Dialect, HeaderNames};
pub use entry_host::{EntryHostError, run};
pub use log_writer::LogWriter;
pub use metrics::ProcessCounters;
pub use settings::{EntrySettings, SharedBounds};
pub use store_update::StoreUpdate;
