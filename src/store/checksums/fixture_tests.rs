//! Comparison of row digests with recorded bytes.
//!
//! See `tests/wire_formats.rs`; `UPDATE_FIXTURES=1` rewrites the recorded file.

use super::{row_digest, Table};
use crate::fixtures::check_lines;
use crate::hex::hex_line;

#[test]
fn row_digests_match_their_recorded_bytes() {
    let line = |table: Table| {
        hex_line(
            table.name(),
            &row_digest(table, &9_u64.to_be_bytes(), b"a row").to_le_bytes(),
        )
    };
    check_lines("wire/row_digests.txt", &Table::ALL.map(line));
}
