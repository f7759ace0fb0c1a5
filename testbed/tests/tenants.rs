//! Changes of tenants at any gateway of a fleet of real processes: machines are lost with their
//! disks, and links fail.

use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Duration;

use molelug_testbed::fakes::gateway::{KEYED_CLASS, NON_IDEMPOTENT_CLASS, PROGRAM, READ_CLASS};
use molelug_testbed::fakes::{secret, secret_text};
use molelug_testbed::fault_injection::fleet::{Fleet, FleetConfig};
use molelug_testbed::fault_proxy::Faults;
use molelug_testbed::history::tenants::Violation;
use serde_json::json;

/// Limits the tests to one fleet at a time: with more, the fleets would only wait for the machine.
static SLOT: Mutex<()> = Mutex::new(());

fn fleet(seed: u64, without: Option<&str>) -> Fleet {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    let config = FleetConfig {
        with_admin: true,
        disabled_guard: without.map(Into::into),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config, seed).unwrap();
    fleet.wait_for_full_sets().unwrap();
    fleet
}

fn spec(n: u8) -> serde_json::Value {
    json!({ "share_per_s": 5.0, "portal": "http://127.0.0.1:9/in", "secrets": [secret_text(n)] })
}

fn acquire_slot() -> std::sync::MutexGuard<'static, ()> {
    SLOT.lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn assert_settled(fleet: &Fleet, acknowledged: usize) {
    fleet.wait_for_tenants().unwrap();
    let (changes, wrong) = fleet.check_tenants().unwrap();
    assert_eq!(wrong, []);
    assert_eq!(changes, acknowledged);
}

/// A tenant is created at one gateway and its secret rotated; then the machine that acknowledged
/// the changes is lost with its disk and seat. All other gateways have both changes and accept the
/// tenant's calls, and a repeated request gets the same response.
#[test]
fn acknowledged_tenant_change_survives_loss_of_its_machine() {
    let _slot = acquire_slot();
    let mut fleet = fleet(1, None);
    let mut there = fleet.admin_client(1).unwrap();
    assert_eq!(there.put("clinic", &spec(2)).status, 201);
    let rotation = json!({ "secret": secret_text(3) }).to_string();
    let first = there.request(
        "POST",
        "clinic/secrets",
        "Idempotency-Key: once\r\n",
        &rotation,
    );
    assert_eq!(first.status, 200, "{first:?}");
    fleet.lose_machine(1).unwrap();
    fleet.wait_for_tenants().unwrap();
    for n in [0, 2, 3, 4, 5] {
        let mut here = fleet.admin_client(n).unwrap();
        let shown = here.get("clinic");
        assert_eq!(
            (shown.status, &shown.body, &shown.etag),
            (200, &first.body, &first.etag),
            "at {n}"
        );
        let again = here.request(
            "POST",
            "clinic/secrets",
            "Idempotency-Key: once\r\n",
            &rotation,
        );
        assert_eq!(again, first, "at {n}");
        let other = here.request(
            "POST",
            "clinic/secrets",
            "Idempotency-Key: once\r\n",
            &json!({ "secret": secret_text(4) }).to_string(),
        );
        assert_eq!(
            other.status, 409,
            "the key came with another request, at {n}"
        );
        assert_eq!(
            fleet
                .send_as(n, "clinic", &secret(2), &format!("old-{n}"))
                .unwrap(),
            401
        );
        fleet.wait_for_full_sets().unwrap();
        assert_eq!(
            fleet
                .send_as(n, "clinic", &secret(3), &format!("new-{n}"))
                .unwrap(),
            202
        );
    }
    // The machine returns with an empty disk and receives the changes that it had acknowledged.
    fleet.start_instance(1).unwrap();
    assert_settled(&fleet, 2);
    assert_eq!(
        fleet.admin_client(1).unwrap().get("clinic").body,
        first.body
    );
}

