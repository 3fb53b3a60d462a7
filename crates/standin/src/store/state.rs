//! The keys, leases and history of the store, without I/O.

use carobwheel_core::time::Millis;
use carobwheel_wire::etcd::{
    Compare, CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, Event,
    EventKind, Header, KeyValue, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp,
    ResponseOp, TxnRequest, TxnResponse, MAX_VALUE_BYTES,
};
use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::{Bound, RangeBounds},
};

/// Why the store refuses a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The value is longer than [`MAX_VALUE_BYTES`].
    ValueTooLarge,
    /// The revision is no longer in the history.
    Compacted,
    /// The revision is still to come.
    FutureRevision,
    /// No lease has this number.
    LeaseNotFound,
}

struct Lease {
    ttl_s: i64,
    ends: Millis,
    keys: BTreeSet<Vec<u8>>,
}

/// State of the store.
pub(super) struct State {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    /// Keys as they stood at the revision `compacted`.
    base: BTreeMap<Vec<u8>, KeyValue>,
    compacted: i64,
    history: VecDeque<Event>,
    max_history: usize,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl State {
    /// An empty store that remembers `max_history` changes.
    pub(super) fn new(max_history: usize) -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            base: BTreeMap::new(),
            compacted: 0,
            history: VecDeque::new(),
            max_history,
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    pub(super) fn revision(&self) -> i64 {
        self.revision
    }

    pub(super) fn compacted(&self) -> i64 {
        self.compacted
    }

    pub(super) fn header(&self) -> Header {
        Header {
            revision: self.revision,
        }
    }

    pub(super) fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Refusal> {
        if request.revision > self.revision {
            return Err(Refusal::FutureRevision);
        }
        if request.revision > 0 && request.revision < self.compacted {
            return Err(Refusal::Compacted);
        }
        let past;
        let keys = if request.revision > 0 {
            past = self.keys_at(request.revision);
            &past
        } else {
            &self.keys
        };
        let limit = usize::try_from(request.limit).unwrap_or(0);
        let limit = if limit == 0 { usize::MAX } else { limit };
        let found = || keys.range(bounds(&request.key, &request.range_end));
        let kvs: Vec<_> = found().take(limit).map(|(_, kv)| kv.clone()).collect();
        let count = found().count();
        Ok(RangeResponse {
            header: self.header(),
            more: count > kvs.len(),
            count: i64::try_from(count).unwrap_or(i64::MAX),
            kvs,
        })
    }

    fn keys_at(&self, revision: i64) -> BTreeMap<Vec<u8>, KeyValue> {
        let mut keys = self.base.clone();
        self.history
            .iter()
            .take_while(|event| event.kv.mod_revision <= revision)
            .for_each(|event| apply(&mut keys, event));
        keys
    }

    pub(super) fn put(&mut self, request: &PutRequest) -> Result<PutResponse, Refusal> {
        self.check_put(request)?;
        let revision = self.revision + 1;
        self.put_at(request, revision);
        self.revision = revision;
        Ok(PutResponse {
            header: self.header(),
        })
    }

    fn check_put(&self, request: &PutRequest) -> Result<(), Refusal> {
        if request.value.len() > MAX_VALUE_BYTES {
            return Err(Refusal::ValueTooLarge);
        }
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return Err(Refusal::LeaseNotFound);
        }
        Ok(())
    }

    fn put_at(&mut self, request: &PutRequest, revision: i64) {
        let old = self.keys.get(&request.key);
        let kv = KeyValue {
            key: request.key.clone(),
            create_revision: old.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: old.map_or(0, |old| old.version) + 1,
            value: request.value.clone(),
            lease: request.lease,
        };
        let old_lease = old.map_or(0, |old| old.lease);
        if let Some(lease) = self.leases.get_mut(&old_lease) {
            lease.keys.remove(&request.key);
        }
        if let Some(lease) = self.leases.get_mut(&request.lease) {
            lease.keys.insert(request.key.clone());
        }
        self.record(Event {
            kind: EventKind::Put,
            kv,
        });
    }

    pub(super) fn delete(&mut self, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let revision = self.revision + 1;
        let deleted = self.delete_at(request, revision);
        if deleted > 0 {
            self.revision = revision;
        }
        DeleteRangeResponse {
            header: self.header(),
            deleted,
        }
    }

