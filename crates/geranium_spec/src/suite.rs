//! The checks that are run together.

use std::thread;

use crate::check::{CheckReport, Violation, check, find_violation};
use crate::claims::{ClaimBounds, ClaimModel};
use crate::{Mutation, Protocol};

/// How far the states are enumerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Bounds that a debug build checks in seconds.
    Small,
    /// Bounds that a release build checks in less than a minute.
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
    let checks: Vec<_> = claims.collect();
    let join = |check: thread::JoinHandle<CheckReport>| check.join().expect("no check panics");
    checks.into_iter().map(join).collect()
}

/// Returns the shortest trace to a violation with one guard removed.
#[must_use]
pub fn check_mutation(mutation: Mutation) -> Option<Violation> {
    match mutation.protocol() {
        Protocol::Claims => find_violation(&ClaimModel::new(ClaimBounds::lossy(), Some(mutation))),
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
