//! Recording the state of a move to a new version.

use super::{
    backoff::Backoff, task::Context, Commit, Expected, Item, StoreError, StoreEvent, StoreUpdate,
    Write,
};
use crate::rollout::Verdict;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// Times that a write is tried before the next decision about it.
const TRIES: u32 = 6;

/// One state to record.
#[derive(Clone, Debug)]
pub struct VerdictRecord {
    /// Service.
    pub service: Arc<str>,
    /// Version that it moves to.
    pub target: Arc<str>,
    /// State.
    pub verdict: Verdict,
}

/// Records a state, unless a verdict on the same target stands already.
pub(super) async fn record(context: &Context, key: &str, wanted: &VerdictRecord) {
    let mut backoff = Backoff::default();
    for _ in 0..TRIES {
        match try_record(context, key, wanted).await {
            Ok(news) => {
                context.send(StoreEvent::Recorded(news)).await;
                return;
            }
            Err(StoreError::Conflict) => {}
            Err(err) => {
                let failed = StoreEvent::NotRecorded(Arc::clone(&wanted.service), err);
                context.send(failed).await;
                sleep(Duration::from_millis(backoff.failed(rand::random()))).await;
            }
        }
    }
}

async fn try_record(
    context: &Context,
    key: &str,
    wanted: &VerdictRecord,
) -> Result<StoreUpdate, StoreError> {
    let known = match (context.ops.get)(key).await {
        Ok(item) => Some(item),
        Err(StoreError::NotFound) => None,
        Err(err) => return Err(err),
    };
    if let Some(standing) = known
        .as_ref()
        .and_then(|item| standing(context, item, wanted))
    {
        return Ok(standing);
    }
    let expected = Expected {
        key: key.to_owned(),
        revision: known.map_or(0, |item| item.revision),
    };
    let write = Write {
        key: key.to_owned(),
        value: (context.decoder.encode_verdict)(&wanted.target, wanted.verdict),
        lease: 0,
    };
    let commit = Commit {
        expected: vec![expected],
        writes: vec![write],
        removes: Vec::new(),
    };
    (context.ops.commit)(commit).await?;
    let (service, target) = (Arc::clone(&wanted.service), Arc::clone(&wanted.target));
    Ok(StoreUpdate::Verdict(service, target, wanted.verdict))
}

/// The news of what stands already, if it goes before what is wanted.
fn standing(context: &Context, item: &Item, wanted: &VerdictRecord) -> Option<StoreUpdate> {
    let news = (context.decoder.written)(&item.key, &item.value);
    match &news {
        StoreUpdate::Verdict(_, target, verdict) if *target == wanted.target => {
            let is_final = *verdict != Verdict::Active || wanted.verdict == Verdict::Active;
            is_final.then_some(news)
        }
        _ => None,
    }
}
