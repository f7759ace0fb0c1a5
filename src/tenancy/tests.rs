//! Tests of the tenant registry.

use super::*;

const A: &str = "whsec_MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3";
const B: &str = "whsec_YWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFh";

fn spec() -> Spec {
    Spec {
        name: String::new(),
        share_per_s: Some(9.0),
        portal: Some("http://127.0.0.1:9/in".into()),
        secrets: vec![A.into()],
        endpoints: Vec::new(),
    }
}

/// State files from versions without endpoints stay readable; the portal becomes an endpoint.
#[test]
fn state_file_without_endpoints_is_read() {
    let old = format!(
        "[{{\"name\":\"clinic\",\"share_per_s\":3.0,\"portal\":\"http://127.0.0.1:9/in\",\
         \"secrets\":[[\"{A}\",null],[\"{B}\",20]]}}]"
    );
    let mut r = Registry::new(&[]);
    r.restore(&old).unwrap();
    let t = r.get("clinic").unwrap();
    let e = &t.endpoints[PORTAL];
    assert_eq!(
        (e.portal.to_string().as_str(), e.wants(COMPLETED)),
        ("http://127.0.0.1:9/in", true)
    );
    assert_eq!(
        (t.share_per_s, t.secrets(19).count(), t.signing(e, 20).len()),
        (3.0, 2, 1)
    );
    let mut again = Registry::new(&[]);
    again.restore(&r.state()).unwrap();
    assert_eq!(
        (again.state(), again.get("clinic").unwrap().serial),
        (r.state(), t.serial)
    );
}

#[test]
fn endpoints_have_own_types_secrets_and_identifiers() {
    let mut r = Registry::new(&[]);
    r.put("t", &spec()).unwrap();
    let all = EndpointSpec {
        url: Some("http://127.0.0.1:9/all".into()),
        types: Some(vec!["endpoint.*".into(), "call.completed".into()]),
        secrets: Some(vec![B.into()]),
        ..EndpointSpec::default()
    };
    assert_eq!(r.put_endpoint("t", "all", &all), Ok(true));
    let first = r.get("t").unwrap().endpoints["all"].clone();
    assert!(
        first.wants("endpoint.disabled")
            && first.wants(COMPLETED)
            && !first.wants("message.exhausted")
    );
    assert!(r.get("t").unwrap().signing(&first, 0)[0] == Secret::parse(B).unwrap());
    r.rotate_endpoint("t", "all", A, 10, 20).unwrap();
    assert_eq!(
        r.get("t")
            .unwrap()
            .signing(&r.get("t").unwrap().endpoints["all"], 15)
            .len(),
        2
    );
    assert_eq!(r.disable(first.id), Some(("t".into(), "all".into())));
    assert_eq!(
        r.get("t").unwrap().endpoints["all"].enabled,
        Enabled::DisabledByFailure
    );
    assert_eq!(r.remove_endpoint("t", "all"), Ok(first.id));
    r.put_endpoint("t", "all", &all).unwrap();
    assert_ne!(
        r.get("t").unwrap().endpoints["all"].id,
        first.id,
        "a new endpoint of the same name has another identifier"
    );
    let bad = |s: EndpointSpec| EndpointSpec {
        url: Some("http://127.0.0.1:9/".into()),
        ..s
    };
    for (spec, error) in [
        (EndpointSpec::default(), TenantError::Portal),
        (
            bad(EndpointSpec {
                in_flight: Some(0),
                ..Default::default()
            }),
            TenantError::Limits,
        ),
        (
            bad(EndpointSpec {
                rate_per_s: Some(f64::NAN),
                ..Default::default()
            }),
            TenantError::Limits,
        ),
        (
            bad(EndpointSpec {
                schedule_s: Some(vec![-1.0]),
                ..Default::default()
            }),
            TenantError::Schedule,
        ),
        (
            bad(EndpointSpec {
                types: Some(vec!["*".into()]),
                ..Default::default()
            }),
            TenantError::Types,
        ),
    ] {
        assert_eq!(r.put_endpoint("t", "x", &spec), Err(error));
    }
    assert!(!r.get("t").unwrap().endpoints.contains_key("x"));
}

#[test]
fn rotated_secret_expires_and_is_never_shown() {
    let mut r = Registry::new(&[("org".into(), 5.0)]);
    assert_eq!(r.put("other", &spec()), Ok(true));
    assert_eq!(
        (r.get("other").unwrap().id, r.put("org", &spec())),
        (TenantId(1), Ok(true))
    );
    r.rotate("other", B, 10, 20).unwrap();
    assert_eq!(r.get("other").unwrap().secrets(19).count(), 2);
    let left: Vec<_> = r.get("other").unwrap().secrets(20).cloned().collect();
    assert_eq!(left, vec![Secret::parse(B).unwrap()]);
    let shown = format!(
        "{:?} {}",
        r.get("other"),
        serde_json::to_string(&r.views(0)).unwrap()
    );
    assert!(!shown.contains("whsec") && !shown.contains("97"), "{shown}");
    assert_eq!(
        r.remove("org"),
        Ok((TenantId(0), 5.0)),
        "the platform's share applies again"
    );
    let serial = r.get("other").unwrap().serial;
    assert_eq!(r.remove("other"), Ok((TenantId(1), 0.0)));
    assert_eq!(r.put("other", &spec()), Ok(true));
    assert!(
        r.get("other").is_some() && r.get_with_serial("other", serial).is_none(),
        "the name now belongs to another tenant"
    );
}

