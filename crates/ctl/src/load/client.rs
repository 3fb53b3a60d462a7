//! One caller of the load.

use super::Args;
use reqwest::Client;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(600);

/// How one request ended.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    /// HTTP status; 0 if there was no answer.
    pub(super) status: u16,
    /// Machine-readable code of a refusal, or what went wrong.
    pub(super) code: Option<String>,
    /// From the scheduled arrival to the first byte of the answer's body.
    pub(super) first_byte: Option<Duration>,
    /// From the scheduled arrival to the end of the answer.
    pub(super) total: Duration,
    /// Longest and summed gaps between chunks, with their number.
    pub(super) gaps: Vec<Duration>,
    /// The answer was whole.
    pub(super) is_whole: bool,
}

impl Outcome {
    /// A request without an answer.
    pub(super) fn failed(code: &str) -> Self {
        Self {
            status: 0,
            code: Some(code.to_owned()),
            first_byte: None,
            total: Duration::ZERO,
            gaps: Vec::new(),
            is_whole: false,
        }
    }
}

/// Sends requests to one base URL.
#[derive(Clone)]
pub(super) struct Caller {
    client: Client,
    url: String,
    key: String,
    model: String,
    max_tokens: u64,
    is_streamed: bool,
}

impl Caller {
    pub(super) fn new(url: &str, key: &str, args: &Args) -> anyhow::Result<Self> {
        Ok(Self {
            client: Client::builder().no_proxy().timeout(TIMEOUT).build()?,
            url: format!("{}/v1/chat/completions", url.trim_end_matches('/')),
            key: key.to_owned(),
            model: args.model.clone(),
            max_tokens: args.max_tokens,
            is_streamed: !args.whole,
        })
    }

    /// Sends one request that was due at `arrival`.
    pub(super) async fn ask(self, prompt: String, arrival: Instant) -> Outcome {
        let body = serde_json::json!({
            "model": self.model,
            "stream": self.is_streamed,
            "max_tokens": self.max_tokens,
            "messages": [{"role": "user", "content": prompt}],
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
                ..Outcome::failed(kind_of(&err))
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
            is_whole: false,
        };
        let mut body = Vec::new();
        let mut last = arrival;
        while let Some(chunk) = response.chunk().await? {
            let now = Instant::now();
            match outcome.first_byte {
                None => outcome.first_byte = Some(now - arrival),
                Some(_) => outcome.gaps.push(now - last),
            }
            last = now;
            body.extend_from_slice(&chunk);
        }
        outcome.total = arrival.elapsed();
        let is_stream_whole = !self.is_streamed || body.trim_ascii_end().ends_with(b"[DONE]");
        outcome.is_whole = status == 200 && is_stream_whole;
        if !outcome.is_whole {
            outcome.code = Some(code_of(&body));
        }
        Ok(outcome)
    }
}

fn kind_of(err: &reqwest::Error) -> &'static str {
    if err.is_timeout() {
        return "timeout";
    }
    if err.is_connect() {
        return "not_connected";
    }
    "broken"
}

fn code_of(body: &[u8]) -> String {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    value
        .as_ref()
        .and_then(|value| value["error"]["code"].as_str())
        .unwrap_or("incomplete")
        .to_owned()
}
