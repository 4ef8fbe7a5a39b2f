//! Simulated entry hosts of several failure domains: membership and distribution
//! of records.

mod figures;
mod fleet;
mod membership;
mod random_faults;
mod reports;
mod sizes;
mod spread;
mod store;
