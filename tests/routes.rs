//! Routing tables: invalid ones are refused with a reason, the longest prefix selects the route,
//! and calls are split by weight.

use dotterelpin::routes::{RawRoute, RawService, RawTable, RouteTable, TableError};

fn route(name: &str, prefix: &str) -> RawRoute {
    RawRoute { name: name.into(), prefix: prefix.into(), ..RawRoute::example() }
}

fn table(routes: Vec<RawRoute>) -> Result<RouteTable, TableError> {
    RouteTable::try_from(RawTable { routes, ..RawTable::example() })
}

#[test]
fn each_invalid_table_is_refused_with_its_route() {
    let name = || Box::<str>::from("r");
    let split = |split: &[(&str, f64)]| RawRoute {
        split: split.iter().map(|(s, w)| ((*s).to_string(), *w)).collect(),
        ..route("r", "/a/")
    };
    let cases = [
        (
            split(&[("gone", 1.0)]),
            TableError::UnknownService { route: name(), service: "gone".into() },
        ),
        (split(&[]), TableError::NoWeight { route: name() }),
        (split(&[("portal", 0.0)]), TableError::NoWeight { route: name() }),
        (split(&[("portal", -1.0)]), TableError::NoWeight { route: name() }),
        (split(&[("portal", f64::NAN)]), TableError::NoWeight { route: name() }),
        (route("r", "a/"), TableError::BadPrefix { route: name() }),
        (route("r", "/a"), TableError::BadPrefix { route: name() }),
        (
            RawRoute { timeout_ms: 0.0, ..route("r", "/a/") },
            TableError::NoTimeout { route: name() },
        ),
        (
            RawRoute { timeout_ms: f64::INFINITY, ..route("r", "/a/") },
            TableError::NoTimeout { route: name() },
        ),
    ];
    for (raw, error) in cases {
        assert_eq!(table(vec![raw.clone()]), Err(error), "{raw:?}");
    }
    let twice = table(vec![route("a", "/a/"), route("b", "/a/")]);
    assert_eq!(twice, Err(TableError::DuplicateRoute { route: "b".into() }));
    let services = vec![RawService::example(), RawService::example()];
    let twice = RouteTable::try_from(RawTable { services, ..RawTable::example() });
    assert_eq!(twice, Err(TableError::DuplicateService { service: "portal".into() }));
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let table = table(vec![route("root", "/"), route("a", "/a/"), route("ab", "/a/b/")]).unwrap();
    let name = |host: &str, path: &str| {
        let key = table.find(host, path)?;
        table.get(key).map(|r| r.name.to_string())
    };
    assert_eq!(name("portal.example", "/a/b/c").as_deref(), Some("ab"));
    assert_eq!(name("Portal.Example:8080", "/a/bc").as_deref(), Some("a"));
    assert_eq!(name("portal.example", "/b").as_deref(), Some("root"));
    assert_eq!(name("other.example", "/a/"), None);
}

#[test]
fn calls_are_split_by_weight() {
    let services =
        ["one", "two"].map(|name| RawService { name: name.into(), ..RawService::example() });
    let split = vec![("one".to_string(), 90.0), ("two".to_string(), 10.0)];
    let raw = RawTable {
        routes: vec![RawRoute { split, ..RawRoute::example() }],
        services: services.into(),
        ..RawTable::example()
    };
    let table = RouteTable::try_from(raw).unwrap();
    let route = table.get(table.find("portal.example", "/status/x").unwrap()).unwrap();
    let step = u64::MAX / 10_000;
    let ones = (0..10_000).filter(|n| route.service(n * step) == Some("one")).count();
    assert!((8_500..9_500).contains(&ones), "expected about 9,000 of 10,000, found {ones}");
}
