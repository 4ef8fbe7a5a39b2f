//! Entry hosts of several failure domains: membership and spread of records.

mod figures;
mod fleet;
mod heal;
mod membership;
mod reports;
mod sizes;
mod spread;
mod store;
