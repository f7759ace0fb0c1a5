//! Tests of the input buffer.

use super::*;

#[test]
fn full_buffer_is_compacted_instead_of_grown() {
    let mut buffer = Buffer::default();
    let source = vec![7u8; 10_000];
    let mut from = &source[..];
    while buffer.fill(&mut from, 5_000).unwrap() == FillOutcome::Received {}
    assert_eq!(buffer.bytes().len(), 5_000);
    buffer.consume(4_000);
    while buffer.fill(&mut from, 5_000).unwrap() == FillOutcome::Received {}
    assert_eq!(
        (buffer.bytes().len(), buffer.data.len()),
        (5_000, 5_000),
        "the buffer is compacted instead of grown"
    );
}