/// The same tenant is repeatedly changed at three gateways at once: concurrent changes conflict,
/// and all gateways agree on the result.
#[test]
fn concurrent_tenant_changes_leave_one_agreed_version() {
    let _slot = acquire_slot();
    let fleet = fleet(2, None);
    let mut all: Vec<_> = (0..3).map(|n| fleet.admin_client(2 * n).unwrap()).collect();
    assert_eq!(all[0].put("clinic", &spec(2)).status, 201);
    let mut done = 1;
    for round in 0..8u8 {
        fleet.wait_for_tenants().unwrap();
        let statuses: Vec<u16> = std::thread::scope(|s| {
            let threads: Vec<_> = all
                .iter_mut()
                .enumerate()
                .map(|(n, a)| {
                    s.spawn(move || a.put("clinic", &spec(10 * (n as u8 + 1) + round)).status)
                })
                .collect();
            threads.into_iter().map(|t| t.join().unwrap()).collect()
        });
        // A change that starts after another has completed applies to its result and also succeeds.
        assert!(
            statuses.iter().all(|s| [200, 409].contains(s)) && statuses.contains(&200),
            "{statuses:?}"
        );
        done += statuses.iter().filter(|s| **s == 200).count();
    }
    assert_settled(&fleet, done);
    let shown: Vec<_> = (0..6)
        .map(|n| fleet.admin_client(n).unwrap().get("clinic").etag)
        .collect();
    assert!(shown.iter().all(|tag| *tag == shown[0]), "{shown:?}");
}

/// A gateway that is cut off refuses a change with 503 and a remedy, and the change has no effect.
/// Meanwhile other gateways change and remove tenants, which the gateway learns once it is
/// reconnected. A removed tenant stays removed when a process restarts with a file that names the
/// tenant.
#[test]
fn isolated_gateway_refuses_changes_and_catches_up() {
    let _slot = acquire_slot();
    let mut fleet = fleet(3, None);
    let cut = Faults {
        cut: true,
        ..Faults::default()
    };
    fleet.set_instance_faults(5, cut, cut);
    let refused = fleet.admin_client(5).unwrap().put("lonely", &spec(2));
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.body["remedy"]
            .as_str()
            .unwrap()
            .contains("majority"),
        "{refused:?}"
    );
    let mut there = fleet.admin_client(0).unwrap();
    assert_eq!(there.put("clinic", &spec(3)).status, 201);
    assert_eq!(there.request("DELETE", "franq-bajio", "", "").status, 204);
    assert_eq!(
        fleet.admin_client(5).unwrap().get("franq-bajio").status,
        200,
        "the removal has not arrived yet"
    );
    fleet.set_instance_faults(5, Faults::default(), Faults::default());
    assert_settled(&fleet, 2);
    for n in [5, 3] {
        assert_eq!(
            fleet.admin_client(n).unwrap().get("franq-bajio").status,
            404,
            "at {n}"
        );
        assert_eq!(
            fleet.admin_client(n).unwrap().get("clinic").status,
            200,
            "at {n}"
        );
    }
    // A gateway that starts isolated uses its file, which names the removed tenant, and accepts
    // none of the tenant's calls.
    fleet.kill(3).unwrap();
    fleet.set_instance_faults(3, cut, cut);
    fleet.start_instance(3).unwrap();
    assert_eq!(
        fleet.admin_client(3).unwrap().get("franq-bajio").status,
        503
    );
    assert_eq!(
        fleet.send_as(3, "franq-bajio", &secret(1), "late").unwrap(),
        503
    );
    fleet.set_instance_faults(3, Faults::default(), Faults::default());
    assert_settled(&fleet, 2);
    // The gateway accepts calls only once it has applied everything from its own disk.
    fleet
        .wait_until("the gateway to accept calls", || {
            fleet
                .send_as(3, "franq-bajio", &secret(1), "later")
                .unwrap()
                != 503
        })
        .unwrap();
    assert_eq!(
        fleet
            .send_as(3, "franq-bajio", &secret(1), "later")
            .unwrap(),
        401
    );
    assert_eq!(
        fleet.admin_client(3).unwrap().get("franq-bajio").status,
        404,
        "after a start on the file"
    );
    assert_eq!(fleet.admin_client(3).unwrap().get("lonely").status, 404);
}

