//! Batching of claim writes into store transactions.

mod batcher;
mod config;
mod write;

pub use batcher::ClaimBatcher;
pub use config::BatchConfig;
pub use write::{Batch, BatchId, BatchOutcome, BatchWrite, WriteResult};
