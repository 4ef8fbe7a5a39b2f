//! Entries that a delayed write of the store brings back.

mod engine;
mod fixture;

use std::time::Duration;

use engine::{model, profile};
use fixture::{group, report, server};
use geranium_core::time::Timestamp;
use geranium_fleet::prelude::*;

const NOW: Timestamp = Timestamp::from_millis(100_000);
const SERVICE: &str = "engines";

/// Returns a host that holds the weights; with a rank it is in the open group of the tests.
fn host(id: &str, rank: Option<usize>) -> Host {
    let state = match rank {
        Some(0) => GroupState::Open,
        _ => GroupState::Ready,
    };
    Host {
        fabric_domain: Some("f".into()),
        staged: vec!["m".into()],
        model: rank.map(|_| "m".into()),
        group: group(rank.map(|rank| Membership {
            group: "g".into(),
            epoch: 3,
            rank,
            state,
        })),
        ..server(id, SERVICE, "a")
    }
}

fn confirm(directory: &mut Directory, host: &Host, orders_begun: u64) {
    let (id, report) = report(host, orders_begun);
    assert_ne!(directory.apply_report(&id, &report), ReportEffect::Older);
}

/// Guards against members that join another group while the head of theirs serves: its entry
/// shows no group, although nobody ordered it to leave.
#[test]
fn members_stay_while_the_entry_of_their_head_may_be_outdated() {
    let hosts = [host("h1", Some(0)), host("h2", Some(1)), host("h3", None)];
    let mut directory = Directory::default();
    for host in &hosts {
        directory.put(host.clone());
        confirm(&mut directory, host, 5);
    }
    let profile = profile(vec![model("m", 2, 1.0)]);
    let settings = PlannerSettings {
        nonce: "n".into(),
        first_epoch: NOW.as_millis(),
        load_window: Duration::from_secs(5),
    };
    let mut planner = GroupPlanner::new(settings, NOW);
    planner.plan(&directory, SERVICE, &profile, &[1.0], true, NOW);

    directory.put(host("h1", None));
    let now = NOW + Duration::from_secs(1);
    let orders = planner.plan(&directory, SERVICE, &profile, &[1.0], true, now);

    let joins = orders
        .iter()
        .filter(|o| matches!(o.kind, OrderKind::Join { .. }));
    assert_eq!(joins.count(), 0, "{orders:?}");
}

#[test]
fn an_entry_is_current_again_once_it_shows_the_group_or_the_host_confirms_it() {
    let mut directory = Directory::default();
    let (member, outdated) = (host("h1", Some(0)), host("h1", None));
    let is_contested = |directory: &Directory| {
        let host = directory.get("h1").expect("the host is known");
        host.group.is_contested()
    };
    directory.put(member.clone());
    confirm(&mut directory, &member, 5);

    directory.put(outdated.clone());
    directory.put(outdated.clone());
    let repeated = is_contested(&directory);
    directory.put(member);
    let shown_again = is_contested(&directory);
    directory.put(outdated.clone());
    confirm(&mut directory, &outdated, 6);

    assert!(repeated);
    assert!(!shown_again);
    assert!(!is_contested(&directory));
}
