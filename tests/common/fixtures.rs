//! Files of recorded values under `tests/fixtures`: compared byte by byte, or rewritten with
//! `UPDATE_FIXTURES=1`.

use std::fs;
use std::path::{Path, PathBuf};

/// The environment variable that, set to `1`, makes tests rewrite the files.
const UPDATE_VARIABLE: &str = "UPDATE_FIXTURES";

fn fixture_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(file)
}

/// Compares lines with a recorded file. Panics with all lines that differ.
pub fn check_lines(file: &str, lines: &[String]) {
    let path = fixture_path(file);
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        fs::write(&path, lines.join("\n") + "\n").expect("the fixture can be written");
    }
    let text = fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{file}: {error}; record it with {UPDATE_VARIABLE}=1"));
    let recorded: Vec<&str> = text.lines().collect();
    let differs = |(recorded, line): &(&&str, &String)| **recorded != line.as_str();
    let differing: Vec<String> = recorded
        .iter()
        .zip(lines)
        .filter(differs)
        .map(|(recorded, line)| format!("recorded: {recorded}\n     now: {line}"))
        .collect();
    assert!(
        differing.is_empty(),
        "{file} differs:\n{}",
        differing.join("\n")
    );
    assert_eq!(
        recorded.len(),
        lines.len(),
        "{file}: the number of lines differs from the recorded file"
    );
}
