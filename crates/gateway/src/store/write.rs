//! Conditional writes, and determining the outcome of those whose answer was lost.

use super::{call::Connection, record, CallKind, StoreClient, StoreError, StoredRecord};
use carobwheel_wire::etcd::{
    Compare, DeleteRangeRequest, KeyValue, PutRequest, PutResponse, RangeRequest, RangeResponse,
    RequestOp, ResponseOp, TxnRequest, TxnResponse, MAX_VALUE_BYTES, PUT_PATH, RANGE_PATH,
    TXN_PATH,
};

/// Maximum number of earlier values read to find a write that later ones have replaced.
const MAX_RESOLVE_READS: usize = 8;
/// HTTP status reported for a value that the client itself refuses: not JSON, or too long.
const BAD_REQUEST: u16 = 400;

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect, exactly once.
    Written {
        /// Revision of the write, which the next compare-and-swap has to expect.
        revision: i64,
    },
    /// The key did not have the expected revision, and the write had no effect.
    Conflict {
        /// Current record of the key; `None` if absent.
        current: Option<StoredRecord>,
    },
    /// The write had no effect; the state of the key is unknown.
    NotWritten {
        /// Error that prevented the write.
        cause: StoreError,
    },
    /// The write may have taken effect or may still do so.
    Unknown {
        /// Error of the last attempt.
        cause: StoreError,
    },
}

/// A conditional write of one key.
struct Write<'a> {
    key: &'a str,
    /// Expected revision of the key; 0 if it has to be absent.
    expected: i64,
    /// Bytes to store; `None` to delete the key.
    stored: Option<Vec<u8>>,
    lease: i64,
}

impl Write<'_> {
    fn request(&self) -> TxnRequest {
        let key = self.key.as_bytes().to_vec();
        let op = match &self.stored {
            Some(value) => RequestOp::Put(PutRequest {
                key: key.clone(),
                value: value.clone(),
                lease: self.lease,
            }),
            None => RequestOp::DeleteRange(DeleteRangeRequest {
                key: key.clone(),
                range_end: Vec::new(),
            }),
        };
        TxnRequest {
            compare: vec![Compare::mod_revision_is(&key, self.expected)],
            success: vec![op],
            failure: vec![RequestOp::Range(RangeRequest {
                key,
                ..RangeRequest::default()
            })],
        }
    }
}

impl StoreClient {
    /// Creates `key`, which has to be absent. A `lease` other than 0 is attached to it.
    pub async fn create(&self, key: &str, value: &[u8], lease: i64) -> WriteOutcome {
        self.put_if(key, 0, value, lease).await
    }

    /// Replaces the value of `key` if its last write has the revision `expected`.
    pub async fn compare_and_swap(&self, key: &str, expected: i64, value: &[u8]) -> WriteOutcome {
        self.put_if(key, expected, value, 0).await
    }

    /// Writes `key` if its last write has the revision `expected`, or if it is absent when
    /// `expected` is 0. A `lease` other than 0 is attached to the key.
    pub async fn put_if(&self, key: &str, expected: i64, value: &[u8], lease: i64) -> WriteOutcome {
        let stored = match self.encode_value(key, value) {
            Ok(stored) => stored,
            Err(cause) => return WriteOutcome::NotWritten { cause },
        };
        let write = Write {
            key,
            expected,
            stored: Some(stored),
            lease,
        };
        self.write(&write).await
    }

    /// Deletes `key` if its last write has the revision `expected`. If the answer is lost and the
    /// key is then found absent, it counts as deleted by this call.
    pub async fn delete_if(&self, key: &str, expected: i64) -> WriteOutcome {
        let write = Write {
            key,
            expected,
            stored: None,
            lease: 0,
        };
        self.write(&write).await
    }

    /// Writes `key` unconditionally. Only for keys with a single writer, since a retry may
    /// overwrite a value that another writer wrote in between.
    pub async fn put(&self, key: &str, value: &[u8], lease: i64) -> WriteOutcome {
        let stored = match self.encode_value(key, value) {
            Ok(stored) => stored,
            Err(cause) => return WriteOutcome::NotWritten { cause },
        };
        let request = PutRequest {
            key: key.as_bytes().to_vec(),
            value: stored,
            lease,
        };
        let put = self
            .call::<PutResponse>(CallKind::Write, PUT_PATH, &request)
            .await;
        match put {
            Ok(put) => WriteOutcome::Written {
                revision: put.header.revision,
            },
            Err(cause @ (StoreError::OverBudget { .. } | StoreError::BackingOff { .. })) => {
                WriteOutcome::NotWritten { cause }
            }
            Err(cause @ StoreError::Refused { .. }) => WriteOutcome::NotWritten { cause },
            Err(cause) => WriteOutcome::Unknown { cause },
        }
    }

