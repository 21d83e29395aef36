//! Parses one JSON file and detects duplicate keys.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

use crate::{Mistake, Position, path::Path};

/// A parsed file. Duplicate keys are recorded, since `serde_json` silently keeps
/// the last value of a duplicate key.
#[derive(Debug)]
pub(crate) struct Document {
    pub(crate) root: Map<String, Value>,
    /// JSON pointers of keys that occur more than once in their object.
    pub(crate) duplicates: Vec<String>,
}

/// Parses `bytes`, the content of `file`, which must hold a JSON object.
pub(crate) fn parse(file: &str, bytes: &[u8]) -> Result<Document, Mistake> {
    let mut duplicates = Vec::new();
    let seed = Node {
        path: Path::Root,
        duplicates: &mut duplicates,
    };
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let value = seed
        .deserialize(&mut deserializer)
        .and_then(|value| deserializer.end().map(|()| value))
        .map_err(|e| syntax(file, &e))?;
    match value {
        Value::Object(root) => Ok(Document { root, duplicates }),
        other => Err(Mistake::in_file(
            file,
            format!("expected an object, found {}", describe(&other)),
        )),
    }
}

fn syntax(file: &str, e: &serde_json::Error) -> Mistake {
    let text = e.to_string();
    // The position has a field of its own, so it is removed from the text.
    let reason = text.split(" at line ").next().unwrap_or(&text);
    Mistake {
        position: Some(Position {
            line: e.line(),
            column: e.column(),
        }),
        ..Mistake::in_file(file, format!("not JSON: {reason}"))
    }
}

/// Describes a value by its type and, for a scalar, by the value itself.
pub(crate) fn describe(value: &Value) -> String {
    match value {
        Value::Null => "null".to_owned(),
        Value::Bool(b) => format!("the boolean {b}"),
        Value::Number(n) => format!("the number {n}"),
        Value::String(s) => format!("the text {s:?}"),
        Value::Array(_) => "an array".to_owned(),
        Value::Object(_) => "an object".to_owned(),
    }
}

struct Node<'a> {
    path: Path<'a>,
    duplicates: &'a mut Vec<String>,
}

impl<'de> DeserializeSeed<'de> for Node<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Value, D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Node<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, b: bool) -> Result<Value, E> {
        Ok(b.into())
    }

    fn visit_u64<E: Error>(self, n: u64) -> Result<Value, E> {
        Ok(n.into())
    }

    fn visit_i64<E: Error>(self, n: i64) -> Result<Value, E> {
        Ok(n.into())
    }

    fn visit_f64<E: Error>(self, n: f64) -> Result<Value, E> {
        Ok(n.into())
    }

    fn visit_str<E: Error>(self, s: &str) -> Result<Value, E> {
        Ok(s.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        loop {
            let path = self.path.index(items.len());
            let seed = Node {
                path,
                duplicates: self.duplicates,
            };
            match seq.next_element_seed(seed)? {
                Some(item) => items.push(item),
                None => return Ok(Value::Array(items)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let path = self.path.key(&key);
            let value = map.next_value_seed(Node {
                path,
                duplicates: self.duplicates,
            })?;
            if object.contains_key(&key) {
                self.duplicates.push(path.to_string());
            }
            object.insert(key, value);
        }
        Ok(Value::Object(object))
    }
}
