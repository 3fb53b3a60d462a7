//! Callers that send a random mix of requests.

use super::{
    plan::{Plan, WORKERS},
    record::{Kind, Outcome, Record},
    stage::{LIMITED, PROMPT_BYTES, TOKENS, WITHDRAWN},
};
use crate::support::{chat_body, expected_answer, key_of, Reply, REGIONS};
use carobwheel_standin::service::Receipt;
use futures::future::join_all;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Longest wait of a caller: longer than any deadline, pause and drain together.
const PATIENCE: Duration = Duration::from_secs(45);
/// Pause of a worker between two requests, in milliseconds.
const THINK_MS: std::ops::Range<u64> = 20..120;

/// An instance that callers may ask.
#[derive(Clone)]
pub(crate) struct Target {
    pub(crate) id: String,
    pub(crate) region: &'static str,
    pub(crate) url: String,
}

/// What the workers share.
#[derive(Default)]
pub(crate) struct Board {
    pub(crate) targets: Mutex<Vec<Target>>,
    pub(crate) records: Mutex<Vec<Record>>,
}

impl Board {
    pub(crate) fn answered(&self) -> usize {
        self.records.lock().unwrap().len()
    }

    pub(crate) fn targets(&self) -> Vec<Target> {
        self.targets.lock().unwrap().clone()
    }
}

/// A request that has not been sent.
#[derive(Clone)]
pub(crate) struct Request {
    pub(crate) kind: Kind,
    pub(crate) account: String,
    pub(crate) mark: String,
    model: &'static str,
}

impl Request {
    /// A question of an account that has no model of its own.
    pub(crate) fn question(account: &str, mark: &str) -> Self {
        Self {
            kind: Kind::WholeChat,
            account: account.to_owned(),
            mark: mark.to_owned(),
            model: "appraiser",
        }
    }

    fn random(rng: &mut StdRng, mark: String) -> Self {
        let place = rng.random_range(0..10);
        if place < 2 {
            let limited = &LIMITED[place];
            return Self {
                kind: random_chat(rng),
                model: limited.model,
                ..Self::question(limited.account, &format!("{mark}.{}", limited.account))
            };
        }
        let account = match place {
            2..5 => format!("{}-office", REGIONS[place - 2]),
            5 => WITHDRAWN.to_owned(),
            _ => "insurers".to_owned(),
        };
        let kind = match rng.random_range(0..10) {
            0..5 => random_chat(rng),
            5..8 => Kind::KeyedAction,
            8 => Kind::KeylessAction,
            _ => Kind::Plain,
        };
        Self {
            kind,
            ..Self::question(&account, &format!("{mark}.{account}"))
        }
    }

    fn prompt(&self) -> String {
        format!("{:.<PROMPT_BYTES$}", format!("{}|", self.mark))
    }

    fn text(&self) -> String {
        format!("{}|", self.mark)
    }

    fn build(&self, http: &reqwest::Client, url: &str) -> reqwest::RequestBuilder {
        let is_stream = self.kind == Kind::StreamedChat;
        let chat = || {
            let model = format!("\"model\":\"{}\"", self.model);
            chat_body(&self.prompt(), is_stream)
                .replace("\"model\":\"appraiser\"", &model)
                .replace("\"max_tokens\":1000", &format!("\"max_tokens\":{TOKENS}"))
        };
        let (path, body) = match self.kind {
            Kind::WholeChat | Kind::StreamedChat => ("/v1/chat/completions", chat()),
            Kind::KeyedAction | Kind::KeylessAction => ("/ledger/confirmations", self.text()),
            Kind::Plain => ("/rounds/today", self.text()),
        };
        let request = http
            .post(format!("{url}{path}"))
            .bearer_auth(key_of(&self.account));
        let request = if self.kind == Kind::KeyedAction {
            request.header("idempotency-key", &self.mark)
        } else {
            request
        };
        request.body(body)
    }

    fn is_own_answer(&self, reply: &Reply) -> bool {
        let of_service = || {
            let body = reply.body.as_ref().ok()?;
            let receipt: Receipt = serde_json::from_str(body).ok()?;
            Some(receipt.body)
        };
        let (got, expected) = match self.kind {
            Kind::WholeChat => (reply.whole_text(), expected_answer(&self.prompt(), TOKENS)),
            Kind::StreamedChat => (
                reply.streamed_text(),
                expected_answer(&self.prompt(), TOKENS),
            ),
            _ => (of_service(), self.text()),
        };
        got == Some(expected)
    }

    fn outcome_of_reply(&self, reply: &Reply) -> Outcome {
        if reply.status == 200 && self.is_own_answer(reply) {
            return Outcome::Whole;
        }
        let is_told = reply.is_failure();
        match reply.run.as_str() {
            "not-run" if reply.status >= 400 => Outcome::NotRun(reply.status),
            "may-have-run" | "ran" if is_told => Outcome::Ambiguous(reply.status),
            _ if reply.status == 200 && is_told => Outcome::Ambiguous(200),
            _ => Outcome::Wrong(format!("{reply:?}")),
        }
    }

    /// Sends the request once.
    pub(crate) async fn send(&self, http: &reqwest::Client, target: &Target) -> Record {
        let started_at = Instant::now();
        let sent = tokio::time::timeout(PATIENCE, self.exchange(http, &target.url)).await;
        Record {
            kind: self.kind,
            account: self.account.clone(),
            instance: target.id.clone(),
            mark: self.mark.clone(),
            started_at,
            ended_at: Instant::now(),
            outcome: sent.unwrap_or(Outcome::Lost),
        }
    }

    async fn exchange(&self, http: &reqwest::Client, url: &str) -> Outcome {
        let response = match self.build(http, url).send().await {
            Ok(response) => response,
            Err(err) if err.is_connect() => return Outcome::Unsent,
            Err(_) => return Outcome::Cut,
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

fn random_chat(rng: &mut StdRng) -> Kind {
    if rng.random() {
        Kind::StreamedChat
    } else {
        Kind::WholeChat
    }
}

/// A client that opens a connection for each request, so that a connection closed while idle is
/// not taken for one that was cut.
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
pub(crate) fn start(plan: Plan, start: Instant, board: &Arc<Board>) -> tokio::task::JoinHandle<()> {
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| tokio::spawn(work(plan, start, number, board.clone())))
        .collect();
    tokio::spawn(async move {
        for worker in join_all(workers).await {
            worker.unwrap();
        }
    })
}

async fn work(plan: Plan, start: Instant, number: usize, board: Arc<Board>) {
    let mut rng = StdRng::seed_from_u64(plan.seed.wrapping_mul(1_000) + number as u64);
    let http = http_client();
    let mut sent = 0;
    while plan.has_more_requests(start, sent) {
        sent += 1;
        let request = Request::random(&mut rng, format!("m{number}-{sent}"));
        let targets = choose_targets(&mut rng, &board.targets(), request.kind);
        let records = join_all(targets.iter().map(|target| request.send(&http, target))).await;
        board.records.lock().unwrap().extend(records);
        let think_ms = rng.random_range(THINK_MS);
        tokio::time::sleep(Duration::from_millis(think_ms)).await;
    }
}

/// One instance; for half of the keyed actions two or three, of different regions where there are.
fn choose_targets(rng: &mut StdRng, targets: &[Target], kind: Kind) -> Vec<Target> {
    let first = targets[rng.random_range(0..targets.len())].clone();
    let other = rng.random_range(0..targets.len());
    let is_repeated = rng.random::<bool>() && kind == Kind::KeyedAction;
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
