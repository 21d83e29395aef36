//! Entries of a valid configuration that have no effect or contradict each other, and the
//! differences between two configurations.

use std::{collections::BTreeSet, fmt};

use jasminepond_types::ServerId;
use serde::Serialize;
use serde_json::Value;

use crate::{
    CheckedFolder, Config, ConnectionMode, Group, GroupKind, Merged, path::Path as Pointer,
};

/// What is questionable about an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WarningKind {
    /// Nothing can ever match or use the entry.
    Unused,
    /// It contradicts another entry.
    Contradiction,
}

/// A questionable entry of a configuration without mistakes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Warning {
    /// Name of the file that set the value, if known.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub file: String,
    /// JSON pointer (RFC 6901) to the value.
    pub path: String,
    /// What is questionable about it.
    pub kind: WarningKind,
    /// The reason, in one sentence.
    pub reason: String,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}: ", self.file)?;
        }
        write!(f, "{}: warning: {}", self.path, self.reason)
    }
}

/// A value that differs between two versions.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// JSON pointer (RFC 6901) to the value.
    pub path: String,
    /// The value in the version in force; absent if it has none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// The value in the checked version; absent if it has none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Returns the values that differ, in the order of their paths. Objects are compared key by
/// key, lists as a whole.
///
/// ```
/// use jasminepond_config::differences;
/// use serde_json::json;
///
/// let before = json!({"a": {"x": 1, "y": 2}, "b": [1]});
/// let after = json!({"a": {"x": 1, "y": 3}, "c": true});
/// let text: Vec<_> = differences(&before, &after).iter().map(ToString::to_string).collect();
/// assert_eq!(text, ["~ /a/y: 2 -> 3", "- /b: [1]", "+ /c: true"]);
/// ```
pub fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    compare(&Pointer::Root, Some(before), Some(after), &mut found);
    found
}

fn compare(
    path: &Pointer<'_>,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    let object = |value: Option<&Value>| value.and_then(Value::as_object).cloned();
    match (object(before), object(after)) {
        (Some(old), Some(new)) => {
            let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
            for key in keys {
                compare(&path.key(key), old.get(key), new.get(key), found);
            }
        }
        _ => found.push(Difference {
            path: path.to_string(),
            before: before.cloned(),
            after: after.cloned(),
        }),
    }
}

/// Returns the questionable entries of a folder without mistakes, ordered by file and path.
pub fn review(checked: &CheckedFolder) -> Vec<Warning> {
    let mut review = Review {
        merged: &checked.merged,
        warnings: Vec::new(),
    };
    review.unused(&checked.config);
    review.tenants_and_classes(&checked.config);
    review.limits(&checked.config);
    review.servers(&checked.config);
    review.warnings.sort();
    review.warnings
}

struct Review<'a> {
    merged: &'a Merged,
    warnings: Vec<Warning>,
}

