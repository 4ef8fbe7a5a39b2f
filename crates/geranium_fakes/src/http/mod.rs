//! Listeners whose connections can be made to fail.

mod answer;
mod gate;
mod listener;

pub use answer::{drop_connection, json, parse_json, read_fault};
pub use gate::{Gate, GateState};
pub use listener::FakeListener;
