//! Tests of what a process takes over from the previous one.

use super::*;
use crate::delivery::EndpointId;
use crate::tenancy::{EndpointSpec, Spec, PORTAL};

const A: &str = "whsec_MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3";
const B: &str = "whsec_YWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFh";
const HOUR: Micros = 3_600_000_000;

fn spec(portal: &str, secret: &str) -> Spec {
    Spec {
        share_per_s: Some(9.0),
        portal: Some(format!("http://{portal}/in")),
        secrets: vec![secret.into()],
        ..Spec::default()
    }
}

/// The tenants of an operator's file.
fn configured(tenants: &[(&str, Spec)]) -> Registry {
    let mut registry = Registry::new(&[("org".into(), 5.0)]);
    for (name, spec) in tenants {
        registry.put(name, spec).unwrap();
    }
    registry
}

/// Starts a process at `now` after one that stored `before`.
fn start(before: &Registry, configuration: &Registry, now: Micros, owed: bool) -> Registry {
    let mut registry = configuration.clone();
    let previous = PreviousTenants {
        text: &before.state(),
        matching: TenantMatching::ByEvidence,
        is_owed: &|_| owed,
    };
    registry.continue_from(&previous, now, now + HOUR).unwrap();
    registry
}

fn portal_of(registry: &Registry, name: &str) -> EndpointId {
    registry.get(name).unwrap().endpoints[PORTAL].id
}

#[test]
fn same_configuration_keeps_identities_and_no_former_version() {
    let file = configured(&[
        ("t", spec("127.0.0.1:9", A)),
        ("org", spec("127.0.0.1:8", B)),
    ]);
    let again = start(&file, &file, 10, true);
    assert!(again.former_versions().is_empty());
    assert_eq!(portal_of(&again, "t"), portal_of(&file, "t"));
    assert_eq!(again.get("org").unwrap().id, file.get("org").unwrap().id);
}

#[test]
fn tenant_missing_in_file_continues_only_while_owed() {
    let file = configured(&[("t", spec("127.0.0.1:9", A)), ("u", spec("127.0.0.1:8", B))]);
    let rest = configured(&[("u", spec("127.0.0.1:8", B))]);
    let serial = file.get("t").unwrap().serial;
    assert!(start(&file, &rest, 10, false).former_versions().is_empty());
    let owing = start(&file, &rest, 10, true);
    assert_eq!(owing.former_versions().len(), 1);
    let endpoints = owing.answer_endpoints("t", serial, 10);
    assert_eq!(endpoints[0].id, portal_of(&file, "t"));
    let former = owing.newest_version("t", serial).unwrap();
    assert_ne!(former.id, owing.get("u").unwrap().id, "a number of its own");
    assert!(owing.keeps_number(former.id));
    assert!(start(&owing, &rest, 20, false).former_versions().is_empty());
}

#[test]
fn tenant_that_returns_after_removal_has_another_serial() {
    let file = configured(&[("t", spec("127.0.0.1:9", A))]);
    let without = start(&file, &configured(&[]), 10, false);
    let back = start(&without, &file, 20, false);
    assert_ne!(back.get("t").unwrap().serial, file.get("t").unwrap().serial);
    let again = start(&back, &file, 30, false);
    assert_eq!(
        again.get("t").unwrap().serial,
        back.get("t").unwrap().serial
    );
    assert_eq!(portal_of(&again, "t"), portal_of(&back, "t"));
}

#[test]
fn tenant_with_nothing_in_common_is_another_one() {
    let before = configured(&[("t", spec("127.0.0.1:9", A))]);
    let serial = before.get("t").unwrap().serial;
    let cases = [
        ("127.0.0.1:9", B, true),
        ("127.0.0.1:7", A, true),
        ("127.0.0.1:7", B, false),
    ];
    for (portal, secret, is_same) in cases {
        let after = start(
            &before,
            &configured(&[("t", spec(portal, secret))]),
            10,
            true,
        );
        let tenant = after.get("t").unwrap();
        assert_eq!(tenant.serial == serial, is_same, "{portal} {secret}");
        assert_eq!(portal_of(&after, "t") == portal_of(&before, "t"), is_same);
        let target = after.delivery_target("t", serial, portal_of(&before, "t"), 10);
        let target = target.unwrap();
        let expected = if is_same { portal } else { "127.0.0.1:9" };
        assert_eq!(target.portal.address.to_string(), expected);
        assert!(target.secrets.contains(&Secret::parse(A).unwrap()));
        assert!(is_same || !target.secrets.contains(&Secret::parse(B).unwrap()));
    }
}

