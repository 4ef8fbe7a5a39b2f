//! Tests of membership and record replication on simulated entry hosts of several
//! failure domains.

mod cost_bounds;
mod figures;
mod fleet;
mod membership;
mod random_faults;
mod replication;
mod reports;
mod store;
