//! Sizes, traffic mix and objective of the two deployments.

use super::DeploymentName;
use carobwheel_core::document::{
    Account, Class, Document, Model, Objective, Policy, Region, Serves, Upstream, SCHEMA,
};
use carobwheel_core::id::{DataCentreId, InstanceId, RegionId};
use carobwheel_core::route::NetworkDelays;
use carobwheel_standin::batch::BatchSettings;
use std::ops::Range;

/// Data centres per region, each with one instance.
const DATA_CENTRES_PER_REGION: usize = 2;
const RETRY_BUDGET_PCT: u32 = 10;

/// Sizes of the requests of one class.
#[derive(Clone, Debug)]
pub(super) struct RequestShape {
    /// Share of all requests.
    pub(super) share: f64,
    /// Length of the template that all requests of an account in this class begin with, in tokens.
    pub(super) template_tokens: u64,
    /// Length of the prompt after the template, in tokens.
    pub(super) prompt_tokens: Range<u64>,
    /// Length of the answer, in tokens.
    pub(super) output_tokens: Range<u64>,
    /// Limit on the answer's length in the request, in tokens.
    pub(super) max_output_tokens: u64,
    /// Share of the requests that repeat a prompt sent before.
    pub(super) repeat_share: f64,
}

/// Name and location of an instance of the gateway.
#[derive(Clone, Debug)]
pub(super) struct InstanceSpec {
    pub(super) id: InstanceId,
    pub(super) region: RegionId,
    pub(super) data_centre: DataCentreId,
}

/// Deployment of the gateway, and the requests sent to it.
#[derive(Clone, Debug)]
pub(super) struct Deployment {
    pub(super) document: Document,
    pub(super) instances: Vec<InstanceSpec>,
    pub(super) engine: BatchSettings,
    pub(super) delays: NetworkDelays,
    /// Share of the requests of each account, in the document's order.
    pub(super) account_shares: Vec<f64>,
    /// Request sizes of each class, in the document's order.
    pub(super) shapes: Vec<RequestShape>,
}

/// Parameters in which the deployments differ.
struct DeploymentSpec {
    objective: Objective,
    regions: [&'static str; 3],
    /// Engines in each region.
    engines: [usize; 3],
    /// One-way delay between data centres of a region, in microseconds.
    same_region_us: u64,
    /// Name, share of the requests, and region to which the account is bound.
    accounts: [(&'static str, f64, Option<&'static str>); 5],
    classes: Vec<Class>,
    shapes: Vec<RequestShape>,
}

impl Deployment {
    pub(super) fn new(name: DeploymentName) -> Self {
        match name {
            DeploymentName::Authority => build(authority()),
            DeploymentName::Skledica => build(skledica()),
        }
    }

