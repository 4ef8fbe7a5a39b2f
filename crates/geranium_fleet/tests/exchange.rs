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
        // One in twelve has a large processor share.
        processor_share: if i.is_multiple_of(12) { 0.5 } else { 0.12 },
    };
    (0..count).map(peer).collect()
}

fn plans(peers: &[Peer]) -> HashMap<SocketAddr, ExchangeTopology> {
    let plan = |p: &Peer| ExchangeTopology::new(peers, &p.name, &p.failure_domain);
    peers.iter().map(|p| (p.address, plan(p))).collect()
}

#[test]
fn few_entry_hosts_form_a_full_mesh_of_leaders() {
    let peers = peers(
        u16::try_from(FULL_MESH_LIMIT).expect("the limit is small"),
        3,
    );

    for (address, plan) in plans(&peers) {
        assert!(plan.is_leader);
        assert_eq!(plan.reports_to.len(), FULL_MESH_LIMIT - 1);
        assert!(!plan.reports_to.contains(&address));
        assert!(plan.followers.is_empty() && plan.remote_leaders.is_empty());
    }
}

#[test]
fn message_count_grows_at_most_with_the_failure_domain() {
    for (count, domains) in [(63, 3), (200, 5), (400, 27)] {
        let peers = peers(count, domains);
        let each = usize::from(count.div_ceil(domains));

        for plan in plans(&peers).values() {
            assert!(plan.remote_leaders.len() <= 2 * usize::from(domains));
            if plan.is_leader {
                assert!(plan.reports_to.len() + plan.followers.len() < each);
            } else {
                assert_eq!(
                    plan.reports_to.len(),
                    2,
                    "a follower reports to both leaders"
                );
                assert!(plan.followers.is_empty());
            }
        }
    }
}

#[test]
fn every_failure_domain_has_two_leaders_with_large_processor_shares() {
    let peers = peers(200, 5);
    let plans = plans(&peers);
    let mut leaders: HashMap<Arc<str>, usize> = HashMap::default();
    for peer in peers.iter().filter(|p| plans[&p.address].is_leader) {
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
    let plans = plans(&peers);
    let leading: Vec<&ExchangeTopology> = plans.values().filter(|p| p.is_leader).collect();
    let mut last: HashSet<(usize, SocketAddr)> = HashSet::default();
    for round in 0..4 {
        let told = |p: &&&ExchangeTopology| p.followers_in_round(round).collect::<Vec<_>>();
        let all: Vec<SocketAddr> = leading.iter().flat_map(|p| told(&p)).collect();
        let unique: HashSet<SocketAddr> = all.iter().copied().collect();
        assert_eq!(all.len(), unique.len());
        assert_eq!(unique.len(), 200 - leading.len());

        let by_rank = leading.iter().flat_map(|p| {
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

    let plan = ExchangeTopology::new(&peers, "new", "d1");

    assert!(!plan.is_leader);
    assert_eq!(plan.local_leaders.len(), 2);
}
