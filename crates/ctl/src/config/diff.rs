//! How two JSON values differ, path by path.

use serde_json::Value;

/// One line for each difference: the path, the value before and the value after.
pub(super) fn lines(before: &Value, after: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    compare("", before, after, &mut lines);
    lines
}

fn compare(path: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    match (before, after) {
        (Value::Object(old), Value::Object(new)) => {
            let added = new.keys().filter(|name| !old.contains_key(*name));
            for name in old.keys().chain(added) {
                let path = format!("{path}.{name}");
                compare(&path, of_object(old, name), of_object(new, name), lines);
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            for index in 0..old.len().max(new.len()) {
                let path = format!("{path}[{}]", label(old, new, index));
                compare(&path, of_array(old, index), of_array(new, index), lines);
            }
        }
        _ if before == after => {}
        _ => {
            let path = path.strip_prefix('.').unwrap_or(path);
            lines.push(format!("{path}: {before} -> {after}"));
        }
    }
}

fn of_object<'a>(map: &'a serde_json::Map<String, Value>, name: &str) -> &'a Value {
    map.get(name).unwrap_or(&Value::Null)
}

fn of_array(list: &[Value], index: usize) -> &Value {
    list.get(index).unwrap_or(&Value::Null)
}

// Entries with names are easier to find by name than by number.
fn label(old: &[Value], new: &[Value], index: usize) -> String {
    let entry = new.get(index).or_else(|| old.get(index));
    entry
        .and_then(|entry| entry.get("id"))
        .and_then(Value::as_str)
        .map_or_else(|| index.to_string(), str::to_owned)
}
