//! Files of stored data under `tests/fixtures/stored/`. What the code writes is compared with them, or replaces them if
//! `UPDATE_FIXTURES=1` is set.

use std::path::PathBuf;

/// The environment variable that has the files written anew.
const UPDATE_VARIABLE: &str = "UPDATE_FIXTURES";

/// Where a fixture is.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/stored")
        .join(name)
}

/// Whether the files are written anew in place of being compared.
pub fn is_updating() -> bool {
    std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1")
}

/// A fixture's bytes.
pub fn read(name: &str) -> Vec<u8> {
    std::fs::read(path(name)).unwrap_or_else(|error| panic!("fixture {name}: {error}"))
}

/// A fixture's text.
pub fn read_text(name: &str) -> String {
    String::from_utf8(read(name)).unwrap_or_else(|error| panic!("fixture {name}: {error}"))
}

/// Fails unless the text is the fixture's, and names the first line that differs.
pub fn assert_matches(name: &str, text: &str) {
    if is_updating() {
        let file = path(name);
        std::fs::create_dir_all(file.parent().expect("a folder")).expect("the folder is made");
        return std::fs::write(file, text).expect("the fixture is written");
    }
    let kept = read_text(name);
    let mut lines = text.lines();
    for (at, line) in kept.lines().enumerate() {
        assert_eq!(
            lines.next(),
            Some(line),
            "{name}: line {} is not what was stored before",
            at + 1
        );
    }
    assert_eq!(text, kept, "{name}: there is more than was stored before");
}
