//! The entry host daemon.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`settings`] | validated settings |
//! | [`startup`] | startup and shutdown of the daemon |
//! | [`control`] | group control, leader election, watches of the platform's store |
//! | [`peers`] | membership, replication of records, commands between entry hosts |
//! | [`traffic`] | routing and limits |
//! | [`relay`] | relay of completions from replica groups to callers |
//! | [`claim`] | calls that must run at most once |
//! | [`caller`], [`operator`] | the two HTTP interfaces |
//! | [`node`] | state shared by the modules |
//! | [`process`] | entry point of the process `geraniumd` |

pub mod apply;
mod bearer;
pub mod caller;
pub mod changes;
pub mod claim;
pub mod control;
mod gauges;
mod health;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod peers;
pub mod prelude;
pub mod process;
pub mod relay;
pub mod settings;
pub mod startup;
pub mod startup_error;
pub mod traffic;
