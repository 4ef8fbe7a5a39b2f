//! The entry host daemon.
//!
//! | module | duty |
//! | --- | --- |
//! | [`settings`] | checked settings |
//! | [`startup`] | puts the parts together |
//! | [`control`] | group control, leadership, mirrors of the platform's store |
//! | [`peers`] | membership, spread of records, commands between entry hosts |
//! | [`traffic`] | routing and limits |
//! | [`relay`] | completions from replica groups to callers |
//! | [`claim`] | calls that must not repeat |
//! | [`caller`], [`operator`] | the two HTTP interfaces |
//! | [`node`] | what the parts share |
//! | [`process`] | the process `geraniumd` |

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
