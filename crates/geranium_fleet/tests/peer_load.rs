//! Tests of the sums of load reports.

use geranium_core::time::Timestamp;
use geranium_fleet::demand::DemandSum;
use geranium_fleet::peer_load::{LoadSum, PeerLoads, RunningRequests};

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

/// Guards against a report with an impossible number of requests that stops an entry host by
/// an overflow, or that makes a full server look empty.
#[test]
fn the_sum_of_impossible_loads_does_not_overflow() {
    let impossible: RunningRequests = vec![("a".into(), u32::MAX)];
    let mut loads = PeerLoads::default();
    loads.record_report(1, impossible.clone(), NOW);
    loads.record_report(2, vec![("a".into(), 5)], NOW);

    let own = LoadSum::single(vec![("a".into(), 1)], DemandSum::default());

    let sum = loads.domain_sum(&own, NOW);

    assert_eq!(sum.running, impossible);
}

/// Guards against a sum that claims an impossible number of entry hosts and stops one by an overflow.
#[test]
fn impossible_numbers_of_entry_hosts_do_not_overflow() {
    let impossible = LoadSum {
        entry_hosts: usize::MAX,
        ..LoadSum::default()
    };
    let own = LoadSum::default();
    let mut loads = PeerLoads::default();
    loads.record_report(1, Vec::new(), NOW);
    for domain in ["a", "b"] {
        loads.record_domain_sum(domain.into(), impossible.clone(), NOW);
    }
    loads.record_overall_sum(impossible, NOW);

    let sum = loads.sum_excluding(&2, &own, NOW);

    assert_eq!(sum.entry_hosts, usize::MAX);
    assert!(loads.peer_requests(NOW).is_empty());
}
