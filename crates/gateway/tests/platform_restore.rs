//! Instances whose store goes back to an older copy.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, ConfigBuilder, Engine, Instance, InstanceOptions, Store, StoreCopy,
};
use serde_json::json;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time in which a confirmed version has to be in force.
const APPLY_TIME: Duration = Duration::from_secs(4);
/// Time in which instances and upstreams write their entries again, and some more.
const SETTLE_TIME: Duration = Duration::from_secs(7);

fn start(store: &Store, name: &'static str) -> Instance {
    Instance::start_ready(&InstanceOptions {
        name,
        region: "north",
        store: store.address,
    })
}

fn wait_for_links(instances: &[&Instance]) {
    for instance in instances {
        wait_until("the instances hear each other", || {
            let heard = format!("carobwheel_instances_heard {}", instances.len());
            instance.metrics_text().contains(&heard)
        });
    }
}

fn status(instance: &Instance, path: &str) -> u16 {
    let mut caller = instance.caller();
    caller.send("GET", path, "a-1", "", "");
    caller.answer().status
}

/// Configuration with this many added routes, `/added-1/` and so on.
fn config(version: u64, added: u64) -> ConfigBuilder {
    (1..=added).fold(ConfigBuilder::new(version), |builder, number| {
        let prefix = format!("/added-{number}/");
        builder.route(&prefix, "idempotent", "registry", 2, json!({}))
    })
}

/// Store with an engine and the first version; a copy of it, and writes after the copy.
fn store_with_lost_writes(engine: &Engine) -> (Store, StoreCopy) {
    let store = Store::start();
    store.publish(&config(1, 0));
    engine.register(&store, "registry", "north-a", "ready");
    let copy = store.copy();
    (store, copy)
}

/// Revisions that are lost and not written again.
fn lose_revisions(store: &Store, count: usize) {
    for number in 0..count {
        store.put("op/evacuate/unknown", &json!({"number": number}));
    }
    store.remove("op/evacuate/unknown");
}

#[test]
fn versions_written_after_a_restore_are_in_force_in_time_and_none_goes_back() {
    let engine = Engine::start("i-1");
    let (store, copy) = store_with_lost_writes(&engine);
    let instances = [start(&store, "north-1"), start(&store, "north-2")];
    wait_for_links(&[&instances[0], &instances[1]]);
    store.publish(&config(2, 1));
    lose_revisions(&store, 30);
    store.publish(&config(3, 2));
    for instance in &instances {
        wait_until("version 3 is in force", || {
            status(instance, "/added-2/x") == 200
        });
    }
    let before = store.revision();
    store.restore(&copy);
    let written_at = Instant::now();
    store.publish(&config(4, 3));
    assert!(store.revision() < before);
    while written_at.elapsed() < APPLY_TIME {
        for instance in &instances {
            assert_eq!(status(instance, "/added-2/x"), 200);
        }
        thread::sleep(Duration::from_millis(100));
    }
    for instance in &instances {
        assert_eq!(status(instance, "/added-3/x"), 200);
        assert_eq!(instance.logged("store_restored").len(), 1);
        assert!(instance.metrics_text().contains("carobwheel_store_era 1\n"));
    }
    store.publish(&config(5, 4));
    thread::sleep(APPLY_TIME);
    for instance in &instances {
        assert_eq!(status(instance, "/added-4/x"), 200);
    }
}

#[test]
fn revisions_that_have_passed_the_old_ones_do_not_hide_what_was_written_before() {
    let engine = Engine::start("i-1");
    let (store, copy) = store_with_lost_writes(&engine);
    let instance = start(&store, "north-1");
    lose_revisions(&store, 5);
    thread::sleep(Duration::from_millis(500));
    store.set_refusing(true);
    store.restore(&copy);
    store.publish(&config(2, 1));
    lose_revisions(&store, 40);
    store.set_refusing(false);
    thread::sleep(APPLY_TIME);
    assert_eq!(status(&instance, "/added-1/x"), 200);
}

