use jasminepond_config::{Config, Files};
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::base::{BASE, files};

fn values() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z0-9~/.:]{0,12}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
        Just(json!(["s1", "s1", 4, null, {"s1": "s1"}])),
        Just(json!({"s1": null, "": {}, "a/~b": [{}]})),
    ]
}

/// Collects the JSON pointers of `value` and all values in it.
fn pointers(value: &Value, path: &str, all: &mut Vec<String>) {
    all.push(path.to_owned());
    let mut visit = |key: &str, value| {
        let key = key.replace('~', "~0").replace('/', "~1");
        pointers(value, &format!("{path}/{key}"), all);
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| visit(key, value)),
        Value::Array(items) => (0..)
            .zip(items)
            .for_each(|(i, v): (usize, _)| visit(&i.to_string(), v)),
        _ => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    // No content of a published file may crash a daemon, and each mistake must name
    // the file so that it can be corrected.
    #[test]
    fn arbitrary_values_are_read_or_reported(
        changes in prop::collection::vec((any::<prop::sample::Index>(), values()), 1..4),
    ) {
        let mut value: Value = serde_json::from_str(BASE).unwrap();
        for (index, replacement) in changes {
            let mut all = Vec::new();
            pointers(&value, "", &mut all);
            *value.pointer_mut(index.get::<String>(&all)).unwrap() = replacement;
        }
        if let Err(mistakes) = Config::from_files(&files(&[("10.json", &value.to_string())])) {
            prop_assert!(!mistakes.is_empty());
            prop_assert!(mistakes.iter().all(|m| m.file == "10.json" && !m.reason.is_empty()));
        }
    }

    #[test]
    fn arbitrary_bytes_are_reported(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        let files = Files::from([("10.json".to_owned(), bytes)]);
        prop_assert!(Config::from_files(&files).is_err());
    }
}

// Guards against a stack overflow in the parser.
#[test]
fn deep_nesting_is_reported() {
    let text = format!("{{\"a\": {}", "[".repeat(100_000));
    let mistakes = Config::from_files(&files(&[("10.json", &text)])).unwrap_err();
    assert_eq!(mistakes[0].reason, "not JSON: recursion limit exceeded");
}
