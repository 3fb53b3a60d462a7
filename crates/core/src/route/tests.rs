//! Fault injection: each assertion of the module panics when its invariant is violated.

use super::choice::Candidate;
use super::{
    Hop, Hops, LatencyTarget, LeavingSource, Load, NetworkDelays, Request, Requirement, Router,
    RouterSettings,
};
use crate::document::{Document, Objective};
use crate::id::{ModelId, RegionId, RequestId, UpstreamId, VersionId};
use crate::time::Millis;
use rand::rngs::StdRng;
use rand::SeedableRng;
use test_case::test_case;

#[path = "../../tests/routing/mod.rs"]
mod routing;

const NOW: Millis = Millis(100_000);

struct Names {
    id: RequestId,
    model: ModelId,
    version: VersionId,
    bound: RegionId,
}

fn names() -> Names {
    Names {
        id: "r1".parse().expect("a valid name"),
        model: "m".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        bound: "north".parse().expect("a valid name"),
    }
}

fn router() -> Router {
    let json = routing::document_json(2, "cost");
    let document = Document::parse(json.as_bytes()).expect("a valid document");
    let settings = RouterSettings {
        region: "north".parse().expect("a valid name"),
        data_centre: "north-0".parse().expect("a valid name"),
        delays: NetworkDelays {
            same_data_centre_us: 100,
            same_region_us: 1_000,
            other_region_us: 80_000,
        },
    };
    Router::new(settings, &document, NOW)
}

fn request<'a>(names: &'a Names, hops: &'a Hops, tried: &'a [UpstreamId]) -> Request<'a> {
    Request {
        id: &names.id,
        requirement: Requirement::Model {
            model: &names.model,
            version: &names.version,
        },
        prompt_tokens: 100,
        max_output_tokens: 100,
        prefix_hashes: &[],
        target: LatencyTarget {
            first_token_ms: 480,
            between_tokens_ms: 30,
            remaining_ms: 10_000,
            is_long: false,
        },
        bound_region: None,
        hops,
        tried,
    }
}

/// Places a request on `upstream` without checking eligibility.
fn force_placement(router: &Router, request: &Request<'_>, upstream: &str) {
    let state = &router.upstreams[upstream];
    let objective = Objective::TailLatency;
    let candidate = Candidate::new(state, request, 10, 1.0, true, objective, NOW);
    router.placement(&candidate, request);
}

#[test]
#[should_panic(expected = "a bound request was placed outside its region")]
fn a_bound_request_outside_its_region_is_noticed() {
    let (names, hops) = (names(), Hops::default());
    let bound = Request {
        bound_region: Some(&names.bound),
        ..request(&names, &hops, &[])
    };
    force_placement(&router(), &bound, "south-engine-0");
}

#[test]
#[should_panic(expected = "placed in another region without a hop left")]
fn a_second_hop_across_regions_is_noticed() {
    let names = names();
    let hops = Hops::default()
        .used(Hop::AcrossRegions)
        .expect("the first hop is allowed");
    let request = request(&names, &hops, &[]);
    force_placement(&router(), &request, "south-engine-0");
}

#[test]
#[should_panic(expected = "placed on a tried upstream")]
fn a_second_try_of_an_upstream_is_noticed() {
    let (names, hops) = (names(), Hops::default());
    let tried = ["north-engine-0".parse().expect("a valid name")];
    let request = request(&names, &hops, &tried);
    force_placement(&router(), &request, "north-engine-0");
}

#[test]
#[should_panic(expected = "placed on an ejected upstream")]
fn a_placement_on_an_ejected_upstream_is_noticed() {
    let (names, hops) = (names(), Hops::default());
    let mut router = router();
    let upstream = "north-engine-0".parse().expect("a valid name");
    router.set_ejected(&upstream, true, NOW);
    force_placement(&router, &request(&names, &hops, &[]), "north-engine-0");
}

#[test_case(LeavingSource::Document; "document")]
#[test_case(LeavingSource::Upstream; "upstream")]
#[test_case(LeavingSource::LiveList; "live list")]
#[test_case(LeavingSource::Gossip; "gossip")]
#[should_panic(expected = "placed on a leaving upstream")]
fn a_placement_on_a_leaving_upstream_is_noticed(source: LeavingSource) {
    let (names, hops) = (names(), Hops::default());
    let mut router = router();
    let upstream = "north-engine-0".parse().expect("a valid name");
    router.mark_leaving(&upstream, source, None);
    force_placement(&router, &request(&names, &hops, &[]), "north-engine-0");
}

#[test]
#[should_panic(expected = "attempt started on a leaving upstream")]
fn a_stale_placement_is_noticed() {
    let (names, hops) = (names(), Hops::default());
    let mut router = router();
    let mut rng = StdRng::seed_from_u64(1);
    let placement = router.place(&request(&names, &hops, &[]), NOW, &mut rng);
    let placement = placement.expect("the request is placed");
    router.mark_leaving(&placement.upstream, LeavingSource::LiveList, None);
    router.start(&placement, NOW);
}

#[test_case(2, 0, &[], "forwards inside a region"; "within")]
#[test_case(0, 2, &[], "forwards across regions"; "across")]
#[test_case(1, 1, &["a", "b", "c", "d"], "visited instances"; "too many")]
#[test_case(1, 1, &["a", "b", "a"], "an instance was visited twice"; "twice")]
fn faulty_hops_are_noticed(within: u8, across: u8, visited: &[&str], expected: &str) {
    let hops = Hops {
        within,
        across,
        visited: visited
            .iter()
            .map(|id| id.parse().expect("a valid name"))
            .collect(),
    };
    let panic = std::panic::catch_unwind(|| hops.assert_bounded());
    let message = panic.expect_err("the assertion panics");
    assert_eq!(message.downcast_ref::<&str>(), Some(&expected));
}

#[test]
#[should_panic(expected = "in-flight load below zero")]
fn work_that_ends_twice_is_noticed() {
    let mut load = Load::default();
    load -= Load {
        requests: 1,
        ..Load::default()
    };
}
