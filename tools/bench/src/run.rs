//! Runs each variant under each load and fault.

use std::{
    error::Error,
    ffi::OsString,
    fs,
    path::{Path, PathBuf},
    process::{Command, Stdio},
};

use jasminepond_cluster::{Cluster, build_programs};
use serde_json::{Value, json};

use crate::{
    fault::Fault,
    options::{Options, Variant},
    results::{Case, Results},
};

/// Mean service time of the stand-in servers in seconds, see
/// `jasminepond_cluster::ServiceTime`.
const MEAN_SERVICE_S: f64 = 0.010_95;

/// Duration of the warm-up.
const WARMUP_S: u64 = 3;

type BoxError = Box<dyn Error>;

/// Runs all cases and collects their results.
///
/// # Errors
///
/// A process cannot be started, or the load generator prints no report.
pub fn run(options: &Options) -> Result<Results, BoxError> {
    let programs = match options.programs.as_slice() {
        [] => vec![build_programs()?],
        folders => folders.to_vec(),
    };
    let mut results = Results::default();
    for &fault in &options.faults {
        for &load in &options.loads {
            for repeat in 0..options.repeats {
                for &variant in &options.variants {
                    for folder in &programs {
                        let variant_name = case_variant(variant, folder, programs.len());
                        let case = Case {
                            fault: fault.name(),
                            load,
                            variant: variant_name,
                        };
                        let report = run_one(options, folder, (fault, load, variant), repeat)?;
                        let summary = crate::results::summary(&report);
                        eprintln!("{case} repeat {repeat}: {summary}");
                        results.add(case, &report);
                    }
                }
            }
        }
    }
    Ok(results)
}

/// Name of the variant, followed by that of the build if there are several.
fn case_variant(variant: Variant, folder: &Path, builds: usize) -> String {
    let build = folder.file_name().map(|name| name.to_string_lossy());
    match build {
        Some(build) if builds > 1 => format!("{} {build}", variant.name()),
        _ => variant.name().to_owned(),
    }
}

/// Tenants and classes of the deployment's load streams.
fn tenants_and_classes(deployment: &str) -> [(&'static str, &'static str); 2] {
    match deployment {
        "foundry" => [("moulding", "pattern-lookup"), ("sales", "report")],
        _ => [
            ("inspectors", "recall-check"),
            ("vendors", "catalogue-search"),
        ],
    }
}

fn plan(options: &Options) -> Value {
    let pairs = tenants_and_classes(&options.deployment);
    let streams = if options.mix { &pairs[..] } else { &pairs[..1] };
    let stream = |(tenant, class): &(&str, &str)| {
        json!({
            "tenant": tenant, "class": class, "group": options.group,
            "deadline_ms": options.deadline_ms,
        })
    };
    let streams: Vec<Value> = streams.iter().map(stream).collect();
    json!({ "streams": streams })
}

fn overrides(options: &Options, variant: Variant) -> Value {
    let mut config = match variant {
        Variant::Owner | Variant::Baseline => json!({"routing": {"mode": "owner"}}),
        Variant::Direct => json!({"routing": {"mode": "direct"}}),
        Variant::Simple => {
            json!({"routing": {"mode": "direct", "hedge_budget_percent": 0}})
        }
    };
    // The limits in the examples are too low for the offered load.
    let pairs = tenants_and_classes(&options.deployment);
    for (tenant, class) in pairs {
        config["tenants"][tenant] = json!({"max_in_flight": 10_000});
        config["classes"][class] = json!({"max_deadline_ms": 30_000});
    }
    merge(&mut config, &options.set);
    config
}

fn merge(into: &mut Value, from: &Value) {
    match (into, from) {
        (Value::Object(into), Value::Object(from)) => {
            for (key, value) in from {
                merge(into.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (into, from) => *into = from.clone(),
    }
}

fn read_json(path: &Path) -> Result<Value, BoxError> {
    Ok(serde_json::from_str(&fs::read_to_string(path)?)?)
}

/// Capacity of the servers of a group in requests per second.
fn capacity(specs: &Value, group: &str) -> f64 {
    let of_group = |spec: &&Value| spec["group"] == group;
    let specs = specs["servers"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(of_group);
    let (mut slots, mut shards) = (0.0, std::collections::BTreeSet::new());
    for spec in specs {
        slots += spec["slots"].as_f64().unwrap_or_default();
        shards.extend(
            spec["shards"]
                .as_array()
                .into_iter()
                .flatten()
                .map(Value::to_string),
        );
    }
    slots / MEAN_SERVICE_S / shards.len().max(1) as f64
}

fn run_one(
    options: &Options,
    programs: &Path,
    (fault, load, variant): (Fault, f64, Variant),
    repeat: usize,
) -> Result<Value, BoxError> {
    let name = format!("{}-{load}-{}-{repeat}", fault.name(), variant.name());
    let scratch = options.scratch.join(name);
    let deployment = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
    let mut cluster =
        jasminepond_cluster::Options::new(deployment.join(&options.deployment), &scratch);
    cluster.daemons = if variant == Variant::Baseline {
        0
    } else {
        options.daemons
    };
    cluster.programs = programs.to_owned();
    cluster.seed = options.seed + repeat as u64;
    cluster.overrides = overrides(options, variant);
    cluster.log_level = "warn".to_owned();
    let mut cluster = Cluster::start(cluster)?;

    let specs = read_json(&cluster.servers_file)?;
    let rate = load * capacity(&specs, &options.group);
    let plan_file = scratch.join("plan.json");
    fs::write(&plan_file, plan(options).to_string())?;
    let seed = options.seed + repeat as u64;
    let mut args: Vec<OsString> = vec![
        "--plan".into(),
        plan_file.into(),
        format!("--rate={rate:.1}").into(),
        format!("--duration-s={}", options.seconds).into(),
        format!("--warmup-s={WARMUP_S}").into(),
        format!("--seed={seed}").into(),
        "--servers".into(),
        cluster.servers_file.clone().into(),
        format!("--backend-control={}", cluster.backend_control()).into(),
        "--json".into(),
    ];
    if variant == Variant::Baseline {
        args.extend([
            "--direct".into(),
            format!("--clients={}", options.daemons).into(),
        ]);
    }
    args.extend(
        cluster
            .caller_addresses()
            .iter()
            .map(|at| format!("--daemon={at}").into()),
    );
    let pids: Vec<String> = cluster
        .nodes
        .iter()
        .map(|n| n.process.id().to_string())
        .collect();
    if !pids.is_empty() {
        args.push(format!("--pids={}", pids.join(",")).into());
    }
    let child = Command::new(programs.join("jasminepond-load"))
        .args(args)
        .stdout(Stdio::piped())
        .spawn()?;
    std::thread::sleep(std::time::Duration::from_secs(WARMUP_S));
    fault.apply(&mut cluster, &specs, &options.group)?;
    let output = child.wait_with_output()?;
    let report: Value = serde_json::from_slice(&output.stdout)?;
    fs::write(scratch.join("report.json"), format!("{report:#}"))?;
    Ok(report)
}
