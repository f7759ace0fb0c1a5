//! Tests of `front::webhook::signature`.

use super::*;
use base64::prelude::{Engine, BASE64_STANDARD};

/// Uses the example of the Standard Webhooks specification's libraries.
#[test]
fn specification_example_verifies_and_any_change_fails() {
    let secret = Secret::parse("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw").unwrap();
    let (id, at, body) = (
        "msg_p5jXN8AQM9LWM0D4loKWxJek",
        1614265330,
        &b"{\"test\": 2432232314}"[..],
    );
    let good = "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=";
    let one = || std::iter::once(&secret);
    assert_eq!(sign(one(), id, at, body), good);
    assert!(verify(
        one(),
        id,
        at,
        body,
        &format!("v1a,xx v1,AAAA {good}")
    ));
    assert!(!verify(one(), id, at + 1, body, good));
    assert!(!verify(one(), "msg_other", at, body, good));
    assert!(!verify(one(), id, at, b"{\"test\": 2432232315}", good));
    let short = &good[..good.len() - 4];
    assert!(!verify(one(), id, at, body, short) && !verify(one(), id, at, body, ""));
    assert!(
        !verify(std::iter::empty(), id, at, body, good),
        "no secret lets nothing in"
    );
}

#[test]
fn both_key_types_sign_and_verify_their_own_version() {
    let hmac = Secret::parse(&format!("whsec_{}", BASE64_STANDARD.encode([1; 32]))).unwrap();
    let ed = Secret::parse(&format!("whsk_{}", BASE64_STANDARD.encode([2; 32]))).unwrap();
    let public = Secret::parse(&ed.public().unwrap()).unwrap();
    let header = sign([&hmac, &ed, &public].into_iter(), "m", 7, b"body");
    assert_eq!(
        header
            .split(' ')
            .map(|s| s.split(',').next().unwrap())
            .collect::<Vec<_>>(),
        ["v1", "v1a"]
    );
    for secret in [&hmac, &ed, &public] {
        assert!(verify(std::iter::once(secret), "m", 7, b"body", &header));
        assert!(!verify(std::iter::once(secret), "m", 7, b"bodx", &header));
        let swapped = header.replace("v1a,", "v2,").replace("v1,", "v1a,");
        assert!(
            !verify(std::iter::once(secret), "m", 7, b"body", &swapped),
            "under another's version"
        );
    }
    assert!(public.public() == ed.public() && !public.signs());
    for bad in ["whsk_AAAA", "whpk_AAAA", "whsec", "x_y"] {
        assert!(Secret::parse(bad).is_err());
    }
    let torn = format!("whsk_{}", BASE64_STANDARD.encode([2; 64]));
    assert!(
        Secret::parse(&torn).is_err(),
        "the halves do not belong together"
    );
}
