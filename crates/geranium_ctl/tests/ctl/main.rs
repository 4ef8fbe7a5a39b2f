//! The tool as a process, alone and against a small system.

mod fixture;
mod offline;
mod records;
mod views;