    /// Returns the requests per second that one engine can serve at most with a cold cache.
    pub(super) fn engine_requests_per_s(&self) -> f64 {
        let engine = &self.engine;
        let slots = engine.slots as f64;
        let step_us = engine.step_us as f64 + slots * engine.step_per_request_us as f64;
        let us_per_token = step_us / slots;
        let us_per_prompt_token = 1e6 / engine.prefill_tokens_per_s as f64;
        let us = |shape: &RequestShape| {
            let prompt = shape.template_tokens as f64 + midpoint(&shape.prompt_tokens);
            let work = prompt * us_per_prompt_token + midpoint(&shape.output_tokens) * us_per_token;
            shape.share * work
        };
        1e6 / self.shapes.iter().map(us).sum::<f64>()
    }
}

fn midpoint(range: &Range<u64>) -> f64 {
    (range.start + range.end) as f64 / 2.0
}

fn class(id: &str, max_prompt_tokens: u64, first_token_target_ms: u64, priority: u8) -> Class {
    Class {
        id: id.parse().expect("a class name"),
        max_prompt_tokens,
        first_token_target_ms,
        between_tokens_target_ms: if priority == 0 { 30 } else { 40 },
        deadline_ms: if priority == 0 { 10_000 } else { 30_000 },
        priority,
    }
}

fn authority() -> DeploymentSpec {
    DeploymentSpec {
        objective: Objective::TailLatency,
        regions: ["north", "south", "central"],
        engines: [3, 3, 3],
        same_region_us: 1_000,
        accounts: [
            ("field-appraisers", 0.38, None),
            ("customs-brokers", 0.24, None),
            ("executors", 0.14, Some("south")),
            ("insurers", 0.14, Some("central")),
            ("port-office", 0.10, None),
        ],
        classes: vec![
            class("question", 2_048, 480, 0),
            class("dossier", 32_768, 2_500, 1),
        ],
        shapes: vec![
            RequestShape {
                share: 0.85,
                template_tokens: 1_024,
                prompt_tokens: 60..500,
                output_tokens: 60..220,
                max_output_tokens: 256,
                repeat_share: 0.0,
            },
            RequestShape {
                share: 0.15,
                template_tokens: 1_024,
                prompt_tokens: 3_000..11_000,
                output_tokens: 500..1_300,
                max_output_tokens: 1_500,
                repeat_share: 0.4,
            },
        ],
    }
}

fn skledica() -> DeploymentSpec {
    DeploymentSpec {
        objective: Objective::Cost,
        regions: ["ljubljana", "maribor", "koper"],
        engines: [4, 3, 3],
        same_region_us: 500,
        accounts: [
            ("parish-kitchens", 0.34, None),
            ("round-leaders", 0.22, None),
            ("monastery-maribor", 0.14, Some("maribor")),
            ("monastery-koper", 0.14, Some("koper")),
            ("donors", 0.16, None),
        ],
        classes: vec![
            class("chat", 2_048, 480, 0),
            class("briefing", 16_384, 3_000, 1),
        ],
        shapes: vec![
            RequestShape {
                share: 0.8,
                template_tokens: 1_024,
                prompt_tokens: 30..300,
                output_tokens: 40..160,
                max_output_tokens: 200,
                repeat_share: 0.0,
            },
            RequestShape {
                share: 0.2,
                template_tokens: 1_024,
                prompt_tokens: 1_500..5_000,
                output_tokens: 400..900,
                max_output_tokens: 1_000,
                repeat_share: 0.2,
            },
        ],
    }
}

fn build(spec: DeploymentSpec) -> Deployment {
    let engine = BatchSettings {
        cache_blocks: 768,
        ..BatchSettings::default()
    };
    let regions: Vec<_> = spec.regions.iter().map(|name| region(name)).collect();
    let document = Document {
        schema: SCHEMA,
        policy: Policy {
            objective: spec.objective,
            retry_budget_pct: RETRY_BUDGET_PCT,
            max_body_bytes: 1_048_576,
        },
        accounts: spec.accounts.iter().map(account).collect(),
        classes: spec.classes,
        models: vec![Model {
            id: "m".parse().expect("a model name"),
            version: "v1".parse().expect("a version name"),
            default_max_output_tokens: 512,
            max_output_tokens: 4_096,
        }],
        upstreams: upstreams(&regions, &spec.engines, &engine),
        routes: Vec::new(),
        rollouts: Vec::new(),
        regions,
    };
    Deployment {
        instances: instances(&document.regions),
        engine,
        delays: NetworkDelays {
            same_data_centre_us: 100,
            same_region_us: spec.same_region_us,
            other_region_us: 80_000,
        },
        account_shares: spec.accounts.iter().map(|(_, share, _)| *share).collect(),
        shapes: spec.shapes,
        document,
    }
}

fn region(name: &str) -> Region {
    let data_centre = |index| format!("{name}-{index}").parse().expect("a name");
    Region {
        id: name.parse().expect("a region name"),
        data_centres: (0..DATA_CENTRES_PER_REGION).map(data_centre).collect(),
        rate_weight: 1,
    }
}

fn account((name, _, bound): &(&str, f64, Option<&str>)) -> Account {
    Account {
        id: name.parse().expect("an account name"),
        rate_tokens_per_s: 100_000,
        burst_tokens: 1_000_000,
        queue_weight: 1,
        bound_region: bound.map(|region| region.parse().expect("a region name")),
        keys: Vec::new(),
    }
}

fn upstreams(regions: &[Region], engines: &[usize], engine: &BatchSettings) -> Vec<Upstream> {
    let in_region = |(region, count): (&Region, &usize)| {
        let upstream = |index: usize| Upstream {
            id: format!("{}-engine-{index}", region.id)
                .parse()
                .expect("an upstream name"),
            region: region.id.clone(),
            data_centre: region.data_centres[index % DATA_CENTRES_PER_REGION].clone(),
            url: format!("http://{}-engine-{index}", region.id),
            serves: Serves::Engine {
                model: "m".parse().expect("a model name"),
                version: "v1".parse().expect("a version name"),
                batch_slots: u32::try_from(engine.slots).unwrap_or(u32::MAX),
                prefill_tokens_per_s: engine.prefill_tokens_per_s,
                checks_fencing: true,
            },
            leaving: false,
        };
        (0..*count).map(upstream).collect::<Vec<_>>()
    };
    regions.iter().zip(engines).flat_map(in_region).collect()
}

fn instances(regions: &[Region]) -> Vec<InstanceSpec> {
    let in_region = |region: &Region| {
        let instance = |(index, data_centre): (usize, &DataCentreId)| InstanceSpec {
            id: format!("{}-{index}", region.id)
                .parse()
                .expect("an instance name"),
            region: region.id.clone(),
            data_centre: data_centre.clone(),
        };
        region
            .data_centres
            .iter()
            .enumerate()
            .map(instance)
            .collect::<Vec<_>>()
    };
    regions.iter().flat_map(in_region).collect()
}
