//! Tests that run the tool as a process, alone and against a small system.

mod fixture;
mod offline;
mod outages;
mod records;
mod running_tool;
mod views;
