//! Seeded random runs of several routers with random updates and requests. The tests check the
//! invariants in addition to the assertions in the router itself.

mod routing;

use carobwheel_core::document::Document;
use carobwheel_core::id::{InstanceId, RegionId, UpstreamId};
use carobwheel_core::route::{
    AttemptId, Hop, Hops, LatencyTarget, LeavingSource, LoadDigest, NetworkDelays, Refusal,
    Request, Requirement, Router, RouterSettings, UpstreamReport, DIGEST_LIFETIME_MS,
};
use carobwheel_core::time::Millis;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use routing::REGIONS;
use std::collections::BTreeMap;
use test_case::test_case;

const STEPS_PER_RUN: u64 = 6_000;
const STEP_MS: u64 = 7;

struct Instance {
    id: InstanceId,
    region: RegionId,
    router: Router,
    attempts: Vec<(AttemptId, UpstreamId, u64)>,
}

struct World {
    document: Document,
    instances: Vec<Instance>,
    rng: StdRng,
    now: Millis,
    sequence: u64,
    /// Actual registration number of every upstream.
    registrations: BTreeMap<UpstreamId, u64>,
    placed: u64,
    away: u64,
    refused: u64,
}

fn id<T: std::str::FromStr>(name: &str) -> T {
    name.parse().ok().expect("a valid name")
}

