//! The status as tables for people.

use serde_json::Value;
use std::fmt::Write as _;

/// The status page as text.
pub(super) fn of(status: &Value) -> String {
    let mut text = String::new();
    head(status, &mut text);
    members(&status["decisions"]["members"], &mut text);
    upstreams(&status["decisions"]["upstreams"], &mut text);
    accounts(&status["requests"]["labels"], &mut text);
    pairs("refusals", &status["requests"]["refusals"], &mut text);
    pairs("rollouts", &status["decisions"]["rollouts"], &mut text);
    text.truncate(text.trim_end().len());
    text
}

// Writing to a string cannot fail.
fn line(text: &mut String, args: std::fmt::Arguments<'_>) {
    let _ = text.write_fmt(args);
    text.push('\n');
}

fn string(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn head(status: &Value, text: &mut String) {
    let decisions = &status["decisions"];
    line(
        text,
        format_args!(
            "{} in {} ({}), revision {}",
            string(&status["instance"]["id"]),
            string(&status["instance"]["region"]),
            string(&status["instance"]["data_centre"]),
            string(&decisions["revision"]),
        ),
    );
    line(
        text,
        format_args!(
            "in flight {}, waiting {}, loans taken {}, given {}, retries {}\n",
            string(&status["requests_in_flight"]),
            string(&decisions["waiting"]),
            string(&decisions["loans_taken"]),
            string(&decisions["loans_given"]),
            string(&decisions["retries"]),
        ),
    );
}

fn rows(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn members(members: &Value, text: &mut String) {
    line(
        text,
        format_args!(
            "{:<20} {:<12} {:<10} {:>8} {:>6}",
            "member", "region", "state", "revision", "slots"
        ),
    );
    for member in rows(members) {
        line(
            text,
            format_args!(
                "{:<20} {:<12} {:<10} {:>8} {:>6}",
                string(&member["instance"]),
                string(&member["region"]),
                string(&member["state"]),
                string(&member["revision"]),
                string(&member["slots"]),
            ),
        );
    }
    text.push('\n');
}

fn upstreams(upstreams: &Value, text: &mut String) {
    line(
        text,
        format_args!("{:<28} {:>8} state", "upstream", "requests"),
    );
    for upstream in rows(upstreams) {
        let state = match (&upstream["is_leaving"], &upstream["is_ejected"]) {
            (Value::Bool(true), _) => "leaving",
            (_, Value::Bool(true)) => "ejected",
            _ => "in use",
        };
        line(
            text,
            format_args!(
                "{:<28} {:>8} {state}",
                string(&upstream["upstream"]),
                string(&upstream["requests"]),
            ),
        );
    }
    text.push('\n');
}

fn accounts(labels: &Value, text: &mut String) {
    line(
        text,
        format_args!(
            "{:<20} {:<12} {:>9} {:>8} {:>24}",
            "account", "class", "answered", "refused", "first byte p50/95/99 ms"
        ),
    );
    for label in rows(labels) {
        let first = &label["first_byte"];
        let quantiles = format!(
            "{}/{}/{}",
            first["p50_ms"], first["p95_ms"], first["p99_ms"]
        );
        line(
            text,
            format_args!(
                "{:<20} {:<12} {:>9} {:>8} {quantiles:>24}",
                string(&label["account"]),
                string(&label["class"]),
                string(&label["answered"]),
                string(&label["refused"]),
            ),
        );
    }
    text.push('\n');
}

fn pairs(title: &str, map: &Value, text: &mut String) {
    let Some(map) = map.as_object().filter(|map| !map.is_empty()) else {
        return;
    };
    line(text, format_args!("{title}"));
    for (name, value) in map {
        line(text, format_args!("  {name}: {}", string(value)));
    }
    text.push('\n');
}
