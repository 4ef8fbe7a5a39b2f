//! Client of etcd's JSON gateway.
//!
//! | module | duty |
//! | --- | --- |
//! | [`wire`] | JSON messages of the gateway |
//! | `config` | settings of the client |
//! | `client` | the calls of [`KvStore`](crate::KvStore) |
//! | `transport` | endpoints, timeouts, rate limits and counts |
//! | `failure` | what failed calls and refusals mean |
//! | `watch` | the stream of a watch |

mod client;
mod config;
mod failure;
mod transport;
mod watch;
pub mod wire;

pub use client::EtcdClient;
pub use config::EtcdConfig;