impl World {
    fn new(seed: u64, objective: &str) -> Self {
        let json = routing::document_json(3, objective);
        let document = Document::parse(json.as_bytes()).expect("a valid document");
        let instance = |name: &&str| {
            let settings = RouterSettings {
                region: id(name),
                data_centre: id(&format!("{name}-0")),
                delays: NetworkDelays {
                    same_data_centre_us: 100,
                    same_region_us: 1_000,
                    other_region_us: 80_000,
                },
            };
            Instance {
                id: id(&format!("{name}-gateway")),
                region: id(name),
                router: Router::new(settings, &document, Millis(0)),
                attempts: Vec::new(),
            }
        };
        let upstreams = document.upstreams.iter();
        Self {
            instances: REGIONS.iter().map(instance).collect(),
            rng: StdRng::seed_from_u64(seed),
            now: Millis(0),
            sequence: 0,
            registrations: upstreams.map(|u| (u.id.clone(), 1)).collect(),
            document,
            placed: 0,
            away: 0,
            refused: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus(STEP_MS);
        let instance = self.rng.random_range(0..self.instances.len());
        match self.rng.random_range(0..100) {
            0..45 => self.place(instance),
            45..80 => self.advance(instance),
            80..90 => self.gossip(instance),
            90..95 => self.instances[instance].router.expire(self.now),
            _ => self.update(instance),
        }
    }

    fn place(&mut self, index: usize) {
        let name = id(&format!("r{}", self.sequence));
        self.sequence += 1;
        let is_bound = self.rng.random_bool(0.3);
        let bound = id(REGIONS[self.rng.random_range(0..REGIONS.len())]);
        let tried: Vec<UpstreamId> = self
            .document
            .upstreams
            .iter()
            .filter(|_| self.rng.random_bool(0.1))
            .map(|upstream| upstream.id.clone())
            .collect();
        let instance = &mut self.instances[index];
        let mut hops = Hops::default();
        if self.rng.random_bool(0.3) {
            hops = hops
                .used(Hop::AcrossRegions)
                .expect("the first hop is allowed");
        }
        let hops = hops
            .arrive(&instance.id)
            .expect("the first visit is allowed");
        let prompt_tokens = self.rng.random_range(1..20_000);
        let prefix_hashes: Vec<u64> = (0..prompt_tokens / 256).map(|i| i % 5 + i).collect();
        let (model, version) = (id("m"), id("v1"));
        let is_long = prompt_tokens > 2_048;
        let request = Request {
            id: &name,
            requirement: Requirement::Model {
                model: &model,
                version: &version,
            },
            prompt_tokens,
            max_output_tokens: self.rng.random_range(1..500),
            prefix_hashes: &prefix_hashes,
            target: LatencyTarget {
                first_token_ms: if is_long { 2_500 } else { 480 },
                between_tokens_ms: 30,
                remaining_ms: 10_000,
                is_long,
            },
            bound_region: is_bound.then_some(&bound),
            hops: &hops,
            tried: &tried,
        };
        match instance.router.place(&request, self.now, &mut self.rng) {
            Ok(placement) => {
                let is_away = placement.region != instance.region;
                assert!(!is_bound || placement.region == bound, "residency");
                assert!(!is_away || hops.is_allowed(Hop::AcrossRegions), "hops");
                assert_eq!(placement.hop, is_away.then_some(Hop::AcrossRegions));
                assert!(!instance.router.is_leaving(&placement.upstream), "leaving");
                assert!(!tried.contains(&placement.upstream), "tried");
                assert_eq!(placement.hops.is_allowed(Hop::AcrossRegions), {
                    hops.is_allowed(Hop::AcrossRegions) && !is_away
                });
                let attempt = instance.router.start(&placement, self.now);
                instance.attempts.push((attempt, placement.upstream, 0));
                self.placed += 1;
                self.away += u64::from(is_away);
            }
            Err(Refusal::OutsideBoundRegion(region)) => {
                assert!(is_bound && region == bound && bound != instance.region);
            }
            Err(_) => self.refused += 1,
        }
    }

    /// Advances one attempt: first token, more tokens, or its end.
    fn advance(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.attempts.is_empty() {
            return;
        }
        let chosen = self.rng.random_range(0..instance.attempts.len());
        let (attempt, _, tokens) = &mut instance.attempts[chosen];
        match self.rng.random_range(0..4) {
            0 => instance.router.first_token(*attempt, self.now),
            1 => {
                *tokens += self.rng.random_range(0..50);
                instance.router.progress(*attempt, *tokens, self.now);
            }
            2 => {
                instance.router.finish(*attempt);
                instance.attempts.swap_remove(chosen);
            }
            _ => {
                instance.router.cancel(*attempt);
                instance.attempts.swap_remove(chosen);
            }
        }
    }

    /// Sends a serialised digest to the other instances; some copies are lost or duplicated.
    fn gossip(&mut self, from: usize) {
        self.sequence += 1;
        let digest = self.instances[from].router.digest(self.sequence);
        let text = serde_json::to_string(&digest).expect("a digest");
        let sender = self.instances[from].id.clone();
        for to in 0..self.instances.len() {
            let copies = self.rng.random_range(0..3);
            for _ in 0..copies {
                let digest: LoadDigest = serde_json::from_str(&text).expect("a digest");
                if to != from {
                    let router = &mut self.instances[to].router;
                    router.apply_digest(&sender, &digest, self.now);
                }
            }
        }
    }

    fn update(&mut self, index: usize) {
        let upstreams: Vec<_> = self.registrations.keys().cloned().collect();
        let upstream = upstreams.choose(&mut self.rng).expect("an upstream");
        let registration = self.registrations[upstream];
        let router = &mut self.instances[index].router;
        match self.rng.random_range(0..6) {
            0 => router.mark_leaving(upstream, LeavingSource::LiveList, Some(registration)),
            1 => {
                self.registrations
                    .insert(upstream.clone(), registration + 1);
                router.register(upstream, registration + 1, self.now);
            }
            2 => router.set_ejected(upstream, self.rng.random_bool(0.3), self.now),
            3 => {
                let report = UpstreamReport {
                    measured_at: Millis(self.now.0.saturating_sub(1_000)),
                    requests: self.rng.random_range(0..12),
                    prompt_tokens: self.rng.random_range(0..20_000),
                    is_leaving: self.rng.random_bool(0.1),
                    registration,
                };
                router.report(upstream, report, self.now);
            }
            4 => {
                let peer = self
                    .instances
                    .choose(&mut self.rng)
                    .expect("an instance")
                    .id
                    .clone();
                self.instances[index].router.drop_peer(&peer);
            }
            _ => {
                let mut document = self.document.clone();
                document.upstreams.retain(|_| self.rng.random_bool(0.9));
                for spec in &mut document.upstreams {
                    spec.leaving = self.rng.random_bool(0.1);
                }
                router.apply_document(&document, self.now);
                router.apply_document(&self.document, self.now);
            }
        }
    }

    /// Cancels all attempts and returns the number of requests that the routers still count after
    /// the digests have expired.
    fn drain(&mut self) -> u64 {
        for instance in &mut self.instances {
            for (attempt, _, _) in instance.attempts.drain(..) {
                instance.router.cancel(attempt);
            }
        }
        self.now = self.now.plus(DIGEST_LIFETIME_MS);
        let mut requests = 0;
        for instance in &mut self.instances {
            instance.router.expire(self.now);
            assert_eq!(instance.router.attempts_in_flight(), 0);
            for upstream in &self.document.upstreams {
                let load = instance.router.load(&upstream.id, self.now);
                requests += load.map_or(0, |load| load.requests);
            }
        }
        requests
    }
}

#[test_case("tail_latency"; "tail latency")]
#[test_case("cost"; "cost")]
fn placements_keep_the_invariants(objective: &str) {
    for seed in 0..8 {
        let mut world = World::new(seed, objective);
        (0..STEPS_PER_RUN).for_each(|_| world.step());
        assert!(world.placed > 500, "seed {seed}: {} placed", world.placed);
        assert!(world.away > 20, "seed {seed}: {} away", world.away);
        assert!(world.refused > 20, "seed {seed}: {} refused", world.refused);
        assert_eq!(world.drain(), 0, "seed {seed}: work left over");
    }
}

#[test]
fn upstream_keeps_leaving_until_a_newer_registration() {
    let mut world = World::new(1, "cost");
    let upstream: UpstreamId = id("north-engine-0");
    let router = &mut world.instances[0].router;
    router.register(&upstream, 5, Millis(0));
    router.mark_leaving(&upstream, LeavingSource::Upstream, None);
    let gossip = router.digest(1);
    router.apply_document(&world.document, Millis(1));
    router.register(&upstream, 5, Millis(2));
    assert!(router.is_leaving(&upstream));
    router.register(&upstream, 6, Millis(3));
    assert!(!router.is_leaving(&upstream));
    router.apply_digest(&id("peer"), &gossip, Millis(4));
    assert!(
        !router.is_leaving(&upstream),
        "stale notice of the earlier registration"
    );
}
