//! Sends calls to the store, with a timeout per attempt and at most one retry.

use super::{lock, CallKind, StoreClient, StoreError};
use carobwheel_wire::etcd::ErrorBody;
use reqwest::{redirect::Policy, Client, Response};
use serde::{de::DeserializeOwned, Serialize};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Time after which an idle connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Builds an HTTP client that neither retries nor follows redirects by itself.
pub(super) fn build_client(is_pooling: bool) -> Result<Client, StoreError> {
    // An error means that a provider is already installed.
    let _ = rustls::crypto::ring::default_provider().install_default();
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
        .pool_max_idle_per_host(if is_pooling { MAX_IDLE_CONNECTIONS } else { 0 })
        .build()
        .map_err(|err| StoreError::Setup(err.to_string()))
}

/// Connection used for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connection {
    /// A connection from the pool, possibly used before.
    Pooled,
    /// A new connection, from a new local port.
    Fresh,
}

impl StoreClient {
    /// Waits until the budget and the back-off admit one call.
    pub(super) async fn admit(&self, kind: CallKind) -> Result<(), StoreError> {
        let timeout_ms = self.inner.options.budget_timeout_ms;
        let start = self.inner.clock.now();
        loop {
            let now = self.inner.clock.now();
            let admission = lock(&self.inner.budget).take(kind, now);
            let Err(retry_after_ms) = admission else {
                break;
            };
            if now.since(start) + retry_after_ms > timeout_ms {
                return Err(StoreError::OverBudget { retry_after_ms });
            }
            sleep(Duration::from_millis(retry_after_ms)).await;
        }
        let now = self.inner.clock.now();
        lock(&self.inner.backoff)
            .admit(now)
            .map_err(|retry_after_ms| StoreError::BackingOff { retry_after_ms })
    }

    /// Charges the budget for a call that is made in any case.
    pub(super) fn charge(&self, kind: CallKind) {
        lock(&self.inner.budget).charge(kind, self.inner.clock.now());
    }

    /// Makes one attempt of a call and records the result for the back-off.
    pub(super) async fn attempt<A: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
        connection: Connection,
    ) -> Result<A, StoreError> {
        let timeout_ms = self.inner.options.attempt_timeout_ms;
        let exchange = async {
            let response = self.send(path, request, connection).await?;
            let body = response.bytes().await.map_err(connection_error)?;
            serde_json::from_slice(&body).map_err(|err| StoreError::Malformed(err.to_string()))
        };
        let result = timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .unwrap_or(Err(StoreError::Timeout(timeout_ms)));
        self.record_result(result.as_ref().err());
        if matches!(result, Err(StoreError::Timeout(_))) && connection == Connection::Pooled {
            self.discard_idle_connections();
        }
        result
    }

    /// Makes an idempotent call, with one retry on a new connection.
    pub(super) async fn call<A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        request: &impl Serialize,
    ) -> Result<A, StoreError> {
        self.admit(kind).await?;
        let first = self.attempt(path, request, Connection::Pooled).await;
        match first {
            Err(err) if err.is_retryable() => {
                self.charge(kind);
                self.attempt(path, request, Connection::Fresh).await
            }
            first => first,
        }
    }

    /// Sends a request and waits for the head of a successful response.
    pub(super) async fn send(
        &self,
        path: &str,
        request: &impl Serialize,
        connection: Connection,
    ) -> Result<Response, StoreError> {
        let body =
            serde_json::to_vec(request).map_err(|err| StoreError::Malformed(err.to_string()))?;
        let client = match connection {
            Connection::Pooled => Client::clone(&self.inner.pooled.load()),
            Connection::Fresh => self.inner.fresh.clone(),
        };
        let response = client
            .post(format!("{}{path}", self.inner.options.url))
            .header(reqwest::header::CONTENT_TYPE, "application/json")
            .body(body)
            .send()
            .await
            .map_err(|err| match err.is_connect() {
                true => StoreError::Connect(root_cause(&err)),
                false => StoreError::Broken(root_cause(&err)),
            })?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(error_response(response).await)
    }

    /// Records the result of an attempt for the back-off.
    pub(super) fn record_result(&self, error: Option<&StoreError>) {
        let now = self.inner.clock.now();
        let jitter = self.jitter();
        let mut backoff = lock(&self.inner.backoff);
        match error {
            Some(err) if err.is_retryable() => backoff.record_failure(now, jitter),
            _ => backoff.record_success(),
        }
        let is_open = backoff.is_open();
        drop(backoff);
        if is_open {
            lock(&self.inner.budget).drain(now);
        }
    }

    /// Replaces the pooled client, all of whose idle connections may be dead.
    fn discard_idle_connections(&self) {
        if let Ok(client) = build_client(true) {
            self.inner.pooled.store(Arc::new(client));
        }
    }
}

async fn error_response(response: Response) -> StoreError {
    let status = response.status().as_u16();
    let body = response.bytes().await.unwrap_or_default();
    let parsed: Result<ErrorBody, _> = serde_json::from_slice(&body);
    let message = parsed.map(|body| body.message).unwrap_or_default();
    if status >= 500 {
        return StoreError::Unavailable { status, message };
    }
    StoreError::Refused { status, message }
}

pub(super) fn connection_error(err: reqwest::Error) -> StoreError {
    StoreError::Broken(root_cause(&err))
}

fn root_cause(err: &dyn std::error::Error) -> String {
    let mut cause = err;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
