//! Keys, leases and history of the store, without I/O.

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

/// Reason for rejecting a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallError {
    /// The value is longer than [`MAX_VALUE_BYTES`].
    ValueTooLarge,
    /// The revision has been compacted.
    Compacted,
    /// The revision is newer than the current one.
    FutureRevision,
    /// No lease has this identifier.
    LeaseNotFound,
}

#[derive(Clone)]
struct Lease {
    ttl_s: i64,
    expires_at: Millis,
    keys: BTreeSet<Vec<u8>>,
}

/// Contents of the store.
#[derive(Clone)]
pub(super) struct State {
    /// Identifier of the cluster, which changes with each restore.
    cluster_id: u64,
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    /// Keys and values at the revision `compact_revision`.
    compacted_keys: BTreeMap<Vec<u8>, KeyValue>,
    compact_revision: i64,
    history: VecDeque<Event>,
    max_history: usize,
    leases: BTreeMap<i64, Lease>,
    next_lease_id: i64,
}

impl State {
    /// Creates an empty store that keeps the last `max_history` changes.
    pub(super) fn new(max_history: usize) -> Self {
        Self {
            cluster_id: 1,
            revision: 1,
            keys: BTreeMap::new(),
            compacted_keys: BTreeMap::new(),
            compact_revision: 0,
            history: VecDeque::new(),
            max_history,
            leases: BTreeMap::new(),
            next_lease_id: 1,
        }
    }

    pub(super) fn revision(&self) -> i64 {
        self.revision
    }

    /// Goes back to an earlier copy, as a new cluster.
    pub(super) fn restore(&mut self, copy: &Self) {
        let cluster_id = self.cluster_id + 1;
        *self = copy.clone();
        self.cluster_id = cluster_id;
    }

    pub(super) fn compact_revision(&self) -> i64 {
        self.compact_revision
    }

    pub(super) fn header(&self) -> Header {
        Header {
            cluster_id: self.cluster_id,
            revision: self.revision,
        }
    }

    pub(super) fn range(&self, request: &RangeRequest) -> Result<RangeResponse, CallError> {
        if request.revision > self.revision {
            return Err(CallError::FutureRevision);
        }
        if request.revision > 0 && request.revision < self.compact_revision {
            return Err(CallError::Compacted);
        }
        let old_keys;
        let keys = if request.revision > 0 {
            old_keys = self.keys_at(request.revision);
            &old_keys
        } else {
            &self.keys
        };
        let limit = usize::try_from(request.limit).unwrap_or(0);
        let limit = if limit == 0 { usize::MAX } else { limit };
        let found = || keys.range(key_bounds(&request.key, &request.range_end));
        let kvs: Vec<_> = found().take(limit).map(|(_, kv)| kv.clone()).collect();
        let count = found().count();
        Ok(RangeResponse {
            header: self.header(),
            more: count > kvs.len(),
            count: i64::try_from(count).unwrap_or(i64::MAX),
            kvs,
        })
    }

    /// Returns all keys at an earlier revision.
    fn keys_at(&self, revision: i64) -> BTreeMap<Vec<u8>, KeyValue> {
        let mut keys = self.compacted_keys.clone();
        self.history
            .iter()
            .take_while(|event| event.kv.mod_revision <= revision)
            .for_each(|event| apply_event(&mut keys, event));
        keys
    }

    pub(super) fn put(&mut self, request: &PutRequest) -> Result<PutResponse, CallError> {
        self.check_put(request)?;
        let revision = self.revision + 1;
        self.put_at(request, revision);
        self.revision = revision;
        Ok(PutResponse {
            header: self.header(),
        })
    }

    fn check_put(&self, request: &PutRequest) -> Result<(), CallError> {
        if request.value.len() > MAX_VALUE_BYTES {
            return Err(CallError::ValueTooLarge);
        }
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return Err(CallError::LeaseNotFound);
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
        self.append_event(Event {
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
        let found = self
            .keys
            .range(key_bounds(&request.key, &request.range_end));
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
        self.append_event(Event {
            kind: EventKind::Delete,
            kv: KeyValue {
                key: key.to_vec(),
                mod_revision: revision,
                ..KeyValue::default()
            },
        });
    }

    pub(super) fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, CallError> {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
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
            let header = Header {
                revision,
                ..self.header()
            };
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

    /// Returns true if the comparison of a transaction holds. A missing key compares as an empty
    /// value with zero revisions.
    fn is_satisfied(&self, compare: &Compare) -> bool {
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

    pub(super) fn grant_lease(&mut self, id: i64, ttl_s: i64, now: Millis) -> i64 {
        let id = if id == 0 { self.next_lease_id } else { id };
        self.next_lease_id = self.next_lease_id.max(id) + 1;
        let lease = Lease {
            ttl_s,
            expires_at: now.plus(ttl_ms(ttl_s)),
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease and returns its lifetime in seconds, or 0 if the lease does not exist.
    pub(super) fn renew_lease(&mut self, id: i64, now: Millis) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_at = now.plus(ttl_ms(lease.ttl_s));
        lease.ttl_s
    }

    pub(super) fn revoke_lease(&mut self, id: i64) -> Result<(), CallError> {
        let lease = self.leases.remove(&id).ok_or(CallError::LeaseNotFound)?;
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

    /// Revokes all leases whose lifetime has ended.
    pub(super) fn expire_leases(&mut self, now: Millis) {
        let is_expired = |(_, lease): &(&i64, &Lease)| lease.expires_at <= now;
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(is_expired)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id).unwrap_or_default();
        }
    }

    /// Returns the changes in a range of keys from revision `from` on.
    pub(super) fn events(&self, key: &[u8], range_end: &[u8], from: i64) -> Vec<Event> {
        let range = key_bounds(key, range_end);
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

    /// Applies a change and appends it to the history, compacting the oldest changes beyond
    /// `max_history`.
    fn append_event(&mut self, event: Event) {
        apply_event(&mut self.keys, &event);
        self.history.push_back(event);
        while self.history.len() > self.max_history {
            let Some(oldest) = self.history.pop_front() else {
                return;
            };
            self.compact_revision = oldest.kv.mod_revision;
            apply_event(&mut self.compacted_keys, &oldest);
        }
    }
}

fn apply_event(keys: &mut BTreeMap<Vec<u8>, KeyValue>, event: &Event) {
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

/// Returns the range of keys that `key` and `range_end` select by the rules of etcd.
fn key_bounds(key: &[u8], range_end: &[u8]) -> (Bound<Vec<u8>>, Bound<Vec<u8>>) {
    let first = Bound::Included(key.to_vec());
    let last = match range_end {
        [] => Bound::Included(key.to_vec()),
        [0] => Bound::Unbounded,
        end if end <= key => Bound::Excluded(key.to_vec()),
        end => Bound::Excluded(end.to_vec()),
    };
    (first, last)
}
