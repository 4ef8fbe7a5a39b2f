//! System tests: they start `geraniumd` processes and fake the engines, the service and the
//! platform in the test process.

mod claims;
mod control;
mod load;
mod memory;
mod operator_interface;
mod operators;
mod requests;

/// Path of the daemon that these tests start.
const GERANIUMD: &str = env!("CARGO_BIN_EXE_geraniumd");
