//! Log lines that concern one request, in order of time.

use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Period before a request's first line in which changes of an instance's state are shown, since
/// they may explain what happened to the request.
const CONTEXT_BEFORE_MS: u64 = 10_000;
/// Period after the request's last line in which such changes are shown.
const CONTEXT_AFTER_MS: u64 = 1_000;
/// Events that concern every request at an instance.
const INSTANCE_EVENTS: [&str; 9] = [
    "callers_dropped",
    "config_in_force",
    "dependency_back",
    "dependency_lost",
    "evacuated",
    "lines_left_out",
    "started",
    "stopping",
    "stopped",
];
/// Events that concern the requests sent to one upstream.
const UPSTREAM_EVENTS: [&str; 4] = [
    "upstream_ejected",
    "upstream_forgotten",
    "upstream_missing",
    "upstream_seen",
];
/// Events that concern the requests with one prompt part.
const PART_EVENTS: [&str; 3] = ["hold_lapsed", "part_held", "part_released"];
/// Events that concern the requests forwarded to one instance.
const MEMBER_EVENTS: [&str; 4] = ["link_lost", "link_up", "member_forgotten", "member_seen"];

/// One line of an instance's log.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct LogLine {
    time_unix_ms: u64,
    instance: String,
    event: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl LogLine {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    fn names_any(&self, field: &str, names: &BTreeSet<String>) -> bool {
        self.text(field).is_some_and(|name| names.contains(name))
    }
}

/// Parses the lines of a log.
///
/// Text that another program has put before the JSON object of a line is skipped, as are lines of
/// another form.
pub(super) fn parse(text: &str) -> Vec<LogLine> {
    let objects = text
        .lines()
        .filter_map(|line| line.find('{').map(|at| &line[at..]));
    objects
        .filter_map(|object| serde_json::from_str(object).ok())
        .collect()
}

/// Returns the lines of the request and the state changes around it as text, in order of time.
///
/// Empty if no line names the request.
pub(super) fn of_request(lines: Vec<LogLine>, request: &str) -> Vec<String> {
    let is_of_request = |line: &LogLine| line.text("request") == Some(request);
    let request_lines: Vec<&LogLine> = lines.iter().filter(|line| is_of_request(line)).collect();
    let times = || request_lines.iter().map(|line| line.time_unix_ms);
    let (Some(first_ms), Some(last_ms)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let names = |field: &str| -> BTreeSet<String> {
        let found = request_lines.iter().filter_map(|line| line.text(field));
        found.map(str::to_owned).collect()
    };
    let (upstreams, members, parts) = (names("upstream"), names("member"), names("part"));
    let instances: BTreeSet<String> = request_lines
        .iter()
        .map(|line| line.instance.clone())
        .collect();
    let window = first_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last_ms + CONTEXT_AFTER_MS;
    let is_context = |line: &LogLine| {
        let event = line.event.as_str();
        // A part may have been held long before the request.
        if PART_EVENTS.contains(&event) && line.names_any("part", &parts) {
            return line.time_unix_ms <= *window.end() && instances.contains(&line.instance);
        }
        window.contains(&line.time_unix_ms)
            && instances.contains(&line.instance)
            && (INSTANCE_EVENTS.contains(&event)
                || (UPSTREAM_EVENTS.contains(&event) && line.names_any("upstream", &upstreams))
                || (MEMBER_EVENTS.contains(&event) && line.names_any("member", &members)))
    };
    let mut selected: Vec<&LogLine> = lines
        .iter()
        .filter(|line| is_of_request(line) || is_context(line))
        .collect();
    selected.sort_by_key(|line| line.time_unix_ms);
    selected
        .into_iter()
        .map(|line| format_line(line, first_ms, is_of_request(line)))
        .collect()
}

fn format_line(line: &LogLine, first_ms: u64, is_of_request: bool) -> String {
    let mark = if is_of_request { ' ' } else { '~' };
    let is_before = line.time_unix_ms < first_ms;
    let sign = if is_before { '-' } else { '+' };
    let mut text = format!(
        "{mark}{sign}{} ms {} {}",
        line.time_unix_ms.abs_diff(first_ms),
        line.instance,
        line.event
    );
    let hidden = ["request", "uptime_ms"];
    let shown = line.fields.iter().filter(|(name, _)| {
        !(hidden.contains(&name.as_str()) && (is_of_request || *name == "uptime_ms"))
    });
    for (name, value) in shown {
        text.push_str(&format!(" {name}={value}"));
    }
    text
}
