//! Recording of verdicts on rollouts.

use super::{
    backoff::Backoff, task::Context, Commit, Expected, Item, StoreError, StoreEvent, StoreUpdate,
    Write,
};
use crate::rollout::Verdict;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// Attempts of a write before it is left to the next periodic check of the trial.
const MAX_ATTEMPTS: u32 = 6;

/// Verdict to record.
#[derive(Clone, Debug)]
pub struct VerdictRecord {
    /// Name of the service.
    pub service: Arc<str>,
    /// Target version of the rollout.
    pub target: Arc<str>,
    /// Verdict on the rollout.
    pub verdict: Verdict,
}

/// Records a verdict, unless a final one on the same target is recorded already.
pub(super) async fn record(context: &Context, key: &str, wanted: &VerdictRecord) {
    let mut backoff = Backoff::default();
    for _ in 0..MAX_ATTEMPTS {
        match try_record(context, key, wanted).await {
            Ok(update) => {
                context.send(StoreEvent::Recorded(update)).await;
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
    let era = (context.ops.era)();
    let known = match (context.ops.get)(key).await {
        Ok(item) => Some(item),
        Err(StoreError::NotFound) => None,
        Err(err) => return Err(err),
    };
    if let Some(recorded) = known
        .as_ref()
        .and_then(|item| recorded(context, item, wanted))
    {
        return Ok(recorded);
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
    if (context.ops.era)() != era {
        // A restored store may have met the condition with a revision of another write.
        return Err(StoreError::Conflict);
    }
    let (service, target) = (Arc::clone(&wanted.service), Arc::clone(&wanted.target));
    Ok(StoreUpdate::Verdict(service, target, wanted.verdict))
}

/// The recorded verdict as an update, if it takes precedence over `wanted`.
fn recorded(context: &Context, item: &Item, wanted: &VerdictRecord) -> Option<StoreUpdate> {
    let update = (context.decoder.written)(&item.key, &item.value);
    match &update {
        StoreUpdate::Verdict(_, target, verdict) if *target == wanted.target => {
            let is_final = *verdict != Verdict::Active || wanted.verdict == Verdict::Active;
            is_final.then_some(update)
        }
        _ => None,
    }
}
