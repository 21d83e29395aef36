//! Tables of named figures, printed as Markdown and as JSON.

use std::fmt::Write;

use serde_json::{Map, Value, json};

/// Figures measured for one number of daemons or servers.
#[derive(Debug, Clone, Default)]
pub struct Row {
    figures: Vec<(&'static str, f64)>,
}

impl Row {
    /// Adds a figure; `name` includes its unit.
    pub fn add(&mut self, name: &'static str, value: f64) {
        self.figures.push((name, value));
    }

    /// Formats all figures on one line.
    pub fn summary(&self) -> String {
        let figure = |(name, value): &(&str, f64)| format!("{name} {value:.2}");
        let figures: Vec<String> = self.figures.iter().map(figure).collect();
        figures.join(", ")
    }

    fn json(&self) -> Value {
        let figure = |(name, value): &(&str, f64)| ((*name).to_owned(), json!(value));
        Value::Object(self.figures.iter().map(figure).collect::<Map<_, _>>())
    }
}

/// Rows with the same figure names.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    pub fn add(&mut self, row: Row) {
        self.rows.push(row);
    }

    /// Formats a Markdown table with one column per row, since there are more figures
    /// than rows.
    pub fn markdown(&self) -> String {
        let mut text = String::new();
        let Some(first) = self.rows.first() else {
            return text;
        };
        for (number, (name, _)) in first.figures.iter().enumerate() {
            let _ = write!(text, "| {name} |");
            for row in &self.rows {
                let _ = write!(text, " {:.2} |", row.figures[number].1);
            }
            text.push('\n');
            if number == 0 {
                text.push_str(&"|---".repeat(self.rows.len() + 1));
                text.push_str("|\n");
            }
        }
        text
    }

    pub fn json(&self) -> Value {
        self.rows.iter().map(Row::json).collect()
    }
}
