//! The fleet of a run, with accounts and engines of its own beside the usual ones.

use crate::support::{account, Fleet, FleetOptions, REGIONS};
use carobwheel_standin::{
    engine::{self, Engine, EngineOptions},
    service::ServiceOptions,
};
use serde_json::json;

/// Tokens of every answer.
pub(crate) const TOKENS: u64 = 24;
/// Bytes of every prompt.
pub(crate) const PROMPT_BYTES: usize = 196;
/// Prompt tokens of every request: the word `user` and the prompt, at four bytes a token.
pub(crate) const PROMPT_TOKENS: u64 = (4 + PROMPT_BYTES as u64) / 4;
/// Account whose key is withdrawn during the run.
pub(crate) const WITHDRAWN: &str = "executors";
/// Burst of the accounts with a low rate, in tokens.
pub(crate) const BURST_TOKENS: u64 = 1_500;
/// Rates that an account with a low rate has in turn, in tokens a second.
pub(crate) const RATES_TOKENS_PER_S: [u64; 2] = [60, 25];
/// Time after which a change shows in the live list, in milliseconds.
const LIVE_LIST_LAG_MS: u64 = 1_500;
/// Time of an action, in milliseconds.
const ACTION_MS: u64 = 5;

/// An account with a low rate and the model that it alone uses, so that its engines count its
/// tokens.
pub(crate) struct Limited {
    pub(crate) account: &'static str,
    pub(crate) model: &'static str,
    pub(crate) bound_region: Option<&'static str>,
}

/// The accounts with a low rate.
pub(crate) const LIMITED: [Limited; 2] = [
    Limited {
        account: "brokers",
        model: "assayer",
        bound_region: None,
    },
    Limited {
        account: "south-customs",
        model: "surveyor",
        bound_region: Some("south"),
    },
];

/// Everything that runs.
pub(crate) struct Stage {
    pub(crate) fleet: Fleet,
    /// Engines of the accounts with a low rate, in the order of `LIMITED` and `REGIONS`.
    pub(crate) limited_engines: Vec<Vec<Engine>>,
}

fn engine_options() -> EngineOptions {
    EngineOptions {
        answer_tokens: TOKENS,
        token_ms: 1,
        ..EngineOptions::default()
    }
}

impl Stage {
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
                document.list("accounts").push(account(WITHDRAWN, None));
                document.entry("models", "appraiser")["default_max_output_tokens"] = json!(TOKENS);
            },
            ..FleetOptions::default()
        })
        .await;
        fleet.live_list.set_lag_ms(LIVE_LIST_LAG_MS);
        let limited_engines = LIMITED
            .iter()
            .map(|limited| add_limited(&mut fleet, limited))
            .collect();
        fleet.publish();
        Self {
            fleet,
            limited_engines,
        }
    }

    /// Tokens read and generated for the account at `place` of `LIMITED`.
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

fn add_limited(fleet: &mut Fleet, limited: &Limited) -> Vec<Engine> {
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
