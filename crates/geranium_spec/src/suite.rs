//! The checks that are run together.

use std::thread;

use crate::check::{CheckReport, Violation, check, find_violation};
use crate::claims::{ClaimBounds, ClaimModel};
use crate::config::{ConfigBounds, ConfigModel};
use crate::gate::{GateBounds, GateModel};
use crate::groups::{GroupBounds, GroupModel};
use crate::orders::{CountedBounds, CountedModel};
use crate::{Mutation, Protocol};

/// How far the states are enumerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Bounds that a debug build checks in seconds.
    Small,
    /// Bounds that a release build checks in minutes.
    Full,
}

/// Checks every protocol without a mutation.
///
/// # Panics
///
/// Panics if a check panicked.
#[must_use]
pub fn check_all(level: Level) -> Vec<CheckReport> {
    let claims = claim_bounds(level)
        .into_iter()
        .map(|bounds| thread::spawn(move || check(&ClaimModel::new(bounds, None))));
    let groups = group_bounds(level)
        .into_iter()
        .map(|bounds| thread::spawn(move || check(&GroupModel::new(bounds, None))));
    let gate = gate_bounds(level)
        .into_iter()
        .map(|bounds| thread::spawn(move || check(&GateModel::new(bounds, None))));
    let orders = counted_bounds(level)
        .into_iter()
        .map(|bounds| thread::spawn(move || check(&CountedModel::new(bounds, None))));
    let config = [ConfigBounds::racing(), ConfigBounds::restoring()]
        .map(|bounds| thread::spawn(move || check(&ConfigModel::new(bounds, None))));
    let protocols = claims.chain(groups).chain(gate).chain(orders);
    let checks: Vec<_> = protocols.chain(config).collect();
    let join = |check: thread::JoinHandle<CheckReport>| check.join().expect("no check panics");
    checks.into_iter().map(join).collect()
}

/// Returns the shortest trace to a violation with one guard removed.
#[must_use]
pub fn check_mutation(mutation: Mutation) -> Option<Violation> {
    match mutation.protocol() {
        Protocol::Claims => {
            let model = ClaimModel::new(ClaimBounds::lossy(), Some(mutation));
            find_violation(&model)
        }
        Protocol::Groups => {
            let model = GroupModel::new(group_bounds_for(mutation), Some(mutation));
            find_violation(&model)
        }
        Protocol::Configuration => {
            let bounds = match mutation {
                Mutation::PlanFromStoreAlone => ConfigBounds::restoring(),
                _ => ConfigBounds::racing(),
            };
            find_violation(&ConfigModel::new(bounds, Some(mutation)))
        }
        Protocol::CountedOrders => {
            let bounds = match mutation {
                Mutation::OrdersWithoutCount => CountedBounds::forming_again(),
                Mutation::EntryBesideCount | Mutation::EntryEndsGroup | Mutation::LaggingReport => {
                    CountedBounds::regrouping().with_one_manager().with_late(1)
                }
                _ => CountedBounds::regrouping(),
            };
            find_violation(&CountedModel::new(bounds, Some(mutation)))
        }
        Protocol::Gate => find_violation(&GateModel::new(GateBounds::small(), Some(mutation))),
    }
}

fn gate_bounds(level: Level) -> Vec<GateBounds> {
    match level {
        Level::Small => vec![GateBounds::small()],
        Level::Full => vec![GateBounds::replacing(), GateBounds::reordering()],
    }
}

fn counted_bounds(level: Level) -> Vec<CountedBounds> {
    match level {
        Level::Small => vec![
            CountedBounds::forming().with_orders(3),
            CountedBounds::forming_again(),
            CountedBounds::regrouping().with_one_manager().with_late(1),
            CountedBounds::restarting().with_one_manager(),
            CountedBounds::restarting()
                .with_one_manager()
                .with_orders(2)
                .with_late(1),
        ],
        Level::Full => vec![
            CountedBounds::forming(),
            CountedBounds::forming_again().with_late(1),
            CountedBounds::regrouping(),
            CountedBounds::regrouping().with_orders(3).with_late(1),
            CountedBounds::restarting(),
            CountedBounds::restarting().with_one_manager().with_late(1),
        ],
    }
}

fn claim_bounds(level: Level) -> Vec<ClaimBounds> {
    match level {
        Level::Small => vec![ClaimBounds::lossy_prefix(), ClaimBounds::reused_key()],
        Level::Full => vec![
            ClaimBounds::every_fault(),
            ClaimBounds::two_resends(),
            ClaimBounds::lossy(),
            ClaimBounds::reused_key(),
        ],
    }
}

fn group_bounds(level: Level) -> Vec<GroupBounds> {
    match level {
        Level::Small => vec![
            GroupBounds::checking().with_writes(3),
            GroupBounds::ignoring().with_writes(3),
        ],
        Level::Full => vec![
            GroupBounds::checking(),
            GroupBounds::ignoring(),
            GroupBounds::mixed(),
            GroupBounds::lossy(),
            GroupBounds::restarting(),
            GroupBounds::delegating(),
            GroupBounds::repairing_twice(),
        ],
    }
}

/// Returns bounds in which a guard is needed.
fn group_bounds_for(mutation: Mutation) -> GroupBounds {
    match mutation {
        Mutation::UnfencedRest => GroupBounds::ignoring(),
        Mutation::OrdersOutliveRestart => GroupBounds::restarting(),
        Mutation::RevokeWithoutFencing => GroupBounds::delegating(),
        Mutation::RepairWithoutRight => GroupBounds::repairing_twice(),
        _ => GroupBounds::checking(),
    }
}
