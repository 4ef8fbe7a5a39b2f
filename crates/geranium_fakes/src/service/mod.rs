//! Stand-in for a plain service.
//!
//! It answers every method and path with what it was sent and counts its
//! executions by the `idempotency-key` header. It runs each call that it
//! receives, also a second one with the same key: whether calls are repeated is
//! for the test to see.
//!
//! What it leaves out: everything a real service does with a call, any check of
//! its input, and keeping answers by key.

mod config;
mod core;
mod fault;
mod server;

pub use config::ServiceConfig;
pub use fault::{ServiceFault, ServiceStats};
pub use server::FakeService;
