//! HTTP client that sends requests with an account's key.

use super::key_of;
use carobwheel_standin::engine::answer_text;
use carobwheel_wire::openai::{ChatChunk, ChatCompletion, RequestView, CHAT_PATH, DONE};
use serde_json::json;

/// Maximum output tokens (`max_tokens`) that a request asks for.
const MAX_TOKENS: u64 = 1_000;

/// Caller of one account.
#[derive(Clone)]
pub(crate) struct Caller {
    http: reqwest::Client,
    key: Option<String>,
}

/// Answer as the caller received it.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// Value of `carobwheel-run`.
    pub(crate) run: String,
    /// Body, or the error if it was truncated.
    pub(crate) body: Result<String, String>,
}

impl Reply {
    /// Returns the text of a complete chat answer.
    pub(crate) fn whole_text(&self) -> Option<String> {
        let body = self.body.as_ref().ok()?;
        let answer: ChatCompletion = serde_json::from_str(body).ok()?;
        answer.choices.into_iter().next()?.message.content
    }

    /// Returns the text of a streamed chat answer; `None` if the stream did not end normally.
    pub(crate) fn streamed_text(&self) -> Option<String> {
        let body = self.body.as_ref().ok()?;
        let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
        let events: Vec<_> = lines.collect();
        let (last, chunks) = events.split_last()?;
        if *last != DONE {
            return None;
        }
        let chunks = chunks
            .iter()
            .map(|chunk| serde_json::from_str::<ChatChunk>(chunk));
        let mut text = String::new();
        for chunk in chunks {
            let choice = chunk.ok()?.choices.into_iter().next();
            text.extend(choice.and_then(|choice| choice.delta.content));
        }
        Some(text)
    }

    /// Whether the caller can tell that the answer failed: by the status, by an error event in the
    /// stream, or by a truncated body.
    pub(crate) fn is_failure(&self) -> bool {
        let has_error_event = |body: &String| body.contains("data: {\"error\"");
        self.status >= 400 || self.body.as_ref().map_or(true, has_error_event)
    }
}

impl Caller {
    /// Creates a caller with the key of `account`.
    pub(crate) fn of(account: &str) -> Self {
        Self {
            http: Self::http_client(),
            key: Some(key_of(account)),
        }
    }

    /// Creates a caller with this key.
    pub(crate) fn with_key(key: Option<&str>) -> Self {
        Self {
            http: Self::http_client(),
            key: key.map(str::to_owned),
        }
    }

    pub(crate) fn http_client() -> reqwest::Client {
        let _ = rustls::crypto::ring::default_provider().install_default();
        reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .build()
            .unwrap()
    }

    /// Creates a request with the caller's key.
    pub(crate) fn request(&self, method: &str, url: &str) -> reqwest::RequestBuilder {
        let request = self.http.request(method.parse().unwrap(), url);
        match &self.key {
            Some(key) => request.bearer_auth(key),
            None => request,
        }
    }

    /// Sends a chat request; returns an error if no head of an answer arrived.
    pub(crate) async fn chat(
        &self,
        url: &str,
        prompt: &str,
        stream: bool,
    ) -> Result<Reply, String> {
        let request = self.request("POST", &format!("{url}{CHAT_PATH}"));
        send(request.body(chat_body(prompt, stream))).await
    }

    /// Sends an action with an idempotency key.
    pub(crate) async fn confirm(&self, url: &str, action: &str) -> Result<Reply, String> {
        let request = self.request("POST", &format!("{url}/ledger/confirmations"));
        let request = request.header("idempotency-key", action);
        send(request.body(format!("confirm {action}"))).await
    }
}

/// Sends a request and reads the complete answer.
pub(crate) async fn send(request: reqwest::RequestBuilder) -> Result<Reply, String> {
    let response = request.send().await.map_err(|err| err.to_string())?;
    let run = response.headers().get("carobwheel-run");
    let run = run
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    Ok(Reply {
        status: response.status().as_u16(),
        run: run.to_owned(),
        body: response.text().await.map_err(|err| err.to_string()),
    })
}

/// Returns the body of a chat request.
pub(crate) fn chat_body(prompt: &str, stream: bool) -> String {
    json!({
        "model": "appraiser",
        "stream": stream,
        "max_tokens": MAX_TOKENS,
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string()
}

/// Returns the complete answer of `tokens` tokens to `prompt`.
pub(crate) fn expected_answer(prompt: &str, tokens: u64) -> String {
    let body = chat_body(prompt, false);
    answer_text(&RequestView::parse(body.as_bytes()).unwrap(), tokens)
}
