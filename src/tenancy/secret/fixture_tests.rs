//! Compares the text form of secrets with the recorded texts.
//!
//! See `tests/wire_formats.rs`; `UPDATE_FIXTURES=1` rewrites the file.

use base64::prelude::{Engine, BASE64_STANDARD};

use super::Secret;
use crate::fixtures::check_lines;

#[test]
fn secrets_match_their_recorded_texts() {
    let text = |prefix: &str, byte: u8| format!("{prefix}_{}", BASE64_STANDARD.encode([byte; 32]));
    let signing = Secret::parse(&text("whsk", 2)).expect("a seed");
    let public = signing.public().expect("an Ed25519 key has a public half");
    let secrets = [
        Secret::parse(&text("whsec", 1)),
        Ok(signing),
        Secret::parse(&public),
    ];
    let secrets = secrets.map(|secret| secret.expect("a secret"));
    check_lines("wire/secrets.txt", &secrets.each_ref().map(Secret::text));
    for secret in secrets {
        assert!(Secret::parse(&secret.text()).is_ok_and(|read| read == secret));
    }
}
