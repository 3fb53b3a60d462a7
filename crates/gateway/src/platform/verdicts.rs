//! Writes and reads verdicts on rollouts in the store.

use super::report;
use crate::{
    decide,
    ring::Sender,
    store::{StoreClient, StoredRecord, WriteOutcome},
};
use carobwheel_core::{
    id::{InstanceId, RolloutId},
    rollout::{verdict_key, Verdict, VerdictAnswer, VerdictRecord},
};

/// Writes a verdict, unless the store already has one, and reports the answer.
pub(super) async fn write(
    store: StoreClient,
    decide: Sender<decide::Event>,
    written_by: InstanceId,
    rollout: RolloutId,
    call: u32,
    verdict: Verdict,
) {
    let record = VerdictRecord {
        verdict,
        written_by,
    };
    let answer = match serde_json::to_vec(&record) {
        Ok(value) => answer_of(store.create(&verdict_key(&rollout), &value, 0).await),
        Err(_) => VerdictAnswer::NotSent,
    };
    report_answer(rollout, call, answer, &decide).await;
}

/// Reads a verdict and reports the answer.
pub(super) async fn read(
    store: StoreClient,
    decide: Sender<decide::Event>,
    rollout: RolloutId,
    call: u32,
) {
    let answer = match store.get(&verdict_key(&rollout)).await {
        Ok(Some(record)) => parse_verdict(&record),
        Ok(None) => VerdictAnswer::Absent,
        Err(_) => VerdictAnswer::Lost,
    };
    report_answer(rollout, call, answer, &decide).await;
}

async fn report_answer(
    rollout: RolloutId,
    call: u32,
    answer: VerdictAnswer,
    decide: &Sender<decide::Event>,
) {
    let event = decide::Event::Verdict {
        rollout,
        call,
        answer,
    };
    report(event, decide).await;
}

fn answer_of(written: WriteOutcome) -> VerdictAnswer {
    match written {
        WriteOutcome::Written { .. } => VerdictAnswer::Written,
        WriteOutcome::Conflict {
            current: Some(record),
        } => parse_verdict(&record),
        WriteOutcome::Conflict { current: None } => VerdictAnswer::Absent,
        WriteOutcome::NotWritten { .. } => VerdictAnswer::NotSent,
        WriteOutcome::Unknown { .. } => VerdictAnswer::Lost,
    }
}

fn parse_verdict(record: &StoredRecord) -> VerdictAnswer {
    match serde_json::from_slice::<VerdictRecord>(&record.value) {
        Ok(stored) => VerdictAnswer::Found(stored.verdict),
        Err(err) => {
            log::error!(key = record.key.as_str(); "cannot parse the verdict: {err}");
            VerdictAnswer::Lost
        }
    }
}
