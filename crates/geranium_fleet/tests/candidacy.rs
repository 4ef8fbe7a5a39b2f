//! Which entry host becomes the manager, and when.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::time::Timestamp;
use geranium_fleet::candidacy::Candidacy;
use geranium_fleet::exchange::{Peer, candidacy_rank};

const NOW: Timestamp = Timestamp::from_millis(5_000);

fn peer(name: &str, processor_share: f64) -> Peer {
    Peer {
        name: name.into(),
        failure_domain: "a".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        forward_address: None,
        processor_share,
        reads_demand: true,
    }
}

/// Guards against CONFIG: a small entry host, through whose link every change passes, becomes the
/// manager although larger ones are there.
#[test]
fn larger_entry_hosts_stand_first() {
    let peers = [
        peer("a", 0.1),
        peer("b", 0.5),
        peer("c", 0.1),
        peer("d", 0.5),
    ];

    let ranks = peers
        .each_ref()
        .map(|p| candidacy_rank(&peers, &p.name, p.processor_share));

    assert_eq!(ranks, [2, 0, 3, 1]);
}

/// Guards against CONFIG: an entry host whose renewal is due just after the role became vacant takes
/// it before those that stand first.
#[test]
fn nobody_stands_before_its_turn() {
    let mut candidacy = Candidacy::default();

    candidacy.observe(true, 8, NOW);
    candidacy.observe(true, 8, NOW + Duration::from_millis(200));

    assert!(!candidacy.is_due(NOW + Duration::from_millis(239)));
    assert!(candidacy.is_due(NOW + Duration::from_millis(240)));
}

/// Guards against a role that stays vacant, because all with small ranks are gone.
#[test]
fn the_last_of_many_stands_soon() {
    let mut candidacy = Candidacy::default();

    candidacy.observe(true, 5_000, NOW);

    assert!(candidacy.is_due(NOW + Duration::from_secs(1)));
}

/// Guards against a role that stays vacant after one attempt failed.
#[test]
fn a_failed_attempt_is_followed_by_another() {
    let mut candidacy = Candidacy::default();
    candidacy.observe(true, 0, NOW);

    candidacy.record_attempt(true, 0, NOW);

    assert!(!candidacy.is_due(NOW));
    assert!(candidacy.is_due(NOW + Duration::from_secs(1)));
}

/// Guards against two managers: the turn of one vacancy is used in the next one.
#[test]
fn a_role_that_was_taken_ends_the_turn() {
    let mut candidacy = Candidacy::default();
    candidacy.observe(true, 0, NOW);

    candidacy.observe(false, 0, NOW);

    assert!(!candidacy.is_due(NOW + Duration::from_secs(9)));
}
