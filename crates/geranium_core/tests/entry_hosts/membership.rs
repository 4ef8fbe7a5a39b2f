//! Tests of discovery, failure detection and duties.

use std::time::Duration;

use geranium_core::engine::EnginePhase;
use geranium_core::event::EventKind;
use geranium_core::id::{GroupId, HostId, Incarnation};
use geranium_core::limit::{ChargeState, CrashDigest, CrashId, RequestFingerprint, SuspicionEntry};
use geranium_core::member::{
    MemberConfig, MemberTiming, Membership, PeerState, budget_holder, observers, ranked, watchers,
};

use geranium_core::time::HybridTime;

use crate::fleet::{Fleet, address, domain_id, host_id};
use crate::reports::report;

fn settled_fleet(domains: usize, hosts: usize) -> Fleet {
    let mut fleet = Fleet::start(domains, hosts);
    fleet.run(Duration::from_secs(5));
    fleet
}

fn states(membership: &Membership) -> Vec<PeerState> {
    membership.peers().map(|(_, state, _)| state).collect()
}

#[test]
fn hosts_discover_each_other_from_one_seed_per_domain() {
    let fleet = settled_fleet(3, 4);

    for host in fleet.hosts.values() {
        assert_eq!(states(&host.membership), [PeerState::Alive; 3]);
        assert_eq!(host.membership.domains().len(), 2);
        for (summary, _) in host.membership.domains().iter() {
            assert_eq!(summary.members.len(), 4);
        }
    }
}

#[test]
fn a_dead_host_is_suspected_by_every_peer_and_loses_its_duties() {
    let mut fleet = settled_fleet(1, 5);
    fleet.kill(0, 2);

    let is_suspected = |fleet: &Fleet| {
        let mut hosts = fleet.hosts.values();
        hosts.all(|h| h.membership.active_members().len() == 4)
    };
    let took = fleet.run_while(Duration::from_secs(5), is_suspected);

    assert!(took <= Duration::from_millis(1_500), "took {took:?}");
    assert_eq!(fleet.count_events(EventKind::PeerSuspected), 4);
}

#[test]
fn a_process_that_was_paused_suspects_nobody_when_it_resumes() {
    let mut fleet = settled_fleet(1, 5);
    fleet.pause(0, 1);
    fleet.run(Duration::from_secs(30));
    fleet.events.clear();

    fleet.resume(0, 1);
    fleet.run(Duration::from_secs(3));

    let by_paused = fleet.events.iter().filter(|(_, host, event)| {
        *host == host_id(0, 1) && event.kind == EventKind::PeerSuspected
    });
    assert_eq!(by_paused.count(), 0);
    assert_eq!(fleet.count_events(EventKind::ProcessPaused), 1);
    for host in fleet.hosts.values() {
        assert_eq!(states(&host.membership), [PeerState::Alive; 4]);
    }
}

#[test]
fn repeated_short_pauses_of_a_process_do_not_cause_suspicions() {
    let mut fleet = settled_fleet(1, 3);
    fleet.events.clear();

    for _ in 0..20 {
        fleet.pause(0, 0);
        fleet.run(Duration::from_millis(900));
        fleet.resume(0, 0);
        fleet.run(Duration::from_millis(300));
    }

    let by_stuttering = fleet.events.iter().filter(|(_, host, event)| {
        *host == host_id(0, 0) && event.kind == EventKind::PeerSuspected
    });
    assert_eq!(by_stuttering.count(), 0);
}

#[test]
fn a_new_incarnation_replaces_the_old_one_whose_late_heartbeats_are_ignored() {
    let mut fleet = settled_fleet(1, 3);
    let old = fleet.host(0, 2).membership.clone();
    fleet.start_host(0, 2, &[address(0, 0)]);
    fleet.run(Duration::from_secs(3));
    let new = fleet.host(0, 2).info.incarnation;

    let now = fleet.now;
    let mut late = old;
    let receiver = fleet.host(0, 0).info.clone();
    let heartbeat = late.answer(&receiver, now, HybridTime::default());
    fleet
        .host_mut(0, 0)
        .membership
        .receive_heartbeat(&heartbeat, now);

    let known = fleet.host(0, 0).membership.peers();
    let known: Vec<_> = known
        .filter(|(info, ..)| info.host == host_id(0, 2))
        .collect();
    assert_eq!(known[0].0.incarnation, new);
}

