//! Validation rules of the document beyond its syntax.

use super::{Account, Document, Fault, Rollout, Route, Serves, Upstream, SCHEMA, WHOLE_PPM};
use std::{
    collections::HashSet,
    fmt::{Debug, Display},
    hash::Hash,
    ops::RangeInclusive,
};

const BODY_BYTES_RANGE: RangeInclusive<u64> = 1_024..=64 * 1_024 * 1_024;
const RATE_TOKENS_PER_S_RANGE: RangeInclusive<u64> = 1..=1_000_000_000;
const BURST_TOKENS_RANGE: RangeInclusive<u64> = 1..=1_000_000_000;
const WEIGHT_RANGE: RangeInclusive<u32> = 1..=1_000;
const LATENCY_TARGET_MS_RANGE: RangeInclusive<u64> = 1..=600_000;
const DEADLINE_MS_RANGE: RangeInclusive<u64> = 1..=3_600_000;
const OUTPUT_TOKENS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const SLOTS_RANGE: RangeInclusive<u32> = 1..=65_536;
const PREFILL_TOKENS_PER_S_RANGE: RangeInclusive<u64> = 1..=10_000_000;
const OUTCOME_KEPT_S_RANGE: RangeInclusive<u64> = 1..=604_800;
const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
// Paths that the gateway answers itself or handles as model calls.
const RESERVED_PATHS: [&str; 4] = ["/v1/", "/healthz", "/readyz", "/status"];

/// Returns all faults of `document`, in the order of its fields.
pub(super) fn faults(document: &Document) -> Vec<Fault> {
    let mut validator = Validator::default();
    validator.require_in_range("schema", document.schema, &(SCHEMA..=SCHEMA));
    policy(document, &mut validator);
    regions(document, &mut validator);
    accounts(document, &mut validator);
    classes(document, &mut validator);
    models(document, &mut validator);
    upstreams(document, &mut validator);
    routes(document, &mut validator);
    rollouts(document, &mut validator);
    validator.faults
}

#[derive(Default)]
struct Validator {
    faults: Vec<Fault>,
}

impl Validator {
    fn add_fault(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.faults.push(Fault::new(path, message));
    }

    fn require_in_range<T>(&mut self, path: impl Into<String>, value: T, range: &RangeInclusive<T>)
    where
        T: PartialOrd + Display,
    {
        if !range.contains(&value) {
            let (low, high) = (range.start(), range.end());
            self.add_fault(path, format!("{value} is outside {low} to {high}"));
        }
    }

    fn require_non_empty<T>(&mut self, path: &str, list: &[T]) {
        if list.is_empty() {
            self.add_fault(path, "at least one entry is required");
        }
    }

    fn require_unique<T>(&mut self, path: &str, values: impl Iterator<Item = T>)
    where
        T: Hash + Eq + Debug + Clone,
    {
        let mut seen = HashSet::new();
        for (index, value) in values.enumerate() {
            if !seen.insert(value.clone()) {
                self.add_fault(
                    format!("{path}[{index}]"),
                    format!("{value:?} appears more than once"),
                );
            }
        }
    }

    fn require_known<T>(
        &mut self,
        path: impl Into<String>,
        kind: &str,
        value: &T,
        known: &HashSet<&T>,
    ) where
        T: Hash + Eq + Display,
    {
        if !known.contains(value) {
            self.add_fault(path, format!("{kind} `{value}` is not in the document"));
        }
    }
}

fn policy(document: &Document, validator: &mut Validator) {
    let policy = &document.policy;
    validator.require_in_range(
        "policy.retry_budget_pct",
        policy.retry_budget_pct,
        &(0..=100),
    );
    validator.require_in_range(
        "policy.max_body_bytes",
        policy.max_body_bytes,
        &BODY_BYTES_RANGE,
    );
}

fn regions(document: &Document, validator: &mut Validator) {
    validator.require_non_empty("regions", &document.regions);
    validator.require_unique("regions", document.regions.iter().map(|r| r.id.as_str()));
    let data_centres = document.regions.iter().flat_map(|r| &r.data_centres);
    validator.require_unique("regions.data_centres", data_centres.map(|dc| dc.as_str()));
    for (index, region) in document.regions.iter().enumerate() {
        let path = format!("regions[{index}]");
        validator.require_non_empty(&format!("{path}.data_centres"), &region.data_centres);
        validator.require_in_range(
            format!("{path}.rate_weight"),
            region.rate_weight,
            &WEIGHT_RANGE,
        );
    }
}

