//! Stand-in for a model engine on one host.
//!
//! It speaks the protocol of `docs/engine-protocol.md`: reports, orders with
//! fencing numbers that are checked or ignored, streamed and whole completions,
//! resume, cancel, priorities, cache events, and export and import of KV cache.
//! It loads for a set time, is cold until it has finished some requests, falls
//! over when a cold engine gets too much, and loses everything when it does.
//! Rank 0 of a replica watches the other members and ends when one is missing.
//!
//! What it leaves out: tokens are a function of weights, version, prompt and
//! position, with no model, tokenizer or sampling behind them; adapters change
//! nothing; members exchange no tensors, only the state that the watch needs;
//! there is no weight store, so loading takes the same time however many
//! engines load; KV cache is a set of block hashes with a limit, and its export
//! holds only these; the time per token grows in proportion to the load over a
//! limit; of the request body only model, messages, number of tokens, stream and
//! resume are read.
//!
//! | module | duty |
//! | --- | --- |
//! | `assignment` | what the engine follows, with the present time as an argument |
//! | `slots` | the queue of requests by priority |
//! | `load` | load figures that lag |
//! | `cache` | prefix cache and its events |
//! | `members` | the watch of rank 0 over the other members |
//! | `refusal` | what is refused, and how |
//! | `registry` | the completions that wait or run |
//! | `session` | one completion |
//! | `output` | its answer, streamed or whole |
//! | `render` | the JSON of chunks and answers |
//! | `text` | the tokens |
//! | `core` | what the calls share |
//! | `handler` | the calls |
//! | `condition` | state that faults change directly |
//! | `fault` | what can be made to fail, and the counts |
//! | `server` | the running stand-in |

mod assignment;
mod cache;
mod condition;
mod config;
mod core;
mod fault;
mod handler;
mod load;
mod members;
mod output;
mod refusal;
mod registry;
mod render;
mod server;
mod session;
mod slots;
mod text;

pub use assignment::{EngineState, OrderRefusal};
pub use cache::PrefixCache;
pub use config::EngineConfig;
pub use fault::{EngineFault, EngineStats};
pub use server::FakeEngine;
pub use slots::{SlotGuard, SlotQueue};
pub use text::expected_text;
