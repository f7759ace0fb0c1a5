//! Access to the operator file fixtures, and a list of values under names that are independent of
//! field names in the code.

use std::fmt::Debug;
use std::path::{Path, PathBuf};

/// Lines of `key = value`; the keys are the test's own names.
#[derive(Default)]
pub struct Values(pub String);

impl Values {
    /// Adds a line.
    pub fn add(&mut self, key: &str, value: impl Debug) {
        self.0 += &format!("{key} = {value:?}\n");
    }
}

/// Returns the path of a fixture relative to the package root, the working directory of tests.
pub fn fixture(name: &str) -> PathBuf {
    Path::new("tests/fixtures/operator").join(name)
}

/// Reads a fixture as text.
pub fn read_fixture(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).expect("the fixture")
}
