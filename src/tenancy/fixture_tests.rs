//! Compares derived identifiers with their recorded values.
//!
//! See `tests/wire_formats.rs`; `UPDATE_FIXTURES=1` rewrites the file.

use super::identity;
use crate::fixtures::check_lines;

#[test]
fn tenant_identity_matches_its_recorded_value() {
    let value = identity(&[b"acme", b"portal", &7_u64.to_le_bytes()]);
    check_lines(
        "wire/tenant_identity.txt",
        &[format!("identity {value:016x}")],
    );
}
