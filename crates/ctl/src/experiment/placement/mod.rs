//! Processor time of one placement in a fleet of many engines.

use anyhow::{anyhow, ensure};
use carobwheel_core::{
    document::{Document, Serves, Upstream},
    id::{RegionId, RequestId},
    route::{Hops, LatencyTarget, NetworkDelays, Request, Requirement, Router, RouterSettings},
    time::Millis,
};
use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use std::time::Instant;

const EXAMPLE: &str = include_str!("../../../../../examples/authority.json");
const MODELS: usize = 4;
const MAX_ENGINES: usize = 10_000;
const MAX_PLACEMENTS: u32 = 10_000_000;
const BATCH_SLOTS: u32 = 64;
/// Requests in flight on each engine while placements are timed.
const BUSY: u32 = 16;

/// Arguments of `carobctl experiment placement`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Engines, spread over four models and the example's regions.
    #[arg(long, default_value_t = 600)]
    pub engines: usize,
    /// Placements to time.
    #[arg(long, default_value_t = 100_000)]
    pub placements: u32,
    /// Seed of prompts and choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Times placements and prints the time of one.
///
/// # Errors
///
/// Fails if the arguments are out of range or a request finds no place.
pub fn run(args: Args) -> anyhow::Result<()> {
    ensure!(
        (MODELS..=MAX_ENGINES).contains(&args.engines),
        "--engines has to be {MODELS} to {MAX_ENGINES}"
    );
    ensure!(
        (1..=MAX_PLACEMENTS).contains(&args.placements),
        "--placements has to be 1 to {MAX_PLACEMENTS}"
    );
    let mut rng = StdRng::seed_from_u64(args.seed);
    let document = document(args.engines)?;
    let region: RegionId = document.regions[0].id.clone();
    let settings = RouterSettings {
        data_centre: document.regions[0].data_centres[0].clone(),
        region,
        delays: NetworkDelays {
            same_data_centre_us: 100,
            same_region_us: 1_000,
            other_region_us: 80_000,
        },
    };
    let now = Millis(1_000_000);
    let mut router = Router::new(settings, &document, Millis(0));
    let busy = args.engines as u32 * BUSY;
    for number in 0..busy {
        place(&mut router, &document, number, true, now, &mut rng)?;
    }
    let began = Instant::now();
    for number in 0..args.placements {
        place(&mut router, &document, number, false, now, &mut rng)?;
    }
    let one_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(args.placements);
    println!(
        "{} engines, {} models, {busy} requests asked for a place before: {one_us:.1} us a placement",
        args.engines, MODELS
    );
    Ok(())
}

fn place(
    router: &mut Router,
    document: &Document,
    number: u32,
    is_started: bool,
    now: Millis,
    rng: &mut StdRng,
) -> anyhow::Result<()> {
    let id: RequestId = format!("r-{number}").parse()?;
    let model = &document.models[number as usize % MODELS];
    let request = Request {
        id: &id,
        requirement: Requirement::Model {
            model: &model.id,
            version: &model.version,
        },
        prompt_tokens: rng.random_range(20..2_000),
        max_output_tokens: 256,
        prefix_hashes: &[rng.random(), rng.random()],
        target: LatencyTarget::of_class(&document.classes[0], 20_000),
        bound_region: None,
        hops: &Hops::default(),
        tried: &[],
    };
    // A request that finds every engine full is refused, which takes as long to find out.
    if let Ok(placement) = router.place(&request, now, rng) {
        if is_started {
            router.start(&placement, now);
        }
    }
    Ok(())
}

fn document(engines: usize) -> anyhow::Result<Document> {
    let mut document = Document::parse(EXAMPLE.as_bytes())
        .map_err(|faults| anyhow!("the example has faults: {faults:?}"))?;
    let model = document.models[0].clone();
    document.models = (0..MODELS)
        .map(|number| {
            let mut model = model.clone();
            model.id = format!("model-{number}").parse()?;
            Ok(model)
        })
        .collect::<anyhow::Result<_>>()?;
    let template = document.upstreams[0].clone();
    let regions = document.regions.clone();
    document.upstreams = (0..engines)
        .map(|number| {
            let region = &regions[number % regions.len()];
            let mut upstream: Upstream = template.clone();
            upstream.id = format!("engine-{number}").parse()?;
            upstream.region = region.id.clone();
            upstream.data_centre = region.data_centres[0].clone();
            if let Serves::Engine {
                model, batch_slots, ..
            } = &mut upstream.serves
            {
                *model = document.models[number % MODELS].id.clone();
                *batch_slots = BATCH_SLOTS;
            }
            Ok(upstream)
        })
        .collect::<anyhow::Result<_>>()?;
    Ok(document)
}
