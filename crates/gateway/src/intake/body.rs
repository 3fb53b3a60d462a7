//! Reading of request bodies, limited in size, memory, time and rate.

use super::{head::BodyLength, IntakeState};
use crate::{
    caller_memory::{held_bytes, ArrivingBody},
    front::{DropReason, IncomingBody},
    refusal::{Cause, Refusal},
    settings::CallerLimits,
};
use bytes::Bytes;
use carobwheel_core::memory::Owner;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use rocket::Request;
use std::time::Duration;
use tokio::time::{sleep_until, timeout, Instant};

/// Memory reserved at first for a body of unknown length, in bytes; it is doubled as the body
/// arrives.
const FIRST_RESERVATION_BYTES: usize = 16 * 1_024;
const MS_PER_S: u64 = 1_000;

/// Reads the body of a request. Its memory stays reserved until the last clone of the bytes is
/// dropped.
pub(super) async fn read(
    shared: &IntakeState,
    request: &Request<'_>,
    owner: Owner,
    length: BodyLength,
    max_body_bytes: u64,
) -> Result<Bytes, Refusal> {
    if matches!(length, BodyLength::Bytes(bytes) if bytes > max_body_bytes) {
        return Err(too_large(max_body_bytes));
    }
    let Some(incoming) = IncomingBody::take(request) else {
        return Ok(Bytes::new());
    };
    let limit = Duration::from_millis(shared.body_timeout_ms);
    let arriving = shared.memory.open_body(owner);
    let reading = receive(shared, incoming, &arriving, length, max_body_bytes);
    let body = tokio::select! {
        body = timeout(limit, reading) => body.map_err(|_| slow())??,
        () = arriving.given_up() => return Err(given_up()),
    };
    check_length(length, body.len() as u64)?;
    let guard = arriving.finish().ok_or_else(given_up)?;
    Ok(held_bytes(body, guard))
}

/// Receives a body into memory that is reserved first.
async fn receive(
    shared: &IntakeState,
    mut incoming: Incoming,
    arriving: &ArrivingBody,
    length: BodyLength,
    max_body_bytes: u64,
) -> Result<Vec<u8>, Refusal> {
    let max_bytes = usize::try_from(max_body_bytes).unwrap_or(usize::MAX);
    let mut body = Vec::new();
    if let BodyLength::Bytes(bytes) = length {
        reserve(
            &mut body,
            arriving,
            usize::try_from(bytes).unwrap_or(usize::MAX),
        )
        .await?;
    }
    let mut rate = MinRate::new(&shared.limits);
    loop {
        let frame = tokio::select! {
            frame = incoming.frame() => frame,
            () = sleep_until(rate.period_end) => {
                rate.end_period().map_err(|SlowBody| slow_body(shared))?;
                continue;
            }
        };
        let Some(frame) = frame else {
            return Ok(body);
        };
        let frame = frame.map_err(|_| broke_off())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if body.len() + data.len() > max_bytes {
            return Err(too_large(max_body_bytes));
        }
        if body.len() + data.len() > body.capacity() {
            let more = body.capacity().max(FIRST_RESERVATION_BYTES).max(data.len());
            let more = more.min(max_bytes - body.capacity());
            reserve(&mut body, arriving, more).await?;
            // The time in which the body waited for memory is not its sender's doing.
            rate = MinRate::new(&shared.limits);
        }
        body.extend_from_slice(&data);
        arriving.progress(data.len());
        rate.received(data.len())
            .map_err(|SlowBody| slow_body(shared))?;
    }
}

/// Reserves `bytes` more than the capacity of `body`.
async fn reserve(body: &mut Vec<u8>, arriving: &ArrivingBody, bytes: usize) -> Result<(), Refusal> {
    arriving.grow(bytes).await.map_err(|_| no_memory())?;
    body.reserve_exact(body.capacity() + bytes - body.len());
    Ok(())
}

/// The body has arrived at less than the minimum rate.
struct SlowBody;

/// Check that a body arrives at the minimum rate in each period, so that a byte now and then does not
/// keep it open.
struct MinRate {
    period: Duration,
    period_end: Instant,
    least_bytes: u64,
    received_bytes: u64,
}

impl MinRate {
    fn new(limits: &CallerLimits) -> Self {
        let period = Duration::from_millis(limits.progress_window_ms);
        Self {
            period,
            period_end: Instant::now() + period,
            least_bytes: limits.min_bytes_per_s * limits.progress_window_ms / MS_PER_S,
            received_bytes: 0,
        }
    }

    fn received(&mut self, bytes: usize) -> Result<(), SlowBody> {
        self.received_bytes += bytes as u64;
        if Instant::now() < self.period_end {
            return Ok(());
        }
        self.end_period()
    }

    fn end_period(&mut self) -> Result<(), SlowBody> {
        if self.received_bytes < self.least_bytes {
            return Err(SlowBody);
        }
        self.received_bytes = 0;
        self.period_end = Instant::now() + self.period;
        Ok(())
    }
}

// A truncated body ends with an error; the check guards against a wrong count all the same.
fn check_length(length: BodyLength, body_bytes: u64) -> Result<(), Refusal> {
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

fn broke_off() -> Refusal {
    Refusal::not_run(Cause::InvalidRequest, "the body broke off")
}

fn slow() -> Refusal {
    Refusal::not_run(Cause::BodyTimeout, "the body did not arrive in time")
}

fn slow_body(shared: &IntakeState) -> Refusal {
    shared.memory.drops().add(DropReason::SlowBody);
    let message = "the body arrives at less than the least rate";
    Refusal::not_run(Cause::BodyTimeout, message)
}

fn given_up() -> Refusal {
    let message = "the body made no progress while other bodies needed its memory";
    Refusal::not_run(Cause::BodyTimeout, message)
}

/// Refusal of a request for which there is no memory now.
pub(super) fn no_memory() -> Refusal {
    let message = "no memory for another request of this size";
    Refusal::not_run(Cause::Overloaded, message).retry_after(1_000)
}
