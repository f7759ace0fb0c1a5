//! Digests of keyed requests, compared with their recorded bytes.
//!
//! See `tests/wire_formats.rs`; `UPDATE_FIXTURES=1` writes the file again.

use super::digests;
use crate::fixtures::check_lines;
use crate::hex::hex_line;

#[test]
fn keyed_request_digests_match_recorded_bytes() {
    let (key, request) = digests("operator", "key-1", b"PUT /v1/tenants/acme");
    check_lines(
        "wire/keyed_request.txt",
        &[hex_line("key", &key), hex_line("request", &request)],
    );
}
