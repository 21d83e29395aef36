//! Reads one object of a file against its table of keys. Collects every mistake
//! instead of stopping at the first.

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde_json::{Map, Value};

use crate::{
    document::describe,
    path::Path,
    schema::{KeySpec, SectionSpec, ValueKind},
};

/// Minimum similarity of a suggested name. At 0.7, `zone` is suggested for
/// `zonse`, and nothing for `colour`.
const SUGGESTION_SIMILARITY: f64 = 0.7;

/// The mistakes found so far, by path.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) mistakes: Vec<(String, String)>,
}

impl Report {
    pub(crate) fn add(&mut self, path: impl fmt::Display, reason: impl Into<String>) {
        self.mistakes.push((path.to_string(), reason.into()));
    }

    /// Adds a mistake for a key that must be present.
    pub(crate) fn missing(&mut self, path: Path<'_>) {
        self.add(path, "the key is missing and has no default");
    }
}

/// One object of the file being read.
pub(crate) struct Section<'a> {
    spec: SectionSpec,
    map: &'a Map<String, Value>,
    path: &'a Path<'a>,
}

impl<'a> Section<'a> {
    /// Starts reading the object `value` at `path` and reports its unknown keys.
    pub(crate) fn open(
        report: &mut Report,
        spec: SectionSpec,
        value: &'a Value,
        path: &'a Path<'a>,
    ) -> Option<Self> {
        let map = object(report, value, path)?;
        for key in map.keys() {
            if !spec.keys.iter().any(|known| known.name == key) {
                report.add(path.key(key), unknown_key(key, spec.keys));
            }
        }
        Some(Self { spec, map, path })
    }

    /// The key of this section in its parent object.
    pub(crate) fn name(&self) -> &'a str {
        match self.path {
            Path::Key(_, key) => key,
            _ => "",
        }
    }

    /// The path of a key of this section.
    pub(crate) fn path_of<'s>(&'s self, name: &'s str) -> Path<'s> {
        self.path.key(name)
    }

    /// The raw value of a key, if present.
    pub(crate) fn raw(&self, name: &str) -> Option<&'a Value> {
        debug_assert!(self.spec.key(name).name == name);
        self.map.get(name)
    }

    /// The raw value of a key. Reports a required key that is missing.
    pub(crate) fn value(&self, report: &mut Report, name: &str) -> Option<&'a Value> {
        let value = self.raw(name);
        if value.is_none() && self.spec.key(name).required {
            report.missing(self.path_of(name));
        }
        value
    }

    /// Reads a number, `None` if absent or invalid.
    pub(crate) fn optional_number(&self, report: &mut Report, name: &str) -> Option<u64> {
        let value = self.value(report, name)?;
        let ValueKind::Number { unit, min, max, .. } = self.spec.key(name).kind else {
            unreachable!("{name} is not a number in the table of keys");
        };
        match value.as_u64() {
            Some(n) if (min..=max).contains(&n) => Some(n),
            _ => {
                let found = describe(value);
                let reason =
                    format!("expected a whole number from {min} to {max} ({unit}), found {found}");
                report.add(self.path_of(name), reason);
                None
            }
        }
    }

    /// Reads a number, or its default if absent. An invalid number is reported and
    /// replaced by the default or else the minimum, so that reading can continue.
    pub(crate) fn number(&self, report: &mut Report, name: &str) -> u64 {
        let ValueKind::Number { min, default, .. } = self.spec.key(name).kind else {
            unreachable!("{name} is not a number in the table of keys");
        };
        let found = self.optional_number(report, name);
        found.or(default).unwrap_or(min)
    }

    /// Like [`Self::number`], for a value that the table of keys limits to 32 bits.
    pub(crate) fn number32(&self, report: &mut Report, name: &str) -> u32 {
        narrow(self.number(report, name))
    }

    /// Reads a choice, or its default if absent.
    pub(crate) fn choice<T: FromStr + Default>(&self, report: &mut Report, name: &str) -> T
    where
        T::Err: fmt::Display,
    {
        let ValueKind::Choice { default, .. } = self.spec.key(name).kind else {
            unreachable!("{name} is not a choice in the table of keys");
        };
        let found = self.parsed(report, name);
        let default = || default.and_then(|text| text.parse().ok());
        found.or_else(default).unwrap_or_default()
    }

    /// Reads a string and parses it into `T`, `None` if absent or invalid.
    pub(crate) fn parsed<T: FromStr>(&self, report: &mut Report, name: &str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let value = self.value(report, name)?;
        parse(report, value, &self.path_of(name))
    }

    /// Reads a list of strings and parses them into `T`. Duplicates and invalid
    /// entries are reported and left out; `None` if absent or not a list.
    pub(crate) fn list<T: FromStr + Ord + Clone>(
        &self,
        report: &mut Report,
        name: &str,
    ) -> Option<Vec<T>>
    where
        T::Err: fmt::Display,
    {
        let value = self.value(report, name)?;
        list(report, value, &self.path_of(name))
    }
}

