//! A small fleet of real `carobwheel` processes between callers and stand-ins.
//!
//! Each region has its own proxy before the store, so that a region can be cut off from it.

#![allow(clippy::unwrap_used, dead_code, unused_imports)]

mod caller;
mod document;
mod process;

pub(crate) use caller::{chat_body, expected_answer, send, Caller, Reply};
pub(crate) use document::{account, key_of, DocumentBuilder};
pub(crate) use process::Instance;

use carobwheel_standin::{
    engine::{self, Engine, EngineOptions},
    livelist::{self, LiveList, LiveListOptions},
    proxy::{self, Proxy, ProxyOptions, Way},
    service::{self, Service, ServiceOptions},
    store::{self, Store, StoreOptions},
    tls::Authority,
};
use carobwheel_wire::platform::{InstanceState, LiveInstance};
use serde_json::{json, Value};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    future::Future,
    path::PathBuf,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Regions of the fleet.
pub(crate) const REGIONS: [&str; 3] = ["north", "central", "south"];
/// Longest wait for a condition before a test fails.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that the users mean by "within seconds".
pub(crate) const PROPAGATION_LIMIT: Duration = Duration::from_secs(10);
/// Key of the document in the store.
const DOCUMENT_KEY: &str = "config/document";

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(0);

/// How to set the stage.
pub(crate) struct FleetOptions {
    /// Instances in each region.
    pub(crate) instances_in_region: usize,
    /// Options of every engine.
    pub(crate) engine: EngineOptions,
    /// Options of every service.
    pub(crate) service: ServiceOptions,
    /// Changes the document before it is published.
    pub(crate) document: fn(&mut DocumentBuilder),
    /// Other instances reach each instance through a proxy of its own that delays datagrams by
    /// this time each way, in milliseconds; none for direct links.
    pub(crate) link_delay_ms: Option<u64>,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            instances_in_region: 1,
            engine: EngineOptions::default(),
            service: ServiceOptions::default(),
            document: |_| {},
            link_delay_ms: None,
        }
    }
}

/// A fleet, its platform and its upstreams.
pub(crate) struct Fleet {
    pub(crate) instances: Vec<Instance>,
    pub(crate) store: Store,
    pub(crate) live_list: LiveList,
    pub(crate) store_proxies: BTreeMap<&'static str, Proxy>,
    pub(crate) engines: BTreeMap<&'static str, Engine>,
    pub(crate) services: BTreeMap<&'static str, Service>,
    pub(crate) document: DocumentBuilder,
    /// Proxies before the links of each instance, if they are delayed.
    pub(crate) links: BTreeMap<String, Proxy>,
    link_delay_ms: Option<u64>,
    authority: Authority,
    folder: PathBuf,
}

impl Fleet {
    /// Starts one engine and one service a region, the platform and the instances, and waits until
    /// all are ready.
    pub(crate) async fn start(options: FleetOptions) -> Self {
        let store = store::start(&StoreOptions::default()).unwrap();
        let mut fleet = Self {
            instances: Vec::new(),
            store_proxies: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            document: DocumentBuilder::default(),
            links: BTreeMap::new(),
            link_delay_ms: options.link_delay_ms,
            live_list: livelist::start(LiveListOptions::default()).unwrap(),
            authority: Authority::new("fleet").unwrap(),
            folder: new_folder(),
            store,
        };
        for region in REGIONS {
            fleet.start_region(region, &options);
        }
        (options.document)(&mut fleet.document);
        fleet.publish();
        for region in REGIONS {
            for number in 0..options.instances_in_region {
                fleet
                    .start_instance(region, &format!("{region}-{number}"))
                    .await;
            }
        }
        fleet.slots_are_owned().await;
        fleet
    }

    /// Waits until every region has told the store who owns its slots, as in normal operation.
    async fn slots_are_owned(&self) {
        eventually(
            "every region's slots are owned",
            CONDITION_TIMEOUT,
            || async {
                let is_owned =
                    |region: &&str| self.store.value(&format!("slots/{region}")).is_some();
                REGIONS.iter().all(is_owned).then_some(())
            },
        )
        .await;
    }

    fn start_region(&mut self, region: &'static str, options: &FleetOptions) {
        let proxy = proxy::start_tcp(ProxyOptions::new(self.store.addr())).unwrap();
        self.store_proxies.insert(region, proxy);
        let engine = engine::start(EngineOptions {
            credential: Some(credential(&format!("{region}-engine"))),
            ..options.engine.clone()
        });
        let engine = engine.unwrap();
        self.document.add_engine(region, &engine.url());
        self.engines.insert(region, engine);
        let service = service::start(ServiceOptions {
            credential: Some(credential(&format!("{region}-ledger"))),
            ..options.service.clone()
        });
        let service = service.unwrap();
        self.document.add_service(region, &service.url());
        self.services.insert(region, service);
    }

