//! Tests of `front::webhook::message`.

use super::*;

#[test]
fn timestamp_formats_calendar_times() {
    assert_eq!(timestamp(0), "1970-01-01T00:00:00Z");
    assert_eq!(timestamp(951_827_696_000_000), "2000-02-29T12:34:56Z");
    assert_eq!(timestamp(1_796_135_851_999_999), "2026-12-01T14:37:31Z");
    assert_eq!(timestamp(u64::MAX), "");
}