/// Returns `value` as an object, or reports a mistake.
pub(crate) fn object<'a>(
    report: &mut Report,
    value: &'a Value,
    path: &Path<'_>,
) -> Option<&'a Map<String, Value>> {
    let map = value.as_object();
    if map.is_none() {
        report.add(
            path,
            format!("expected an object, found {}", describe(value)),
        );
    }
    map
}

/// Returns the entries of the list `value`, or reports a mistake.
pub(crate) fn items<'a>(
    report: &mut Report,
    value: &'a Value,
    path: &Path<'_>,
) -> Option<&'a [Value]> {
    let items = value.as_array().map(Vec::as_slice);
    if items.is_none() {
        report.add(path, format!("expected a list, found {}", describe(value)));
    }
    items
}

/// Parses the string `value` into `T`, or reports a mistake.
pub(crate) fn parse<T: FromStr>(report: &mut Report, value: &Value, path: &Path<'_>) -> Option<T>
where
    T::Err: fmt::Display,
{
    let Some(text) = value.as_str() else {
        report.add(path, format!("expected a text, found {}", describe(value)));
        return None;
    };
    match text.parse() {
        Ok(parsed) => Some(parsed),
        Err(e) => {
            report.add(path, format!("{text:?} is not valid: {e}"));
            None
        }
    }
}

/// See [`Section::list`].
pub(crate) fn list<T: FromStr + Ord + Clone>(
    report: &mut Report,
    value: &Value,
    path: &Path<'_>,
) -> Option<Vec<T>>
where
    T::Err: fmt::Display,
{
    let items = items(report, value, path)?;
    let mut seen = BTreeSet::new();
    let mut list = Vec::with_capacity(items.len());
    for (index, item) in items.iter().enumerate() {
        let path = path.index(index);
        let Some(parsed) = parse::<T>(report, item, &path) else {
            continue;
        };
        if seen.insert(parsed.clone()) {
            list.push(parsed);
        } else {
            report.add(path, format!("{item} is listed twice"));
        }
    }
    Some(list)
}

/// Converts a number that the table of keys limits to 32 bits.
pub(crate) fn narrow(n: u64) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn unknown_key(key: &str, known: &[KeySpec]) -> String {
    let names = known.iter().map(|k| k.name);
    match closest(key, names) {
        Some(name) => format!("unknown key, did you mean {name:?}?"),
        None => {
            let names: Vec<_> = known.iter().map(|k| k.name).collect();
            format!("unknown key, the keys here are {}", names.join(", "))
        }
    }
}

/// Returns the name most similar to `key`, if any is similar enough. Of equally
/// similar names, the first in alphabetical order is returned.
pub(crate) fn closest<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    names
        .into_iter()
        .map(|name| (strsim::normalized_damerau_levenshtein(key, name), name))
        .filter(|(similarity, _)| *similarity >= SUGGESTION_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)))
        .map(|(_, name)| name)
}
