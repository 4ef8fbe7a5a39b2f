//! The cold-start budget over several entry hosts, under faults.

mod credits;
mod fixture;
mod schedules;
