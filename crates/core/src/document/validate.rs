//! The rules of the document beyond its syntax.

use super::{Account, Document, Fault, Rollout, Route, Serves, Upstream, SCHEMA, WHOLE_PPM};
use std::{
    collections::HashSet,
    fmt::{Debug, Display},
    hash::Hash,
    ops::RangeInclusive,
};

const BODY_BYTES: RangeInclusive<u64> = 1_024..=64 * 1_024 * 1_024;
const RATE_TOKENS_PER_S: RangeInclusive<u64> = 1..=1_000_000_000;
const BURST_TOKENS: RangeInclusive<u64> = 1..=1_000_000_000;
const QUEUE_WEIGHT: RangeInclusive<u32> = 1..=1_000;
const TARGET_MS: RangeInclusive<u64> = 1..=600_000;
const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
const OUTPUT_TOKENS: RangeInclusive<u64> = 1..=1_000_000;
const SLOTS: RangeInclusive<u32> = 1..=65_536;
const PREFILL_TOKENS_PER_S: RangeInclusive<u64> = 1..=10_000_000;
const OUTCOME_KEPT_S: RangeInclusive<u64> = 1..=604_800;
const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
// Paths that the gateway answers itself or reads as model calls.
const RESERVED_PATHS: [&str; 4] = ["/v1/", "/healthz", "/readyz", "/status"];

/// All faults of `document`, in the order of its fields.
pub(super) fn faults(document: &Document) -> Vec<Fault> {
    let mut check = Check::default();
    check.range("schema", document.schema, &(SCHEMA..=SCHEMA));
    policy(document, &mut check);
    regions(document, &mut check);
    accounts(document, &mut check);
    classes(document, &mut check);
    models(document, &mut check);
    upstreams(document, &mut check);
    routes(document, &mut check);
    rollouts(document, &mut check);
    check.faults
}

#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    fn fault(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.faults.push(Fault::new(path, message));
    }

    fn range<T>(&mut self, path: impl Into<String>, value: T, range: &RangeInclusive<T>)
    where
        T: PartialOrd + Display,
    {
        if !range.contains(&value) {
            let (low, high) = (range.start(), range.end());
            self.fault(path, format!("{value} is outside {low} to {high}"));
        }
    }

    fn some<T>(&mut self, path: &str, list: &[T]) {
        if list.is_empty() {
            self.fault(path, "at least one entry is needed");
        }
    }

    fn unique<T>(&mut self, path: &str, values: impl Iterator<Item = T>)
    where
        T: Hash + Eq + Debug + Clone,
    {
        let mut seen = HashSet::new();
        for (index, value) in values.enumerate() {
            if !seen.insert(value.clone()) {
                self.fault(
                    format!("{path}[{index}]"),
                    format!("{value:?} stands twice"),
                );
            }
        }
    }

    fn known<T>(&mut self, path: impl Into<String>, kind: &str, value: &T, known: &HashSet<&T>)
    where
        T: Hash + Eq + Display,
    {
        if !known.contains(value) {
            self.fault(path, format!("{kind} `{value}` is not in the document"));
        }
    }
}

fn policy(document: &Document, check: &mut Check) {
    let policy = &document.policy;
    check.range(
        "policy.retry_budget_pct",
        policy.retry_budget_pct,
        &(0..=100),
    );
    check.range("policy.max_body_bytes", policy.max_body_bytes, &BODY_BYTES);
}

fn regions(document: &Document, check: &mut Check) {
    check.some("regions", &document.regions);
    check.unique("regions", document.regions.iter().map(|r| r.id.as_str()));
    let centres = document.regions.iter().flat_map(|r| &r.data_centres);
    check.unique("regions.data_centres", centres.map(|dc| dc.as_str()));
    for (index, region) in document.regions.iter().enumerate() {
        let path = format!("regions[{index}]");
        check.some(&format!("{path}.data_centres"), &region.data_centres);
        check.range(
            format!("{path}.rate_weight"),
            region.rate_weight,
            &QUEUE_WEIGHT,
        );
    }
}

