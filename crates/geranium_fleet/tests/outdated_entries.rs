//! Entries that a delayed write of the store brings back.

mod engine;
mod fixture;

use std::time::Duration;

use engine::{model, profile};
use fixture::server;
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
        membership: rank.map(|rank| Membership {
            group: "g".into(),
            epoch: 3,
            rank,
            state,
        }),
        ..server(id, SERVICE, "a")
    }
}

fn confirm(directory: &mut Directory, host: &Host) {
    let report = HostReport {
        born: host.incarnation,
        orders_begun: 5,
        membership: host.membership.clone(),
        model: host.model.clone(),
        staged: host.staged.clone(),
        leaving: false,
    };
    assert!(directory.apply_reported_orders(&host.id, &report));
}

/// Guards against members that join another group while the head of theirs serves: its entry
/// shows no group, although nobody ordered it to leave.
#[test]
fn members_stay_while_the_entry_of_their_head_may_be_outdated() {
    let hosts = [host("h1", Some(0)), host("h2", Some(1)), host("h3", None)];
    let mut directory = Directory::default();
    for host in &hosts {
        directory.put(host.clone());
        confirm(&mut directory, host);
    }
    let profile = profile(vec![model("m", 2, 1.0)]);
    let settings = PlannerSettings {
        nonce: "n".into(),
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
    directory.put(member.clone());

    directory.put(outdated.clone());
    directory.put(outdated.clone());
    let repeated = directory.is_outdated("h1");
    directory.put(member);
    let shown_again = directory.is_outdated("h1");
    directory.put(outdated.clone());
    confirm(&mut directory, &outdated);

    assert!(repeated);
    assert!(!shown_again);
    assert!(!directory.is_outdated("h1"));
}