fn accounts(document: &Document, validator: &mut Validator) {
    validator.require_unique("accounts", document.accounts.iter().map(|a| a.id.as_str()));
    let keys = || document.accounts.iter().flat_map(|a| &a.keys);
    validator.require_unique("accounts.keys.id", keys().map(|key| key.id.as_str()));
    validator.require_unique("accounts.keys.sha256", keys().map(|key| hex(&key.sha256)));
    for (index, account) in document.accounts.iter().enumerate() {
        account_faults(document, account, &format!("accounts[{index}]"), validator);
    }
}

fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn account_faults(document: &Document, account: &Account, path: &str, validator: &mut Validator) {
    let rate_path = format!("{path}.rate_tokens_per_s");
    validator.require_in_range(
        rate_path,
        account.rate_tokens_per_s,
        &RATE_TOKENS_PER_S_RANGE,
    );
    validator.require_in_range(
        format!("{path}.burst_tokens"),
        account.burst_tokens,
        &BURST_TOKENS_RANGE,
    );
    validator.require_in_range(
        format!("{path}.queue_weight"),
        account.queue_weight,
        &WEIGHT_RANGE,
    );
    if let Some(region) = &account.bound_region {
        let known = document.regions.iter().map(|r| &r.id).collect();
        validator.require_known(format!("{path}.bound_region"), "region", region, &known);
    }
}

fn classes(document: &Document, validator: &mut Validator) {
    validator.require_unique("classes", document.classes.iter().map(|c| c.id.as_str()));
    if !document.models.is_empty() {
        validator.require_non_empty("classes", &document.classes);
    }
    let mut previous_max_tokens = 0;
    for (index, class) in document.classes.iter().enumerate() {
        let path = format!("classes[{index}]");
        if class.max_prompt_tokens <= previous_max_tokens {
            let message = format!(
                "{} tokens: classes have to be in ascending order of prompt length",
                class.max_prompt_tokens
            );
            validator.add_fault(format!("{path}.max_prompt_tokens"), message);
        }
        previous_max_tokens = class.max_prompt_tokens;
        let targets = [
            ("first_token_target_ms", class.first_token_target_ms),
            ("between_tokens_target_ms", class.between_tokens_target_ms),
        ];
        for (name, target_ms) in targets {
            validator.require_in_range(
                format!("{path}.{name}"),
                target_ms,
                &LATENCY_TARGET_MS_RANGE,
            );
        }
        validator.require_in_range(
            format!("{path}.deadline_ms"),
            class.deadline_ms,
            &DEADLINE_MS_RANGE,
        );
        if class.deadline_ms < class.first_token_target_ms {
            validator.add_fault(
                format!("{path}.deadline_ms"),
                "has to be at least first_token_target_ms",
            );
        }
    }
}

fn models(document: &Document, validator: &mut Validator) {
    validator.require_unique("models", document.models.iter().map(|m| m.id.as_str()));
    for (index, model) in document.models.iter().enumerate() {
        let path = format!("models[{index}]");
        validator.require_in_range(
            format!("{path}.max_output_tokens"),
            model.max_output_tokens,
            &OUTPUT_TOKENS_RANGE,
        );
        validator.require_in_range(
            format!("{path}.default_max_output_tokens"),
            model.default_max_output_tokens,
            &(1..=model.max_output_tokens),
        );
    }
}

fn upstreams(document: &Document, validator: &mut Validator) {
    validator.require_unique(
        "upstreams",
        document.upstreams.iter().map(|u| u.id.as_str()),
    );
    for (index, upstream) in document.upstreams.iter().enumerate() {
        upstream_faults(
            document,
            upstream,
            &format!("upstreams[{index}]"),
            validator,
        );
    }
}

