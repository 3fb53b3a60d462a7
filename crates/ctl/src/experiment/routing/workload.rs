//! Seeded arrivals.

use super::deployment::{Deployment, Shape};
use super::scenario::Case;
use carobwheel_core::id::RegionId;
use carobwheel_core::route::PREFIX_BLOCK_TOKENS;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::f64::consts::TAU;

/// Share of an account's callers that use the instance named first to them.
const FIRST_ENTRY_SHARE: f64 = 0.85;
/// Prompts of an account that callers may come back to.
const RECENT_PROMPTS: usize = 40;

/// One request of a caller.
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
    /// Sent by the account that exceeds its share.
    pub(super) is_greedy: bool,
}

/// All arrivals of a case, in order of time.
pub(super) fn arrivals(deployment: &Deployment, case: &Case, seed: u64) -> Vec<Arrival> {
    let mut generator = Generator {
        deployment,
        case,
        rng: StdRng::seed_from_u64(seed),
        recent: vec![VecDeque::new(); deployment.account_shares.len()],
        next_prompt: 1,
    };
    let weights = generator.account_weights();
    let engines = deployment.document.upstreams.len() as f64;
    let base_per_s = deployment.engine_requests_per_s() * engines * case.load;
    let requests_per_s = base_per_s * weights.iter().sum::<f64>();
    let mut at_us = 0;
    let mut arrivals = Vec::new();
    loop {
        let uniform: f64 = generator.rng.random();
        let gap_s = -(1.0 - uniform).ln() / requests_per_s;
        at_us += (gap_s * 1e6) as u64;
        if at_us >= case.duration_us {
            return arrivals;
        }
        let account = pick(&weights, &mut generator.rng);
        arrivals.push(generator.arrival(at_us, account));
    }
}

struct Generator<'a> {
    deployment: &'a Deployment,
    case: &'a Case,
    rng: StdRng,
    // Prompts that an account sent lately: first hash and length.
    recent: Vec<VecDeque<(u64, u64)>>,
    next_prompt: u64,
}

impl Generator<'_> {
    fn account_weights(&self) -> Vec<f64> {
        let shares = self.deployment.account_shares.iter().enumerate();
        let factor = |account| {
            if self.case.greedy_account == Some(account) {
                self.case.greedy_factor
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
        let class = pick(&shares, &mut self.rng);
        let shape = &deployment.shapes[class];
        let (body, body_tokens) = self.body(account, shape);
        let tail_tokens = self.rng.random_range(20..120);
        Arrival {
            at_us,
            account,
            class,
            instance: self.instance(account, at_us),
            prompt_tokens: shape.template_tokens + body_tokens + tail_tokens,
            prefix_hashes: prefix_hashes(account, class, shape, body, body_tokens),
            output_tokens: self.rng.random_range(shape.output_tokens.clone()),
            max_output_tokens: shape.max_output_tokens,
            is_measured: at_us >= self.case.measured_from_us,
            is_greedy: self.case.greedy_account == Some(account),
        }
    }

    /// Number and length of the prompt behind the template: a new one or one sent before.
    fn body(&mut self, account: usize, shape: &Shape) -> (u64, u64) {
        let recent = &mut self.recent[account];
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
            if recent.len() > RECENT_PROMPTS {
                recent.pop_front();
            }
        }
        body
    }

    /// The instance that the caller uses: in the bound region, or where its callers are awake.
    fn instance(&mut self, account: usize, at_us: u64) -> usize {
        let document = &self.deployment.document;
        let region = match &document.accounts[account].bound_region {
            Some(region) => region,
            None => {
                let phase = at_us as f64 / self.case.duration_us as f64;
                let demand = |index: usize| {
                    let offset = index as f64 / document.regions.len() as f64;
                    1.0 + self.case.rhythm * (TAU * (phase + offset)).sin()
                };
                let demands: Vec<_> = (0..document.regions.len()).map(demand).collect();
                &document.regions[pick(&demands, &mut self.rng)].id
            }
        };
        self.entry(account, region)
    }

    fn entry(&mut self, account: usize, region: &RegionId) -> usize {
        let instances = self.deployment.instances.iter().enumerate();
        let local: Vec<_> = instances
            .filter(|(_, instance)| instance.region == *region)
            .map(|(index, _)| index)
            .collect();
        let first = account % local.len();
        if self.rng.random_bool(FIRST_ENTRY_SHARE) {
            return local[first];
        }
        local[(first + 1) % local.len()]
    }
}

fn pick(weights: &[f64], rng: &mut StdRng) -> usize {
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
    shape: &Shape,
    body: u64,
    body_tokens: u64,
) -> Vec<u64> {
    let template_blocks = shape.template_tokens / PREFIX_BLOCK_TOKENS;
    let body_blocks = body_tokens / PREFIX_BLOCK_TOKENS;
    let template = (account * 16 + class) as u64 + 1;
    let hash = |owner: u64, block: u64| {
        (owner << 16 | block)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(29)
    };
    let templates = (0..template_blocks).map(|block| hash(template << 32, block));
    let bodies = (0..body_blocks).map(|block| hash(body, block));
    templates.chain(bodies).collect()
}