#[test]
fn state_is_restored_with_secrets_and_expiry_times() {
    let mut r = Registry::new(&[("org".into(), 5.0)]);
    r.put("gone", &spec()).unwrap();
    r.remove("gone").unwrap();
    r.put("other", &spec()).unwrap();
    r.rotate("other", B, 10, 20).unwrap();
    let mut back = Registry::new(&[("org".into(), 5.0)]);
    back.put("first", &spec()).unwrap();
    back.restore(&r.state()).unwrap();
    assert!(
        back.get("first").is_none(),
        "the restored state replaces all tenants"
    );
    let t = back.get("other").unwrap();
    assert_eq!(
        (t.secrets(19).count(), t.secrets(20).count(), t.share_per_s),
        (2, 1, 9.0)
    );
    assert_eq!((back.state(), t.id), (r.state(), TenantId(1)));
    assert_eq!(back.restore("[{}]"), Err(TenantError::State));
    assert!(back.get("other").is_some());
}

#[test]
fn invalid_specs_change_nothing() {
    let mut r = Registry::new(&[]);
    for (name, change) in [
        ("", spec()),
        ("a/b", spec()),
        (
            "a",
            Spec {
                share_per_s: Some(f64::NAN),
                ..spec()
            },
        ),
        (
            "a",
            Spec {
                portal: Some("https://127.0.0.1:9/".into()),
                ..spec()
            },
        ),
        (
            "a",
            Spec {
                portal: Some("http://portal.example/".into()),
                ..spec()
            },
        ),
        (
            "a",
            Spec {
                portal: Some("http://127.0.0.1:9/a b".into()),
                ..spec()
            },
        ),
        (
            "a",
            Spec {
                secrets: vec!["whsec_short".into()],
                ..spec()
            },
        ),
    ] {
        assert!(r.put(name, &change).is_err(), "{name} {change:?}");
    }
    assert!(r.get("a").is_none());
    assert_eq!(r.rotate("a", A, 0, 0), Err(TenantError::Unknown));
}

/// An adopted tenant keeps its local number, gets the same endpoints, and has its expiry times sent
/// as durations.
#[test]
fn adopted_tenant_has_expiry_relative_to_local_clock() {
    let mut there = Registry::new(&[]);
    there.put("t", &spec()).unwrap();
    there.rotate("t", B, 1_000, 1_500).unwrap();
    there.rotate("t", A, 1_100, 1_200).unwrap();
    let told = there.encode_tenant("t", 1_150).unwrap();
    // The local clock differs, and the tenant has other endpoints and a local number.
    let mut here = Registry::new(&[("org".into(), 5.0)]);
    here.put("t", &spec()).unwrap();
    let old = EndpointSpec {
        url: Some("http://127.0.0.1:9/old".into()),
        ..EndpointSpec::default()
    };
    here.put_endpoint("t", "old", &old).unwrap();
    let (id, gone) = (
        here.get("t").unwrap().id,
        here.get("t").unwrap().endpoints["old"].id,
    );
    let adopted = here.adopt(7, "t", Some(&told)).unwrap().unwrap();
    assert_eq!(
        adopted,
        Adopted {
            share: (id, 9.0),
            gone: vec![gone]
        }
    );
    let t = here.get("t").unwrap();
    assert_eq!(
        (t.serial, t.version),
        (
            there.get("t").unwrap().serial,
            there.get("t").unwrap().version
        )
    );
    assert_eq!(
        (
            t.secrets(7).count(),
            t.secrets(56).count(),
            t.secrets(57).count()
        ),
        (2, 2, 1)
    );
    let later = there.encode_tenant("t", 1_300).unwrap();
    here.adopt(9, "t", Some(&later)).unwrap();
    assert_eq!(
        here.get("t").unwrap().secrets(9).count(),
        1,
        "expired secrets are not sent"
    );
    // Unreadable data, or data of another tenant, changes nothing.
    assert_eq!(here.adopt(9, "t", Some(b"{")), Err(TenantError::State));
    assert_eq!(here.adopt(9, "u", Some(&told)), Err(TenantError::Name));
    assert!(here.get("t").is_some() && here.get("u").is_none());
    assert_eq!(here.adopt(9, "t", None).unwrap().unwrap().share, (id, 0.0));
    assert_eq!(here.adopt(9, "t", None), Ok(None));
    // With equal removal counts, a new tenant of the same name gets the same new serial at any
    // gateway.
    there.set_removal_count(1);
    here.set_removal_count(1);
    there.remove("t").unwrap();
    there.set_removal_count(1);
    let serial = |r: &mut Registry| r.put("t", &spec()).map(|_| r.get("t").map(|t| t.serial));
    assert_eq!(serial(&mut there), serial(&mut here));
}
