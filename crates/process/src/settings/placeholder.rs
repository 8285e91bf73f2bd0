use serde_json::{Value, json};

/// Returns the values tried in place of an invalid or missing one, so that the rest of the file can still be checked.
pub(crate) fn placeholder_values() -> Vec<Value> {
    let texts = ["a", "1s", "1B", "127.0.0.1:1", "1/s", "1%", "text", "a:1"];
    let mut all: Vec<Value> = texts.iter().map(|text| json!(text)).collect();
    all.extend([json!(1), json!(true), json!([]), json!({}), Value::Null]);
    all
}

/// Sets the value at `path`, or removes the key if `value` is `None`. Returns false if the path does not exist.
pub(crate) fn set_at_path(root: &mut Value, path: &[String], value: Option<Value>) -> bool {
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    let mut current = root;
    for key in parents {
        let next = match current {
            Value::Object(map) => map.get_mut(key),
            Value::Array(list) => key.parse().ok().and_then(|i: usize| list.get_mut(i)),
            _ => None,
        };
        let Some(next) = next else { return false };
        current = next;
    }
    match (current, value) {
        (Value::Object(map), Some(value)) => {
            map.insert(last.clone(), value);
            true
        }
        (Value::Object(map), None) => map.remove(last).is_some(),
        (Value::Array(list), Some(value)) => {
            let slot = last.parse().ok().and_then(|i: usize| list.get_mut(i));
            slot.map(|slot| *slot = value).is_some()
        }
        _ => false,
    }
}
