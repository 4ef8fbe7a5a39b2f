//! Tests of the cold-start budget across entry hosts, also under faults.

mod credits;
mod fixture;
mod schedules;
