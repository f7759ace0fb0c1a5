//! Text files: the tenants' state, the state that processes of one gateway share, and the seen
//! identities of calls.

use std::collections::BTreeMap;

use molelug::delivery::Enabled;
use molelug::front::webhook::replay::{RecordResult, ReplayStore};
use molelug::operations::hot_restart::{ProcessState, SiblingState};
use molelug::tenancy::{EndpointSpec, Registry, Secret, Spec};

use crate::fixture;
use crate::store_rows::Scratch;

/// The tenants' state as the current version writes it.
const TENANTS: &str = "tenants-state.json";
const TENANTS_WITHOUT_ENDPOINTS: &str = "tenants-state-without-endpoints.json";
const TENANT_TOLD: &str = "tenant-told.json";
const HANDOVER: &str = "handover.txt";
const REPLAYS: &str = "replays.txt";

const SECRET: &str = "whsec_MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3";
const ROTATED: &str = "whsec_YWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFh";
const SIGNING: &str = "whsk_YWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWE=";

fn registry() -> Registry {
    let mut registry = Registry::new(&[]);
    let spec = |url: &str| Spec {
        name: String::new(),
        share_per_s: Some(9.5),
        portal: Some(url.into()),
        secrets: vec![SECRET.into()],
        endpoints: Vec::new(),
    };
    registry
        .put("gone", &spec("http://127.0.0.1:9/gone"))
        .expect("a tenant");
    registry.remove("gone").expect("the tenant is removed");
    registry
        .put("clinic", &spec("http://127.0.0.1:9/in"))
        .expect("a tenant");
    registry
        .rotate("clinic", ROTATED, 10, 2_000_000)
        .expect("a secret");
    let all = EndpointSpec {
        url: Some("http://127.0.0.1:9/all".into()),
        types: Some(vec!["endpoint.*".into(), "call.completed".into()]),
        enabled: Some(false),
        rate_per_s: Some(2.5),
        in_flight: Some(3),
        schedule_s: Some(vec![1.0, 30.0]),
        ordered: Some(true),
        secrets: Some(vec![SIGNING.into()]),
        ..EndpointSpec::default()
    };
    registry
        .put_endpoint("clinic", "all", &all)
        .expect("an endpoint");
    let failed = EndpointSpec {
        url: Some("http://127.0.0.1:9/failed".into()),
        ..EndpointSpec::default()
    };
    registry
        .put_endpoint("clinic", "failed", &failed)
        .expect("an endpoint");
    let id = registry.get("clinic").expect("a tenant").endpoints["failed"].id;
    registry.disable(id).expect("the endpoint exists");
    registry
        .put_endpoint("clinic", "removed", &failed)
        .expect("an endpoint");
    registry
        .remove_endpoint("clinic", "removed")
        .expect("the endpoint is removed");
    registry
}

fn assert_tenant_is_complete(registry: &Registry, until: u64) {
    let (clinic, expected) = (registry.get("clinic").expect("a tenant"), self::registry());
    let expected = expected.get("clinic").expect("a tenant");
    assert_eq!(
        (clinic.serial, clinic.version),
        (expected.serial, expected.version)
    );
    assert_eq!((clinic.share_per_s, clinic.endpoints.len()), (9.5, 3));
    let secrets: Vec<&Secret> = clinic.secrets(until).collect();
    assert_eq!(secrets, [&Secret::parse(ROTATED).expect("a secret")]);
    assert_eq!(clinic.secrets(until - 1).count(), 2);
    for (name, endpoint) in &clinic.endpoints {
        assert_eq!(
            format!("{endpoint:?}"),
            format!("{:?}", expected.endpoints[name]),
            "{name}"
        );
        assert_eq!(
            clinic.signing(endpoint, until),
            expected.signing(&expected.endpoints[name], 2_000_000)
        );
    }
    assert_eq!(clinic.endpoints["portal"].enabled, Enabled::Yes);
    assert_eq!(clinic.endpoints["all"].enabled, Enabled::DisabledByOperator);
    assert_eq!(
        clinic.endpoints["failed"].enabled,
        Enabled::DisabledByFailure
    );
}

