//! Stand-in of the platform's store.

use crate::http::{read_message, Message};
use crate::json::{base64, from_base64, Json};
use crate::record::Record;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, JSON of the event.
    history: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Instant, u64)>,
    next_lease: u64,
    /// Whether calls get no answer. Their channels stay silent.
    is_silent: bool,
    /// Key whose next write under a lease gets no answer and is done this many milliseconds later.
    late: Option<(String, u64)>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(State {
                revision: 100,
                next_lease: 500,
                ..State::default()
            }),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            expiring.expire_leases();
        });
        store
    }

    /// Writes a value as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
        self.record.line(format!(
            "store: {key} written at revision {}",
            state.revision
        ));
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.remove(key);
        self.changed.notify_all();
        self.record.line(format!("store: {key} removed"));
    }

    /// Value of a key as text; empty if there is none.
    pub fn get(&self, key: &str) -> String {
        let state = self.state.lock().unwrap();
        let value = state.items.get(key).map_or("", |item| item.value.as_str());
        String::from_utf8_lossy(&from_base64(value)).into_owned()
    }

    pub fn has(&self, key: &str) -> bool {
        self.state.lock().unwrap().items.contains_key(key)
    }

    /// Begins or ends an outage in which calls get no answer.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().unwrap().is_silent = is_silent;
        self.changed.notify_all();
        self.record.line(if is_silent {
            "store: down, silent"
        } else {
            "store: back"
        });
    }

    /// The answer of the next leased write of `key` is lost, and the write is done `delay_ms` later.
    pub fn make_late(&self, key: &str, delay_ms: u64) {
        self.state.lock().unwrap().late = Some((key.to_owned(), delay_ms));
    }

    fn expire_leases(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_silent {
            // Leases pause while the store is down.
            for (until, ttl) in state.leases.values_mut() {
                *until = (*until).max(Instant::now() + Duration::from_millis(*ttl / 2));
            }
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            for key in state.end_lease(lease) {
                self.record
                    .line(format!("store: lease {lease} has run out, {key} removed"));
            }
            self.changed.notify_all();
        }
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = read_message(&mut reader) {
            if self.state.lock().unwrap().is_silent {
                // The channel returns nothing further.
                while read_message(&mut reader).is_some() {}
                return;
            }
            let Some((status, body)) = self.answer(&call) else {
                while read_message(&mut reader).is_some() {}
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Status and body of an answer; `None` if it is lost.
    fn answer(self: &Arc<Self>, call: &Message) -> Option<(u16, String)> {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let prefix = query.get("pathPrefix").copied().unwrap_or_default();
        match (call.method(), path) {
            ("GET", "/kv-key") => {
                let state = self.state.lock().unwrap();
                let key = query.get("key").copied().unwrap_or_default();
                Some(match state.items.get(key) {
                    Some(item) => (
                        200,
                        item_json(key, item, &format!(",\"currentRev\":{}", state.revision)),
                    ),
                    None => (404, String::new()),
                })
            }
            ("GET", "/kv-range") => {
                let state = self.state.lock().unwrap();
                let after = query.get("after").copied().unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                    .map(|(key, item)| item_json(key, item, ""))
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"morePages\":false,\"currentRev\":{}}}",
                    items.join(","),
                    state.revision
                );
                Some((200, body))
            }
            ("GET", "/kv-watch") => Some(self.watch(prefix, &query)),
            ("POST", "/kv-txn") => self.commit(&Json::parse(&call.body)?),
            ("POST", "/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let ttl_ms = Json::parse(&call.body)?.number("ttlMs").max(1_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(
                    lease,
                    (Instant::now() + Duration::from_millis(ttl_ms), ttl_ms),
                );
                Some((200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}")))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease: u64 = path.rsplit('/').next()?.parse().ok()?;
                let mut state = self.state.lock().unwrap();
                Some(match state.leases.get_mut(&lease) {
                    Some((until, ttl_ms)) => {
                        *until = Instant::now() + Duration::from_millis(*ttl_ms);
                        (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
                    }
                    None => (404, String::new()),
                })
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease: u64 = path.rsplit('/').next()?.parse().ok()?;
                let mut state = self.state.lock().unwrap();
                state.end_lease(lease);
                self.changed.notify_all();
                Some((200, "{}".to_owned()))
            }
            _ => Some((404, String::new())),
        }
    }

    fn watch(&self, prefix: &str, query: &HashMap<&str, &str>) -> (u16, String) {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let after = number("after");
        let end = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if !state.is_silent {
                let is_newer =
                    |event: &&(u64, String, String)| event.0 > after && event.1.starts_with(prefix);
                let events: Vec<&str> = state
                    .history
                    .iter()
                    .filter(is_newer)
                    .map(|event| event.2.as_str())
                    .collect();
                if !events.is_empty() || Instant::now() >= end {
                    return (
                        200,
                        format!(
                            "{{\"events\":[{}],\"currentRev\":{}}}",
                            events.join(","),
                            state.revision
                        ),
                    );
                }
            }
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(50))
                .unwrap()
                .0;
        }
    }

    fn commit(self: &Arc<Self>, commit: &Json) -> Option<(u16, String)> {
        let mut state = self.state.lock().unwrap();
        let key = commit
            .list("writes")
            .first()
            .map_or("", |write| write.text("key"));
        if state.late.as_ref().is_some_and(|(late, _)| late == key) {
            let (_, delay_ms) = state.late.take()?;
            self.record.line(format!(
                "store: a write of {key} gets no answer and is done {delay_ms} ms later"
            ));
            let (store, commit) = (Arc::clone(self), commit.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(delay_ms));
                let status = store.apply(&mut store.state.lock().unwrap(), &commit).0;
                store
                    .record
                    .line(format!("store: the late write is done, status {status}"));
            });
            return None;
        }
        Some(self.apply(&mut state, commit))
    }

    fn apply(&self, state: &mut State, commit: &Json) -> (u16, String) {
        for expected in commit.list("expectRev") {
            let revision = state
                .items
                .get(expected.text("key"))
                .map_or(0, |item| item.revision);
            if revision != expected.number("revision") {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let is_lease_gone = |write: &Json| {
            let lease = write.number("lease");
            lease != 0 && !state.leases.contains_key(&lease)
        };
        if commit.list("writes").iter().any(is_lease_gone) {
            return (404, String::new());
        }
        for write in commit.list("writes") {
            let (key, lease) = (write.text("key"), write.number("lease"));
            state.write(key, write.text("value").to_owned(), lease);
            self.record.line(format!(
                "store: {key} written at revision {}, lease {lease}",
                state.revision
            ));
        }
        for key in commit.list("remove") {
            if let Json::Text(key) = key {
                state.remove(key);
            }
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.history
            .push((self.revision, key.to_owned(), item_json(key, &item, "")));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                "{{\"key\":\"{key}\",\"revision\":{},\"tombstone\":true}}",
                self.revision
            );
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> Vec<String> {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.remove(key);
        }
        keys
    }
}

fn item_json(key: &str, item: &Item, more: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRevision\":{},\"lease\":{}{more}}}",
        item.value, item.revision, item.created, item.lease
    )
}
