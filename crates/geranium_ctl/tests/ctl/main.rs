//! The tool as a process, alone and against a small system.

mod fixture;
mod following;
mod offline;
mod outages;
mod records;
mod views;
