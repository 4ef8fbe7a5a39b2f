//! Entry hosts of several failure domains: membership and spread of records.

mod figures;
mod fleet;
mod membership;
mod random_faults;
mod reports;
mod sizes;
mod spread;
mod store;
