//! Tests of former versions of tenants.

use super::*;
use crate::tenancy::{EndpointSpec, Spec, PORTAL};

const A: &str = "whsec_MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3";
const B: &str = "whsec_YWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFh";
const UNTIL: Micros = 1_000;

fn registry() -> Registry {
    let mut registry = Registry::new(&[("org".into(), 5.0)]);
    registry.put("t", &spec(A)).unwrap();
    registry
}

fn spec(secret: &str) -> Spec {
    Spec {
        share_per_s: Some(9.0),
        portal: Some("http://127.0.0.1:9/in".into()),
        secrets: vec![secret.into()],
        ..Spec::default()
    }
}

/// Applies a change at a time, and returns whether the version before it is kept.
fn change<T>(registry: &mut Registry, at: Micros, apply: impl FnOnce(&mut Registry) -> T) -> bool {
    let before = registry.clone();
    apply(registry);
    registry
        .keep_former_version(&before, "t", at, UNTIL)
        .unwrap()
}

fn answered_at(registry: &Registry, serial: u64, accepted_at: Micros) -> Vec<EndpointId> {
    let endpoints = registry.answer_endpoints("t", serial, accepted_at);
    endpoints.into_iter().map(|endpoint| endpoint.id).collect()
}

#[test]
fn removed_tenant_answers_earlier_calls_and_keeps_its_number() {
    let mut r = registry();
    let old = r.get("t").unwrap().clone();
    let portal = old.endpoints[PORTAL].id;
    assert!(change(&mut r, 10, |r| r.remove("t").unwrap()));
    assert!(r.put("t", &spec(B)).unwrap(), "a new tenant of the name");
    let new = r.get("t").unwrap().clone();
    assert_ne!((new.id, new.serial), (old.id, old.serial));
    assert_eq!(answered_at(&r, old.serial, 10), [portal]);
    assert_eq!(
        answered_at(&r, old.serial, 11),
        [],
        "accepted after the removal"
    );
    assert_eq!(answered_at(&r, new.serial, 0), [new.endpoints[PORTAL].id]);
    let target = r.delivery_target("t", old.serial, portal, 20).unwrap();
    assert_eq!(target.secrets, [Secret::parse(A).unwrap()]);
    assert!(r.keeps_number(old.id) && !r.keeps_number(new.id));
    assert!(r.shares().contains(&(old.id, 9.0)), "it pays for its calls");
    let released = r.drop_settled(|version| version.until > UNTIL);
    assert_eq!(released, Released::default());
    let released = r.drop_settled(|_| true);
    assert_eq!(
        (released.endpoints, released.numbers),
        (vec![portal], vec![old.id])
    );
    r.put("later", &spec(A)).unwrap();
    assert_eq!(r.get("later").unwrap().id, old.id, "the number is free");
}

#[test]
fn number_of_the_platform_is_never_handed_out() {
    let mut r = registry();
    r.put("org", &spec(A)).unwrap();
    let before = r.clone();
    assert_eq!(r.remove("org"), Ok((TenantId(0), 5.0)));
    assert!(r.keep_former_version(&before, "org", 1, UNTIL).unwrap());
    assert!(!r.keeps_number(TenantId(0)), "the platform's share applies");
    assert_eq!(r.drop_settled(|_| true).numbers, []);
}

#[test]
fn only_changes_that_take_something_away_are_kept() {
    let mut r = registry();
    let serial = r.get("t").unwrap().serial;
    let with = |spec: EndpointSpec| move |r: &mut Registry| r.put_endpoint("t", PORTAL, &spec);
    let moved = EndpointSpec {
        url: Some("http://127.0.0.1:10/in".into()),
        ..EndpointSpec::default()
    };
    assert!(
        !change(&mut r, 1, with(moved)),
        "a moved portal gets all answers"
    );
    assert!(!change(&mut r, 1, |r| r.rotate("t", B, 1, 50).unwrap()));
    assert!(!change(&mut r, 1, |r| r.put(
        "t",
        &Spec {
            share_per_s: Some(1.0),
            ..Spec::default()
        }
    )));
    let disabled = EndpointSpec {
        enabled: Some(false),
        ..EndpointSpec::default()
    };
    assert!(!change(&mut r, 1, with(disabled)), "its messages wait");

    let portal = r.get("t").unwrap().endpoints[PORTAL].id;
    assert!(
        change(&mut r, 60, |r| r.put("t", &spec(A))),
        "a revoked secret"
    );
    let target = r.delivery_target("t", serial, portal, 61).unwrap();
    assert_eq!(
        target.secrets,
        [A, B].map(|text| Secret::parse(text).unwrap())
    );
    assert_eq!(
        target.portal.to_string(),
        "http://127.0.0.1:9/in",
        "as it is now"
    );
    let other_types = EndpointSpec {
        types: Some(vec!["endpoint.*".into()]),
        ..EndpointSpec::default()
    };
    assert!(change(&mut r, 70, with(other_types)));
    assert_eq!(answered_at(&r, serial, 70), [portal]);
    assert_eq!(answered_at(&r, serial, 71), []);
    assert!(change(&mut r, 80, |r| r.remove_endpoint("t", PORTAL)));
    let former: Vec<_> = r.former_endpoints().iter().map(|(_, e)| e.id).collect();
    assert_eq!(former, [portal]);
    assert_eq!(
        r.drop_settled(|version| version.replaced_at < 80),
        Released::default()
    );
    assert_eq!(r.drop_settled(|_| true).endpoints, [portal]);
}

#[test]
fn former_versions_are_restored_with_the_numbers_of_their_tenants() {
    let mut r = registry();
    let serial = r.get("t").unwrap().serial;
    change(&mut r, 5, |r| r.put("t", &spec(B)));
    change(&mut r, 10, |r| r.remove("t").unwrap());
    r.put("t", &spec(B)).unwrap();
    let mut back = Registry::new(&[("org".into(), 5.0)]);
    back.restore(&r.state()).unwrap();
    assert_eq!(back.state(), r.state());
    assert_eq!(answered_at(&back, serial, 10), answered_at(&r, serial, 10));
    let numbers: Vec<_> = back.former_versions().iter().map(|v| v.tenant.id).collect();
    assert_eq!(numbers.len(), 2);
    assert_eq!(numbers[0], numbers[1], "versions of one tenant");
    assert_ne!(numbers[0], back.get("t").unwrap().id);
    assert!(back.keeps_number(numbers[0]));
}

#[test]
fn too_many_former_versions_refuse_a_change() {
    let mut r = registry();
    let version = FormerVersion {
        name: "other".into(),
        tenant: r.get("t").unwrap().clone(),
        replaced_at: 0,
        until: UNTIL,
    };
    r.former = vec![version; MAX_FORMER_VERSIONS];
    let before = r.clone();
    r.remove("t").unwrap();
    let kept = r.keep_former_version(&before, "t", 1, UNTIL);
    assert_eq!(kept, Err(TenantError::TooMany));
}
