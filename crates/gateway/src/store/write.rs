//! Writes, and settling those whose answer was lost.

use super::{call::Connection, record, CallKind, StoreClient, StoreError, StoredRecord};
use carobwheel_wire::etcd::{
    Compare, DeleteRangeRequest, KeyValue, PutRequest, PutResponse, RangeRequest, RangeResponse,
    RequestOp, ResponseOp, TxnRequest, TxnResponse, MAX_VALUE_BYTES, PUT_PATH, RANGE_PATH,
    TXN_PATH,
};

/// Most old values read to find a lost write under later ones.
const MAX_SETTLE_READS: usize = 8;
/// HTTP status for a value that is not JSON or too long, which is refused here already.
const BAD_REQUEST: u16 = 400;

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect, exactly once.
    Written {
        /// Revision of the write, to be named in the next compare-and-swap.
        revision: i64,
    },
    /// The key was not as expected, and the write had no effect.
    Conflict {
        /// The key as it stands; `None` if absent.
        current: Option<StoredRecord>,
    },
    /// The write had no effect, and the state of the key is not known.
    NotWritten {
        /// Why nothing was written.
        cause: StoreError,
    },
    /// The write may have had an effect, or may have one yet.
    Unknown {
        /// Why the last attempt failed.
        cause: StoreError,
    },
}

/// One conditional write.
struct Write<'a> {
    key: &'a str,
    /// Revision that the key has to have; 0 if it has to be absent.
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
    /// Creates `key`, which has to be absent. With a `lease` other than 0 the key ends with it.
    pub async fn create(&self, key: &str, value: &[u8], lease: i64) -> WriteOutcome {
        self.put_if(key, 0, value, lease).await
    }

    /// Replaces the value of `key`, whose last write has to have the revision `expected`.
    pub async fn compare_and_swap(&self, key: &str, expected: i64, value: &[u8]) -> WriteOutcome {
        self.put_if(key, expected, value, 0).await
    }

    /// Writes `key` if its last write has the revision `expected`; with 0, if it is absent. With a
    /// `lease` other than 0 the key ends with it.
    pub async fn put_if(&self, key: &str, expected: i64, value: &[u8], lease: i64) -> WriteOutcome {
        let stored = match self.seal(key, value) {
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

    /// Deletes `key` if its last write has the revision `expected`. A key found absent after a lost
    /// answer counts as deleted by this call.
    pub async fn delete_if(&self, key: &str, expected: i64) -> WriteOutcome {
        let write = Write {
            key,
            expected,
            stored: None,
            lease: 0,
        };
        self.write(&write).await
    }

    /// Writes `key` whatever it holds. Only for keys with a single writer, since a repeated attempt
    /// may overwrite what another one wrote in between.
    pub async fn put(&self, key: &str, value: &[u8], lease: i64) -> WriteOutcome {
        let stored = match self.seal(key, value) {
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

    fn seal(&self, key: &str, value: &[u8]) -> Result<Vec<u8>, StoreError> {
        let refused = |message| StoreError::Refused {
            status: BAD_REQUEST,
            message,
        };
        let stored = record::seal(key, value, &self.next_mark())
            .map_err(|err| refused(format!("the value of `{key}` is not JSON: {err}")))?;
        if stored.len() > MAX_VALUE_BYTES {
            let bytes = stored.len();
            return Err(refused(format!(
                "the value of `{key}` has {bytes} bytes, at most {MAX_VALUE_BYTES} are allowed"
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
            Err(cause) if !cause.is_worth_another_attempt() => return lost(cause, true),
            Err(cause) => cause,
        };
        // The same condition makes a second attempt harmless: at most one of the two takes effect.
        self.charge(CallKind::Write);
        let second: Result<TxnResponse, _> =
            self.attempt(TXN_PATH, &request, Connection::Fresh).await;
        match second {
            Ok(answer) if answer.succeeded || first_error.is_without_effect() => {
                first_outcome(answer)
            }
            Ok(answer) => self.settle(write, found(answer)).await,
            Err(cause) => lost(cause, first_error.is_without_effect()),
        }
    }

    /// Finds out whether a first attempt took effect, given what stands at the key now.
    async fn settle(&self, write: &Write<'_>, current: Option<KeyValue>) -> WriteOutcome {
        let conflict = WriteOutcome::Conflict {
            current: current.clone().map(StoredRecord::new),
        };
        let Some(mut seen) = current else {
            return match &write.stored {
                // The key is absent, as the caller wanted.
                None => WriteOutcome::Written { revision: 0 },
                Some(_) => conflict,
            };
        };
        let Some(stored) = &write.stored else {
            return conflict;
        };
        for _ in 0..MAX_SETTLE_READS {
            if seen.mod_revision <= write.expected {
                return conflict;
            }
            if seen.value == *stored {
                return WriteOutcome::Written {
                    revision: seen.mod_revision,
                };
            }
            if seen.version <= 1 {
                return conflict;
            }
            match self.read_before(&seen).await {
                Ok(Some(earlier)) => seen = earlier,
                Ok(None) => return conflict,
                Err(cause) => return WriteOutcome::Unknown { cause },
            }
        }
        let cause = StoreError::Malformed("too many writes since the lost one".to_owned());
        WriteOutcome::Unknown { cause }
    }

    /// The value that `kv` replaced.
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

/// The outcome of an answer when no earlier attempt can have taken effect.
fn first_outcome(answer: TxnResponse) -> WriteOutcome {
    if answer.succeeded {
        return WriteOutcome::Written {
            revision: answer.header.revision,
        };
    }
    WriteOutcome::Conflict {
        current: found(answer).map(StoredRecord::new),
    }
}

/// The outcome when the last attempt failed.
fn lost(cause: StoreError, is_first_without_effect: bool) -> WriteOutcome {
    if is_first_without_effect && cause.is_without_effect() {
        return WriteOutcome::NotWritten { cause };
    }
    WriteOutcome::Unknown { cause }
}

/// The key that a failed condition read back.
fn found(answer: TxnResponse) -> Option<KeyValue> {
    let read = answer
        .responses
        .into_iter()
        .find_map(|response| match response {
            ResponseOp::Range(range) => Some(range),
            _ => None,
        })?;
    read.kvs.into_iter().next()
}
