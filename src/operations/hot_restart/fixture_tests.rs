//! Compares the checksum over a process's shared state with its recorded value.
//!
//! See `tests/wire_formats.rs`; `UPDATE_FIXTURES=1` rewrites the file.

use super::checksum;
use crate::fixtures::check_lines;

#[test]
fn handover_sum_matches_its_recorded_value() {
    check_lines(
        "wire/handover_sum.txt",
        &[format!("sum {}", checksum("state ready\n"))],
    );
}
