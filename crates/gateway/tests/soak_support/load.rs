//! Workers that send a random mix of requests as callers.

use super::{
    plan::{Plan, WORKERS},
    record::{Outcome, RequestKind, RequestRecord},
    testbed::{ANSWER_TOKENS, LIMITED_ACCOUNTS, PROMPT_BYTES, WITHDRAWN_ACCOUNT},
};
use crate::support::{chat_body, expected_answer, key_of, Reply, REGIONS};
use carobwheel_standin::service::Receipt;
use futures::future::join_all;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Timeout of a caller, longer than a deadline, a pause and a drain together.
const CALLER_TIMEOUT: Duration = Duration::from_secs(45);
/// Delay between two requests of a worker, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 20..120;

/// Instance that callers may send requests to.
#[derive(Clone)]
pub(crate) struct Target {
    pub(crate) id: String,
    pub(crate) region: &'static str,
    pub(crate) url: String,
}

/// State shared by the workers.
#[derive(Default)]
pub(crate) struct LoadState {
    pub(crate) targets: Mutex<Vec<Target>>,
    pub(crate) records: Mutex<Vec<RequestRecord>>,
}

impl LoadState {
    pub(crate) fn answered(&self) -> usize {
        self.records.lock().unwrap().len()
    }

    pub(crate) fn targets(&self) -> Vec<Target> {
        self.targets.lock().unwrap().clone()
    }
}

/// Request that has not been sent.
#[derive(Clone)]
pub(crate) struct Request {
    pub(crate) kind: RequestKind,
    pub(crate) account: String,
    pub(crate) marker: String,
    model: &'static str,
}

impl Request {
    /// Creates a chat request of an account without a model of its own.
    pub(crate) fn question(account: &str, marker: &str) -> Self {
        Self {
            kind: RequestKind::NonStreamedChat,
            account: account.to_owned(),
            marker: marker.to_owned(),
            model: "appraiser",
        }
    }

    fn random(rng: &mut StdRng, marker: String) -> Self {
        let index = rng.random_range(0..10);
        if index < 2 {
            let limited = &LIMITED_ACCOUNTS[index];
            return Self {
                kind: random_chat(rng),
                model: limited.model,
                ..Self::question(limited.account, &format!("{marker}.{}", limited.account))
            };
        }
        let account = match index {
            2..5 => format!("{}-office", REGIONS[index - 2]),
            5 => WITHDRAWN_ACCOUNT.to_owned(),
            _ => "insurers".to_owned(),
        };
        let kind = match rng.random_range(0..10) {
            0..5 => random_chat(rng),
            5..8 => RequestKind::KeyedAction,
            8 => RequestKind::KeylessAction,
            _ => RequestKind::Plain,
        };
        Self {
            kind,
            ..Self::question(&account, &format!("{marker}.{account}"))
        }
    }

    fn prompt(&self) -> String {
        format!("{:.<PROMPT_BYTES$}", format!("{}|", self.marker))
    }

    fn text(&self) -> String {
        format!("{}|", self.marker)
    }

    fn build(&self, http: &reqwest::Client, url: &str) -> reqwest::RequestBuilder {
        let is_stream = self.kind == RequestKind::StreamedChat;
        let chat = || {
            let model = format!("\"model\":\"{}\"", self.model);
            chat_body(&self.prompt(), is_stream)
                .replace("\"model\":\"appraiser\"", &model)
                .replace(
                    "\"max_tokens\":1000",
                    &format!("\"max_tokens\":{ANSWER_TOKENS}"),
                )
        };
        let (path, body) = match self.kind {
            RequestKind::NonStreamedChat | RequestKind::StreamedChat => {
                ("/v1/chat/completions", chat())
            }
            RequestKind::KeyedAction | RequestKind::KeylessAction => {
                ("/ledger/confirmations", self.text())
            }
            RequestKind::Plain => ("/rounds/today", self.text()),
        };
        let request = http
            .post(format!("{url}{path}"))
            .bearer_auth(key_of(&self.account));
        let request = if self.kind == RequestKind::KeyedAction {
            request.header("idempotency-key", &self.marker)
        } else {
            request
        };
        request.body(body)
    }

