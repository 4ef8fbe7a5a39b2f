//! Tests of the dispatcher: load, cold and suspected backend servers, full groups.

mod fixture;
#[path = "fixture/settled.rs"]
mod settled;

use std::sync::Arc;
use std::time::Duration;

use fixture::server;
use geranium_core::time::Timestamp;
use geranium_fleet::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use settled::settled_dispatcher;

const NOW: Timestamp = Timestamp::from_millis(100_000);

fn host(id: &str, domain: &str) -> Host {
    server(id, "app", domain)
}

fn directory(hosts: Vec<Host>) -> Directory {
    let mut directory = Directory::default();
    for host in hosts {
        directory.put(host);
    }
    directory
}

fn criteria(tried: &[HostId]) -> DispatchCriteria<'_> {
    DispatchCriteria {
        service: "app",
        model: None,
        tried,
        cold_limit: None,
        entry_hosts: 1,
        max_running: f64::MAX,
        request_time: None,
    }
}

fn choose(
    dispatcher: &mut Dispatcher,
    directory: &Directory,
    criteria: &DispatchCriteria<'_>,
    now: Timestamp,
) -> Result<HostId, NoHost> {
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = dispatcher.choose(directory, criteria, now, &mut rng)?;
    Ok(choice.host.id)
}

#[test]
fn load_is_spread_and_the_local_failure_domain_preferred() {
    let directory = directory(vec![host("near", "a"), host("far", "b")]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());

    let first = choose(&mut dispatcher, &directory, &criteria(&[]), NOW);
    let second = choose(&mut dispatcher, &directory, &criteria(&[]), NOW);

    assert_eq!(first, Ok("near".into()));
    assert_eq!(second, Ok("far".into()));
}

#[test]
fn a_cold_server_gets_only_this_entry_hosts_share() {
    let mut cold = host("cold", "a");
    cold.cold_until = Some(NOW + Duration::from_secs(3));
    let directory = directory(vec![cold]);
    let mut dispatcher = settled_dispatcher("e0", &["e0".to_owned()], NOW);
    let bound = ColdLimit::new(26.0 * 1.5 + 5.0, 8);
    let mut criteria = criteria(&[]);
    criteria.cold_limit = Some(bound);

    let taken = (0..20).filter(|_| choose(&mut dispatcher, &directory, &criteria, NOW).is_ok());

    assert_eq!(taken.count(), 5);
    let refused = choose(&mut dispatcher, &directory, &criteria, NOW);
    assert_eq!(refused, Err(NoHost::AtColdLimit));
    let later = NOW + Duration::from_millis(1_001);
    assert!(choose(&mut dispatcher, &directory, &criteria, later).is_ok());
}

#[test]
fn all_entry_hosts_together_respect_the_limit_of_a_cold_server() {
    let mut cold = host("cold", "a");
    cold.cold_until = Some(NOW + Duration::from_secs(3));
    let directory = directory(vec![cold]);
    for entry_hosts in [1, 7, 8, 43, 44, 45, 72, 400] {
        let names: Vec<String> = (0..entry_hosts).map(|i| format!("e{i}")).collect();
        let mut criteria = criteria(&[]);
        criteria.cold_limit = Some(ColdLimit::new(44.0, entry_hosts));
        let mut arrived = 0;
        for name in &names {
            let mut dispatcher = settled_dispatcher(name, &names, NOW);
            let taken =
                (0..50).filter(|_| choose(&mut dispatcher, &directory, &criteria, NOW).is_ok());
            arrived += taken.count();
        }

        assert!(
            (1..=44).contains(&arrived),
            "{entry_hosts} entry hosts: {arrived}"
        );
    }
}

#[test]
fn a_domain_that_comes_back_is_treated_as_cold() {
    let mut directory = directory(vec![host("h", "a")]);
    let mut dispatcher = settled_dispatcher("e0", &["e0".to_owned()], NOW);
    let mut criteria = criteria(&[]);
    criteria.cold_limit = Some(ColdLimit {
        cold: 1,
        warm: 10,
        max_senders: None,
    });

    directory.set_domain_cold("a", NOW + Duration::from_secs(4));
    directory.put(host("h", "a"));

    assert!(choose(&mut dispatcher, &directory, &criteria, NOW).is_ok());
    assert_eq!(
        choose(&mut dispatcher, &directory, &criteria, NOW),
        Err(NoHost::AtColdLimit)
    );
}

