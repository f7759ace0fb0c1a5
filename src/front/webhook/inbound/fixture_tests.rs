//! Compares the identity sent to workers with its recorded value.
//!
//! See `tests/wire_formats.rs`; `UPDATE_FIXTURES=1` rewrites the file.

use super::WebhookVerifier;
use crate::fixtures::check_lines;
use crate::front::webhook::replay::ReplayStore;

#[test]
fn worker_identity_matches_its_recorded_value() {
    let inbound = WebhookVerifier {
        tolerance_s: 300,
        started: None,
        forgotten_until: 0,
        replays: ReplayStore::new(1),
        seed: 0x5eed,
        classes: Vec::new(),
    };
    check_lines(
        "wire/worker_identity.txt",
        &[format!(
            "identity {}",
            inbound.worker_identity("acme", "msg_1")
        )],
    );
}
