use std::io::{self, Write};

use serde_json::Value as Json;

/// Result of a command, as text and as JSON.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) text: String,
    pub(crate) json: Json,
}

impl Output {
    pub(crate) fn write(&self, json: bool, out: &mut dyn Write) -> io::Result<()> {
        if json {
            return writeln!(out, "{:#}", self.json);
        }
        write!(out, "{}", self.text)
    }
}

/// Formats rows as aligned columns under a heading.
pub(crate) fn table(heading: &[&str], rows: &[Vec<String>]) -> String {
    let heading: Vec<String> = heading.iter().map(|text| (*text).to_owned()).collect();
    let lines = || std::iter::once(&heading).chain(rows);
    let width = |column: usize| {
        lines()
            .filter_map(|line| line.get(column))
            .map(String::len)
            .max()
    };
    let widths: Vec<usize> = (0..heading.len()).filter_map(width).collect();
    let mut text = String::new();
    for line in lines() {
        let cells = line.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    text
}