fn accounts(document: &Document, check: &mut Check) {
    check.unique("accounts", document.accounts.iter().map(|a| a.id.as_str()));
    let keys = || document.accounts.iter().flat_map(|a| &a.keys);
    check.unique("accounts.keys.id", keys().map(|key| key.id.as_str()));
    check.unique("accounts.keys.sha256", keys().map(|key| hex(&key.sha256)));
    for (index, account) in document.accounts.iter().enumerate() {
        account_faults(document, account, &format!("accounts[{index}]"), check);
    }
}

fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn account_faults(document: &Document, account: &Account, path: &str, check: &mut Check) {
    let rate_path = format!("{path}.rate_tokens_per_s");
    check.range(rate_path, account.rate_tokens_per_s, &RATE_TOKENS_PER_S);
    check.range(
        format!("{path}.burst_tokens"),
        account.burst_tokens,
        &BURST_TOKENS,
    );
    check.range(
        format!("{path}.queue_weight"),
        account.queue_weight,
        &QUEUE_WEIGHT,
    );
    if let Some(region) = &account.bound_region {
        let known = document.regions.iter().map(|r| &r.id).collect();
        check.known(format!("{path}.bound_region"), "region", region, &known);
    }
}

fn classes(document: &Document, check: &mut Check) {
    check.unique("classes", document.classes.iter().map(|c| c.id.as_str()));
    if !document.models.is_empty() {
        check.some("classes", &document.classes);
    }
    let mut shorter_tokens = 0;
    for (index, class) in document.classes.iter().enumerate() {
        let path = format!("classes[{index}]");
        if class.max_prompt_tokens <= shorter_tokens {
            let message = format!(
                "{} tokens: classes have to stand in ascending order of prompt length",
                class.max_prompt_tokens
            );
            check.fault(format!("{path}.max_prompt_tokens"), message);
        }
        shorter_tokens = class.max_prompt_tokens;
        let targets = [
            ("first_token_target_ms", class.first_token_target_ms),
            ("between_tokens_target_ms", class.between_tokens_target_ms),
        ];
        for (name, target_ms) in targets {
            check.range(format!("{path}.{name}"), target_ms, &TARGET_MS);
        }
        check.range(
            format!("{path}.deadline_ms"),
            class.deadline_ms,
            &DEADLINE_MS,
        );
        if class.deadline_ms < class.first_token_target_ms {
            check.fault(
                format!("{path}.deadline_ms"),
                "shorter than first_token_target_ms",
            );
        }
    }
}

fn models(document: &Document, check: &mut Check) {
    check.unique("models", document.models.iter().map(|m| m.id.as_str()));
    for (index, model) in document.models.iter().enumerate() {
        let path = format!("models[{index}]");
        check.range(
            format!("{path}.max_output_tokens"),
            model.max_output_tokens,
            &OUTPUT_TOKENS,
        );
        check.range(
            format!("{path}.default_max_output_tokens"),
            model.default_max_output_tokens,
            &(1..=model.max_output_tokens),
        );
    }
}

fn upstreams(document: &Document, check: &mut Check) {
    check.unique(
        "upstreams",
        document.upstreams.iter().map(|u| u.id.as_str()),
    );
    for (index, upstream) in document.upstreams.iter().enumerate() {
        upstream_faults(document, upstream, &format!("upstreams[{index}]"), check);
    }
}

fn upstream_faults(document: &Document, upstream: &Upstream, path: &str, check: &mut Check) {
    match document.regions.iter().find(|r| r.id == upstream.region) {
        None => {
            let message = format!("region `{}` is not in the document", upstream.region);
            check.fault(format!("{path}.region"), message);
        }
        Some(region) if !region.data_centres.contains(&upstream.data_centre) => {
            let message = format!(
                "data centre `{}` is not in region `{}`",
                upstream.data_centre, region.id
            );
            check.fault(format!("{path}.data_centre"), message);
        }
        Some(_) => {}
    }
    if !is_base_url(&upstream.url) {
        let message = "a base URL such as `http://10.0.0.7:8000` is needed, without a path";
        check.fault(format!("{path}.url"), message);
    }
    match &upstream.serves {
        Serves::Engine {
            model,
            batch_slots,
            prefill_tokens_per_s,
            ..
        } => {
            let known = document.models.iter().map(|m| &m.id).collect();
            check.known(format!("{path}.serves.model"), "model", model, &known);
            check.range(format!("{path}.serves.batch_slots"), *batch_slots, &SLOTS);
            let speed_path = format!("{path}.serves.prefill_tokens_per_s");
            check.range(speed_path, *prefill_tokens_per_s, &PREFILL_TOKENS_PER_S);
        }
        Serves::Service { request_slots, .. } => {
            check.range(
                format!("{path}.serves.request_slots"),
                *request_slots,
                &SLOTS,
            );
        }
    }
}

