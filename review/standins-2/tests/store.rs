//! Stand-in of the platform's metadata store: items, leases, watches and transactions.

use crate::{
    http::{read_request, respond, Request},
    json::{to_base64, Json},
};
use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision: self.revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event { key: key.to_owned(), revision: self.revision, item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

/// The store.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(State { revision: 1, next_lease: 100, ..State::default() }),
            changed: Condvar::new(),
        });
        let (accepting, expiring) = (Arc::clone(&store), Arc::clone(&store));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(stream));
            }
        });
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            expiring.expire();
        });
        store
    }

    /// Writes an item, as operators and servers do.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, to_base64(value.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes an item, as operators and servers do.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(id, _)| *id).collect();
        for id in &ended {
            state.end_lease(*id);
        }
        drop(state);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if respond(&mut writer, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path();
        if path == "/kv-key" {
            return self.key(request);
        }
        if path == "/kv-range" {
            return self.range(request);
        }
        if path == "/kv-watch" {
            return self.watch(request);
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let answer = if path == "/kv-txn" {
            self.commit(&body)
        } else if path == "/kv-lease" {
            self.grant(&body)
        } else if let Some(id) = path.strip_prefix("/kv-keep/") {
            self.keep(id.parse().unwrap_or(0))
        } else if let Some(id) = path.strip_prefix("/kv-lease-end/") {
            self.state.lock().unwrap().end_lease(id.parse().unwrap_or(0));
            (200, "{}".to_owned())
        } else {
            (404, "{}".to_owned())
        };
        self.changed.notify_all();
        answer
    }

    fn key(&self, request: &Request) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let key = request.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => (200, item_json(&key, item, Some(state.revision))),
            None => (404, format!("{{\"currentRev\":{}}}", state.revision)),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let matching: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| item_json(key, item, None))
            .collect();
        let items = matching.join(",");
        let current = state.revision;
        (200, format!("{{\"items\":[{items}],\"morePages\":false,\"currentRev\":{current}}}"))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after: u64 = request.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait: u64 = request.query("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .map(event_json)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, current) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"currentRev\":{current}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let rows = body.get("expectRev").map(Json::list).unwrap_or_default();
        let mut present = Vec::new();
        let mut holds = true;
        for row in rows {
            let key = row.get("key").and_then(Json::text).unwrap_or_default();
            let expected = row.get("revision").and_then(Json::number).unwrap_or(0.0) as u64;
            let item = state.items.get(key);
            holds &= item.map_or(0, |item| item.revision) == expected;
            present.extend(item.map(|item| item_json(key, item, None)));
        }
        if !holds {
            return (412, format!("{{\"items\":[{}]}}", present.join(",")));
        }
        let writes = body.get("writes").map(Json::list).unwrap_or_default();
        let lease_of = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or(0.0) as u64;
        if writes.iter().any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row))) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for row in writes {
            let key = row.get("key").and_then(Json::text).unwrap_or_default();
            let value = row.get("value").and_then(Json::text).unwrap_or_default();
            state.put(key, value.to_owned(), lease_of(row));
        }
        for key in body.get("remove").map(Json::list).unwrap_or_default() {
            state.remove(key.text().unwrap_or_default());
        }
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let ttl_ms = body.get("ttlMs").and_then(Json::number).unwrap_or(1_000.0).clamp(1_000.0, 600_000.0);
        let ttl = Duration::from_millis(ttl_ms as u64);
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
        (200, format!("{{\"lease\":{id},\"ttlMs\":{}}}", ttl.as_millis()))
    }

    fn keep(&self, id: u64) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.until = Instant::now() + lease.ttl;
                (200, "{}".to_owned())
            }
            None => (404, "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item, current: Option<u64>) -> String {
    let current = current.map_or_else(String::new, |current| format!(",\"currentRev\":{current}"));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRevision\":{},\"lease\":{}{current}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn event_json(event: &Event) -> String {
    match &event.item {
        Some(item) => item_json(&event.key, item, None),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
            event.key, event.revision
        ),
    }
}