#[test]
fn a_leaving_host_loses_its_duties_within_one_heartbeat() {
    let mut fleet = settled_fleet(1, 5);
    let now = fleet.now;
    fleet.host_mut(0, 3).membership.begin_leaving(now);

    let is_known = |fleet: &Fleet| {
        let mut hosts = fleet.hosts.values();
        hosts.all(|h| !h.membership.active_members().contains(&host_id(0, 3)))
    };
    let took = fleet.run_while(Duration::from_secs(2), is_known);

    assert!(took <= Duration::from_millis(250), "took {took:?}");
    assert_eq!(fleet.count_events(EventKind::PeerLeft), 4);
    assert_eq!(fleet.count_events(EventKind::PeerSuspected), 0);
}

#[test]
fn a_late_message_does_not_bring_back_an_older_report() {
    let mut fleet = settled_fleet(1, 2);
    let receiver = fleet.host(0, 1).info.clone();
    let now = fleet.now;
    let sender = &mut fleet.host_mut(0, 0).membership;
    sender.observe(report(1, EnginePhase::Cold), now);
    let late = sender.answer(&receiver, now, HybridTime::default());
    sender.observe(report(2, EnginePhase::Warm), now);
    let newer = sender.answer(&receiver, now, HybridTime::default());

    let receiver = &mut fleet.host_mut(0, 1).membership;
    receiver.receive_heartbeat(&newer, now);
    receiver.receive_heartbeat(&late, now);

    let entry = receiver
        .reports()
        .get(&HostId::new("w1"))
        .expect("report is known");
    assert_eq!(entry.report.phase, EnginePhase::Warm);
}

#[test]
fn a_host_contacted_through_a_seed_address_misses_no_report() {
    let mut fleet = settled_fleet(1, 2);
    fleet.start_host(0, 1, &[address(0, 0)]);

    // The first heartbeat goes to the seed, whose failure domain is still unknown, so
    // it carries no reports.
    for _ in 0..20 {
        let now = fleet.now;
        let sender = &mut fleet.host_mut(0, 1).membership;
        sender.observe(report(1, EnginePhase::Warm), now);
        fleet.run(Duration::from_millis(100));
    }

    let reports = fleet.host(0, 0).membership.reports();
    assert!(reports.get(&HostId::new("w1")).is_some());
}

#[test]
fn each_host_emits_an_event_when_a_domain_falls_silent_and_when_it_returns() {
    let mut fleet = settled_fleet(2, 2);
    fleet.cut_domain(1, true);
    fleet.run(Duration::from_secs(60));
    let silent = fleet.count_events(EventKind::DomainSilent);
    fleet.cut_domain(1, false);
    fleet.run(Duration::from_secs(60));

    assert_eq!(silent, 4);
    assert_eq!(fleet.count_events(EventKind::DomainHeard), 4);
}

#[test]
fn a_paused_process_does_not_report_domains_silent() {
    let mut fleet = settled_fleet(2, 2);
    fleet.pause(0, 0);
    fleet.run(Duration::from_secs(120));
    fleet.events.clear();

    fleet.resume(0, 0);
    fleet.run(Duration::from_secs(5));

    assert_eq!(fleet.count_events(EventKind::DomainSilent), 0);
}

