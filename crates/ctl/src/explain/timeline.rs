//! The lines that concern one request, in order.

use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Time before a request's first line in which changes of beliefs may explain it, in milliseconds.
const BEFORE_MS: u64 = 10_000;
/// The same after its last line, in milliseconds.
const AFTER_MS: u64 = 1_000;
/// Events that concern whatever an instance does.
const OF_INSTANCES: [&str; 8] = [
    "config_in_force",
    "dependency_back",
    "dependency_lost",
    "evacuated",
    "lines_left_out",
    "started",
    "stopping",
    "stopped",
];
/// Events that concern requests to one upstream.
const OF_UPSTREAMS: [&str; 4] = [
    "upstream_ejected",
    "upstream_forgotten",
    "upstream_missing",
    "upstream_seen",
];
/// Events that concern forwards to one instance.
const OF_MEMBERS: [&str; 4] = ["link_lost", "link_up", "member_forgotten", "member_seen"];

/// One line of a log.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Line {
    time_unix_ms: u64,
    instance: String,
    event: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    fn has(&self, field: &str, names: &BTreeSet<String>) -> bool {
        self.text(field).is_some_and(|name| names.contains(name))
    }
}

/// The lines of a log. What another program has put before a line is skipped, and so is what is no
/// line of ours.
pub(super) fn parse(text: &str) -> Vec<Line> {
    let objects = text
        .lines()
        .filter_map(|line| line.find('{').map(|at| &line[at..]));
    objects
        .filter_map(|object| serde_json::from_str(object).ok())
        .collect()
}

/// What the lines say of the request, and the changes of beliefs around it; empty if no line names
/// it.
pub(super) fn tell(lines: Vec<Line>, request: &str) -> Vec<String> {
    let is_own = |line: &Line| line.text("request") == Some(request);
    let own: Vec<&Line> = lines.iter().filter(|line| is_own(line)).collect();
    let times = || own.iter().map(|line| line.time_unix_ms);
    let (Some(first_ms), Some(last_ms)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let names = |field: &str| -> BTreeSet<String> {
        let found = own.iter().filter_map(|line| line.text(field));
        found.map(str::to_owned).collect()
    };
    let (upstreams, members) = (names("upstream"), names("member"));
    let instances: BTreeSet<String> = own.iter().map(|line| line.instance.clone()).collect();
    let window = first_ms.saturating_sub(BEFORE_MS)..=last_ms + AFTER_MS;
    let is_around = |line: &Line| {
        let event = line.event.as_str();
        window.contains(&line.time_unix_ms)
            && instances.contains(&line.instance)
            && (OF_INSTANCES.contains(&event)
                || (OF_UPSTREAMS.contains(&event) && line.has("upstream", &upstreams))
                || (OF_MEMBERS.contains(&event) && line.has("member", &members)))
    };
    let mut told: Vec<&Line> = lines
        .iter()
        .filter(|line| is_own(line) || is_around(line))
        .collect();
    told.sort_by_key(|line| line.time_unix_ms);
    told.into_iter()
        .map(|line| format_line(line, first_ms, is_own(line)))
        .collect()
}

fn format_line(line: &Line, first_ms: u64, is_own: bool) -> String {
    let mark = if is_own { ' ' } else { '~' };
    let is_before = line.time_unix_ms < first_ms;
    let sign = if is_before { '-' } else { '+' };
    let mut text = format!(
        "{mark}{sign}{} ms {} {}",
        line.time_unix_ms.abs_diff(first_ms),
        line.instance,
        line.event
    );
    let hidden = ["request", "uptime_ms"];
    let shown = line
        .fields
        .iter()
        .filter(|(name, _)| !(hidden.contains(&name.as_str()) && (is_own || *name == "uptime_ms")));
    for (name, value) in shown {
        text.push_str(&format!(" {name}={value}"));
    }
    text
}
