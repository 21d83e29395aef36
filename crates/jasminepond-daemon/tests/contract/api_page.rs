//! Checks `docs/API.md` against the code.

use jasminepond_types::{ErrorKind, RetryAfter, RunStatus};

const PAGE: &str = include_str!("../../../../docs/API.md");

fn row(kind: ErrorKind) -> String {
    let answer = kind.response();
    let not_run = match answer.run {
        RunStatus::NotRun => "yes",
        RunStatus::Unknown => "no",
    };
    let retry_after = match answer.retry_after {
        RetryAfter::Stated => "yes",
        RetryAfter::Never => "-",
    };
    format!(
        "| `{kind}` | {} | {not_run} | {retry_after} |",
        answer.status
    )
}

/// Guards against documentation that differs from the code or lists error kinds that
/// do not exist.
#[test]
fn the_documented_error_kinds_match_the_code() {
    let table = PAGE.split("## Error kinds").nth(1).expect("the section");
    // Callers act on the first four columns; the last one is explanatory.
    let four_columns = |line: &str| {
        let cells: Vec<_> = line.split(" | ").take(4).collect();
        format!("{} |", cells.join(" | "))
    };
    let rows = table.lines().filter(|line| line.starts_with("| `"));
    let documented: Vec<String> = rows.map(four_columns).collect();
    let expected: Vec<String> = ErrorKind::ALL.iter().map(|kind| row(*kind)).collect();
    assert_eq!(documented, expected);
}
