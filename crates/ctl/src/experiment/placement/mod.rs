//! `carobctl experiment placement`: processor time to place one request in a fleet of many engines.

use anyhow::{anyhow, ensure};
use carobwheel_core::{
    document::{Document, Serves, Upstream},
    id::{RegionId, RequestId},
    route::{Hops, LatencyTarget, NetworkDelays, Request, Requirement, Router, RouterSettings},
    time::Millis,
};
use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use std::time::Instant;

const EXAMPLE_DOCUMENT: &str = include_str!("../../../../../examples/authority.json");
const MODEL_COUNT: usize = 4;
const MAX_ENGINES: usize = 10_000;
const MAX_PLACEMENTS: u32 = 10_000_000;
const BATCH_SLOTS: u32 = 64;
/// Warm-up requests per engine, which stay in flight while placements are timed.
const WARM_UP_REQUESTS_PER_ENGINE: u32 = 16;

/// Arguments of `carobctl experiment placement`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Number of engines, spread over four models and the regions of the example document.
    #[arg(long, default_value_t = 600)]
    pub engines: usize,
    /// Number of placements to time.
    #[arg(long, default_value_t = 100_000)]
    pub placements: u32,
    /// Seed of the prompts and of the router's random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Times placements and prints the average time of one.
///
/// # Errors
///
/// Fails if the arguments are out of range or a request finds no place.
pub fn run(args: Args) -> anyhow::Result<()> {
    ensure!(
        (MODEL_COUNT..=MAX_ENGINES).contains(&args.engines),
        "--engines has to be {MODEL_COUNT} to {MAX_ENGINES}"
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
    let warm_up_requests = args.engines as u32 * WARM_UP_REQUESTS_PER_ENGINE;
    for number in 0..warm_up_requests {
        place(&mut router, &document, number, true, now, &mut rng)?;
    }
    let began = Instant::now();
    for number in 0..args.placements {
        place(&mut router, &document, number, false, now, &mut rng)?;
    }
    let placement_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(args.placements);
    println!(
        "{} engines, {} models, {warm_up_requests} warm-up requests: {placement_us:.1} us per placement",
        args.engines, MODEL_COUNT
    );
    Ok(())
}

fn place(
    router: &mut Router,
    document: &Document,
    number: u32,
    starts_request: bool,
    now: Millis,
    rng: &mut StdRng,
) -> anyhow::Result<()> {
    let id: RequestId = format!("r-{number}").parse()?;
    let model = &document.models[number as usize % MODEL_COUNT];
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
    // A request is refused if all engines are full; deciding that takes as long as a placement.
    if let Ok(placement) = router.place(&request, now, rng) {
        if starts_request {
            router.start(&placement, now);
        }
    }
    Ok(())
}

fn document(engines: usize) -> anyhow::Result<Document> {
    let mut document = Document::parse(EXAMPLE_DOCUMENT.as_bytes())
        .map_err(|faults| anyhow!("invalid example document: {faults:?}"))?;
    let model = document.models[0].clone();
    document.models = (0..MODEL_COUNT)
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
                *model = document.models[number % MODEL_COUNT].id.clone();
                *batch_slots = BATCH_SLOTS;
            }
            Ok(upstream)
        })
        .collect::<anyhow::Result<_>>()?;
    Ok(document)
}
