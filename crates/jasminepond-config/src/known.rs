//! References from one part of the configuration to ids that another defines.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    str::FromStr,
};

use serde_json::{Map, Value};

use crate::{
    path::Path,
    section::{self, Report, Section},
};

/// With more names than this there is no suggestion: a removed file of servers
/// can leave thousands of references, each to be compared with every name.
const MAX_SUGGESTION_NAMES: usize = 1_000;

/// The ids that one section defines, whether or not their entries are right: a
/// reference to an entry with a mistake is not a second mistake. Each id is
/// allocated once and shared by all references to it.
pub(crate) struct Known<'a, T> {
    what: &'static str,
    /// Whether the section is an object. If not, that is the mistake, and not
    /// each reference to an id in it.
    readable: bool,
    /// `None` for a key that is not an id, which is reported where it stands.
    ids: HashMap<&'a str, Option<T>>,
}

impl<'a, T: FromStr<Err: fmt::Display> + Clone> Known<'a, T> {
    /// The ids of the section `name`, called `what` in mistakes.
    pub(crate) fn of(root: &Section<'a>, name: &str, what: &'static str) -> Self {
        let map = root.raw(name).and_then(Value::as_object);
        let keys = map.into_iter().flat_map(Map::keys);
        let ids = keys.map(|key| (key.as_str(), key.parse().ok())).collect();
        Self {
            what,
            readable: map.is_some(),
            ids,
        }
    }

    /// The id that the key `key` of the section is.
    ///
    /// # Errors
    ///
    /// Why the key is not an id.
    pub(crate) fn id(&self, key: &str) -> Result<T, T::Err> {
        match self.ids.get(key) {
            Some(Some(id)) => Ok(id.clone()),
            _ => key.parse(),
        }
    }

    /// The id that `value` refers to. Reports what is not a defined id.
    pub(crate) fn resolve(&self, report: &mut Report, value: &Value, path: &Path<'_>) -> Option<T> {
        if let Some(known) = value.as_str().and_then(|text| self.ids.get(text)) {
            return known.clone();
        }
        let id = section::parse::<T>(report, value, path)?;
        if self.readable {
            let text = value.as_str().unwrap_or_default();
            undefined(report, self.what, self.ids.keys().copied(), text, path);
        }
        Some(id)
    }

    /// The ids that a list refers to, each at most once and at least one. `None`
    /// for what is not a list.
    pub(crate) fn resolve_list(
        &self,
        report: &mut Report,
        value: &Value,
        path: &Path<'_>,
    ) -> Option<Vec<T>> {
        let items = section::items(report, value, path)?;
        if items.is_empty() {
            let reason = format!("the list is empty, at least one {} is needed", self.what);
            report.add(path, reason);
        }
        let mut seen = HashSet::with_capacity(items.len());
        let mut list = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let path = path.index(index);
            list.extend(self.resolve(report, item, &path));
            if let Some(text) = item.as_str()
                && !seen.insert(text)
            {
                report.add(path, format!("{text:?} is listed twice"));
            }
        }
        Some(list)
    }
}

/// Reports a reference to `id`, which is not among `names`.
pub(crate) fn undefined<'a>(
    report: &mut Report,
    what: &str,
    names: impl ExactSizeIterator<Item = &'a str>,
    id: &str,
    path: &Path<'_>,
) {
    let few = names.len() <= MAX_SUGGESTION_NAMES;
    let reason = match few.then(|| section::closest(id, names)).flatten() {
        Some(name) => format!("{what} {id:?} is not defined, did you mean {name:?}?"),
        None => format!("{what} {id:?} is not defined"),
    };
    report.add(path, reason);
}
