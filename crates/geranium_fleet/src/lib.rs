//! Decision logic of the entry hosts in front of self-registering backend servers.
//!
//! This crate reads no clock and no socket: every function that decides takes the current
//! time as an argument. `geranium_entry` drives these types.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`deployment`] | one version of the operator's configuration |
//! | [`route_table`] | lookup of a request's route by host and longest prefix |
//! | [`host`], [`hidden_work`], [`directory`] | the backend servers and the state that they report |
//! | [`planner`] | forming, opening and dissolving groups, and the orders for it |
//! | [`dispatch`] | selection of the backend server for a request |
//! | [`first_token`] | the time to the first token at a group, by its load |
//! | [`first_token_delay`] | the part of that time that does not depend on the load |
//! | [`admission`] | at which load a group is full for a request, by priority and account |
//! | [`exchange`] | which entry hosts report to which others |
//! | [`candidacy`] | when an entry host stands for the role of the manager |
//! | [`peer_load`] | the load caused by other entry hosts |
//! | [`attempts`] | whether a failed attempt may be retried |
//! | [`notice`] | what a backend server announces about itself in an answer |
//! | [`reach`] | whether this entry host can reach the backend servers |
//! | [`forward_targets`] | which entry host takes over the requests of one that cannot |
//! | [`server_limit`] | limits on requests that backend servers name |
//! | [`crash`] | requests and prompt parts that crash backend servers |
//! | [`prompt_parts`] | the parts that prompts of different requests share |
//! | [`silence`] | detection of groups that stopped answering while work waits there |
//! | [`rate_limiter`] | limits shared by all entry hosts |
//! | [`room`] | the room at the groups of a model as shown to operators |
//! | [`entry_host_view`] | the state of an entry host as shown to operators |
//! | [`demand`] | the observed work of each model |
//! | [`capacity`] | the shares of the models, by the demand over all entry hosts |

pub mod admission;
pub mod attempts;
pub mod candidacy;
pub mod capacity;
pub mod crash;
mod decay;
pub mod demand;
pub mod deployment;
pub mod directory;
pub mod dispatch;
pub mod engine_profile;
pub mod entry_host_view;
pub mod evidence;
pub mod exchange;
pub mod first_token;
pub mod first_token_delay;
pub mod forward_targets;
pub mod hidden_work;
pub mod host;
pub mod known_group;
pub mod notice;
pub mod order;
pub mod peer_load;
pub mod planner;
pub mod prelude;
pub mod prompt_parts;
pub mod rate_limiter;
pub mod reach;
pub mod report_effect;
pub mod room;
pub mod route;
pub mod route_table;
pub mod server_limit;
pub mod service;
pub mod silence;