#[test]
fn a_suspected_server_is_used_only_where_there_is_no_other() {
    let directory = directory(vec![host("suspected", "a"), host("healthy", "b")]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    dispatcher.suspect(&"suspected".into(), NOW);

    for _ in 0..5 {
        assert_eq!(
            choose(&mut dispatcher, &directory, &criteria(&[]), NOW),
            Ok("healthy".into())
        );
    }
    let tried: Vec<HostId> = vec!["healthy".into()];
    assert_eq!(
        choose(&mut dispatcher, &directory, &criteria(&tried), NOW),
        Ok("suspected".into())
    );
}

#[test]
fn requests_of_other_entry_hosts_count_towards_the_limit() {
    let directory = directory(vec![host("h", "a")]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    let id: HostId = Arc::from("h");
    dispatcher.set_peer_requests(&[(id.clone(), 17.0)].into_iter().collect(), NOW);
    let mut criteria = criteria(&[]);
    criteria.max_running = 17.0;

    assert_eq!(
        choose(&mut dispatcher, &directory, &criteria, NOW),
        Err(NoHost::Full)
    );
}

#[test]
fn leaving_hosts_and_domains_out_of_service_get_no_requests() {
    let mut leaving = host("leaving", "a");
    leaving.state = HostState::Draining;
    let mut directory = directory(vec![leaving, host("out", "b")]);
    directory.set_domain_out(&"b".into(), true);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());

    assert_eq!(
        choose(&mut dispatcher, &directory, &criteria(&[]), NOW),
        Err(NoHost::None)
    );
}

#[test]
fn entries_that_expire_after_a_store_outage_have_a_grace_period() {
    let mut directory = directory(vec![host("h", "a")]);
    directory.mark_store_recovered(NOW);
    directory.remove("h", NOW);
    let host = directory.get("h").cloned().expect("the host is kept");

    assert!(directory.accepts_work(&host, NOW + Duration::from_millis(1_500)));
    assert!(!directory.accepts_work(&host, NOW + Duration::from_millis(1_700)));
    assert_eq!(
        directory.expire(NOW + Duration::from_millis(1_700)).len(),
        1
    );
}

#[test]
fn without_a_store_outage_removed_entries_are_dropped_at_once() {
    let mut directory = directory(vec![host("h", "a")]);

    directory.remove("h", NOW);

    assert!(directory.get("h").is_none());
}

#[test]
fn after_a_suspicion_one_request_at_a_time_probes_the_server() {
    let directory = directory(vec![host("probed", "a"), host("healthy", "b")]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    let probed: HostId = "probed".into();
    dispatcher.suspect(&probed, NOW);
    let later = NOW + Duration::from_millis(2_600);

    let chosen: Vec<HostId> = (0..6)
        .filter_map(|_| choose(&mut dispatcher, &directory, &criteria(&[]), later).ok())
        .collect();
    let tries = chosen.iter().filter(|id| **id == probed).count();
    dispatcher.record_outcome("probed", true, None);
    let after = choose(&mut dispatcher, &directory, &criteria(&[]), later);

    assert_eq!((chosen.len(), tries), (6, 1));
    assert_eq!(after, Ok(probed));
}

#[test]
fn candidate_counts_tell_why_servers_are_excluded() {
    let directory = directory(vec![
        host("free", "a"),
        host("full", "a"),
        host("suspected", "a"),
        host("tried", "a"),
    ]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    dispatcher.set_peer_requests(&[("full".into(), 17.0)].into_iter().collect(), NOW);
    dispatcher.suspect(&"suspected".into(), NOW);
    let tried = [HostId::from("tried")];
    let mut criteria = criteria(&tried);
    criteria.max_running = 17.0;

    let candidate_counts = dispatcher.count_candidates(&directory, &criteria, NOW);

    let expected = CandidateCounts {
        paused: 0,
        serving: 4,
        tried: 1,
        suspected: 1,
        at_bound: 0,
        at_server_limit: 0,
        full: 1,
    };
    assert_eq!(candidate_counts, expected);
}

#[test]
fn servers_missing_from_a_complete_list_are_named() {
    let mut directory = directory(vec![host("here", "a"), host("gone", "a")]);
    let listed = [HostId::from("here")].into_iter().collect();

    let gone = directory.retain_listed(&listed, NOW);

    assert_eq!(gone, [(HostId::from("gone"), 1)]);
    assert!(directory.get("gone").is_none());
}

/// Guards against moving streams within a fabric domain that fails as a whole: the retry
/// would meet another failed backend server.
#[test]
fn a_retried_request_goes_to_another_fabric_domain() {
    let in_fabric = |id: &str, fabric: &str| Host {
        fabric_domain: Some(fabric.into()),
        ..host(id, "a")
    };
    let directory = directory(vec![
        in_fabric("failed-1", "f1"),
        in_fabric("failed-2", "f1"),
        in_fabric("failed-3", "f1"),
        in_fabric("healthy", "f2"),
    ]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    let tried = [HostId::from("failed-1")];

    for _ in 0..5 {
        let chosen = choose(&mut dispatcher, &directory, &criteria(&tried), NOW);
        assert_eq!(chosen, Ok("healthy".into()));
        dispatcher.finish_request("healthy");
    }
}
