//! Tests of `front::webhook::answer`.

use super::*;

#[test]
fn response_is_read_to_its_end_for_each_framing() {
    let whole = |text: &str| match read(text.as_bytes(), 0) {
        Progress::Complete(status, advice, size, keep) => {
            (status, advice, size == text.len(), keep)
        }
        other => panic!("{text}: {other:?}"),
    };
    assert_eq!(
        whole("HTTP/1.1 204 No Content\r\n\r\n"),
        (204, None, true, true)
    );
    assert_eq!(
        whole("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
        (200, None, true, true)
    );
    assert!(!whole("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok").3);
    assert!(!whole("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n").3);
    assert_eq!(
        whole("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n"),
        (503, Some(7_000_000), true, true)
    );
    let chunks =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n";
    assert_eq!(whole(chunks), (200, None, true, true));
    // No length, two lengths, a length too large, or a length with a transfer coding: the status is
    // reported and the connection is not reused.
    for framing in [
        "",
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: 99999999999\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    ] {
        assert!(
            !whole(&format!("HTTP/1.1 200 OK\r\n{framing}\r\nabc")).3,
            "{framing}"
        );
    }
    assert!(!whole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcXX").3);
    for cut in 1..chunks.len() {
        assert!(
            !matches!(
                read(&chunks.as_bytes()[..cut], 0),
                Progress::Complete(..) | Progress::Malformed
            ),
            "{cut}"
        );
    }
    assert_eq!(read(b"SSH-2.0-x\r\n", 0), Progress::Malformed);
    let endless = [
        b"HTTP/1.1 200 OK\r\n".to_vec(),
        vec![b'a'; MAX_HEAD_BYTES + 1],
    ]
    .concat();
    assert_eq!(read(&endless, 0), Progress::Malformed);
}
