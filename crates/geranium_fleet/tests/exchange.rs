//! Tests of the exchange topology for few and many entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use geranium_core::collections::{HashMap, HashSet};
use geranium_fleet::exchange::{ExchangeTopology, FULL_MESH_LIMIT, Peer};

fn peers(count: u16, domains: u16) -> Vec<Peer> {
    let peer = |i: u16| Peer {
        name: format!("e{i}").into(),
        failure_domain: format!("d{}", i % domains).into(),
        address: ([127, 0, 0, 1], i).into(),
        forward_address: None,
        // One in twelve has a large processor share.
        processor_share: if i.is_multiple_of(12) { 0.5 } else { 0.12 },
        reads_demand: true,
    };
    (0..count).map(peer).collect()
}

fn topologies(peers: &[Peer]) -> HashMap<SocketAddr, ExchangeTopology> {
    let topology = |p: &Peer| ExchangeTopology::new(peers, &p.name, &p.failure_domain);
    peers.iter().map(|p| (p.address, topology(p))).collect()
}

#[test]
fn few_entry_hosts_form_a_full_mesh_of_leaders() {
    let peers = peers(
        u16::try_from(FULL_MESH_LIMIT).expect("the limit is small"),
        3,
    );

    for (address, topology) in topologies(&peers) {
        assert!(topology.is_leader);
        assert_eq!(topology.reports_to.len(), FULL_MESH_LIMIT - 1);
        assert!(!topology.reports_to.contains(&address));
        assert!(topology.followers.is_empty() && topology.remote_leaders.is_empty());
    }
}

#[test]
fn message_count_grows_at_most_with_the_failure_domain() {
    for (count, domains) in [(63, 3), (200, 5), (400, 27)] {
        let peers = peers(count, domains);
        let domain_size = usize::from(count.div_ceil(domains));

        for topology in topologies(&peers).values() {
            assert!(topology.remote_leaders.len() <= 2 * usize::from(domains));
            if topology.is_leader {
                assert!(topology.reports_to.len() + topology.followers.len() < domain_size);
            } else {
                assert_eq!(
                    topology.reports_to.len(),
                    2,
                    "a follower reports to both leaders"
                );
                assert!(topology.followers.is_empty());
            }
        }
    }
}

#[test]
fn every_failure_domain_has_two_leaders_with_large_processor_shares() {
    let peers = peers(200, 5);
    let topologies = topologies(&peers);
    let mut leaders: HashMap<Arc<str>, usize> = HashMap::default();
    for peer in peers.iter().filter(|p| topologies[&p.address].is_leader) {
        *leaders.entry(peer.failure_domain.clone()).or_default() += 1;
        assert!(
            peer.processor_share > 0.4,
            "{} leads with a small share",
            peer.name
        );
    }

    assert_eq!(leaders.len(), 5);
    assert!(leaders.values().all(|n| *n == 2));
}

#[test]
fn each_follower_hears_from_alternating_leaders_one_per_round() {
    let peers = peers(200, 5);
    let topologies = topologies(&peers);
    let leaders: Vec<&ExchangeTopology> = topologies.values().filter(|p| p.is_leader).collect();
    let mut last: HashSet<(usize, SocketAddr)> = HashSet::default();
    for round in 0..4 {
        let receivers = |p: &&&ExchangeTopology| p.followers_in_round(round).collect::<Vec<_>>();
        let all: Vec<SocketAddr> = leaders.iter().flat_map(|p| receivers(&p)).collect();
        let unique: HashSet<SocketAddr> = all.iter().copied().collect();
        assert_eq!(all.len(), unique.len());
        assert_eq!(unique.len(), 200 - leaders.len());

        let by_rank = leaders.iter().flat_map(|p| {
            let rank = p.rank;
            p.followers_in_round(round).map(move |a| (rank, a))
        });
        let now: HashSet<(usize, SocketAddr)> = by_rank.collect();
        assert!(
            now.is_disjoint(&last),
            "a follower heard from the same leader twice"
        );
        last = now;
    }
}

#[test]
fn an_unregistered_entry_host_asks_the_leaders() {
    let peers = peers(63, 3);

    let topology = ExchangeTopology::new(&peers, "new", "d1");

    assert!(!topology.is_leader);
    assert_eq!(topology.local_leaders.len(), 2);
}
