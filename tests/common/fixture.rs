//! Recorded stored data under `tests/fixtures/stored/`. Tests compare the code's output with the
//! files, or rewrite the files if `UPDATE_FIXTURES=1` is set.

use std::path::PathBuf;

/// The environment variable that makes tests rewrite the files.
const UPDATE_VARIABLE: &str = "UPDATE_FIXTURES";

/// Returns the path of a fixture.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/stored")
        .join(name)
}

/// Returns whether tests rewrite the files instead of comparing them.
pub fn is_updating() -> bool {
    std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1")
}

/// Reads a fixture as bytes.
pub fn read(name: &str) -> Vec<u8> {
    std::fs::read(path(name)).unwrap_or_else(|error| panic!("fixture {name}: {error}"))
}

/// Reads a fixture as text.
pub fn read_text(name: &str) -> String {
    String::from_utf8(read(name)).unwrap_or_else(|error| panic!("fixture {name}: {error}"))
}

/// Panics unless the text equals the fixture; the message names the first line that differs.
pub fn assert_matches(name: &str, text: &str) {
    if is_updating() {
        let file = path(name);
        std::fs::create_dir_all(file.parent().expect("a folder")).expect("the folder is created");
        return std::fs::write(file, text).expect("the fixture is written");
    }
    let recorded = read_text(name);
    let mut lines = text.lines();
    for (at, line) in recorded.lines().enumerate() {
        assert_eq!(
            lines.next(),
            Some(line),
            "{name}: line {} differs from the fixture",
            at + 1
        );
    }
    assert_eq!(
        text, recorded,
        "{name}: the output is longer than the fixture"
    );
}
