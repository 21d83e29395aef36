//! A small valid folder that the tests modify by a patch.

use jasminepond_config::{Config, Files, Mistake};

/// A small folder in one file. `routing`, `limits` and `drain` have their defaults.
pub const BASE: &str = r#"{
    "zones": {"za": {"region": "ra"}, "zb": {"region": "ra"}},
    "tenants": {"ta": {}},
    "classes": {
        "ca": {"priority": 0, "default_deadline_ms": 250, "max_deadline_ms": 2000}
    },
    "shapes": {"small": {"slots": 2, "connection_limit": 25, "connect_cost_ms": 6}},
    "servers": {
        "s1": {"shape": "small", "zone": "za", "address": "127.0.0.1:9001"},
        "s2": {"shape": "small", "zone": "zb", "address": "127.0.0.1:9002"},
        "s3": {"shape": "small", "zone": "zb", "address": "127.0.0.1:9003"}
    },
    "groups": {
        "find": {"kind": "search", "snapshots": {"41": {"services": {"f1": ["s1", "s2"]}}}},
        "run": {"kind": "execute", "servers": ["s3"]}
    }
}"#;

/// The base folder with `patch` as one more file.
pub fn with(patch: &str) -> Files {
    files(&[("10-base.json", BASE), ("20-patch.json", patch)])
}

pub fn files(entries: &[(&str, &str)]) -> Files {
    let entry = |(name, text): &(&str, &str)| ((*name).to_owned(), text.as_bytes().to_vec());
    entries.iter().map(entry).collect()
}

pub fn config(patch: &str) -> Config {
    Config::from_files(&with(patch)).unwrap_or_else(|mistakes| panic!("{}", lines(&mistakes)))
}

pub fn lines(mistakes: &[Mistake]) -> String {
    let lines: Vec<_> = mistakes.iter().map(Mistake::to_string).collect();
    lines.join("\n")
}
