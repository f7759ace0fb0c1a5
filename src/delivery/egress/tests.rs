//! Tests of `delivery::egress`.

use super::*;

#[test]
fn longest_prefix_decides_also_for_mapped_addresses() {
    let net = |t: &str| t.parse::<IpNet>().unwrap();
    let n = EgressPolicy::new(
        &[net("10.1.0.0/16"), net("fd00::/8")],
        &[net("10.1.2.0/24"), net("127.0.0.0/8")],
    );
    let allows = |a: &str| n.allows(a.parse().unwrap());
    for allowed in [
        "10.1.0.9",
        "10.1.3.1",
        "8.8.8.8",
        "fd00::1",
        "2606::1",
        "::ffff:10.1.0.9",
    ] {
        assert!(allows(allowed), "{allowed}");
    }
    for denied in [
        "10.1.2.3",
        "10.2.0.1",
        "127.0.0.1",
        "::ffff:127.0.0.1",
        "169.254.169.254",
        "224.0.0.1",
        "255.255.255.255",
        "::",
        "fe80::1",
        "ff02::1",
        "fc00::1",
        "0.0.0.0",
        "64:ff9b::a01:203",
    ] {
        assert!(!allows(denied), "{denied}");
    }
    assert!(EgressPolicy::default().allows("127.0.0.1".parse().unwrap()));
    assert_eq!(
        n.v4.len() + n.v6.len(),
        DENIED.len() + 4,
        "every default network was parsed"
    );
}
