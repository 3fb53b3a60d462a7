//! Fleet of a run, with accounts and engines in addition to the default ones.

use crate::support::{account, Fleet, FleetOptions, REGIONS};
use carobwheel_standin::{
    engine::{self, Engine, EngineOptions},
    service::ServiceOptions,
};
use serde_json::json;

/// Output tokens of every response.
pub(crate) const ANSWER_TOKENS: u64 = 24;
/// Size of every prompt in bytes.
pub(crate) const PROMPT_BYTES: usize = 196;
/// Prompt tokens of every request: the role `user` and the prompt, at four bytes a token.
pub(crate) const PROMPT_TOKENS: u64 = (4 + PROMPT_BYTES as u64) / 4;
/// Account whose key is withdrawn during the run.
pub(crate) const WITHDRAWN_ACCOUNT: &str = "executors";
/// Burst of the accounts with a low rate, in tokens.
pub(crate) const BURST_TOKENS: u64 = 1_500;
/// Rates that are set in turn for an account with a low rate, in tokens per second.
pub(crate) const RATES_TOKENS_PER_S: [u64; 2] = [60, 25];
/// Delay until a change appears in the live list, in milliseconds.
const LIVE_LIST_LAG_MS: u64 = 1_500;
/// Duration of an action at a service, in milliseconds.
const ACTION_MS: u64 = 5;

/// Account with a low rate and a model that no other account uses, so that the engines of that
/// model count its tokens.
pub(crate) struct LimitedAccount {
    pub(crate) account: &'static str,
    pub(crate) model: &'static str,
    pub(crate) bound_region: Option<&'static str>,
}

/// Accounts with a low rate.
pub(crate) const LIMITED_ACCOUNTS: [LimitedAccount; 2] = [
    LimitedAccount {
        account: "brokers",
        model: "assayer",
        bound_region: None,
    },
    LimitedAccount {
        account: "south-customs",
        model: "surveyor",
        bound_region: Some("south"),
    },
];

/// Fleet and engines of a run.
pub(crate) struct Testbed {
    pub(crate) fleet: Fleet,
    /// Engines of the accounts with a low rate, in the order of `LIMITED_ACCOUNTS` and `REGIONS`.
    pub(crate) limited_engines: Vec<Vec<Engine>>,
}

fn engine_options() -> EngineOptions {
    EngineOptions {
        answer_tokens: ANSWER_TOKENS,
        token_ms: 1,
        ..EngineOptions::default()
    }
}

impl Testbed {
    pub(crate) async fn start() -> Self {
        let service = ServiceOptions {
            latency_ms: ACTION_MS,
            ..ServiceOptions::default()
        };
        let mut fleet = Fleet::start(FleetOptions {
            instances_in_region: 2,
            engine: engine_options(),
            service,
            document: |document| {
                document
                    .list("accounts")
                    .push(account(WITHDRAWN_ACCOUNT, None));
                document.entry("models", "appraiser")["default_max_output_tokens"] =
                    json!(ANSWER_TOKENS);
            },
            ..FleetOptions::default()
        })
        .await;
        fleet.live_list.set_lag_ms(LIVE_LIST_LAG_MS);
        let limited_engines = LIMITED_ACCOUNTS
            .iter()
            .map(|limited| add_limited_account(&mut fleet, limited))
            .collect();
        fleet.publish();
        Self {
            fleet,
            limited_engines,
        }
    }

    /// Returns the number of prompt and output tokens that `engines` have processed.
    pub(crate) fn used_tokens(engines: &[Engine]) -> u64 {
        engines
            .iter()
            .map(|engine| {
                let counts = engine.counts();
                counts.started * PROMPT_TOKENS + counts.tokens
            })
            .sum()
    }
}

fn add_limited_account(fleet: &mut Fleet, limited: &LimitedAccount) -> Vec<Engine> {
    let mut entry = account(limited.account, limited.bound_region);
    entry["rate_tokens_per_s"] = json!(RATES_TOKENS_PER_S[0]);
    entry["burst_tokens"] = json!(BURST_TOKENS);
    fleet.document.list("accounts").push(entry);
    let mut model = fleet.document.entry("models", "appraiser").clone();
    model["id"] = json!(limited.model);
    fleet.document.list("models").push(model);
    let mut engines = Vec::new();
    for region in REGIONS {
        let engine = engine::start(EngineOptions {
            model: limited.model.to_owned(),
            ..engine_options()
        });
        let engine = engine.unwrap();
        let like = format!("{region}-engine");
        let mut upstream = fleet.document.entry("upstreams", &like).clone();
        upstream["id"] = json!(format!("{region}-{}", limited.model));
        upstream["url"] = json!(engine.url());
        upstream["serves"]["model"] = json!(limited.model);
        fleet.document.list("upstreams").push(upstream);
        engines.push(engine);
    }
    engines
}
