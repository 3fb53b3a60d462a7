//! Small configuration document for the routing tests.

pub(crate) const REGIONS: [&str; 3] = ["north", "south", "central"];

/// Builds a document with three regions of two data centres and `engines` engines each.
pub(crate) fn document_json(engines: usize, objective: &str) -> String {
    let region = |name: &&str| {
        serde_json::json!({
            "id": name,
            "data_centres": [format!("{name}-0"), format!("{name}-1")],
            "rate_weight": 1,
        })
    };
    let upstream = |(name, index): (&str, usize)| {
        serde_json::json!({
            "id": format!("{name}-engine-{index}"),
            "region": name,
            "data_centre": format!("{name}-{}", index % 2),
            "url": format!("http://127.0.0.1:{}", 9_000 + index),
            "serves": {
                "kind": "engine", "model": "m", "version": "v1", "batch_slots": 8,
                "prefill_tokens_per_s": 20_000, "checks_fencing": true,
            },
        })
    };
    let names = REGIONS
        .iter()
        .flat_map(|name| (0..engines).map(move |index| (*name, index)));
    let value = serde_json::json!({
        "schema": 1,
        "policy": {
            "objective": objective, "retry_budget_pct": 10, "max_body_bytes": 1_048_576,
        },
        "regions": REGIONS.iter().map(region).collect::<Vec<_>>(),
        "accounts": [{
            "id": "a", "rate_tokens_per_s": 1_000, "burst_tokens": 1_000, "queue_weight": 1,
            "keys": [],
        }],
        "classes": [
            class("question", 2_048, 480, 0),
            class("dossier", 32_768, 2_500, 1),
        ],
        "models": [{
            "id": "m", "version": "v1", "default_max_output_tokens": 256,
            "max_output_tokens": 4_096,
        }],
        "upstreams": names.map(upstream).collect::<Vec<_>>(),
    });
    value.to_string()
}

fn class(id: &str, max_prompt_tokens: u64, target_ms: u64, priority: u8) -> serde_json::Value {
    serde_json::json!({
        "id": id, "max_prompt_tokens": max_prompt_tokens, "first_token_target_ms": target_ms,
        "between_tokens_target_ms": 30, "deadline_ms": 10_000, "priority": priority,
    })
}
