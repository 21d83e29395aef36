//! The `check` command.

use std::{fs, net::SocketAddr, path::Path};

use jasminepond_config::{
    CheckOptions, CheckOutcome, Difference, OutputFormat, Warning, WarningKind, differences, review,
};
use serde_json::{Value, json};

use crate::{
    EXIT_FAILED, EXIT_OK, EXIT_WARNINGS,
    args::{Against, Check},
    client::{ClientError, call},
};

/// A checked version.
struct Checked {
    /// The output of the check itself, as text or JSON.
    text: String,
    /// The content, or `None` if it has mistakes.
    content: Option<Value>,
    /// What tells versions apart without their content.
    digest: Value,
    warnings: Vec<Warning>,
}

/// What is known of the version in force.
enum InForce {
    /// All of it.
    Content(Value),
    /// The digest of its files.
    Digest(Value),
    /// Its version, and the hosts and prefixes of its routes.
    Routes(Value),
}

/// Checks a folder or a release, and prints the result.
pub async fn run(options: Check) -> Result<u8, ClientError> {
    let checked = check(&options.path, options.release, options.format);
    let compared = match &options.against {
        None => None,
        Some(against) => {
            let in_force = in_force(against, options.release).await;
            Some(in_force.map(|in_force| compare(&in_force, &checked)))
        }
    };
    print(&checked, compared.as_ref(), options.format);
    Ok(match (&checked.content, &compared) {
        (None, _) | (_, Some(Err(_))) => EXIT_FAILED,
        _ if checked.warnings.is_empty() => EXIT_OK,
        _ => EXIT_WARNINGS,
    })
}

/// Reads the version in force, or returns why it is not known.
async fn in_force(against: &Against, release: bool) -> Result<InForce, String> {
    match against {
        Against::Path(path) => {
            let checked = check(path, release, OutputFormat::Text);
            let content = checked.content.map(InForce::Content);
            content.ok_or_else(|| format!("{} has mistakes", path.display()))
        }
        Against::Daemon(address) => {
            let state = call(*address, "/status", None).await;
            told(*address, &state.map_err(|err| err.to_string())?, release)
        }
    }
}

/// Returns what a daemon or gateway tells about its version.
fn told(address: SocketAddr, state: &Value, release: bool) -> Result<InForce, String> {
    let is_gateway = state.get("backend_servers").is_some();
    match (is_gateway, release) {
        (true, true) => {
            let routes = state["routes"].as_array().into_iter().flatten();
            let route = |route: &Value| {
                let name = route["name"].as_str().unwrap_or_default().to_owned();
                (
                    name,
                    json!({"Host": route["host"], "Prefix": route["prefix"]}),
                )
            };
            let routes: Value = routes.map(route).collect();
            let release = json!({"Version": state["release"], "Routes": routes});
            Ok(InForce::Routes(release))
        }
        (false, false) => Ok(InForce::Digest(state["config"]["digest"].clone())),
        (true, false) => Err(format!("{address} is a gateway, which has no folder")),
        (false, true) => Err(format!("{address} is not a gateway")),
    }
}

fn compare(in_force: &InForce, checked: &Checked) -> Vec<Difference> {
    let Some(content) = &checked.content else {
        return Vec::new();
    };
    match in_force {
        InForce::Content(before) => differences(before, content),
        InForce::Digest(before) => differences(
            &json!({"digest": before}),
            &json!({"digest": checked.digest}),
        ),
        InForce::Routes(before) => {
            let routes = content["Routes"].as_object().into_iter().flatten();
            let route = |(name, route): (&String, &Value)| {
                let known = json!({"Host": route["Host"], "Prefix": route["Prefix"]});
                (name.clone(), known)
            };
            let routes: Value = routes.map(route).collect();
            differences(
                before,
                &json!({"Version": content["Version"], "Routes": routes}),
            )
        }
    }
}

fn print(
    checked: &Checked,
    compared: Option<&Result<Vec<Difference>, String>>,
    format: OutputFormat,
) {
    match format {
        OutputFormat::Text => {
            print!("{}", checked.text);
            for warning in &checked.warnings {
                println!("{warning}");
            }
            match compared {
                None => {}
                Some(Err(err)) => println!("no comparison: {err}"),
                Some(Ok(found)) if found.is_empty() => println!("same as the version in force"),
                Some(Ok(found)) => found.iter().for_each(|difference| println!("{difference}")),
            }
        }
        OutputFormat::Json => {
            let mut value: Value = serde_json::from_str(&checked.text).unwrap_or_default();
            value["warnings"] = json!(checked.warnings);
            match compared {
                None => {}
                Some(Err(err)) => value["comparison_error"] = json!(err),
                Some(Ok(found)) => value["differences"] = json!(found),
            }
            println!("{value:#}");
        }
    }
}

fn check(path: &Path, release: bool, format: OutputFormat) -> Checked {
    match release {
        true => check_release(path, format),
        false => check_folder(path, format),
    }
}

fn check_folder(path: &Path, format: OutputFormat) -> Checked {
    let folder = path.to_owned();
    let CheckOutcome { result, text } = jasminepond_config::check(&CheckOptions { folder, format });
    let checked = result.ok();
    Checked {
        text,
        digest: json!(checked.as_ref().map(|checked| checked.digest.to_string())),
        warnings: checked.as_ref().map(review).unwrap_or_default(),
        content: checked.map(|checked| checked.merged.value().clone()),
    }
}

fn check_release(path: &Path, format: OutputFormat) -> Checked {
    let file = path.display().to_string();
    let bytes = fs::read(path).map_err(|err| format!("the file cannot be read: {err}"));
    let decoded = bytes.and_then(|bytes| {
        let release = jasminepond_users_platform::decode_release(&bytes)?;
        let content = serde_json::from_slice(&bytes).map_err(|err| err.to_string())?;
        Ok((release, by_name(content)))
    });
    let (release, content) = match decoded {
        Ok(decoded) => decoded,
        Err(reason) => {
            let text = match format {
                OutputFormat::Text => format!("{file}: {reason}\n"),
                OutputFormat::Json => {
                    let mistake = json!({"file": file, "path": "", "reason": reason});
                    json!({"valid": false, "mistakes": [mistake]}).to_string()
                }
            };
            return Checked {
                text,
                content: None,
                digest: Value::Null,
                warnings: Vec::new(),
            };
        }
    };
    let version = release.version.0;
    let (routes, services) = (release.routes.len(), release.services.len());
    let warning = |warning: jasminepond_routes::RouteWarning| Warning {
        file: file.clone(),
        path: warning.entry,
        kind: match warning.unused {
            true => WarningKind::Unused,
            false => WarningKind::Contradiction,
        },
        reason: warning.reason,
    };
    let found = jasminepond_routes::review(&release).into_iter();
    Checked {
        text: match format {
            OutputFormat::Text => {
                format!("valid: version {version}, {routes} routes, {services} services\n")
            }
            OutputFormat::Json => json!({"valid": true, "version": version}).to_string(),
        },
        content: Some(content),
        digest: json!(version),
        warnings: found.map(warning).collect(),
    }
}

/// Replaces lists of objects with names by objects, so that their order does not count and each
/// difference is found by name.
fn by_name(value: Value) -> Value {
    match value {
        Value::Array(items) if items.iter().any(|item| item["Name"].is_string()) => {
            let name = |item: &Value| item["Name"].as_str().unwrap_or_default().to_owned();
            items.into_iter().map(|item| (name(&item), item)).collect()
        }
        Value::Object(map) => map
            .into_iter()
            .map(|(key, value)| (key, by_name(value)))
            .collect(),
        value => value,
    }
}
