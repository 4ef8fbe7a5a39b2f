//! The daemon as processes of its own, with stand-ins in this process.

mod claims;
mod control;
mod load;
mod operator_interface;
mod operators;
mod requests;

/// The daemon that these tests start.
const GERANIUMD: &str = env!("CARGO_BIN_EXE_geraniumd");