    fn encode_value(&self, key: &str, value: &[u8]) -> Result<Vec<u8>, StoreError> {
        let refused = |message| StoreError::Refused {
            status: BAD_REQUEST,
            message,
        };
        let stored = record::encode_value(key, value, &self.next_mark())
            .map_err(|err| refused(format!("value of `{key}` is not JSON: {err}")))?;
        if stored.len() > MAX_VALUE_BYTES {
            let bytes = stored.len();
            return Err(refused(format!(
                "value of `{key}` has {bytes} bytes; at most {MAX_VALUE_BYTES} are allowed"
            )));
        }
        Ok(stored)
    }

    async fn write(&self, write: &Write<'_>) -> WriteOutcome {
        if let Err(cause) = self.admit(CallKind::Write).await {
            return WriteOutcome::NotWritten { cause };
        }
        let request = write.request();
        let first = self.attempt(TXN_PATH, &request, Connection::Pooled).await;
        let first_error = match first {
            Ok(answer) => return first_outcome(answer),
            Err(cause) if !cause.is_retryable() => return failed_outcome(cause, true),
            Err(cause) => cause,
        };
        // Both attempts have the same condition, so at most one of them takes effect.
        self.charge(CallKind::Write);
        let second: Result<TxnResponse, _> =
            self.attempt(TXN_PATH, &request, Connection::Fresh).await;
        match second {
            Ok(answer) if answer.succeeded || first_error.is_without_effect() => {
                first_outcome(answer)
            }
            Ok(answer) => self.resolve(write, read_back(answer)).await,
            Err(cause) => failed_outcome(cause, first_error.is_without_effect()),
        }
    }

    /// Determines whether the first attempt took effect, given the current value of the key.
    async fn resolve(&self, write: &Write<'_>, current: Option<KeyValue>) -> WriteOutcome {
        let conflict = WriteOutcome::Conflict {
            current: current.clone().map(StoredRecord::new),
        };
        let Some(mut candidate) = current else {
            return match &write.stored {
                // The key is absent, as requested.
                None => WriteOutcome::Written { revision: 0 },
                Some(_) => conflict,
            };
        };
        let Some(stored) = &write.stored else {
            return conflict;
        };
        for _ in 0..MAX_RESOLVE_READS {
            if candidate.mod_revision <= write.expected {
                return conflict;
            }
            if candidate.value == *stored {
                return WriteOutcome::Written {
                    revision: candidate.mod_revision,
                };
            }
            if candidate.version <= 1 {
                return conflict;
            }
            match self.read_before(&candidate).await {
                Ok(Some(earlier)) => candidate = earlier,
                Ok(None) => return conflict,
                Err(cause) => return WriteOutcome::Unknown { cause },
            }
        }
        let cause = StoreError::Malformed("too many writes since the unanswered one".to_owned());
        WriteOutcome::Unknown { cause }
    }

    /// Reads the value that `kv` replaced.
    async fn read_before(&self, kv: &KeyValue) -> Result<Option<KeyValue>, StoreError> {
        let request = RangeRequest {
            key: kv.key.clone(),
            revision: kv.mod_revision - 1,
            ..RangeRequest::default()
        };
        let answer: RangeResponse = self.call(CallKind::Read, RANGE_PATH, &request).await?;
        Ok(answer.kvs.into_iter().next())
    }
}

/// Returns the outcome of an answer if no earlier attempt can have taken effect.
fn first_outcome(answer: TxnResponse) -> WriteOutcome {
    if answer.succeeded {
        return WriteOutcome::Written {
            revision: answer.header.revision,
        };
    }
    WriteOutcome::Conflict {
        current: read_back(answer).map(StoredRecord::new),
    }
}

/// Returns the outcome if the last attempt failed.
fn failed_outcome(cause: StoreError, is_first_without_effect: bool) -> WriteOutcome {
    if is_first_without_effect && cause.is_without_effect() {
        return WriteOutcome::NotWritten { cause };
    }
    WriteOutcome::Unknown { cause }
}

/// Returns the key as read back by a transaction whose condition failed.
fn read_back(answer: TxnResponse) -> Option<KeyValue> {
    let read = answer
        .responses
        .into_iter()
        .find_map(|response| match response {
            ResponseOp::Range(range) => Some(range),
            _ => None,
        })?;
    read.kvs.into_iter().next()
}
