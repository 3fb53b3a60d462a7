//! Human-readable tables of a status.

use serde_json::Value;
use std::fmt::Write as _;

/// Formats a status as text.
pub(super) fn render(status: &Value) -> String {
    let mut text = String::new();
    write_summary(status, &mut text);
    write_members(&status["decisions"]["members"], &mut text);
    write_upstreams(&status["decisions"]["upstreams"], &mut text);
    write_accounts(&status["requests"]["labels"], &mut text);
    write_map("refusals", &status["requests"]["refusals"], &mut text);
    write_map("rollouts", &status["decisions"]["rollouts"], &mut text);
    text.truncate(text.trim_end().len());
    text
}

// Writing to a string cannot fail, so the result is ignored.
fn write_line(text: &mut String, args: std::fmt::Arguments<'_>) {
    let _ = text.write_fmt(args);
    text.push('\n');
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn write_summary(status: &Value, text: &mut String) {
    let decisions = &status["decisions"];
    write_line(
        text,
        format_args!(
            "{} in {} ({}), revision {}",
            cell(&status["instance"]["id"]),
            cell(&status["instance"]["region"]),
            cell(&status["instance"]["data_centre"]),
            cell(&decisions["revision"]),
        ),
    );
    write_line(
        text,
        format_args!(
            "in flight {}, waiting {}, loans taken {}, given {}, retries {}\n",
            cell(&status["requests_in_flight"]),
            cell(&decisions["waiting"]),
            cell(&decisions["loans_taken"]),
            cell(&decisions["loans_given"]),
            cell(&decisions["retries"]),
        ),
    );
}

fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn write_members(members: &Value, text: &mut String) {
    write_line(
        text,
        format_args!(
            "{:<20} {:<12} {:<10} {:>8} {:>6}",
            "member", "region", "state", "revision", "slots"
        ),
    );
    for member in items(members) {
        write_line(
            text,
            format_args!(
                "{:<20} {:<12} {:<10} {:>8} {:>6}",
                cell(&member["instance"]),
                cell(&member["region"]),
                cell(&member["state"]),
                cell(&member["revision"]),
                cell(&member["slots"]),
            ),
        );
    }
    text.push('\n');
}

fn write_upstreams(upstreams: &Value, text: &mut String) {
    write_line(
        text,
        format_args!("{:<28} {:>8} state", "upstream", "requests"),
    );
    for upstream in items(upstreams) {
        let state = match (&upstream["is_leaving"], &upstream["is_ejected"]) {
            (Value::Bool(true), _) => "leaving",
            (_, Value::Bool(true)) => "ejected",
            _ => "in use",
        };
        write_line(
            text,
            format_args!(
                "{:<28} {:>8} {state}",
                cell(&upstream["upstream"]),
                cell(&upstream["requests"]),
            ),
        );
    }
    text.push('\n');
}

fn write_accounts(labels: &Value, text: &mut String) {
    write_line(
        text,
        format_args!(
            "{:<20} {:<12} {:>9} {:>8} {:>24}",
            "account", "class", "answered", "refused", "first byte p50/95/99 ms"
        ),
    );
    for label in items(labels) {
        let first = &label["first_byte"];
        let quantiles = format!(
            "{}/{}/{}",
            first["p50_ms"], first["p95_ms"], first["p99_ms"]
        );
        write_line(
            text,
            format_args!(
                "{:<20} {:<12} {:>9} {:>8} {quantiles:>24}",
                cell(&label["account"]),
                cell(&label["class"]),
                cell(&label["answered"]),
                cell(&label["refused"]),
            ),
        );
    }
    text.push('\n');
}

fn write_map(title: &str, map: &Value, text: &mut String) {
    let Some(map) = map.as_object().filter(|map| !map.is_empty()) else {
        return;
    };
    write_line(text, format_args!("{title}"));
    for (name, value) in map {
        write_line(text, format_args!("  {name}: {}", cell(value)));
    }
    text.push('\n');
}
