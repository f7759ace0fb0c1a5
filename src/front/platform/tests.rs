//! Tests of `front::platform`.

use super::*;

fn names() -> Names {
    Names {
        classes: vec!["call".into()],
        tenants: vec!["acme".into()],
        ..Names::default()
    }
}

const GOOD: &str =
    "POST /call/7f3a9c21e0b4d655/trigger HTTP/1.1\r\nHost: a\r\nX-Class: call\r\nX-Org: acme\r\n\
    X-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Deadline-Ms: 1500.5\r\nX-Estimate-Ms: 8.2\r\n\
    X-Extras: memory_mb:512;lanes:2;load_ms:640;new:1\r\nContent-Length: 3\r\n\r\nabc";

#[test]
fn call_is_parsed_with_an_absolute_deadline() {
    let taken = parse_request(GOOD.as_bytes(), &names(), ReadTime::on_arrival(1_000))
        .unwrap()
        .unwrap();
    let Ok(ClientRequest::Call(call)) = taken.request else {
        panic!("a call")
    };
    let a = &call.arrival;
    assert_eq!(
        (taken.size, taken.keep_alive, &*call.identity, &*call.body),
        (GOOD.len(), true, "9b1f03aa5c7e2d41", &b"abc"[..])
    );
    assert_eq!(
        (
            a.expires_at,
            a.expected_work,
            a.concurrency_per_copy,
            a.load_duration
        ),
        (1_501_500, Some(8_200), 2, Some(640_000))
    );
    assert_eq!(
        (a.function, a.memory_mb),
        (FunctionId(0x7f3a_9c21_e0b4_d655), 512.0)
    );
}

#[test]
fn malformed_or_incomplete_request_never_panics() {
    for cut in 0..GOOD.len() {
        assert!(
            matches!(
                parse_request(&GOOD.as_bytes()[..cut], &names(), ReadTime::on_arrival(0)),
                Ok(None)
            ),
            "cut at {cut}"
        );
    }
    for at in 0..GOOD.len() {
        for byte in [0, b'\r', b'\n', b' ', b':', b'-', b'9', 0xff] {
            let mut bad = GOOD.as_bytes().to_vec();
            bad[at] = byte;
            if let Err(bad) = parse_request(&bad, &names(), ReadTime::on_arrival(0)) {
                assert!((400..500).contains(&bad.status));
            }
        }
    }
    for value in ["nan", "inf", "-1", "1e308", "", "0"] {
        let bad = GOOD.replace("1500.5", value);
        assert!(
            parse_request(bad.as_bytes(), &names(), ReadTime::on_arrival(0))
                .unwrap()
                .unwrap()
                .request
                .is_err(),
            "{value}"
        );
    }
}

#[test]
fn values_out_of_range_are_rejected() {
    let names = Names {
        max_deadlines: vec![2_000_000],
        ..names()
    };
    let taken = |text: &str| {
        parse_request(text.as_bytes(), &names, ReadTime::on_arrival(0))
            .unwrap()
            .unwrap()
            .request
            .is_ok()
    };
    assert!(taken(GOOD) && taken(&GOOD.replace("1500.5", "2000")));
    for (good, bad) in [
        ("1500.5", "2200"),
        ("Ms: 8.2", "Ms: 1e9"),
        ("memory_mb:512", "memory_mb:1e9"),
        ("lanes:2", "lanes:0"),
        ("lanes:2", "lanes:70000"),
        ("load_ms:640", "load_ms:1e12"),
    ] {
        assert!(!taken(&GOOD.replace(good, bad)), "{bad}");
    }
}

#[test]
fn rejection_has_retry_after_in_whole_seconds() {
    for (advice, seconds) in [(0, 0), (1, 1), (500_000, 1), (1_000_001, 2)] {
        let bytes = answer(
            &Answer::Rejected {
                retry_after: advice,
            },
            true,
        );
        let text = String::from_utf8(bytes).unwrap();
        assert!(
            text.starts_with("HTTP/1.1 503 ")
                && text.contains(&format!("Retry-After: {seconds}\r\n")),
            "{text}"
        );
    }
}
