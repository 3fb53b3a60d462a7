//! HTTP client that sends the requests of a load run.

use super::Args;
use reqwest::Client;
use std::time::{Duration, Instant};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// Outcome of one request.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    /// HTTP status; 0 if there was no response.
    pub(super) status: u16,
    /// Error code of the response, or the kind of failure; `None` for a complete response.
    pub(super) code: Option<String>,
    /// Time from the scheduled arrival to the first byte of the response's body.
    pub(super) first_byte: Option<Duration>,
    /// Time from the scheduled arrival to the end of the response.
    pub(super) total: Duration,
    /// Longest and summed gaps between chunks, with their number.
    pub(super) gaps: Vec<Duration>,
    /// Whether the response was successful and complete.
    pub(super) is_complete: bool,
}

impl Outcome {
    /// Creates the outcome of a request without a response.
    pub(super) fn failed(code: &str) -> Self {
        Self {
            status: 0,
            code: Some(code.to_owned()),
            first_byte: None,
            total: Duration::ZERO,
            gaps: Vec::new(),
            is_complete: false,
        }
    }
}

/// Client for one base URL.
#[derive(Clone)]
pub(super) struct LoadClient {
    client: Client,
    url: String,
    key: String,
    model: String,
    max_tokens: u64,
    is_streamed: bool,
}

impl LoadClient {
    pub(super) fn new(url: &str, key: &str, args: &Args) -> anyhow::Result<Self> {
        Ok(Self {
            client: Client::builder()
                .no_proxy()
                .timeout(REQUEST_TIMEOUT)
                .build()?,
            url: format!("{}/v1/chat/completions", url.trim_end_matches('/')),
            key: key.to_owned(),
            model: args.model.clone(),
            max_tokens: args.max_tokens,
            is_streamed: !args.whole,
        })
    }

    /// Sends one request whose scheduled arrival is `arrival`, with `first_message` before its
    /// prompt.
    pub(super) async fn send(
        self,
        first_message: Option<String>,
        prompt: String,
        arrival: Instant,
    ) -> Outcome {
        let contents = first_message.into_iter().chain([prompt]);
        let messages: Vec<_> = contents
            .map(|content| serde_json::json!({"role": "user", "content": content}))
            .collect();
        let body = serde_json::json!({
            "model": self.model,
            "stream": self.is_streamed,
            "max_tokens": self.max_tokens,
            "messages": messages,
        });
        let request = self
            .client
            .post(&self.url)
            .bearer_auth(&self.key)
            .json(&body);
        match self.exchange(request, arrival).await {
            Ok(outcome) => outcome,
            Err(err) => Outcome {
                total: arrival.elapsed(),
                ..Outcome::failed(failure_code(&err))
            },
        }
    }

    async fn exchange(
        &self,
        request: reqwest::RequestBuilder,
        arrival: Instant,
    ) -> reqwest::Result<Outcome> {
        let mut response = request.send().await?;
        let status = response.status().as_u16();
        let mut outcome = Outcome {
            status,
            code: None,
            first_byte: None,
            total: Duration::ZERO,
            gaps: Vec::new(),
            is_complete: false,
        };
        let mut body = Vec::new();
        let mut last_chunk = arrival;
        while let Some(chunk) = response.chunk().await? {
            let now = Instant::now();
            match outcome.first_byte {
                None => outcome.first_byte = Some(now - arrival),
                Some(_) => outcome.gaps.push(now - last_chunk),
            }
            last_chunk = now;
            body.extend_from_slice(&chunk);
        }
        outcome.total = arrival.elapsed();
        let has_stream_end = !self.is_streamed || body.trim_ascii_end().ends_with(b"[DONE]");
        outcome.is_complete = status == 200 && has_stream_end;
        if !outcome.is_complete {
            outcome.code = Some(response_code(&body));
        }
        Ok(outcome)
    }
}

fn failure_code(err: &reqwest::Error) -> &'static str {
    if err.is_timeout() {
        return "timeout";
    }
    if err.is_connect() {
        return "not_connected";
    }
    "broken"
}

fn response_code(body: &[u8]) -> String {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    value
        .as_ref()
        .and_then(|value| value["error"]["code"].as_str())
        .unwrap_or("incomplete")
        .to_owned()
}
