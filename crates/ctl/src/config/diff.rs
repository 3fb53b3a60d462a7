//! Differences between two JSON values, by path.

use serde_json::Value;

/// Returns one line per difference, with the path, the old value and the new value.
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
                compare(
                    &path,
                    field_or_null(old, name),
                    field_or_null(new, name),
                    lines,
                );
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            for index in 0..old.len().max(new.len()) {
                let path = format!("{path}[{}]", item_label(old, new, index));
                compare(
                    &path,
                    item_or_null(old, index),
                    item_or_null(new, index),
                    lines,
                );
            }
        }
        _ if before == after => {}
        _ => {
            let path = path.strip_prefix('.').unwrap_or(path);
            lines.push(format!("{path}: {before} -> {after}"));
        }
    }
}

fn field_or_null<'a>(map: &'a serde_json::Map<String, Value>, name: &str) -> &'a Value {
    map.get(name).unwrap_or(&Value::Null)
}

fn item_or_null(list: &[Value], index: usize) -> &Value {
    list.get(index).unwrap_or(&Value::Null)
}

// Items with an ID are labelled by it, since it is easier to find in a document than an index.
fn item_label(old: &[Value], new: &[Value], index: usize) -> String {
    let entry = new.get(index).or_else(|| old.get(index));
    entry
        .and_then(|entry| entry.get("id"))
        .and_then(Value::as_str)
        .map_or_else(|| index.to_string(), str::to_owned)
}
