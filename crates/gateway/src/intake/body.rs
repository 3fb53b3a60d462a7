//! Reading of request bodies, limited in size, memory and time.

use super::{head::BodyLength, IntakeState, BODY_UNIT_BYTES};
use crate::refusal::{Cause, Refusal};
use bytes::Bytes;
use rocket::{data::ToByteUnit as _, Data};
use std::{sync::Arc, time::Duration};
use tokio::{sync::OwnedSemaphorePermit, time};

/// A complete request body and the permit for its memory, held while the request runs.
pub(super) struct BufferedBody {
    pub(super) bytes: Bytes,
    pub(super) memory_permit: OwnedSemaphorePermit,
}

/// Reads the body of a request.
pub(super) async fn read(
    shared: &IntakeState,
    data: Data<'_>,
    length: BodyLength,
    max_body_bytes: u64,
) -> Result<BufferedBody, Refusal> {
    let expected_bytes = match length {
        BodyLength::Bytes(bytes) => bytes,
        BodyLength::Unknown => max_body_bytes,
    };
    if expected_bytes > max_body_bytes {
        return Err(too_large(max_body_bytes));
    }
    let mut memory_permit = reserve_memory(shared, expected_bytes)?;
    let limit = max_body_bytes.saturating_add(1).bytes();
    let reading = data.open(limit).into_bytes();
    let timeout = Duration::from_millis(shared.body_timeout_ms);
    let body = time::timeout(timeout, reading)
        .await
        .map_err(|_| Refusal::not_run(Cause::BodyTimeout, "the body did not arrive in time"))?
        .map_err(|_| Refusal::not_run(Cause::InvalidRequest, "the body broke off"))?
        .into_inner();
    check_length(length, body.len() as u64, max_body_bytes)?;
    let spare = memory_permit
        .num_permits()
        .saturating_sub(units(body.len() as u64) as usize);
    drop(memory_permit.split(spare));
    Ok(BufferedBody {
        bytes: body.into(),
        memory_permit,
    })
}

fn units(bytes: u64) -> u32 {
    u32::try_from(bytes.div_ceil(BODY_UNIT_BYTES as u64)).unwrap_or(u32::MAX)
}

/// Reserves memory for a body of `bytes`.
pub(super) fn reserve_memory(
    shared: &IntakeState,
    bytes: u64,
) -> Result<OwnedSemaphorePermit, Refusal> {
    Arc::clone(&shared.body_memory)
        .try_acquire_many_owned(units(bytes))
        .map_err(|_| {
            Refusal::not_run(Cause::Overloaded, "no room for another request body")
                .retry_after(1_000)
        })
}

// Rocket reports a truncated body as complete, so the length is checked here.
fn check_length(length: BodyLength, body_bytes: u64, max_body_bytes: u64) -> Result<(), Refusal> {
    if body_bytes > max_body_bytes {
        return Err(too_large(max_body_bytes));
    }
    match length {
        BodyLength::Bytes(expected_bytes) if expected_bytes != body_bytes => {
            let message = format!("the body has {body_bytes} of {expected_bytes} bytes");
            Err(Refusal::not_run(Cause::InvalidRequest, message))
        }
        _ => Ok(()),
    }
}

fn too_large(max_body_bytes: u64) -> Refusal {
    let message = format!("the body is longer than {max_body_bytes} bytes");
    Refusal::not_run(Cause::TooLarge, message)
}