#[test]
fn endpoint_that_returns_under_its_name_is_another_one() {
    let with_other = |portal: &str| Spec {
        endpoints: vec![EndpointSpec {
            name: "other".into(),
            url: Some("http://127.0.0.1:7/".into()),
            ..EndpointSpec::default()
        }],
        ..spec(portal, A)
    };
    let both = configured(&[("t", with_other("127.0.0.1:9"))]);
    let one = configured(&[("t", spec("127.0.0.1:9", A))]);
    let removed = start(&both, &one, 10, true);
    let former = both.get("t").unwrap().endpoints["other"].id;
    assert_eq!(removed.former_endpoints()[0].1.id, former);
    let back = start(&removed, &both, 20, true);
    let tenant = back.get("t").unwrap();
    assert_ne!(tenant.endpoints["other"].id, former);
    assert_eq!(portal_of(&back, "t"), portal_of(&both, "t"));
}

/// A state file is written before the store: a kill in between leaves the change in one of them.
#[test]
fn version_that_the_state_file_has_already_is_kept_once() {
    let before = configured(&[("t", spec("127.0.0.1:9", A))]);
    let mut changed = before.clone();
    changed.remove("t").unwrap();
    assert!(changed.keep_former_version(&before, "t", 5, HOUR).unwrap());
    let previous = PreviousTenants {
        text: &before.state(),
        matching: TenantMatching::BySerial,
        is_owed: &|_| true,
    };
    changed.continue_from(&previous, 10, 10 + HOUR).unwrap();
    assert_eq!(changed.former_versions().len(), 1);
}

#[test]
fn file_that_changes_at_each_start_leaves_nothing_once_nothing_is_owed() {
    // Each start reads all versions that are owed something.
    const OWED_STARTS: u64 = 100;
    const SETTLED_STARTS: u64 = 1_000;
    let files = [
        configured(&[("t", spec("127.0.0.1:9", A))]),
        configured(&[("t", spec("127.0.0.1:9", B)), ("u", spec("127.0.0.1:8", B))]),
        configured(&[("u", spec("127.0.0.1:7", A))]),
    ];
    for (owed, starts) in [(true, OWED_STARTS), (false, SETTLED_STARTS)] {
        let mut registry = files[0].clone();
        for number in 1..=starts {
            let file = &files[number as usize % files.len()];
            registry = start(&registry, file, number, owed);
        }
        let kept = registry.former_versions().len() as u64;
        assert!(kept <= if owed { 2 * starts } else { 0 }, "{kept} versions");
        let settled = start(&registry, &files[0], starts + 1, false);
        assert!(settled.former_versions().is_empty());
    }
}

#[test]
fn start_with_too_many_versions_changes_nothing() {
    let names: Vec<String> = (0..=MAX_FORMER_VERSIONS).map(|n| format!("t{n}")).collect();
    let mut before = Registry::new(&[]);
    let mut former = Registry::new(&[]);
    for name in &names[1..] {
        before.put(name, &spec("127.0.0.1:9", A)).unwrap();
        former.put(name, &spec("127.0.0.1:9", A)).unwrap();
        former.remove(name).unwrap();
        assert!(former.keep_former_version(&before, name, 5, HOUR).unwrap());
    }
    former.put(&names[0], &spec("127.0.0.1:9", A)).unwrap();
    let mut empty = Registry::new(&[]);
    let previous = PreviousTenants {
        text: &former.state(),
        matching: TenantMatching::ByEvidence,
        is_owed: &|_| true,
    };
    assert_eq!(
        empty.continue_from(&previous, 10, HOUR),
        Err(TenantError::TooMany)
    );
    assert!(empty.former_versions().is_empty());
}
