//! Guards the encoding of the verdicts announced under the lease `trials` against its recorded
//! bytes.
//!
//! See `tests/wire_formats.rs`; `UPDATE_FIXTURES=1` writes the file again.

use super::{decode_verdicts, encode_verdicts};
use crate::api::WorkerId;
use crate::fixtures::check_lines;
use crate::health_checks::Verdict;
use crate::hex::hex_line;

#[test]
fn trial_verdicts_match_their_recorded_bytes() {
    let verdict = |worker, unhealthy| Verdict {
        worker: WorkerId(worker),
        unhealthy,
    };
    let verdicts = vec![verdict(7, true), verdict(0x00c4_1f7a, false)];
    let packed = encode_verdicts(verdicts.clone());
    check_lines("wire/trial_verdicts.txt", &[hex_line("verdicts", &packed)]);
    let read: Vec<(u32, bool)> = postcard::from_bytes(&packed).expect("it can be read");
    assert_eq!(read, [(7, true), (0x00c4_1f7a, false)]);
    assert_eq!(decode_verdicts(&packed), verdicts);
}