fn is_base_url(url: &str) -> bool {
    let rest = url
        .strip_prefix("http://")
        .or_else(|| url.strip_prefix("https://"));
    rest.is_some_and(|host| !host.is_empty() && !host.contains(['/', '?', '#', '@', ' ']))
}

fn routes(document: &Document, check: &mut Check) {
    check.unique("routes", document.routes.iter().map(|r| r.path.as_str()));
    for (index, route) in document.routes.iter().enumerate() {
        route_faults(document, route, &format!("routes[{index}]"), check);
    }
}

fn route_faults(document: &Document, route: &Route, path: &str, check: &mut Check) {
    if !route.path.starts_with('/') || route.path.contains(['?', '#']) {
        check.fault(
            format!("{path}.path"),
            "has to begin with `/`, without a query",
        );
    }
    if RESERVED_PATHS
        .iter()
        .any(|reserved| route.path.starts_with(reserved))
    {
        let message = format!("`{}` is reserved for the gateway", route.path);
        check.fault(format!("{path}.path"), message);
    }
    check.some(&format!("{path}.methods"), &route.methods);
    for method in &route.methods {
        if !METHODS.contains(&method.as_str()) {
            let message = format!("`{method}` is not one of {}", METHODS.join(", "));
            check.fault(format!("{path}.methods"), message);
        }
    }
    let is_service = |upstream: &Upstream| matches!(&upstream.serves, Serves::Service { service, .. } if *service == route.service);
    if !document.upstreams.iter().any(is_service) {
        let message = format!("no upstream serves `{}`", route.service);
        check.fault(format!("{path}.service"), message);
    }
    if let Some(region) = &route.bound_region {
        let known = document.regions.iter().map(|r| &r.id).collect();
        check.known(format!("{path}.bound_region"), "region", region, &known);
    }
    check.range(
        format!("{path}.deadline_ms"),
        route.deadline_ms,
        &DEADLINE_MS,
    );
    check.range(
        format!("{path}.outcome_kept_s"),
        route.outcome_kept_s,
        &OUTCOME_KEPT_S,
    );
}

fn rollouts(document: &Document, check: &mut Check) {
    check.unique("rollouts", document.rollouts.iter().map(|r| r.id.as_str()));
    check.unique(
        "rollouts.model",
        document.rollouts.iter().map(|r| r.model.as_str()),
    );
    for (index, rollout) in document.rollouts.iter().enumerate() {
        rollout_faults(document, rollout, &format!("rollouts[{index}]"), check);
    }
}

fn rollout_faults(document: &Document, rollout: &Rollout, path: &str, check: &mut Check) {
    let known = document.models.iter().map(|m| &m.id).collect();
    check.known(format!("{path}.model"), "model", &rollout.model, &known);
    if rollout.old_version == rollout.new_version {
        check.fault(format!("{path}.new_version"), "the same as old_version");
    }
    check.some(&format!("{path}.steps"), &rollout.steps);
    for (index, step) in rollout.steps.iter().enumerate() {
        let share_path = format!("{path}.steps[{index}].share_ppm");
        check.range(share_path, step.share_ppm, &(1..=WHOLE_PPM));
        if step.at_unix_ms >= rollout.deadline_unix_ms {
            let message = "not before the deadline";
            check.fault(format!("{path}.steps[{index}].at_unix_ms"), message);
        }
    }
    let is_ascending = rollout.steps.windows(2).all(|pair| {
        pair[0].at_unix_ms < pair[1].at_unix_ms && pair[0].share_ppm < pair[1].share_ppm
    });
    if !is_ascending {
        check.fault(
            format!("{path}.steps"),
            "steps have to ascend in time and share",
        );
    }
}
