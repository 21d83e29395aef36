//! Resolves references to ids that another section of the configuration defines.

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

/// Maximum number of names that a suggestion is searched in. Removing a file of
/// servers can leave thousands of dangling references, and each would be compared
/// with every name.
const MAX_SUGGESTION_NAMES: usize = 1_000;

/// The ids that one section defines, including those whose entries have mistakes:
/// a reference to such an entry is not reported as a second mistake. Each id is
/// allocated once and shared by all references to it.
pub(crate) struct DefinedIds<'a, T> {
    label: &'static str,
    /// Whether the section is an object. If not, only that is reported, and not
    /// each reference to an id in it.
    readable: bool,
    /// `None` for a key that is not a valid id, which is reported at the key.
    ids: HashMap<&'a str, Option<T>>,
}

impl<'a, T: FromStr<Err: fmt::Display> + Clone> DefinedIds<'a, T> {
    /// Collects the ids of the section `name`, called `label` in mistakes.
    pub(crate) fn of(root: &Section<'a>, name: &str, label: &'static str) -> Self {
        let map = root.raw(name).and_then(Value::as_object);
        let keys = map.into_iter().flat_map(Map::keys);
        let ids = keys.map(|key| (key.as_str(), key.parse().ok())).collect();
        Self {
            label,
            readable: map.is_some(),
            ids,
        }
    }

    /// Returns the id for the key `key` of the section.
    ///
    /// # Errors
    ///
    /// The key is not a valid id.
    pub(crate) fn id(&self, key: &str) -> Result<T, T::Err> {
        match self.ids.get(key) {
            Some(Some(id)) => Ok(id.clone()),
            _ => key.parse(),
        }
    }

    /// Resolves the reference `value`. Reports one that is not a defined id.
    pub(crate) fn resolve(&self, report: &mut Report, value: &Value, path: &Path<'_>) -> Option<T> {
        if let Some(known) = value.as_str().and_then(|text| self.ids.get(text)) {
            return known.clone();
        }
        let id = section::parse::<T>(report, value, path)?;
        if self.readable {
            let text = value.as_str().unwrap_or_default();
            report_undefined(report, self.label, self.ids.keys().copied(), text, path);
        }
        Some(id)
    }

    /// Resolves a list of references. Reports duplicates and an empty list. `None`
    /// if the value is not a list.
    pub(crate) fn resolve_list(
        &self,
        report: &mut Report,
        value: &Value,
        path: &Path<'_>,
    ) -> Option<Vec<T>> {
        let items = section::items(report, value, path)?;
        if items.is_empty() {
            let reason = format!("the list is empty, at least one {} is needed", self.label);
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
pub(crate) fn report_undefined<'a>(
    report: &mut Report,
    label: &str,
    names: impl ExactSizeIterator<Item = &'a str>,
    id: &str,
    path: &Path<'_>,
) {
    let few = names.len() <= MAX_SUGGESTION_NAMES;
    let reason = match few.then(|| section::closest(id, names)).flatten() {
        Some(name) => format!("{label} {id:?} is not defined, did you mean {name:?}?"),
        None => format!("{label} {id:?} is not defined"),
    };
    report.add(path, reason);
}
