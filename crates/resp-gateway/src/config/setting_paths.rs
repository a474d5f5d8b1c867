//! Converts nested JSON settings to the flat paths of the simulator's wire format (`classes.count`, `classes.0.name`).

use serde_json::Value;
use std::collections::HashMap;

/// Flattens nested settings. The length of a list of objects is stored under `.count`, the items of other lists are joined with commas,
/// and spaces and commas in texts are replaced by `_`.
pub(super) fn flatten(settings: &Value) -> HashMap<String, String> {
    let mut values_by_path = HashMap::new();
    insert(&mut values_by_path, String::new(), settings);
    values_by_path
}

fn insert(values_by_path: &mut HashMap<String, String>, path: String, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                insert(values_by_path, child_path(&path, name), field);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            values_by_path.insert(child_path(&path, "count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                insert(values_by_path, child_path(&path, &index.to_string()), item);
            }
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().filter_map(scalar_text).collect();
            values_by_path.insert(path, texts.join(","));
        }
        scalar => {
            if let Some(text) = scalar_text(scalar) {
                values_by_path.insert(path, text);
            }
        }
    }
}

fn child_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

/// The text of a string, number or boolean; `None` for other values.
fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.replace([' ', ','], "_")),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}
