//! Value that the holders of a duty hand on, read and committed on the store's thread.

use super::StoredState;
use crate::store::{
    Commit, Expected, Position, StoreAccess, StoreCall, StoreError, StoreResult, StoreTask, Write,
};
use carobwheel_core::duty::DutyToken;
use futures::FutureExt as _;
use std::future::Future;
use tokio::sync::{mpsc::Sender, oneshot};

/// Access to the value of one duty.
#[derive(Clone, Debug)]
pub(super) struct StateKey {
    /// Key of the value.
    pub(super) key: String,
    /// Key of the duty's lease, on whose revision a commit depends.
    pub(super) lease_key: String,
    /// Tasks for the store's thread.
    pub(super) tasks: Sender<StoreTask>,
}

impl StateKey {
    /// Reads the value.
    pub(super) async fn read(&self) -> StoreResult<StoredState> {
        let key = self.key.clone();
        self.run(|access| async move {
            let era = (access.ops.era)();
            let (value, revision) = match (access.ops.get)(&key).await {
                Ok(item) => (Some(item.value), item.revision),
                Err(StoreError::NotFound) => (None, 0),
                Err(err) => return Err(err),
            };
            let at = Position { era, revision };
            checked(&access, era, StoredState { value, at })
        })
        .await
    }

    /// Commits a value if nobody has written it since `after`, and if the holder of `token` still holds
    /// the lease. Returns the new position.
    pub(super) async fn commit(
        &self,
        value: Vec<u8>,
        after: Position,
        token: DutyToken,
    ) -> StoreResult<Position> {
        let (key, lease_key) = (self.key.clone(), self.lease_key.clone());
        self.run(move |access| async move {
            let era = (access.ops.era)();
            if era != after.era {
                return Err(StoreError::Conflict);
            }
            let expected = vec![
                Expected {
                    key: key.clone(),
                    revision: after.revision,
                },
                Expected {
                    key: lease_key,
                    revision: token.revision(),
                },
            ];
            let write = Write {
                key,
                value,
                lease: 0,
            };
            let commit = Commit {
                expected,
                writes: vec![write],
                removes: Vec::new(),
            };
            let revision = (access.ops.commit)(commit).await?;
            checked(&access, era, Position { era, revision })
        })
        .await
    }

    /// Runs a call on the store's thread.
    async fn run<T, F>(
        &self,
        call: impl FnOnce(StoreAccess) -> F + Send + 'static,
    ) -> StoreResult<T>
    where
        T: Send + 'static,
        F: Future<Output = StoreResult<T>> + Send + 'static,
    {
        let (answer, answered) = oneshot::channel();
        let task: StoreTask = Box::new(move |access| {
            let call: StoreCall<T> = call(access).boxed();
            async move {
                // The receiver is dropped only at shutdown.
                drop(answer.send(call.await));
            }
            .boxed()
        });
        let is_queued = self.tasks.send(task).await.is_ok();
        let gone = || StoreError::NoAnswer("the store's thread has ended".to_owned());
        if !is_queued {
            return Err(gone());
        }
        answered.await.unwrap_or_else(|_| Err(gone()))
    }
}

/// The result of a call, if the store was not restored meanwhile.
fn checked<T>(access: &StoreAccess, era: u64, result: T) -> StoreResult<T> {
    if (access.ops.era)() == era {
        Ok(result)
    } else {
        Err(StoreError::NoAnswer("the store was restored".to_owned()))
    }
}
