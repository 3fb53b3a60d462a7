//! Arrivals generated from a seed.

use super::deployment::{Deployment, RequestShape};
use super::scenario::ScenarioSettings;
use carobwheel_core::id::RegionId;
use carobwheel_core::route::PREFIX_BLOCK_TOKENS;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::f64::consts::TAU;

/// Share of an account's requests in a region that go to its primary instance there.
const PRIMARY_INSTANCE_SHARE: f64 = 0.85;
/// Number of an account's latest prompts that may be repeated.
const MAX_RECENT_PROMPTS: usize = 40;

/// Arrival of a request.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at_us: u64,
    pub(super) account: usize,
    pub(super) class: usize,
    pub(super) instance: usize,
    pub(super) prompt_tokens: u64,
    pub(super) prefix_hashes: Vec<u64>,
    pub(super) output_tokens: u64,
    pub(super) max_output_tokens: u64,
    pub(super) is_measured: bool,
    /// Whether the account that exceeds its share of the load sent it.
    pub(super) is_greedy: bool,
}

/// Generates all arrivals of a scenario, in order of time.
pub(super) fn arrivals(
    deployment: &Deployment,
    settings: &ScenarioSettings,
    seed: u64,
) -> Vec<Arrival> {
    let mut generator = Generator {
        deployment,
        settings,
        rng: StdRng::seed_from_u64(seed),
        recent_prompts: vec![VecDeque::new(); deployment.account_shares.len()],
        next_prompt: 1,
    };
    let weights = generator.account_weights();
    let engines = deployment.document.upstreams.len() as f64;
    let base_per_s = deployment.engine_requests_per_s() * engines * settings.load;
    let requests_per_s = base_per_s * weights.iter().sum::<f64>();
    let mut at_us = 0;
    let mut arrivals = Vec::new();
    loop {
        let uniform: f64 = generator.rng.random();
        let gap_s = -(1.0 - uniform).ln() / requests_per_s;
        at_us += (gap_s * 1e6) as u64;
        if at_us >= settings.duration_us {
            return arrivals;
        }
        let account = pick_weighted(&weights, &mut generator.rng);
        arrivals.push(generator.arrival(at_us, account));
    }
}

struct Generator<'a> {
    deployment: &'a Deployment,
    settings: &'a ScenarioSettings,
    rng: StdRng,
    // Number and length of each account's recent prompts that may be repeated.
    recent_prompts: Vec<VecDeque<(u64, u64)>>,
    next_prompt: u64,
}

impl Generator<'_> {
    fn account_weights(&self) -> Vec<f64> {
        let shares = self.deployment.account_shares.iter().enumerate();
        let factor = |account| {
            if self.settings.greedy_account == Some(account) {
                self.settings.greedy_factor
            } else {
                1.0
            }
        };
        shares
            .map(|(account, share)| share * factor(account))
            .collect()
    }

    fn arrival(&mut self, at_us: u64, account: usize) -> Arrival {
        let deployment = self.deployment;
        let shares: Vec<_> = deployment.shapes.iter().map(|shape| shape.share).collect();
        let class = pick_weighted(&shares, &mut self.rng);
        let shape = &deployment.shapes[class];
        let (body, body_tokens) = self.body(account, shape);
        let tail_tokens = self.rng.random_range(20..120);
        Arrival {
            at_us,
            account,
            class,
            instance: self.pick_instance(account, at_us),
            prompt_tokens: shape.template_tokens + body_tokens + tail_tokens,
            prefix_hashes: prefix_hashes(account, class, shape, body, body_tokens),
            output_tokens: self.rng.random_range(shape.output_tokens.clone()),
            max_output_tokens: shape.max_output_tokens,
            is_measured: at_us >= self.settings.measured_from_us,
            is_greedy: self.settings.greedy_account == Some(account),
        }
    }

    /// Returns the number and length of the prompt after the template, either new or sent before.
    fn body(&mut self, account: usize, shape: &RequestShape) -> (u64, u64) {
        let recent = &mut self.recent_prompts[account];
        if !recent.is_empty() && self.rng.random_bool(shape.repeat_share) {
            return recent[self.rng.random_range(0..recent.len())];
        }
        let body = (
            self.next_prompt,
            self.rng.random_range(shape.prompt_tokens.clone()),
        );
        self.next_prompt += 1;
        if shape.repeat_share > 0.0 {
            recent.push_back(body);
            if recent.len() > MAX_RECENT_PROMPTS {
                recent.pop_front();
            }
        }
        body
    }

    /// Picks the instance that receives the request: in the region to which the account is bound,
    /// or in one picked by the regions' current demand.
    fn pick_instance(&mut self, account: usize, at_us: u64) -> usize {
        let document = &self.deployment.document;
        let region = match &document.accounts[account].bound_region {
            Some(region) => region,
            None => {
                let phase = at_us as f64 / self.settings.duration_us as f64;
                let demand = |index: usize| {
                    let offset = index as f64 / document.regions.len() as f64;
                    1.0 + self.settings.demand_amplitude * (TAU * (phase + offset)).sin()
                };
                let demands: Vec<_> = (0..document.regions.len()).map(demand).collect();
                &document.regions[pick_weighted(&demands, &mut self.rng)].id
            }
        };
        self.pick_instance_in(account, region)
    }

    fn pick_instance_in(&mut self, account: usize, region: &RegionId) -> usize {
        let instances = self.deployment.instances.iter().enumerate();
        let local: Vec<_> = instances
            .filter(|(_, instance)| instance.region == *region)
            .map(|(index, _)| index)
            .collect();
        let primary = account % local.len();
        if self.rng.random_bool(PRIMARY_INSTANCE_SHARE) {
            return local[primary];
        }
        local[(primary + 1) % local.len()]
    }
}

fn pick_weighted(weights: &[f64], rng: &mut StdRng) -> usize {
    let mut rest = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        rest -= weight;
        if rest < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

fn prefix_hashes(
    account: usize,
    class: usize,
    shape: &RequestShape,
    body: u64,
    body_tokens: u64,
) -> Vec<u64> {
    let template_blocks = shape.template_tokens / PREFIX_BLOCK_TOKENS;
    let body_blocks = body_tokens / PREFIX_BLOCK_TOKENS;
    let template = (account * 16 + class) as u64 + 1;
    let hash = |prompt: u64, block: u64| {
        (prompt << 16 | block)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(29)
    };
    let templates = (0..template_blocks).map(|block| hash(template << 32, block));
    let bodies = (0..body_blocks).map(|block| hash(body, block));
    templates.chain(bodies).collect()
}