fn upstream_faults(
    document: &Document,
    upstream: &Upstream,
    path: &str,
    validator: &mut Validator,
) {
    match document.regions.iter().find(|r| r.id == upstream.region) {
        None => {
            let message = format!("region `{}` is not in the document", upstream.region);
            validator.add_fault(format!("{path}.region"), message);
        }
        Some(region) if !region.data_centres.contains(&upstream.data_centre) => {
            let message = format!(
                "data centre `{}` is not in region `{}`",
                upstream.data_centre, region.id
            );
            validator.add_fault(format!("{path}.data_centre"), message);
        }
        Some(_) => {}
    }
    if !is_base_url(&upstream.url) {
        let message = "has to be a base URL such as `http://10.0.0.7:8000`, without a path";
        validator.add_fault(format!("{path}.url"), message);
    }
    match &upstream.serves {
        Serves::Engine {
            model,
            batch_slots,
            prefill_tokens_per_s,
            ..
        } => {
            let known = document.models.iter().map(|m| &m.id).collect();
            validator.require_known(format!("{path}.serves.model"), "model", model, &known);
            validator.require_in_range(
                format!("{path}.serves.batch_slots"),
                *batch_slots,
                &SLOTS_RANGE,
            );
            let speed_path = format!("{path}.serves.prefill_tokens_per_s");
            validator.require_in_range(
                speed_path,
                *prefill_tokens_per_s,
                &PREFILL_TOKENS_PER_S_RANGE,
            );
        }
        Serves::Service { request_slots, .. } => {
            validator.require_in_range(
                format!("{path}.serves.request_slots"),
                *request_slots,
                &SLOTS_RANGE,
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

fn routes(document: &Document, validator: &mut Validator) {
    validator.require_unique("routes", document.routes.iter().map(|r| r.path.as_str()));
    for (index, route) in document.routes.iter().enumerate() {
        route_faults(document, route, &format!("routes[{index}]"), validator);
    }
}

fn route_faults(document: &Document, route: &Route, path: &str, validator: &mut Validator) {
    if !route.path.starts_with('/') || route.path.contains(['?', '#']) {
        validator.add_fault(
            format!("{path}.path"),
            "has to begin with `/`, without a query",
        );
    }
    if RESERVED_PATHS
        .iter()
        .any(|reserved| route.path.starts_with(reserved))
    {
        let message = format!("`{}` is reserved for the gateway", route.path);
        validator.add_fault(format!("{path}.path"), message);
    }
    validator.require_non_empty(&format!("{path}.methods"), &route.methods);
    for method in &route.methods {
        if !METHODS.contains(&method.as_str()) {
            let message = format!("`{method}` is not one of {}", METHODS.join(", "));
            validator.add_fault(format!("{path}.methods"), message);
        }
    }
    let is_service = |upstream: &Upstream| matches!(&upstream.serves, Serves::Service { service, .. } if *service == route.service);
    if !document.upstreams.iter().any(is_service) {
        let message = format!("no upstream serves `{}`", route.service);
        validator.add_fault(format!("{path}.service"), message);
    }
    if let Some(region) = &route.bound_region {
        let known = document.regions.iter().map(|r| &r.id).collect();
        validator.require_known(format!("{path}.bound_region"), "region", region, &known);
    }
    validator.require_in_range(
        format!("{path}.deadline_ms"),
        route.deadline_ms,
        &DEADLINE_MS_RANGE,
    );
    validator.require_in_range(
        format!("{path}.outcome_kept_s"),
        route.outcome_kept_s,
        &OUTCOME_KEPT_S_RANGE,
    );
}

fn rollouts(document: &Document, validator: &mut Validator) {
    validator.require_unique("rollouts", document.rollouts.iter().map(|r| r.id.as_str()));
    validator.require_unique(
        "rollouts.model",
        document.rollouts.iter().map(|r| r.model.as_str()),
    );
    for (index, rollout) in document.rollouts.iter().enumerate() {
        rollout_faults(document, rollout, &format!("rollouts[{index}]"), validator);
    }
}

fn rollout_faults(document: &Document, rollout: &Rollout, path: &str, validator: &mut Validator) {
    let known = document.models.iter().map(|m| &m.id).collect();
    validator.require_known(format!("{path}.model"), "model", &rollout.model, &known);
    if rollout.old_version == rollout.new_version {
        validator.add_fault(
            format!("{path}.new_version"),
            "has to differ from old_version",
        );
    }
    validator.require_non_empty(&format!("{path}.steps"), &rollout.steps);
    for (index, step) in rollout.steps.iter().enumerate() {
        let share_path = format!("{path}.steps[{index}].share_ppm");
        validator.require_in_range(share_path, step.share_ppm, &(1..=WHOLE_PPM));
        if step.at_unix_ms >= rollout.deadline_unix_ms {
            let message = "has to be before the deadline";
            validator.add_fault(format!("{path}.steps[{index}].at_unix_ms"), message);
        }
    }
    let is_ascending = rollout.steps.windows(2).all(|pair| {
        pair[0].at_unix_ms < pair[1].at_unix_ms && pair[0].share_ppm < pair[1].share_ppm
    });
    if !is_ascending {
        validator.add_fault(
            format!("{path}.steps"),
            "steps have to be in ascending order of time and share",
        );
    }
}
