//! Values with the bytes that they are stored as, one a line: a name, and the bytes as hex or the JSON text.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::fixture;

/// The lines of one fixture, compared once all values are named.
pub struct Pins {
    file: &'static str,
    kept: BTreeMap<String, String>,
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

impl Pins {
    /// The lines of a fixture.
    pub fn of(file: &'static str) -> Pins {
        let text = if fixture::is_updating() {
            String::new()
        } else {
            fixture::read_text(file)
        };
        let line = |line: &str| {
            line.split_once(": ")
                .map(|(name, rest)| (name.to_owned(), rest.to_owned()))
        };
        Pins {
            file,
            kept: text.lines().filter_map(line).collect(),
            written: String::new(),
        }
    }

    /// A line whose content is compared and never decoded.
    pub fn line(&mut self, name: &str, content: &str) {
        assert!(
            !self
                .written
                .lines()
                .any(|line| line.starts_with(&format!("{name}: "))),
            "{name} twice"
        );
        self.written += &format!("{name}: {content}\n");
    }

    /// Bytes that are derived, such as a digest.
    pub fn bytes(&mut self, name: &str, bytes: &[u8]) {
        self.line(name, &to_hex(bytes));
    }

    /// A value that is stored as postcard; the stored bytes must decode to it.
    pub fn postcard<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        if let Some(kept) = self.kept.get(name) {
            let decoded: Result<T, _> = postcard::from_bytes(&from_hex(kept));
            assert_eq!(
                decoded.as_ref(),
                Ok(value),
                "{}: {name} decodes as something else",
                self.file
            );
        }
        self.line(
            name,
            &to_hex(&postcard::to_stdvec(value).expect("it encodes")),
        );
    }

    /// A value that is stored as JSON; the stored text must decode to it.
    pub fn json<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        if let Some(kept) = self.kept.get(name) {
            let decoded: T =
                serde_json::from_str(kept).unwrap_or_else(|error| panic!("{name}: {error}"));
            assert_eq!(
                &decoded, value,
                "{}: {name} decodes as something else",
                self.file
            );
        }
        // By way of a JSON value, as histories write it: keys are in the order of the alphabet.
        let written = serde_json::to_value(value).expect("it encodes").to_string();
        self.line(name, &written);
    }

    /// Compares all lines with the fixture.
    pub fn finish(self) {
        fixture::assert_matches(self.file, &self.written);
    }
}
