//! Tests of the lookup of routes, services and accounts.

use std::sync::Arc;
use std::time::Duration;

use geranium_fleet::prelude::*;
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        targets: vec![target("s", 1)],
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        max_attempts: 2,
        priority: 1,
        public: false,
        max_event_gap: None,
    })
}

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.into(),
        weight,
    }
}

fn table(routes: Vec<Arc<Route>>) -> RouteTable {
    RouteTable::new(Deployment {
        version: 1,
        routes,
        services: Default::default(),
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        accounts: Some(vec![Account {
            name: "desk".into(),
            keys: vec!["k1".into(), "k2".into()],
            priority: None,
        }]),
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let name = |host: &str, path: &str| table.route(host, path).map(|r| r.name.to_string());

    assert_eq!(name("a.example", "/x/y/z/1"), Some("long".into()));
    assert_eq!(name("A.Example:80", "/x/1"), Some("short".into()));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("c.example", "/x/1"), None);
}

#[test]
fn keys_belong_to_accounts() {
    let table = table(vec![route("r", "a.example", "/x/")]);

    assert_eq!(table.account("k2").map(|a| &*a.name), Some("desk"));
    assert!(table.account("k3").is_none());
    assert!(table.needs_key(&route("r", "a.example", "/x/")));
}

#[test]
fn a_split_follows_its_weights() {
    let mut split = Route::clone(&route("r", "a.example", "/x/"));
    split.targets = vec![target("nine", 90), target("one", 10), target("none", 0)];
    let service = |point: f64| split.target(point).map(ToString::to_string);

    assert_eq!(service(0.0), Some("nine".into()));
    assert_eq!(service(0.899), Some("nine".into()));
    assert_eq!(service(0.901), Some("one".into()));
    assert_eq!(service(1.0), Some("one".into()));
}

/// Guards against an order among requests where the configuration asks for none.
#[test]
fn only_services_of_routes_with_unequal_priorities_have_differing_ones() {
    let mut urgent = Route::clone(&route("urgent", "h", "/u/"));
    urgent.priority = 0;
    urgent.targets = vec![target("t", 1)];
    let mut usual = urgent.clone();
    usual.priority = 1;
    usual.targets.push(target("s", 1));

    let table = table(vec![route("a", "h", "/a/"), urgent.into(), usual.into()]);

    assert!(table.has_differing_priorities("t"));
    assert!(!table.has_differing_priorities("s"));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_route_found_is_the_longest_that_fits(
        prefixes in prop::collection::hash_set("/([ab]{1,2}/){1,4}", 1..20),
        path in "/([ab]{1,2}/){0,6}[ab]{0,2}",
    ) {
        let routes = prefixes.iter().map(|p| route(p, "h", p)).collect();
        let table = table(routes);

        let found = table.route("h", &path).map(|r| r.prefix.len());

        let wanted = prefixes.iter().filter(|p| path.starts_with(*p)).map(String::len).max();
        prop_assert_eq!(found, wanted);
    }
}