    fn delete_at(&mut self, request: &DeleteRangeRequest, revision: i64) -> i64 {
        let found = self.keys.range(bounds(&request.key, &request.range_end));
        let keys: Vec<_> = found.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.delete_key_at(key, revision);
        }
        i64::try_from(keys.len()).unwrap_or(i64::MAX)
    }

    fn delete_key_at(&mut self, key: &[u8], revision: i64) {
        let lease = self.keys.get(key).map_or(0, |kv| kv.lease);
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.remove(key);
        }
        self.record(Event {
            kind: EventKind::Delete,
            kv: KeyValue {
                key: key.to_vec(),
                mod_revision: revision,
                ..KeyValue::default()
            },
        });
    }

    pub(super) fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, Refusal> {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        for op in ops {
            if let RequestOp::Put(put) = op {
                self.check_put(put)?;
            }
        }
        let revision = self.revision + 1;
        let mut has_written = false;
        let mut responses = Vec::with_capacity(ops.len());
        for op in ops {
            let header = Header { revision };
            responses.push(match op {
                RequestOp::Range(range) => ResponseOp::Range(self.range(range)?),
                RequestOp::Put(put) => {
                    self.put_at(put, revision);
                    has_written = true;
                    ResponseOp::Put(PutResponse { header })
                }
                RequestOp::DeleteRange(delete) => {
                    let deleted = self.delete_at(delete, revision);
                    has_written |= deleted > 0;
                    ResponseOp::DeleteRange(DeleteRangeResponse { header, deleted })
                }
            });
        }
        if has_written {
            self.revision = revision;
        }
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    fn holds(&self, compare: &Compare) -> bool {
        let absent = KeyValue::default();
        let kv = self.keys.get(&compare.key).unwrap_or(&absent);
        let order = match compare.target {
            CompareTarget::Version => kv.version.cmp(&compare.version.unwrap_or(0)),
            CompareTarget::Create => kv
                .create_revision
                .cmp(&compare.create_revision.unwrap_or(0)),
            CompareTarget::Mod => kv.mod_revision.cmp(&compare.mod_revision.unwrap_or(0)),
            CompareTarget::Lease => kv.lease.cmp(&compare.lease.unwrap_or(0)),
            CompareTarget::Value => {
                let given = compare.value.as_deref().unwrap_or_default();
                kv.value.as_slice().cmp(given)
            }
        };
        match compare.result {
            CompareResult::Equal => order == Ordering::Equal,
            CompareResult::NotEqual => order != Ordering::Equal,
            CompareResult::Greater => order == Ordering::Greater,
            CompareResult::Less => order == Ordering::Less,
        }
    }

    pub(super) fn grant(&mut self, id: i64, ttl_s: i64, now: Millis) -> i64 {
        let id = if id == 0 { self.next_lease } else { id };
        self.next_lease = self.next_lease.max(id) + 1;
        let lease = Lease {
            ttl_s,
            ends: now.plus(ttl_ms(ttl_s)),
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease and returns its lifetime in seconds; 0 when it has expired.
    pub(super) fn keep_alive(&mut self, id: i64, now: Millis) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.ends = now.plus(ttl_ms(lease.ttl_s));
        lease.ttl_s
    }

    pub(super) fn revoke(&mut self, id: i64) -> Result<(), Refusal> {
        let lease = self.leases.remove(&id).ok_or(Refusal::LeaseNotFound)?;
        if lease.keys.is_empty() {
            return Ok(());
        }
        let revision = self.revision + 1;
        for key in &lease.keys {
            self.delete_key_at(key, revision);
        }
        self.revision = revision;
        Ok(())
    }

    /// Ends the leases whose lifetime is over.
    pub(super) fn expire(&mut self, now: Millis) {
        let is_over = |(_, lease): &(&i64, &Lease)| lease.ends <= now;
        let over: Vec<_> = self
            .leases
            .iter()
            .filter(is_over)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.revoke(id).unwrap_or_default();
        }
    }

    /// Changes of the range from revision `from` on.
    pub(super) fn events(&self, key: &[u8], range_end: &[u8], from: i64) -> Vec<Event> {
        let range = bounds(key, range_end);
        let start = self
            .history
            .partition_point(|event| event.kv.mod_revision < from);
        let is_inside = |event: &&Event| range.contains(&event.kv.key);
        self.history
            .range(start..)
            .filter(is_inside)
            .cloned()
            .collect()
    }

    fn record(&mut self, event: Event) {
        apply(&mut self.keys, &event);
        self.history.push_back(event);
        while self.history.len() > self.max_history {
            let Some(oldest) = self.history.pop_front() else {
                return;
            };
            self.compacted = oldest.kv.mod_revision;
            apply(&mut self.base, &oldest);
        }
    }
}

fn apply(keys: &mut BTreeMap<Vec<u8>, KeyValue>, event: &Event) {
    match event.kind {
        EventKind::Put => {
            keys.insert(event.kv.key.clone(), event.kv.clone());
        }
        EventKind::Delete => {
            keys.remove(&event.kv.key);
        }
    }
}

fn ttl_ms(ttl_s: i64) -> u64 {
    u64::try_from(ttl_s).unwrap_or(0) * 1_000
}

/// The range of keys that `key` and `range_end` name by the rules of etcd.
fn bounds(key: &[u8], range_end: &[u8]) -> (Bound<Vec<u8>>, Bound<Vec<u8>>) {
    let first = Bound::Included(key.to_vec());
    let last = match range_end {
        [] => Bound::Included(key.to_vec()),
        [0] => Bound::Unbounded,
        end if end <= key => Bound::Excluded(key.to_vec()),
        end => Bound::Excluded(end.to_vec()),
    };
    (first, last)
}
