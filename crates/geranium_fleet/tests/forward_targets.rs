//! Tests of the choice of the entry host that takes over a request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::time::Timestamp;
use geranium_fleet::exchange::Peer;
use geranium_fleet::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const NOW: Timestamp = Timestamp::from_millis(100_000);
/// Number of entry hosts that are asked in turn.
const MAX_TRIES: usize = 14;

fn peer(i: u16, domains: u16) -> Peer {
    Peer {
        name: format!("e{i}").into(),
        failure_domain: format!("d{}", i % domains).into(),
        address: ([127, 0, 0, 1], i).into(),
        forward_address: Some(([127, 0, 0, 1], 1_000 + i).into()),
        processor_share: 0.25,
        reads_demand: true,
    }
}

/// Returns what the entry host `e0` knows of `count` entry hosts, itself among them.
fn known(own: u16, count: u16, domains: u16) -> ForwardTargets {
    let own = peer(own, domains);
    let mut targets = ForwardTargets::new(own.name, own.failure_domain);
    for i in 0..count {
        targets.set(&format!("e{i}"), Some(&peer(i, domains)));
    }
    targets
}

fn choose(targets: &ForwardTargets, tried: &[Arc<str>], now: Timestamp) -> Option<Arc<str>> {
    let mut rng = SmallRng::seed_from_u64(5);
    targets.choose(tried, now, &mut rng).map(|t| t.name)
}

#[test]
fn the_own_failure_domain_is_preferred_and_the_entry_host_itself_left_out() {
    let targets = known(0, 6, 3);

    assert_eq!(choose(&targets, &[], NOW), Some("e3".into()));
    let other = choose(&targets, &["e3".into()], NOW);
    assert!(other.is_some_and(|name| *name != *"e3" && *name != *"e0"));
}

#[test]
fn entry_hosts_that_are_gone_or_take_no_requests_are_not_chosen() {
    let mut targets = known(0, 3, 1);
    targets.set("e1", None);
    let mut old = peer(2, 1);
    old.forward_address = None;
    targets.set("e2", Some(&old));

    assert_eq!(choose(&targets, &[], NOW), None);
}

#[test]
fn an_entry_host_that_took_no_request_is_avoided_for_a_while() {
    let mut targets = known(0, 2, 1);

    targets.record_not_taken("e1", NOW);

    assert_eq!(choose(&targets, &[], NOW + Duration::from_secs(1)), None);
    let later = NOW + Duration::from_secs(4);
    assert_eq!(choose(&targets, &[], later), Some("e1".into()));
}

/// Guards against entry hosts that find no other one while most are cut off, and against all
/// of them sending to the same few.
#[test]
fn requests_find_sound_entry_hosts_while_two_of_three_are_cut_off() {
    let (count, cut_off, requests) = (195, 130, 60);
    let mut rng = SmallRng::seed_from_u64(11);
    let mut taken: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut lost = 0;
    let is_cut_off = |name: &str| name[1..].parse::<u16>().expect("index") < cut_off;

    for own in 0..cut_off {
        let mut targets = known(own, count, 5);
        let mut now = NOW;
        for _ in 0..requests {
            now = now + Duration::from_millis(rng.random_range(50..250));
            let mut tried = Vec::new();
            let found = (0..MAX_TRIES).find_map(|_| {
                let target = targets.choose(&tried, now, &mut rng)?;
                tried.push(target.name.clone());
                if is_cut_off(&target.name) {
                    targets.record_not_taken(&target.name, now);
                    return None;
                }
                targets.record_taken(&target.name, now);
                Some(target.name)
            });
            match found {
                Some(name) => *taken.entry(name).or_default() += 1,
                None => lost += 1,
            }
        }
    }

    let all = usize::from(cut_off) * requests;
    assert!(
        lost * 50 <= all,
        "{lost} of {all} requests found no entry host"
    );
    let mean = all / usize::from(count - cut_off);
    let most = taken.values().max().expect("requests were taken");
    assert!(
        *most <= mean * 3,
        "one entry host took {most}, the mean is {mean}"
    );
}
