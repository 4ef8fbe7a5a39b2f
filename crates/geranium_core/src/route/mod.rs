//! Choice of a replica group for a request.
//!
//! A [`Router`] filters the groups that can serve a request by account, drains,
//! health, saturation, cold credits and locality. A [`RoutePolicy`] picks one of
//! the remaining groups. Prefix affinity is based on a bounded [`PrefixIndex`].
//! Load is based on reports, which are delayed and are therefore corrected by the
//! requests that this host has started and finished since.

mod block;
mod cache_event;
mod candidate;
mod candidate_set;
mod choice;
mod cold_credits;
mod dispatch;
mod eligibility;
mod entry_host;
mod error;
mod group_set;
mod group_table;
mod latency;
mod least_in_flight;
mod least_wait;
mod own_load;
mod policy;
mod prefix_index;
mod query;
mod random_two;
mod round_robin;
mod router;
mod selection;
mod settings;
mod slot;

pub use block::{BlockHash, block_hashes};
pub use cache_event::{CacheChange, CacheEvent};
pub use candidate::Candidate;
pub use choice::{RouteChoice, RoutePath};
pub use cold_credits::{ColdCredits, NoColdCredits};
pub use dispatch::Dispatch;
pub use entry_host::EntryHost;
pub use error::RouteRefusal;
pub use latency::LatencyVerdict;
pub use least_in_flight::LeastInFlight;
pub use least_wait::LeastWait;
pub use policy::RoutePolicy;
pub use prefix_index::PrefixIndex;
pub use query::RouteQuery;
pub use random_two::RandomTwoChoices;
pub use round_robin::RoundRobin;
pub use router::Router;
pub use settings::RouterSettings;
