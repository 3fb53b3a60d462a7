//! Unit tests of the store replica, event streams, routes, settings and the table of instances.

#![allow(clippy::unwrap_used)]

use carobwheel_core::time::Millis;
use carobwheel_edge::{
    hash::{rendezvous, short_hash},
    model::{split_service, Config, ConfigParts, Route, RouteKind, RouteMatch, ServiceShare},
    relay::EventSplitter,
    settings::Settings,
    store::{Change, Item, Position, Replica},
};
use test_case::test_case;

/// Position in the first era.
fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: revision.to_string().into_bytes(),
        revision,
    }
}

#[test]
fn replica_returns_each_change_once_and_never_an_older_one() {
    let mut replica = Replica::new(vec!["a/".to_owned()]);
    assert!(!replica.is_complete());
    let new_facts = replica.listed(0, &[item("a/1", 3), item("a/2", 5)], at(5));
    assert_eq!(new_facts.len(), 2);
    let removed = Change::Removed {
        key: "a/1".to_owned(),
        revision: 7,
    };
    let new_facts = replica.changed(0, vec![Change::Written(item("a/2", 6)), removed], at(7));
    assert_eq!(
        new_facts
            .iter()
            .map(|fact| fact.at.revision)
            .collect::<Vec<_>>(),
        [6, 7]
    );
    // An older listing from another instance changes nothing.
    assert!(replica
        .listed(0, &[item("a/1", 3), item("a/2", 5)], at(5))
        .is_empty());
    // A newer listing that lacks an item removes it.
    let new_facts = replica.listed(0, &[], at(9));
    assert_eq!(new_facts.len(), 1);
    assert!(new_facts[0].value.is_none() && new_facts[0].key == "a/2");
}

#[test]
fn replica_is_updated_from_another_replica() {
    let mut first = Replica::new(vec!["a/".to_owned()]);
    let mut second = first.clone();
    first.listed(0, &[item("a/1", 3), item("a/2", 5)], at(5));
    let new_facts = second.merge(0, first.since(0, at(0)));
    assert_eq!(new_facts.len(), 2);
    let removed = Change::Removed {
        key: "a/2".to_owned(),
        revision: 8,
    };
    first.changed(0, vec![removed], at(8));
    assert_eq!(second.merge(0, first.since(0, at(5))).len(), 1);
    assert_eq!(second.positions(), first.positions());
}

#[test_case(&["id: 1\ndata: a\n\nid: 2\n", "data: b\n\n"], &[Some(1), Some(2)], false; "split between lines")]
#[test_case(&["id:7\r\ndata: a\r\n\r\n"], &[Some(7)], false; "carriage returns")]
#[test_case(&["data: a\n\nid: 9\nda"], &[None], true; "incomplete event at the end")]
fn stream_is_split_into_complete_events(
    pieces: &[&'static str],
    ids: &[Option<u64>],
    has_part: bool,
) {
    let mut splitter = EventSplitter::default();
    let mut seen = Vec::new();
    for piece in pieces {
        splitter.push(piece.as_bytes());
        while let Some(event) = splitter.next_event().unwrap() {
            seen.push(event.id);
        }
    }
    assert_eq!(seen, ids);
    assert_eq!(splitter.has_part(), has_part);
}

fn route(name: &str, prefix: &str, homes: &[&str]) -> Route {
    Route {
        name: name.into(),
        host: "h.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        aim_ms: 400,
        pause_aim_ms: 0,
        priority: 0,
        shares: vec![
            ServiceShare {
                service: "a".into(),
                weight: 90,
            },
            ServiceShare {
                service: "b".into(),
                weight: 10,
            },
        ],
        max_attempts: 1,
        is_open: true,
        home_regions: homes.iter().map(|home| (*home).to_owned()).collect(),
    }
}

#[test]
fn the_longest_prefix_of_a_host_selects_the_route() {
    let parts = ConfigParts {
        routes: vec![
            route("short", "/a/", &[]),
            route("long", "/a/b/", &["north"]),
        ],
        ..ConfigParts::default()
    };
    let config = Config::from(parts);
    let name = |host: &str, path: &str| match config.find(host, path, None) {
        RouteMatch::Found(route, _) => Some(route.name.to_string()),
        RouteMatch::NoRoute | RouteMatch::NoAccount => None,
    };
    assert_eq!(name("H.example:80", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("h.example", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name("h.example", "/ab/"), None);
    assert_eq!(name("other.example", "/a/"), None);
    assert_eq!(config.routes_at_home("north", "h.example"), 2);
    assert_eq!(config.routes_at_home("south", "h.example"), 1);
}

#[test]
fn traffic_split_follows_its_weights() {
    let route = route("r", "/", &[]);
    let to_b = (0..1_000).filter(|n| {
        split_service(&route, f64::from(*n) / 1_000.0)
            .unwrap()
            .as_ref()
            == "b"
    });
    assert_eq!(to_b.count(), 100);
}

#[test]
fn rendezvous_spreads_keys_evenly() {
    let names: Vec<String> = (0..5).map(|n| format!("i-{n}")).collect();
    let mut counts = [0; 5];
    for key in 0..1_000 {
        let best = (0..5).max_by_key(|n| rendezvous(&names[*n], key)).unwrap();
        counts[best] += 1;
    }
    assert!(
        counts.iter().all(|count| (120..=280).contains(count)),
        "{counts:?}"
    );
    assert_ne!(short_hash("i-1"), short_hash("i-2"));
}

#[test]
fn settings_error_lists_every_fault() {
    let text = include_str!("settings.json");
    assert!(Settings::parse(text).is_ok());
    let faulty = text
        .replace("\"retry_share\": 0.2", "\"retry_share\": 2")
        .replace(
            "\"data_centre\": \"north-a\"",
            "\"data_centre\": \"elsewhere\"",
        )
        .replace("\"stop_grace_s\": 8", "\"stop_grace_s\": 0");
    insta::assert_json_snapshot!(Settings::parse(&faulty).unwrap_err().0, @r###"
    [
      "`regions` does not place `data_centre` in `region`",
      "`bounds.stop_grace_s` must be 1 or more",
      "`bounds.retry_share` must be from 0 to 1"
    ]
    "###);
}

#[test]
fn member_is_listed_only_while_its_messages_arrive() {
    use carobwheel_edge::member::{MemberEntry, Members};
    let entry = MemberEntry {
        name: "i".into(),
        life: 5,
        region: "north".into(),
        data_centre: "north-a".into(),
        callers: "127.0.0.1:1".parse().unwrap(),
        peers: "127.0.0.1:2".parse().unwrap(),
        certificate_digest: [0; 32],
        processor_millicores: 0,
    };
    let mut members = Members::default();
    members.update_entry(entry, Millis(0));
    let listed = |members: &Members, now: u64| members.up_in("north", Millis(now)).count();
    assert_eq!(listed(&members, 0), 0);
    assert!(
        !members.record_message("i", 4, true, Millis(10)),
        "an earlier lifetime"
    );
    assert!(members.record_message("i", 5, true, Millis(10)));
    assert_eq!(listed(&members, 100), 1);
    assert_eq!(listed(&members, 5_000), 0);
    members.entry_removed("i");
    assert!(members.sweep(Millis(11_000), |name| name == "i").is_empty());
    assert_eq!(members.sweep(Millis(11_000), |_| false).len(), 1);
}