/// A third of all frames is lost and the rest delayed; then all processes are killed at once. All
/// acknowledged changes remain.
#[test]
fn lossy_links_and_full_restart_lose_no_change() {
    let _slot = acquire_slot();
    let mut fleet = fleet(4, None);
    fleet.set_all_faults(Faults {
        drop_percent: 30,
        duplicate_percent: 3,
        jitter_ms: 20,
        ..Faults::default()
    });
    let mut done = 0;
    for n in 0..18 {
        let status = fleet
            .admin_client(n % 6)
            .unwrap()
            .put(&format!("clinic-{n}"), &spec(n as u8))
            .status;
        assert!([201, 503].contains(&status), "{status}");
        done += usize::from(status == 201);
    }
    fleet.set_all_faults(Faults::default());
    assert!(done > 0);
    for n in 0..6 {
        fleet.kill(n).unwrap();
    }
    for n in 0..6 {
        fleet.start_instance(n).unwrap();
    }
    assert_settled(&fleet, done);
}

/// Without a majority of voters no change is acknowledged, and the existing tenants stay in use.
#[test]
fn no_change_is_acknowledged_without_a_majority() {
    let _slot = acquire_slot();
    let fleet = fleet(5, None);
    let mut there = fleet.admin_client(4).unwrap();
    assert_eq!(there.put("clinic", &spec(2)).status, 201);
    fleet.wait_for_tenants().unwrap();
    for n in 0..3 {
        fleet.gateway(n).unwrap().suspend().unwrap();
    }
    assert_eq!(there.put("clinic", &spec(3)).status, 503);
    assert_eq!(fleet.send_as(5, "clinic", &secret(3), "new").unwrap(), 401);
    assert_ne!(fleet.send_as(5, "clinic", &secret(2), "old").unwrap(), 401);
    for n in 0..3 {
        fleet.gateway(n).unwrap().resume().unwrap();
    }
    fleet.wait_for_tenants().unwrap();
    assert_eq!(fleet.check_tenants().unwrap().1, []);
}

/// Control: with the guard disabled that makes a change wait for agreement, a change is
/// acknowledged that no other gateway has, and the checker finds it.
#[test]
fn checker_finds_change_acknowledged_before_agreement() {
    let _slot = acquire_slot();
    let mut fleet = fleet(6, Some("agreed"));
    let cut = Faults {
        cut: true,
        ..Faults::default()
    };
    fleet.set_instance_faults(5, cut, Faults::default());
    assert_eq!(
        fleet
            .admin_client(5)
            .unwrap()
            .put("clinic", &spec(2))
            .status,
        201
    );
    fleet.lose_machine(5).unwrap();
    let (_, wrong) = fleet.check_tenants().unwrap();
    assert!(
        wrong.iter().any(|w| matches!(w, Violation::Gone { .. })),
        "{wrong:?}"
    );
}

/// Guards against accepted calls that are never answered: their tenant is removed at one gateway
/// while they run, and then a machine is lost and another gateway restarts.
#[test]
fn calls_of_removed_tenant_are_answered_by_the_fleet() {
    const CALLS: usize = 18;
    let _slot = acquire_slot();
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    let config = FleetConfig {
        with_admin: true,
        worker_latency: Duration::from_millis(300),
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(config, 5).unwrap();
    fleet.wait_for_full_sets().unwrap();
    let classes = [READ_CLASS, NON_IDEMPOTENT_CLASS, KEYED_CLASS];
    for n in 0..CALLS {
        let status = fleet.send(n % 6, &format!("call-{n}"), classes[n % 3]);
        assert_eq!(status, 202, "call-{n}");
    }
    let removed = fleet
        .admin_client(0)
        .unwrap()
        .request("DELETE", "franq-bajio", "", "");
    assert_eq!(removed.status, 204, "{removed:?}");
    fleet.wait_for_tenants().unwrap();
    fleet.lose_machine(1).unwrap();
    fleet.kill(2).unwrap();
    fleet.start_instance(2).unwrap();
    let (counts, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
    assert_eq!(counts.calls, CALLS);
}
