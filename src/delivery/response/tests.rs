//! Tests of `delivery::response`.

use super::*;

#[test]
fn every_status_has_its_meaning() {
    let of = |status, advice| {
        let ending = if status / 100 == 2 {
            CloseReason::Served
        } else {
            CloseReason::Failed
        };
        Report {
            ending,
            left: SendProgress::Started,
            status: Some(status),
            advice,
        }
        .meaning()
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
    assert_eq!(of(410, None), ResponseClass::Gone);
    let cut = |ending, left| Report {
        ending,
        left,
        status: None,
        advice: None,
    };
    assert_eq!(
        cut(CloseReason::Shutdown, SendProgress::Unsent).meaning(),
        ResponseClass::Void
    );
    assert_eq!(
        cut(CloseReason::Shutdown, SendProgress::Started).meaning(),
        ResponseClass::Failed(None)
    );
    assert!(!cut(CloseReason::Refused, SendProgress::Unsent).may_have_arrived());
    assert!(cut(CloseReason::TimedOut, SendProgress::Started).may_have_arrived());
}
