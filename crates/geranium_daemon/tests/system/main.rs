//! The daemon as processes of its own, with stand-ins in this process.

mod claims;
mod control;
mod entry;
mod operators;
mod requests;
mod system;
mod wait;
