//! Stand-in for the platform's list of live instances, which lags behind, and for its directory for
//! callers.

use crate::{
    http::{ConnectionState, Request, Responder, Server},
    lock,
};
use carobwheel_core::time::{Clock, Millis};
use carobwheel_wire::platform::{
    Directory, DirectoryEntry, InstanceList, InstanceState, LiveInstance, DIRECTORY_PATH,
    INSTANCES_PATH,
};
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

/// Options of a live list.
#[derive(Clone, Copy, Debug)]
pub struct LiveListOptions {
    /// Address to listen on; port 0 selects a free port.
    pub addr: SocketAddr,
    /// Delay after which a change appears in the list, in milliseconds.
    pub lag_ms: u64,
}

impl Default for LiveListOptions {
    fn default() -> Self {
        Self {
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            lag_ms: 0,
        }
    }
}

#[derive(Default)]
struct State {
    lag_ms: u64,
    /// List after each unpublished change, with the time of the change.
    pending_changes: VecDeque<(Millis, InstanceList)>,
    published: InstanceList,
    directory: BTreeMap<String, (DirectoryEntry, Millis)>,
    calls: u64,
    is_down: bool,
}

impl State {
    /// Returns the list with all pending changes applied.
    fn latest(&self) -> &InstanceList {
        self.pending_changes
            .back()
            .map_or(&self.published, |(_, list)| list)
    }

    /// Publishes the changes that are older than the lag.
    fn publish_due(&mut self, now: Millis) {
        while let Some((at, _)) = self.pending_changes.front() {
            if now.since(*at) < self.lag_ms {
                return;
            }
            if let Some((_, list)) = self.pending_changes.pop_front() {
                self.published = list;
            }
        }
    }

    /// Removes directory entries whose TTL has passed.
    fn remove_expired_entries(&mut self, now: Millis) {
        self.directory
            .retain(|_, (entry, at)| now.since(*at) < entry.ttl_s.saturating_mul(1_000));
    }
}

struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

/// Handle of a running live list. Dropping it stops the list.
pub struct LiveList {
    server: Server,
    shared: Arc<Shared>,
}

/// Starts a live list on a thread of its own.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(options: LiveListOptions) -> io::Result<LiveList> {
    let state = State {
        lag_ms: options.lag_ms,
        ..State::default()
    };
    let shared = Arc::new(Shared {
        clock: Clock::default(),
        state: Mutex::new(state),
    });
    let handler_shared = shared.clone();
    let handler = move |request: Request, responder| {
        let answer = answer(handler_shared.clone(), request, responder);
        Box::pin(answer) as futures::future::BoxFuture<'static, _>
    };
    let server = Server::start("live-list", options.addr, 1, Arc::new(handler))?;
    Ok(LiveList { server, shared })
}

impl LiveList {
    /// Address that the list listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Base URL of the list and the directory.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr)
    }

    /// Adds an instance, or replaces its entry.
    pub fn add(&self, instance: LiveInstance) {
        self.change(|list| {
            list.instances.retain(|listed| listed.id != instance.id);
            list.instances.push(instance);
            list.instances.sort_by(|a, b| a.id.cmp(&b.id));
        });
    }

    /// Removes an instance.
    pub fn remove(&self, id: &str) {
        self.change(|list| list.instances.retain(|listed| listed.id.as_str() != id));
    }

    /// Marks an instance as leaving.
    pub fn set_leaving(&self, id: &str) {
        self.change(|list| {
            let found = list
                .instances
                .iter_mut()
                .find(|listed| listed.id.as_str() == id);
            if let Some(instance) = found {
                instance.state = InstanceState::Leaving;
            }
        });
    }

    /// Sets the delay after which changes appear in the list, in milliseconds.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        lock(&self.shared.state).lag_ms = lag_ms;
    }

    /// Answers every call with 503, or resumes normal service.
    pub fn set_down(&self, is_down: bool) {
        lock(&self.shared.state).is_down = is_down;
    }

    /// Returns the entries of the directory, ordered by instance name.
    pub fn directory(&self) -> Vec<DirectoryEntry> {
        let mut state = lock(&self.shared.state);
        state.remove_expired_entries(self.shared.clock.now());
        let entries = state.directory.values();
        entries.map(|(entry, _)| entry.clone()).collect()
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> u64 {
        lock(&self.shared.state).calls
    }

    /// Stops the list and waits for its thread.
    pub fn stop(mut self) {
        self.server.stop();
    }

    fn change(&self, change: impl FnOnce(&mut InstanceList)) {
        let now = self.shared.clock.now();
        let mut state = lock(&self.shared.state);
        let mut list = state.latest().clone();
        change(&mut list);
        state.pending_changes.push_back((now, list));
    }
}

async fn answer(shared: Arc<Shared>, request: Request, responder: Responder) -> ConnectionState {
    let is_down = {
        let mut state = lock(&shared.state);
        let now = shared.clock.now();
        state.calls += 1;
        state.publish_due(now);
        state.remove_expired_entries(now);
        state.is_down
    };
    if is_down {
        return responder.send_body(503, "text/plain", b"down").await;
    }
    let entry_name = request
        .path()
        .strip_prefix(DIRECTORY_PATH)
        .map(|rest| rest.trim_start_matches('/').to_owned());
    match (request.method.as_str(), entry_name) {
        ("GET", None) if request.path() == INSTANCES_PATH => {
            let list = lock(&shared.state).published.clone();
            responder.send_json(200, &list).await
        }
        ("GET", Some(name)) if name.is_empty() => {
            let entries = lock(&shared.state)
                .directory
                .values()
                .map(|(entry, _)| entry.clone())
                .collect();
            responder.send_json(200, &Directory { entries }).await
        }
        ("PUT", Some(name)) if !name.is_empty() => {
            put_entry(&shared, name, &request, responder).await
        }
        ("DELETE", Some(name)) => {
            lock(&shared.state).directory.remove(&name);
            responder.send_body(200, "application/json", b"{}").await
        }
        _ => {
            responder
                .send_body(404, "text/plain", b"no such path")
                .await
        }
    }
}

async fn put_entry(
    shared: &Shared,
    name: String,
    request: &Request,
    responder: Responder,
) -> ConnectionState {
    match serde_json::from_slice::<DirectoryEntry>(&request.body) {
        Ok(entry) if entry.id.as_str() == name => {
            let now = shared.clock.now();
            lock(&shared.state).directory.insert(name, (entry, now));
            responder.send_body(200, "application/json", b"{}").await
        }
        Ok(_) => {
            responder
                .send_body(400, "text/plain", b"entry id differs from path")
                .await
        }
        Err(err) => {
            let message = err.to_string();
            responder
                .send_body(400, "text/plain", message.as_bytes())
                .await
        }
    }
}
