//! Lookup of the route of a request.

use std::collections::HashMap;

/// Routes by host and path prefix.
///
/// ```
/// use jasminepond_routes::RouteTable;
///
/// let mut table = RouteTable::default();
/// table.insert("shop.example", "/", 1);
/// table.insert("shop.example", "/orders/", 2);
/// assert_eq!(table.find("shop.example", "/orders/7?full=1"), Some(&2));
/// assert_eq!(table.find("Shop.Example:80", "/stock"), Some(&1));
/// assert_eq!(table.find("other.example", "/orders/7"), None);
/// ```
#[derive(Debug, Clone)]
pub struct RouteTable<T> {
    hosts: HashMap<String, HashMap<String, T>>,
}

impl<T> Default for RouteTable<T> {
    fn default() -> Self {
        Self {
            hosts: HashMap::new(),
        }
    }
}

impl<T> RouteTable<T> {
    /// Adds a route, replacing one with the same host and prefix.
    pub fn insert(&mut self, host: &str, prefix: &str, route: T) {
        let host = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        host.insert(prefix.to_owned(), route);
    }

    /// Returns the route of the host with the longest prefix of the path. A port in the
    /// host and a query in the path are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&T> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        // Prefixes end with a slash, so only the parts of the path up to a slash can match.
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| routes.get(&path[..end])).next()
    }
}
