//! Fixtures of encoded values: each line has a name and the value's bytes in hex or its JSON text.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::fixture;

/// The lines of one fixture. [`RecordedValues::finish`] compares them with the added values.
pub struct RecordedValues {
    file: &'static str,
    recorded: BTreeMap<String, String>,
    written: String,
}

pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| {
        text.get(at..at + 2)
            .and_then(|pair| u8::from_str_radix(pair, 16).ok())
    };
    (0..text.len())
        .step_by(2)
        .map(|at| digits(at).expect("two hexadecimal digits"))
        .collect()
}

impl RecordedValues {
    /// Loads a fixture; without lines if the fixtures are rewritten.
    pub fn load(file: &'static str) -> RecordedValues {
        let text = if fixture::is_updating() {
            String::new()
        } else {
            fixture::read_text(file)
        };
        let line = |line: &str| {
            line.split_once(": ")
                .map(|(name, rest)| (name.to_owned(), rest.to_owned()))
        };
        RecordedValues {
            file,
            recorded: text.lines().filter_map(line).collect(),
            written: String::new(),
        }
    }

    /// Adds a line whose content is compared but not decoded.
    pub fn line(&mut self, name: &str, content: &str) {
        assert!(
            !self
                .written
                .lines()
                .any(|line| line.starts_with(&format!("{name}: "))),
            "duplicate name {name}"
        );
        self.written += &format!("{name}: {content}\n");
    }

    /// Adds derived bytes, such as a digest.
    pub fn bytes(&mut self, name: &str, bytes: &[u8]) {
        self.line(name, &to_hex(bytes));
    }

    /// Adds a value stored as postcard. The fixture's bytes must decode to the value.
    pub fn postcard<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        if let Some(recorded) = self.recorded.get(name) {
            let decoded: Result<T, _> = postcard::from_bytes(&from_hex(recorded));
            assert_eq!(
                decoded.as_ref(),
                Ok(value),
                "{}: {name} decodes to another value",
                self.file
            );
        }
        self.line(
            name,
            &to_hex(&postcard::to_stdvec(value).expect("the value can be encoded")),
        );
    }

    /// Adds a value stored as JSON. The fixture's text must decode to the value.
    pub fn json<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        if let Some(recorded) = self.recorded.get(name) {
            let decoded: T =
                serde_json::from_str(recorded).unwrap_or_else(|error| panic!("{name}: {error}"));
            assert_eq!(
                &decoded, value,
                "{}: {name} decodes to another value",
                self.file
            );
        }
        // Histories encode through `serde_json::Value`, which sorts the keys alphabetically.
        let written = serde_json::to_value(value)
            .expect("the value can be encoded")
            .to_string();
        self.line(name, &written);
    }

    /// Compares all lines with the fixture.
    pub fn finish(self) {
        fixture::assert_matches(self.file, &self.written);
    }
}