impl Review<'_> {
    fn add(&mut self, kind: WarningKind, path: &[&str], reason: String) {
        let path = path.iter().fold(String::new(), |path, key| {
            let key = key.replace('~', "~0").replace('/', "~1");
            path + "/" + &key
        });
        let file = self.merged.file_of(&path).unwrap_or_default().to_owned();
        self.warnings.push(Warning {
            file,
            path,
            kind,
            reason,
        });
    }

    fn unused(&mut self, config: &Config) {
        let used: BTreeSet<_> = config.groups.values().flat_map(servers_of).collect();
        for id in config.servers.keys().filter(|id| !used.contains(id)) {
            let reason = "no group uses the server".to_owned();
            self.add(WarningKind::Unused, &["servers", id.as_str()], reason);
        }
        let merged = self.merged.value();
        let shapes = merged["shapes"].as_object().into_iter().flatten();
        let servers = || merged["servers"].as_object().into_iter().flatten();
        for (shape, _) in shapes {
            if !servers().any(|(_, server)| server["shape"] == shape.as_str()) {
                let reason = "no server has the shape".to_owned();
                self.add(WarningKind::Unused, &["shapes", shape], reason);
            }
        }
    }

    fn tenants_and_classes(&mut self, config: &Config) {
        let groups = || config.groups.values();
        for id in config.tenants.keys() {
            if !groups().any(|group| group.allows_tenant(id)) {
                let reason = "no group admits the tenant".to_owned();
                self.add(WarningKind::Unused, &["tenants", id.as_str()], reason);
            }
        }
        for id in config.classes.keys() {
            if !groups().any(|group| group.allows_class(id)) {
                let reason = "no group admits the class".to_owned();
                self.add(WarningKind::Unused, &["classes", id.as_str()], reason);
            }
        }
    }

    fn limits(&mut self, config: &Config) {
        let Config {
            limits,
            drain,
            routing,
            ..
        } = config;
        let contradiction = WarningKind::Contradiction;
        for (id, tenant) in &config.tenants {
            if tenant
                .max_in_flight
                .is_some_and(|max| max > limits.max_in_flight)
            {
                let reason = format!(
                    "above limits.max_in_flight, which is {}",
                    limits.max_in_flight
                );
                self.add(
                    contradiction,
                    &["tenants", id.as_str(), "max_in_flight"],
                    reason,
                );
            }
        }
        if limits.max_in_flight > limits.max_connections {
            let reason = format!(
                "above max_connections, which is {}, and a connection has one request in progress",
                limits.max_connections
            );
            self.add(contradiction, &["limits", "max_in_flight"], reason);
        }
        for (id, class) in &config.classes {
            let deadline = class.max_deadline_ms;
            let path = ["classes", id.as_str(), "max_deadline_ms"];
            if deadline > drain.limit_ms {
                let reason = format!(
                    "above drain.limit_ms, which is {}: a stop cuts such requests off",
                    drain.limit_ms
                );
                self.add(contradiction, &path, reason);
            }
            if deadline.0 <= 2 * routing.hop_allowance_ms.0 {
                let reason = "routing.hop_allowance_ms leaves no time after two hops".to_owned();
                self.add(contradiction, &path, reason);
            }
        }
        let longest = config
            .classes
            .values()
            .map(|class| class.max_deadline_ms)
            .max();
        if let Some(after) = routing.hedge_after_ms {
            let path = ["routing", "hedge_after_ms"];
            if routing.hedge_budget_percent.get() == 0 {
                let reason = "hedge_budget_percent is 0, so no hedged request is sent".to_owned();
                self.add(contradiction, &path, reason);
            } else if longest.is_some_and(|longest| after >= longest) {
                let reason = "not below the longest deadline of any class".to_owned();
                self.add(WarningKind::Unused, &path, reason);
            }
        }
        let executes = config
            .groups
            .values()
            .any(|group| group.kind == GroupKind::Execute);
        if executes && longest.is_some_and(|longest| limits.key_lifetime_ms < longest) {
            let reason = "below the longest deadline: a key ends before its request".to_owned();
            self.add(contradiction, &["limits", "key_lifetime_ms"], reason);
        }
    }

    fn servers(&mut self, config: &Config) {
        let owners = config.routing.owner_candidates;
        for (id, server) in &config.servers {
            let (limit, slots) = (server.connection_limit.get(), server.slots.get());
            let path = ["servers", id.as_str(), "connection_limit"];
            if u64::from(limit) < u64::from(slots) {
                let reason = format!("below slots, which is {slots}: some are never used");
                self.add(WarningKind::Contradiction, &path, reason);
            }
            if config.routing.mode == ConnectionMode::Owner && u64::from(limit) < u64::from(owners)
            {
                let reason = format!(
                    "below routing.owner_candidates, which is {owners}: each of them opens at least one"
                );
                self.add(WarningKind::Contradiction, &path, reason);
            }
        }
    }
}

fn servers_of(group: &Group) -> impl Iterator<Item = &ServerId> {
    let snapshots = group.snapshots.iter();
    let replicas = snapshots.flat_map(|snapshot| snapshot.services.values().flatten());
    group.servers.iter().chain(replicas)
}
