//! Human-readable form of an explanation.

use serde_json::Value;
use std::fmt::Write as _;

/// Number of candidates that are listed, so that the text fits a screen.
const MAX_CANDIDATES: usize = 16;

/// Formats an explanation as text.
pub(super) fn render(explanation: &Value) -> String {
    let mut text = String::new();
    write_summary(explanation, &mut text);
    write_candidates(explanation, &mut text);
    write_line(
        &mut text,
        format_args!("{}", outcome(&explanation["outcome"])),
    );
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
        Value::Number(number) => number
            .as_f64()
            .filter(|_| number.is_f64())
            .map_or_else(|| number.to_string(), |number| format!("{number:.0}")),
        other => other.to_string(),
    }
}

/// A share as a percentage.
fn percent(value: &Value) -> String {
    let share = value.as_f64();
    share.map_or_else(|| "-".to_owned(), |share| format!("{:.0}%", share * 100.0))
}

fn write_summary(explanation: &Value, text: &mut String) {
    write_line(
        text,
        format_args!(
            "{} in {}, configuration {}: route {}, service {}",
            cell(&explanation["instance"]),
            cell(&explanation["region"]),
            cell(&explanation["config"]),
            cell(&explanation["route"]),
            cell(&explanation["service"]),
        ),
    );
    let account = &explanation["account"];
    if !account.is_null() {
        write_line(
            text,
            format_args!(
                "account {}: request of {} tokens, {} available here",
                cell(&account["name"]),
                cell(&account["request_tokens"]),
                cell(&account["available_tokens"]),
            ),
        );
    }
    let regions = explanation["allowed_regions"].as_array();
    let regions: Vec<String> = regions.into_iter().flatten().map(cell).collect();
    write_line(
        text,
        format_args!(
            "allowed regions: {}; home engines: {}; prefill time in use: {}\n",
            regions.join(", "),
            cell(&explanation["homes"]),
            percent(&explanation["used_prefill_share"]),
        ),
    );
}

fn write_candidates(explanation: &Value, text: &mut String) {
    let candidates = explanation["candidates"].as_array();
    let candidates = candidates.map(Vec::as_slice).unwrap_or_default();
    if candidates.is_empty() {
        return;
    }
    write_line(
        text,
        format_args!(
            "{:<20} {:>4} {:>7} {:>8} {:>7} {:>7} {:>8} {:>9} {:>8} excluded",
            "upstream",
            "rank",
            "cached",
            "queue ms",
            "wait ms",
            "cost ms",
            "running",
            "tokens/ms",
            "prefill"
        ),
    );
    for candidate in candidates.iter().take(MAX_CANDIDATES) {
        let running = format!("{}/{}", candidate["requests"], candidate["slots"]);
        write_line(
            text,
            format_args!(
                "{:<20} {:>4} {:>7} {:>8} {:>7} {:>7} {running:>8} {:>9} {:>8} {}{}",
                cell(&candidate["upstream"]),
                cell(&candidate["rank"]),
                cell(&candidate["cached_tokens"]),
                cell(&candidate["queue_ms"]),
                cell(&candidate["wait_ms"]),
                cell(&candidate["cost_ms"]),
                cell(&candidate["tokens_per_ms"]),
                percent(&candidate["prefill_share"]),
                cell(&candidate["excluded"]),
                if candidate["is_reserved"] == true {
                    " (reserved)"
                } else {
                    ""
                },
            ),
        );
    }
    let left_out = candidates.len().saturating_sub(MAX_CANDIDATES);
    if left_out > 0 {
        write_line(text, format_args!("and {left_out} more, see --json"));
    }
    text.push('\n');
}

fn outcome(outcome: &Value) -> String {
    match outcome["kind"].as_str() {
        Some("upstream") => format!(
            "goes to {} ({}), first byte in about {} ms",
            cell(&outcome["upstream"]),
            cell(&outcome["home"]),
            cell(&outcome["wait_ms"]),
        ),
        Some("forwarded") => format!(
            "is forwarded to {}: {}",
            cell(&outcome["instance"]),
            cell(&outcome["reason"]),
        ),
        _ => {
            let wait = match outcome["after_ms"].as_u64() {
                Some(ms) if ms > 0 => format!(", if there is no capacity within {ms} ms"),
                _ => String::new(),
            };
            let retry = match outcome["retry_after_ms"].as_u64() {
                Some(ms) => format!("Retry-After {ms} ms"),
                None => "no Retry-After".to_owned(),
            };
            let reason = cell(&outcome["reason"]);
            format!(
                "is refused with {}: {reason}; {retry}{wait}",
                cell(&outcome["status"])
            )
        }
    }
}