#[test]
fn an_instance_that_starts_before_the_operator_has_written_again_gets_the_version_from_others() {
    let engine = Engine::start("i-1");
    let (store, copy) = store_with_lost_writes(&engine);
    let first = start(&store, "north-1");
    lose_revisions(&store, 10);
    store.publish(&config(2, 1));
    wait_until("version 2 is in force", || {
        status(&first, "/added-1/x") == 200
    });
    store.restore(&copy);
    wait_until("the entry is written again", || {
        store.get("carobwheel/member/north-1").is_some()
    });
    let second = start(&store, "north-2");
    wait_until("the started instance has version 2 in force", || {
        status(&second, "/added-1/x") == 200
    });
    assert_eq!(status(&first, "/added-1/x"), 200);
}

#[test]
fn an_instance_writes_its_entry_again_under_a_lease_of_its_own() {
    let engine = Engine::start("i-1");
    let (store, copy) = store_with_lost_writes(&engine);
    let first = start(&store, "north-1");
    store.restore(&copy);
    // The new instance is given the number of the first one's lost lease.
    let second = start(&store, "north-2");
    wait_until("both entries exist", || {
        let exists = |name: &str| store.get(&format!("carobwheel/member/{name}")).is_some();
        exists("north-1") && exists("north-2")
    });
    wait_for_links(&[&first, &second]);
    first.signal("-TERM");
    wait_until("the entry of the stopped instance is gone", || {
        store.get("carobwheel/member/north-1").is_none()
    });
    assert!(store.get("carobwheel/member/north-2").is_some());
}

#[test]
fn evacuations_neither_end_nor_come_back_with_a_restore() {
    let engine = Engine::start("i-1");
    let (store, _) = store_with_lost_writes(&engine);
    store.put("op/evacuate/south-a", &json!({}));
    let copy = store.copy();
    let instance = start(&store, "north-1");
    let evacuations = || {
        let lines = instance.logged("evacuated");
        let change = |line: &serde_json::Value| {
            let data_centre = line["data_centre"].as_str().unwrap().to_owned();
            (data_centre, line["is_evacuated"].as_bool().unwrap())
        };
        lines.iter().map(change).collect::<Vec<_>>()
    };
    store.remove("op/evacuate/south-a");
    store.put("op/evacuate/west-a", &json!({}));
    let before = [("south-a", true), ("south-a", false), ("west-a", true)];
    let before = before.map(|(zone, is_evacuated)| (zone.to_owned(), is_evacuated));
    wait_until("the evacuations are known", || evacuations() == before);
    store.restore(&copy);
    thread::sleep(Duration::from_secs(2));
    store.remove("op/evacuate/south-a");
    store.put("op/evacuate/west-a", &json!({}));
    thread::sleep(SETTLE_TIME);
    assert_eq!(evacuations(), before);
    store.remove("op/evacuate/west-a");
    wait_until("a later change counts", || {
        evacuations().last() == Some(&("west-a".to_owned(), false))
    });
}

#[test]
fn an_upstream_that_writes_its_entry_again_serves_all_the_time() {
    let (old, new) = (Engine::start("i-1"), Engine::start("i-2"));
    let (store, copy) = store_with_lost_writes(&old);
    let instance = start(&store, "north-1");
    new.register(&store, "registry", "north-a", "ready");
    store.remove("servers/i-1");
    wait_until("only the new upstream is used", || {
        let before = new.seen().len();
        let statuses: Vec<u16> = (0..5).map(|_| status(&instance, "/read/x")).collect();
        statuses == [200; 5] && new.seen().len() == before + 5
    });
    let old_requests = old.seen().len();
    store.restore(&copy);
    let restored_at = Instant::now();
    let mut is_registered = false;
    while restored_at.elapsed() < SETTLE_TIME {
        if !is_registered && restored_at.elapsed() > Duration::from_millis(1_500) {
            new.register(&store, "registry", "north-a", "ready");
            is_registered = true;
        }
        if restored_at.elapsed() > Duration::from_secs(3) {
            // The copy's entry of the upstream that is gone lapses.
            store.remove("servers/i-1");
        }
        assert_eq!(status(&instance, "/read/x"), 200);
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(old.seen().len(), old_requests);
}
