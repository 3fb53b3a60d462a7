//! Reads of keys and key ranges.

use super::{CallKind, StoreClient, StoreError, StoredRecord};
use carobwheel_wire::etcd::{prefix_end, RangeRequest, RangeResponse, RANGE_PATH};

/// Maximum number of keys per page of a range read.
const PAGE_KEYS: i64 = 1_000;

/// Keys to read or watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyRange {
    /// One key.
    Key(String),
    /// All keys with this prefix.
    Prefix(String),
}

impl KeyRange {
    /// Returns the first key and the end of the range in the store's encoding.
    pub(super) fn bounds(&self) -> (Vec<u8>, Vec<u8>) {
        match self {
            Self::Key(key) => (key.as_bytes().to_vec(), Vec::new()),
            Self::Prefix(prefix) => (prefix.as_bytes().to_vec(), prefix_end(prefix.as_bytes())),
        }
    }
}

/// Consistent state of a range of keys at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the store. A watch continues from the next one.
    pub revision: i64,
    /// Records found, in ascending order of their keys.
    pub records: Vec<StoredRecord>,
}

impl StoreClient {
    /// Reads `key`.
    ///
    /// # Errors
    ///
    /// Fails when neither of two attempts is answered.
    pub async fn get(&self, key: &str) -> Result<Option<StoredRecord>, StoreError> {
        let snapshot = self.read(&KeyRange::Key(key.to_owned())).await?;
        Ok(snapshot.records.into_iter().next())
    }

    /// Reads all keys with the prefix `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when neither of two attempts is answered.
    pub async fn range(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        self.read(&KeyRange::Prefix(prefix.to_owned())).await
    }

    /// Reads the keys of `range` in pages, all at the same revision.
    ///
    /// # Errors
    ///
    /// Fails when neither of two attempts is answered.
    pub async fn read(&self, range: &KeyRange) -> Result<Snapshot, StoreError> {
        let (key, range_end) = range.bounds();
        let mut request = RangeRequest {
            key,
            range_end,
            limit: PAGE_KEYS,
            revision: 0,
        };
        let mut snapshot = Snapshot::default();
        loop {
            let page: RangeResponse = self.call(CallKind::Read, RANGE_PATH, &request).await?;
            if snapshot.revision == 0 {
                snapshot.revision = page.header.revision;
                request.revision = page.header.revision;
            }
            let last_key = page.kvs.last().map(|kv| kv.key.clone());
            snapshot
                .records
                .extend(page.kvs.into_iter().map(StoredRecord::new));
            match last_key {
                Some(last_key) if page.more => {
                    request.key = last_key;
                    request.key.push(0);
                }
                _ => return Ok(snapshot),
            }
        }
    }
}