    /// Starts an instance and waits until it is ready.
    pub(crate) async fn start_instance(&mut self, region: &'static str, id: &str) {
        let tls = self.write_tls(id);
        let delay_ms = self.link_delay_ms;
        let link = RefCell::new(None);
        let settings = |caller_address: &str, peer_address: &str| {
            let proxy = delay_ms.map(|delay_ms| start_link(peer_address, delay_ms));
            let dialled = match &proxy {
                Some(proxy) => proxy.addr(),
                None => peer_address.parse().unwrap(),
            };
            *link.borrow_mut() = proxy;
            self.live_list.add(LiveInstance {
                id: id.parse().unwrap(),
                region: region.parse().unwrap(),
                data_centre: format!("{region}-a").parse().unwrap(),
                peer_address: dialled,
                caller_address: caller_address.parse().unwrap(),
                state: InstanceState::Live,
                incarnation: None,
            });
            let mut settings = self.settings(region, id, caller_address);
            settings["peers"] = tls.clone();
            settings["peers"]["address"] = json!(peer_address);
            settings["peers"]["advertised_address"] = json!(dialled);
            settings
        };
        let instance = Instance::start(&self.folder, id, region, settings).await;
        self.instances.push(instance);
        let link = link.into_inner();
        self.links.extend(link.map(|link| (id.to_owned(), link)));
    }

    fn settings(&self, region: &str, id: &str, caller_address: &str) -> Value {
        let upstreams = REGIONS
            .iter()
            .flat_map(|region| [format!("{region}-engine"), format!("{region}-ledger")]);
        let credentials: BTreeMap<_, _> = upstreams
            .map(|upstream| (upstream.clone(), credential(&upstream)))
            .collect();
        json!({
            "instance": {"id": id, "region": region, "data_centre": format!("{region}-a")},
            "callers": {"address": caller_address},
            "store": {"url": format!("http://{}", self.store_proxies[region].addr())},
            "platform": {"url": self.live_list.url()},
            "upstream_credentials": credentials,
            "shutdown": {"announce_ms": 200, "drain_ms": 60_000},
        })
    }

    /// Writes the files for mutual TLS and returns the settings that name them.
    fn write_tls(&self, id: &str) -> Value {
        let pem = self.authority.issue(id).unwrap();
        let write = |name: &str, text: &str| {
            let file = self.folder.join(format!("{id}.{name}.pem"));
            std::fs::write(&file, text).unwrap();
            file.display().to_string()
        };
        json!({
            "ca_pem_file": write("ca", &pem.ca_pem),
            "certificate_pem_file": write("certificate", &pem.cert_pem),
            "key_pem_file": write("key", &pem.key_pem),
        })
    }

    /// Kills the instance at `place`, and takes it off the live list.
    pub(crate) fn remove_instance(&mut self, place: usize) {
        let instance = self.instances.remove(place);
        self.live_list.remove(&instance.id);
    }

    /// Publishes the document as it stands.
    pub(crate) fn publish(&self) {
        self.store
            .set_value(DOCUMENT_KEY, self.document.to_json().as_bytes());
    }

    /// The first instance of `region`.
    pub(crate) fn instance(&self, region: &str) -> &Instance {
        let found = self
            .instances
            .iter()
            .find(|instance| instance.region == region);
        found.unwrap()
    }

    /// Requests that the engines have seen, refused ones included.
    pub(crate) fn engine_requests(&self) -> u64 {
        self.engines
            .values()
            .map(|engine| engine.counts().requests)
            .sum()
    }

    /// Times that the action with the key `key` ran on any service.
    pub(crate) fn runs(&self, key: &str) -> u64 {
        self.services
            .values()
            .map(|service| service.runs(key))
            .sum()
    }
}

/// A proxy before the links of the instance at `peer_address`.
fn start_link(peer_address: &str, delay_ms: u64) -> Proxy {
    let options = ProxyOptions::new(peer_address.parse().unwrap());
    let proxy = proxy::start_udp(options).unwrap();
    proxy.set_both(Way::delayed(delay_ms));
    proxy
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.instances.clear();
        if std::thread::panicking() {
            eprintln!("logs are left in {}", self.folder.display());
        } else {
            std::fs::remove_dir_all(&self.folder).unwrap_or_default();
        }
    }
}

fn credential(upstream: &str) -> String {
    format!("credential-of-{upstream}")
}

fn new_folder() -> PathBuf {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let name = format!("fleet-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Waits until `condition` gives a value.
pub(crate) async fn eventually<T, F: Future<Output = Option<T>>>(
    what: &str,
    patience: Duration,
    mut condition: impl FnMut() -> F,
) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            start.elapsed() < patience,
            "not within {patience:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
