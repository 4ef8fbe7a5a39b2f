//! Decisions of entry hosts in front of backend servers that register themselves.
//!
//! Nothing here reads a clock or a socket: the present time is an argument of
//! every function that decides. `geranium_entry` drives these types.
//!
//! | module | duty |
//! | --- | --- |
//! | [`deployment`] | one version of the operator's configuration |
//! | [`route_table`] | the route of a request by host and longest prefix |
//! | [`host`], [`directory`] | the backend servers and what they say of themselves |
//! | [`planner`] | which groups are formed, opened, dissolved, and by which orders |
//! | [`dispatch`] | the backend server that gets a request |
//! | [`exchange`] | which entry hosts tell which others |
//! | [`peer_load`] | the load that other entry hosts cause |
//! | [`attempts`] | what may follow a failed attempt |
//! | [`byte_budget`] | memory for answers that are not whole yet |
//! | [`notice`] | what a backend server says of itself in an answer |
//! | [`silence`] | groups that stopped answering while work waits there |
//! | [`rate_limiter`] | bounds that all entry hosts keep together |
//! | [`entry_host_view`] | what an entry host believes, for operators |
//! | [`demand`] | the work seen for each model |

pub mod attempts;
pub mod byte_budget;
pub mod crash;
pub mod demand;
pub mod deployment;
pub mod directory;
pub mod dispatch;
pub mod engine_profile;
pub mod entry_host_view;
pub mod exchange;
pub mod host;
pub mod notice;
pub mod order;
pub mod peer_load;
pub mod planner;
pub mod prelude;
pub mod rate_limiter;
pub mod route;
pub mod route_table;
pub mod service;
pub mod silence;