#[test]
fn tenants_state_is_written_and_read_as_before() {
    fixture::assert_matches(TENANTS, &registry().state());
    let mut registry = Registry::new(&[]);
    registry
        .restore(&fixture::read_text(TENANTS))
        .expect("the file is read");
    assert_tenant_is_complete(&registry, 2_000_000);
    assert_eq!(registry.state(), fixture::read_text(TENANTS));
}

#[test]
fn tenants_state_without_endpoints_is_read() {
    let list = format!(
        "[{{\"name\":\"clinic\",\"share_per_s\":3.0,\"portal\":\"http://127.0.0.1:9/in\",\
         \"secrets\":[[\"{SECRET}\",null],[\"{ROTATED}\",20]]}}]"
    );
    fixture::assert_matches(TENANTS_WITHOUT_ENDPOINTS, &list);
    let mut registry = Registry::new(&[]);
    registry
        .restore(&fixture::read_text(TENANTS_WITHOUT_ENDPOINTS))
        .expect("the file is read");
    let clinic = registry.get("clinic").expect("a tenant");
    assert_eq!(
        clinic.endpoints["portal"].portal.to_string(),
        "http://127.0.0.1:9/in"
    );
    assert_eq!(
        (clinic.secrets(19).count(), clinic.secrets(20).count()),
        (2, 1)
    );
}

/// The encoding of a tenant in the consensus log.
#[test]
fn replicated_tenant_is_written_and_adopted_as_before() {
    let told = registry()
        .encode_tenant("clinic", 1_000_000)
        .expect("a tenant");
    fixture::assert_matches(TENANT_TOLD, std::str::from_utf8(&told).expect("text"));
    let mut other = Registry::new(&[]);
    let stored = fixture::read(TENANT_TOLD);
    assert!(other
        .adopt(500, "clinic", Some(&stored))
        .expect("the file is read")
        .is_some());
    assert_tenant_is_complete(&other, 1_000_500);
}

fn sibling_state(state: ProcessState) -> SiblingState {
    let bans = [
        ("s-1".to_owned(), (true, 1_764_620_000_000_000)),
        ("s-2".to_owned(), (false, 9)),
    ];
    let seen = vec!["s-1".into(), "s-2".into(), "s-3".into()];
    SiblingState {
        gateway: "n3".into(),
        state,
        list_revision: 41,
        observed_capacity: 24.5,
        exclusions: bans.into(),
        known_workers: seen,
        evidence: BTreeMap::new(),
    }
}

#[test]
fn sibling_states_are_written_and_read_as_before() {
    let states = [
        ProcessState::Starting,
        ProcessState::Ready,
        ProcessState::Stopping,
    ];
    let texts: Vec<String> = states
        .iter()
        .map(|state| sibling_state(*state).encode())
        .collect();
    fixture::assert_matches(HANDOVER, &texts.join("\n"));
    let stored = fixture::read_text(HANDOVER);
    for (text, state) in stored.split("\n\n").zip(states) {
        let text = format!("{}\n", text.trim_end());
        assert_eq!(
            SiblingState::decode(text.as_bytes(), "n3", true, 0),
            Ok(sibling_state(state))
        );
    }
    assert_eq!(stored.split("\n\n").count(), states.len());
}

#[test]
fn seen_identities_are_written_and_read_as_before() {
    let file = Scratch::new();
    let mut replays = ReplayStore::open(file.path(), 10, 0).expect("the file is created");
    for (id, until) in [("call-1", 5_000), ("call-2", 4_000)] {
        assert_eq!(replays.take("clinic", id, 1_000, until), RecordResult::New);
    }
    fixture::assert_matches(
        REPLAYS,
        &std::fs::read_to_string(file.path()).expect("text"),
    );

    let copy = Scratch::new();
    std::fs::write(copy.path(), fixture::read(REPLAYS)).expect("a copy");
    let mut replays = ReplayStore::open(copy.path(), 10, 4_500).expect("the file is read");
    assert_eq!(
        replays.take("clinic", "call-1", 4_500, 9_000),
        RecordResult::Before
    );
    assert_eq!(
        replays.take("clinic", "call-2", 4_500, 9_000),
        RecordResult::New
    );
}