    fn is_expected_answer(&self, reply: &Reply) -> bool {
        let of_service = || {
            let body = reply.body.as_ref().ok()?;
            let receipt: Receipt = serde_json::from_str(body).ok()?;
            Some(receipt.body)
        };
        let (got, expected) = match self.kind {
            RequestKind::NonStreamedChat => (
                reply.whole_text(),
                expected_answer(&self.prompt(), ANSWER_TOKENS),
            ),
            RequestKind::StreamedChat => (
                reply.streamed_text(),
                expected_answer(&self.prompt(), ANSWER_TOKENS),
            ),
            _ => (of_service(), self.text()),
        };
        got == Some(expected)
    }

    fn outcome_of_reply(&self, reply: &Reply) -> Outcome {
        if reply.status == 200 && self.is_expected_answer(reply) {
            return Outcome::Completed;
        }
        let is_reported = reply.is_failure();
        match reply.run.as_str() {
            "not-run" if reply.status >= 400 => Outcome::NotRun(reply.status),
            "may-have-run" | "ran" if is_reported => Outcome::Ambiguous(reply.status),
            _ if reply.status == 200 && is_reported => Outcome::Ambiguous(200),
            _ => Outcome::Wrong(format!("{reply:?}")),
        }
    }

    /// Sends the request once.
    pub(crate) async fn send(&self, http: &reqwest::Client, target: &Target) -> RequestRecord {
        let started_at = Instant::now();
        let sent = tokio::time::timeout(CALLER_TIMEOUT, self.exchange(http, &target.url)).await;
        RequestRecord {
            kind: self.kind,
            account: self.account.clone(),
            instance: target.id.clone(),
            marker: self.marker.clone(),
            started_at,
            ended_at: Instant::now(),
            outcome: sent.unwrap_or(Outcome::TimedOut),
        }
    }

    async fn exchange(&self, http: &reqwest::Client, url: &str) -> Outcome {
        let response = match self.build(http, url).send().await {
            Ok(response) => response,
            Err(err) if err.is_connect() => return Outcome::Unsent,
            Err(_) => return Outcome::ConnectionBroken,
        };
        let run = response.headers().get("carobwheel-run");
        let run = run.and_then(|value| value.to_str().ok());
        let reply = Reply {
            status: response.status().as_u16(),
            run: run.unwrap_or_default().to_owned(),
            body: response.text().await.map_err(|err| err.to_string()),
        };
        self.outcome_of_reply(&reply)
    }
}

fn random_chat(rng: &mut StdRng) -> RequestKind {
    if rng.random() {
        RequestKind::StreamedChat
    } else {
        RequestKind::NonStreamedChat
    }
}

/// Creates a client that opens a new connection for each request, so that a connection closed
/// while idle does not count as broken.
pub(crate) fn http_client() -> reqwest::Client {
    let _ = rustls::crypto::ring::default_provider().install_default();
    reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .pool_max_idle_per_host(0)
        .build()
        .unwrap()
}

/// Starts all workers.
pub(crate) fn start(
    plan: Plan,
    start: Instant,
    load_state: &Arc<LoadState>,
) -> tokio::task::JoinHandle<()> {
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| tokio::spawn(work(plan, start, number, load_state.clone())))
        .collect();
    tokio::spawn(async move {
        for worker in join_all(workers).await {
            worker.unwrap();
        }
    })
}

async fn work(plan: Plan, start: Instant, number: usize, load_state: Arc<LoadState>) {
    let mut rng = StdRng::seed_from_u64(plan.seed.wrapping_mul(1_000) + number as u64);
    let http = http_client();
    let mut sent = 0;
    while plan.has_more_requests(start, sent) {
        sent += 1;
        let request = Request::random(&mut rng, format!("m{number}-{sent}"));
        let targets = choose_targets(&mut rng, &load_state.targets(), request.kind);
        let records = join_all(targets.iter().map(|target| request.send(&http, target))).await;
        load_state.records.lock().unwrap().extend(records);
        let think_ms = rng.random_range(THINK_TIME_MS);
        tokio::time::sleep(Duration::from_millis(think_ms)).await;
    }
}

/// Chooses one instance, or for half of the keyed actions two or three, of different regions where
/// possible.
fn choose_targets(rng: &mut StdRng, targets: &[Target], kind: RequestKind) -> Vec<Target> {
    let first = targets[rng.random_range(0..targets.len())].clone();
    let other = rng.random_range(0..targets.len());
    let is_repeated = rng.random::<bool>() && kind == RequestKind::KeyedAction;
    let elsewhere = targets
        .iter()
        .cycle()
        .skip(other)
        .take(targets.len())
        .find(|target| target.region != first.region);
    match elsewhere {
        Some(second) if is_repeated => vec![first.clone(), second.clone(), first],
        _ => vec![first],
    }
}
