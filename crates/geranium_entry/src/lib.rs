//! An entry host: a load-balancing proxy in front of self-registering backend servers.
//!
//! It forwards requests unmodified to backend servers, resumes event streams on
//! another group when one fails, and, as the elected manager, forms and repairs
//! groups. All state of the process is confined to a single thread; the decision logic
//! is in `geranium_fleet`. A [`Dialect`] translates the platform's names and formats.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `in_flight` | work that several tasks ask for and one does |
//! | `reach_check` | whether this entry host can reach the backend servers |
//! | [`dialect`], [`store_update`] | interface to the names and formats of a platform |
//! | [`settings`] | process settings |
//! | [`entry_host`], [`shutdown_schedule`] | startup and graceful shutdown |
//! | `relay` | handling of one request, from its headers to its response |
//! | `connections_in_use` | connections that the exit of the process would cut |
//! | `pool` | connection pool for backend servers |
//! | `store_watcher`, `peer_fallback` | store changes, received directly or from other entry hosts |
//! | [`change`], [`change_form`] | a change of the store as entry hosts exchange it |
//! | [`large_value`], [`value_patch`] | differences between versions of a large value |
//! | [`change_history`], `recent_changes`, `peer_changes` | recent store changes; server and client for passing them on |
//! | [`freshness`] | how far the local view is behind the store |
//! | `election`, `manager` | manager election, group planning and orders to hosts |
//! | `entry_registration` | registrations by which entry hosts discover each other |
//! | `store_restore` | returns of the store from an older copy of its data |
//! | `crash_probe`, `crash_record`, `crash_reports`, `crash_state` | which requests crash backend servers, found out, exchanged and refused |
//! | `server_notices` | what backend servers say of themselves |
//! | `peers` | UDP datagrams between entry hosts |
//! | `watchdog` | detection of unresponsive groups |
//! | `metrics`, `beliefs` | metrics, and a snapshot of the local state for operators |

mod beliefs;
pub mod change;
pub mod change_form;
pub mod change_history;
mod connections_in_use;
mod crash_probe;
mod crash_record;
mod crash_reports;
mod crash_state;
pub mod dialect;
mod election;
pub mod entry_host;
mod entry_registration;
pub mod freshness;
mod in_flight;
pub mod large_value;
mod log_writer;
mod manager;
mod metrics;
mod model_shares;
mod peer_changes;
mod peer_fallback;
mod peers;
mod pool;
pub mod prelude;
mod reach_check;
mod recent_changes;
mod relay;
mod running_attempts;
mod server;
mod server_notices;
pub mod settings;
pub mod shutdown_schedule;
pub mod sse;
mod state;
mod store_restore;
pub mod store_update;
mod store_watcher;
mod stored_record;
mod term;
pub mod value_patch;
mod watchdog;

pub use dialect::{Dialect, HeaderNames};
pub use entry_host::{EntryHostError, run};
pub use log_writer::LogWriter;
pub use metrics::ProcessCounters;
pub use settings::{EntrySettings, SharedBounds};
pub use store_update::StoreUpdate;
