//! Tests of `delivery::response`.

use super::*;

#[test]
fn every_status_has_its_response_class() {
    let of = |status, retry_after_us| {
        let reason = if status / 100 == 2 {
            CloseReason::Served
        } else {
            CloseReason::Failed
        };
        DeliveryReport {
            close_reason: reason,
            send_progress: SendProgress::Started,
            status: Some(status),
            retry_after: retry_after_us,
        }
        .class()
    };
    for status in [200, 201, 204, 299] {
        assert_eq!(of(status, None), ResponseClass::Delivered);
    }
    for status in [301, 302, 307, 308, 400, 401, 404, 500, 502] {
        assert_eq!(of(status, Some(5)), ResponseClass::Failed(None), "{status}");
    }
    assert_eq!(
        (of(429, Some(5)), of(503, None)),
        (
            ResponseClass::Failed(Some(5)),
            ResponseClass::Failed(Some(0))
        )
    );
    assert_eq!(of(410, None), ResponseClass::OptedOut);
    let interrupted = |reason, progress| DeliveryReport {
        close_reason: reason,
        send_progress: progress,
        status: None,
        retry_after: None,
    };
    assert_eq!(
        interrupted(CloseReason::Shutdown, SendProgress::Unsent).class(),
        ResponseClass::Void
    );
    assert_eq!(
        interrupted(CloseReason::Shutdown, SendProgress::Started).class(),
        ResponseClass::Failed(None)
    );
    assert!(!interrupted(CloseReason::Refused, SendProgress::Unsent).may_have_arrived());
    assert!(interrupted(CloseReason::TimedOut, SendProgress::Started).may_have_arrived());
}
