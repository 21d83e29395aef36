//! Entries of a release that can never match or contradict each other.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{Release, Route, RouteTable, ServiceName, Target};

/// A questionable entry of a release.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteWarning {
    /// The route or service, for example `route orders`.
    pub entry: String,
    /// Whether the entry can never match. Otherwise it contradicts another one.
    pub unused: bool,
    /// The reason, in one sentence.
    pub reason: String,
}

/// Returns the questionable entries of a release, in a fixed order.
///
/// ```
/// use jasminepond_routes::{Release, ServiceName, ServiceSpec, review};
///
/// let mut release = Release::default();
/// let orders: ServiceName = "orders".parse().unwrap();
/// let spec = ServiceSpec { max_connections: 25, ..ServiceSpec::default() };
/// release.services.insert(orders, spec);
/// assert_eq!(review(&release)[0].reason, "no route sends requests to it");
/// ```
pub fn review(release: &Release) -> Vec<RouteWarning> {
    let mut warnings = Vec::new();
    let mut table = RouteTable::default();
    for (index, route) in release.routes.iter().enumerate() {
        table.insert(&route.host, &route.prefix, index);
    }
    let mut names = HashSet::new();
    for (index, route) in release.routes.iter().enumerate() {
        let mut add = |unused: bool, reason: String| {
            let entry = format!("route {}", route.name);
            warnings.push(RouteWarning {
                entry,
                unused,
                reason,
            });
        };
        match table.find(&route.host, &route.prefix) {
            Some(found) if *found == index => {}
            Some(found) if release.routes[*found].prefix == route.prefix => {
                let by = &release.routes[*found].name;
                add(true, format!("route {by} has the same host and prefix"));
            }
            // Prefixes are compared up to each slash of a path.
            Some(_) | None => add(true, "no path can match its prefix".to_owned()),
        }
        if !names.insert(&route.name) {
            add(false, "another route has the same name".to_owned());
        }
        contradictions(release, route, &mut add);
    }
    let used: HashSet<_> = release
        .routes
        .iter()
        .flat_map(|route| services(&route.target))
        .collect();
    for service in release.services.keys().filter(|name| !used.contains(name)) {
        warnings.push(RouteWarning {
            entry: format!("service {service}"),
            unused: true,
            reason: "no route sends requests to it".to_owned(),
        });
    }
    warnings.sort();
    warnings
}

fn contradictions(release: &Release, route: &Route, add: &mut impl FnMut(bool, String)) {
    if route.objective > route.timeout {
        let (objective, timeout) = (route.objective, route.timeout);
        add(
            false,
            format!("the objective of {objective} is above the timeout of {timeout}"),
        );
    }
    if route.timeout.duration() == Duration::ZERO {
        add(
            true,
            "the timeout is 0, so no request can be served".to_owned(),
        );
    }
    if route.max_attempts == 0 {
        add(
            false,
            "max_attempts is 0, but a request is sent at least once".to_owned(),
        );
    }
    let mut counts: HashMap<&ServiceName, usize> = HashMap::new();
    for service in services(&route.target) {
        *counts.entry(service).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    for (service, count) in counts {
        if !release.services.contains_key(service) {
            add(
                false,
                format!("service {service} is not among the services"),
            );
        }
        if count > 1 {
            add(false, format!("service {service} is named {count} times"));
        }
    }
    match &route.target {
        Target::Service(_) => {}
        Target::Split(parts) => {
            for part in parts.iter().filter(|part| part.weight == 0) {
                add(true, format!("service {} has weight 0", part.service));
            }
        }
        Target::Search(search) => {
            if !(search.min_coverage > 0.0 && search.min_coverage <= 1.0) {
                let coverage = search.min_coverage;
                add(
                    false,
                    format!("the coverage of {coverage} is not above 0 and up to 1"),
                );
            }
            if search.shards.is_empty() || search.top_k == 0 {
                add(true, "a search without shards or results".to_owned());
            }
        }
    }
}

fn services(target: &Target) -> Vec<&ServiceName> {
    match target {
        Target::Service(service) => vec![service],
        Target::Split(parts) => parts.iter().map(|part| &part.service).collect(),
        Target::Search(search) => search.shards.iter().collect(),
    }
}
