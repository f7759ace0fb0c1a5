//! The sum over what one process hands to another, compared with its recorded value.
//!
//! See `tests/wire_formats.rs`; `UPDATE_FIXTURES=1` writes the file anew.

use super::sum;
use crate::fixtures::check_lines;

#[test]
fn handover_sum_matches_its_recorded_value() {
    check_lines(
        "wire/handover_sum.txt",
        &[format!("sum {}", sum("state ready\n"))],
    );
}