#[test]
fn a_domain_that_was_cut_off_is_known_again_though_its_hosts_were_replaced() {
    let mut fleet = settled_fleet(2, 2);
    fleet.cut_domain(1, true);
    fleet.run(Duration::from_secs(200));
    fleet.start_host(1, 0, &[address(0, 0), address(1, 0)]);
    fleet.start_host(1, 1, &[address(0, 0), address(1, 0)]);
    let (new, old_made_at) = {
        let (summary, _) = fleet
            .host(0, 0)
            .membership
            .domains()
            .get(&domain_id(1))
            .expect("domain is known");
        (fleet.host(1, 0).info.incarnation, summary.made_at)
    };

    fleet.cut_domain(1, false);
    let is_known = |fleet: &Fleet| {
        fleet.hosts.values().all(|host| {
            let summary = host.membership.domains().get(&domain_id(1));
            host.info.failure_domain == domain_id(1)
                || summary.is_some_and(|(s, _)| {
                    s.made_at > old_made_at && s.members.iter().any(|m| m.info.incarnation == new)
                })
        })
    };
    let took = fleet.run_while(Duration::from_secs(60), is_known);

    assert!(took <= Duration::from_secs(35), "took {took:?}");
}

#[test]
fn a_crash_digest_reaches_every_host_of_every_domain() {
    let mut fleet = settled_fleet(3, 3);
    let crash = CrashId {
        group: GroupId::new("g1"),
        generation: 3,
    };
    let entry = SuspicionEntry {
        fingerprint: RequestFingerprint([7; 16]),
        crashes: vec![(crash, ChargeState::Charged)],
        changed_at: fleet.now,
    };
    let digest = CrashDigest {
        entries: vec![entry],
        explained: Vec::new(),
    };
    let now = fleet.now;
    let host = fleet.host_mut(2, 2);
    host.membership.share_crashes(&digest, now);

    let took = fleet.run_while(Duration::from_secs(5), |f| f.crashes.len() == 8);
    fleet.run(Duration::from_secs(30));

    assert!(took <= Duration::from_secs(2), "took {took:?}");
    assert_eq!(fleet.crashes.len(), 8, "each host is informed once");
    assert!(fleet.crashes.iter().all(|(_, learned)| *learned == digest));
}

#[test]
fn a_lower_incarnation_is_accepted_once_the_previous_one_is_silent() {
    let mut fleet = settled_fleet(1, 3);
    let mut info = fleet.host(0, 2).info.clone();
    fleet.kill(0, 2);
    fleet.run(Duration::from_secs(3));

    info.incarnation = Incarnation(0);
    let config = MemberConfig {
        local: info.clone(),
        seeds: Vec::new(),
        timing: MemberTiming::default(),
    };
    let now = fleet.now;
    let mut replaced = Membership::new(config, now);
    let receiver = fleet.host(0, 0).info.clone();
    let heartbeat = replaced.answer(&receiver, now, HybridTime::default());
    let peer = &mut fleet.host_mut(0, 0).membership;
    peer.receive_heartbeat(&heartbeat, now);

    assert!(peer.is_live(&info.host, Incarnation(0)));
}

#[test]
fn an_incarnation_of_a_host_is_live_while_any_domain_reports_it() {
    let mut fleet = settled_fleet(2, 2);
    let outside = fleet.host(1, 1).info.clone();
    let is_live = |fleet: &Fleet, incarnation| {
        let membership = &fleet.host(0, 0).membership;
        membership.is_live(&outside.host, incarnation)
    };

    assert!(is_live(&fleet, outside.incarnation));
    assert!(!is_live(&fleet, Incarnation(outside.incarnation.0 + 1)));
    fleet.cut_domain(1, true);
    fleet.run(Duration::from_secs(60));
    assert!(!is_live(&fleet, outside.incarnation));
}

#[test]
fn duties_move_only_with_the_members_that_have_them() {
    let hosts: Vec<HostId> = (0..15).map(|i| host_id(0, i)).collect();
    let servers: Vec<HostId> = (0..41).map(|i| HostId::new(format!("w{i}"))).collect();
    let gone = &hosts[4];
    let left: Vec<HostId> = hosts.iter().filter(|h| *h != gone).cloned().collect();

    for server in &servers {
        let before = observers(&hosts, server);
        let after = observers(&left, server);
        assert_eq!(before.len(), 2);
        if !before.contains(&gone) {
            assert_eq!(before, after);
        }
    }
    assert_eq!(watchers(&hosts).len(), 2);
    assert!(budget_holder(&hosts, &GroupId::new("g1")).is_some());
    assert!(ranked(&[], "watch", 2).is_empty());
}
