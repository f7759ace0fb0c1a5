//! Tenants changed at any gateway of a fleet, as real processes: machines are lost with their disks, and links fail.

use std::path::PathBuf;
use std::sync::Mutex;

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::fakes::{secret, secret_text};
use molelug_testbed::fault_injection::fleet::{Fleet, FleetConfig};
use molelug_testbed::fault_proxy::Faults;
use molelug_testbed::history::tenants::Wrong;
use serde_json::json;

/// One fleet at a time: more would only wait for the machine.
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

/// A tenant is made at one gateway and its secret rotated; the machine that said so is lost at once, with its disk and seat.
/// All others know both, calls of the tenant are taken anywhere, and the request given again gets the same answer.
#[test]
fn a_change_outlives_the_machine_that_said_it_is_done() {
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
    // The machine comes back empty, and learns what it had said itself.
    fleet.start_instance(1).unwrap();
    assert_settled(&fleet, 2);
    assert_eq!(
        fleet.admin_client(1).unwrap().get("clinic").body,
        first.body
    );
}

/// The same tenant is changed at three gateways at once, again and again: of each three one takes hold, and all agree which.
#[test]
fn of_changes_at_once_one_takes_hold() {
    let _slot = acquire_slot();
    let fleet = fleet(2, None);
    let mut all: Vec<_> = (0..3).map(|n| fleet.admin_client(2 * n).unwrap()).collect();
    assert_eq!(all[0].put("clinic", &spec(2)).status, 201);
    let mut done = 1;
    for round in 0..8u8 {
        fleet.wait_for_tenants().unwrap();
        let said: Vec<u16> = std::thread::scope(|s| {
            let threads: Vec<_> = all
                .iter_mut()
                .enumerate()
                .map(|(n, a)| {
                    s.spawn(move || a.put("clinic", &spec(10 * (n as u8 + 1) + round)).status)
                })
                .collect();
            threads.into_iter().map(|t| t.join().unwrap()).collect()
        });
        // One that has not begun when another has ended is made on what that left.
        assert!(
            said.iter().all(|s| [200, 409].contains(s)) && said.contains(&200),
            "{said:?}"
        );
        done += said.iter().filter(|s| **s == 200).count();
    }
    assert_settled(&fleet, done);
    let shown: Vec<_> = (0..6)
        .map(|n| fleet.admin_client(n).unwrap().get("clinic").etag)
        .collect();
    assert!(shown.iter().all(|tag| *tag == shown[0]), "{shown:?}");
}

/// A gateway that is cut off says 503 with what to do, and nothing of it holds; meanwhile others change and remove, and it
/// learns of that once it is back. One that the file names stays removed where a process starts on the file anew.
#[test]
fn one_that_is_cut_off_promises_nothing_and_learns_what_it_missed() {
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
        "not heard of yet"
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
    // One that begins and hears nothing goes by its file, which names the removed tenant: it takes none of its calls.
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
    // It takes calls once it has all that its own disk held applied, and not before.
    fleet
        .wait_until("it to take calls", || {
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

/// A third of all frames is lost and the rest late; then all processes are killed at once. What was told done holds.
#[test]
fn lossy_links_and_a_start_of_all_lose_no_change() {
    let _slot = acquire_slot();
    let mut fleet = fleet(4, None);
    fleet.set_all_faults(Faults {
        lost: 30,
        doubled: 3,
        jitter_ms: 20,
        ..Faults::default()
    });
    let mut done = 0;
    for n in 0..18 {
        let said = fleet
            .admin_client(n % 6)
            .unwrap()
            .put(&format!("clinic-{n}"), &spec(n as u8))
            .status;
        assert!([201, 503].contains(&said), "{said}");
        done += usize::from(said == 201);
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

/// Without a majority of the voters nothing is told done, and what stands goes on being used.
#[test]
fn without_a_majority_nothing_is_told_done() {
    let _slot = acquire_slot();
    let fleet = fleet(5, None);
    let mut there = fleet.admin_client(4).unwrap();
    assert_eq!(there.put("clinic", &spec(2)).status, 201);
    fleet.wait_for_tenants().unwrap();
    for n in 0..3 {
        fleet.gateway(n).unwrap().freeze().unwrap();
    }
    assert_eq!(there.put("clinic", &spec(3)).status, 503);
    assert_eq!(fleet.send_as(5, "clinic", &secret(3), "new").unwrap(), 401);
    assert_ne!(fleet.send_as(5, "clinic", &secret(2), "old").unwrap(), 401);
    for n in 0..3 {
        fleet.gateway(n).unwrap().thaw().unwrap();
    }
    fleet.wait_for_tenants().unwrap();
    assert_eq!(fleet.check_tenants().unwrap().1, []);
}

/// With the guard taken out that has a change wait until it is agreed on, one is told done that nobody has, and the checker
/// finds it.
#[test]
fn a_change_that_is_told_done_too_soon_is_found() {
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
        wrong.iter().any(|w| matches!(w, Wrong::Gone { .. })),
        "{wrong:?}"
    );
}
