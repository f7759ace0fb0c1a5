//! Tenants changed at any gateway of a fleet, as real processes: machines are lost with their disks, and links fail.

use std::path::PathBuf;
use std::sync::Mutex;

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::fakes::{secret, secret_text};
use molelug_testbed::fault_injection::fleet::{Fleet, Shape};
use molelug_testbed::fault_proxy::Faults;
use molelug_testbed::history::tenants::Wrong;
use serde_json::json;

/// One fleet at a time: more would only wait for the machine.
static PLACE: Mutex<()> = Mutex::new(());

fn fleet(seed: u64, without: Option<&str>) -> Fleet {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    let shape = Shape {
        administered: true,
        without: without.map(Into::into),
        ..Shape::default()
    };
    let fleet = Fleet::start(shape, seed).unwrap();
    fleet.whole().unwrap();
    fleet
}

fn spec(n: u8) -> serde_json::Value {
    json!({ "share_per_s": 5.0, "portal": "http://127.0.0.1:9/in", "secrets": [secret_text(n)] })
}

fn alone() -> std::sync::MutexGuard<'static, ()> {
    PLACE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn holds(fleet: &Fleet, told: usize) {
    fleet.tenants_settle().unwrap();
    let (changes, wrong) = fleet.judge_tenants().unwrap();
    assert_eq!(wrong, []);
    assert_eq!(changes, told);
}

/// A tenant is made at one gateway and its secret rotated; the machine that said so is lost at once, with its disk and seat.
/// All others know both, calls of the tenant are taken anywhere, and the request given again gets the same answer.
#[test]
fn a_change_outlives_the_machine_that_said_it_is_done() {
    let _place = alone();
    let mut fleet = fleet(1, None);
    let mut there = fleet.administrator(1).unwrap();
    assert_eq!(there.put("clinic", &spec(2)).status, 201);
    let rotation = json!({ "secret": secret_text(3) }).to_string();
    let first = there.ask(
        "POST",
        "clinic/secrets",
        "Idempotency-Key: once\r\n",
        &rotation,
    );
    assert_eq!(first.status, 200, "{first:?}");
    fleet.lose(1).unwrap();
    fleet.tenants_settle().unwrap();
    for n in [0, 2, 3, 4, 5] {
        let mut here = fleet.administrator(n).unwrap();
        let shown = here.get("clinic");
        assert_eq!(
            (shown.status, &shown.body, &shown.tag),
            (200, &first.body, &first.tag),
            "at {n}"
        );
        let again = here.ask(
            "POST",
            "clinic/secrets",
            "Idempotency-Key: once\r\n",
            &rotation,
        );
        assert_eq!(again, first, "at {n}");
        let other = here.ask(
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
                .call_of(n, "clinic", &secret(2), &format!("old-{n}"))
                .unwrap(),
            401
        );
        fleet.whole().unwrap();
        assert_eq!(
            fleet
                .call_of(n, "clinic", &secret(3), &format!("new-{n}"))
                .unwrap(),
            202
        );
    }
    // The machine comes back empty, and learns what it had said itself.
    fleet.run(1).unwrap();
    holds(&fleet, 2);
    assert_eq!(
        fleet.administrator(1).unwrap().get("clinic").body,
        first.body
    );
}

/// The same tenant is changed at three gateways at once, again and again: of each three one takes hold, and all agree which.
#[test]
fn of_changes_at_once_one_takes_hold() {
    let _place = alone();
    let fleet = fleet(2, None);
    let mut all: Vec<_> = (0..3)
        .map(|n| fleet.administrator(2 * n).unwrap())
        .collect();
    assert_eq!(all[0].put("clinic", &spec(2)).status, 201);
    let mut done = 1;
    for round in 0..8u8 {
        fleet.tenants_settle().unwrap();
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
    holds(&fleet, done);
    let shown: Vec<_> = (0..6)
        .map(|n| fleet.administrator(n).unwrap().get("clinic").tag)
        .collect();
    assert!(shown.iter().all(|tag| *tag == shown[0]), "{shown:?}");
}

/// A gateway that is cut off says 503 with what to do, and nothing of it holds; meanwhile others change and remove, and it
/// learns of that once it is back. One that the file names stays removed where a process starts on the file anew.
#[test]
fn one_that_is_cut_off_promises_nothing_and_learns_what_it_missed() {
    let _place = alone();
    let mut fleet = fleet(3, None);
    let cut = Faults {
        cut: true,
        ..Faults::default()
    };
    fleet.around(5, cut, cut);
    let refused = fleet.administrator(5).unwrap().put("lonely", &spec(2));
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.body["remedy"]
            .as_str()
            .unwrap()
            .contains("majority"),
        "{refused:?}"
    );
    let mut there = fleet.administrator(0).unwrap();
    assert_eq!(there.put("clinic", &spec(3)).status, 201);
    assert_eq!(there.ask("DELETE", "franq-bajio", "", "").status, 204);
    assert_eq!(
        fleet.administrator(5).unwrap().get("franq-bajio").status,
        200,
        "not heard of yet"
    );
    fleet.around(5, Faults::default(), Faults::default());
    holds(&fleet, 2);
    for n in [5, 3] {
        assert_eq!(
            fleet.administrator(n).unwrap().get("franq-bajio").status,
            404,
            "at {n}"
        );
        assert_eq!(
            fleet.administrator(n).unwrap().get("clinic").status,
            200,
            "at {n}"
        );
    }
    // One that begins and hears nothing goes by its file, which names the removed tenant: it takes none of its calls.
    fleet.kill(3).unwrap();
    fleet.around(3, cut, cut);
    fleet.run(3).unwrap();
    assert_eq!(
        fleet.administrator(3).unwrap().get("franq-bajio").status,
        503
    );
    assert_eq!(
        fleet.call_of(3, "franq-bajio", &secret(1), "late").unwrap(),
        503
    );
    fleet.around(3, Faults::default(), Faults::default());
    holds(&fleet, 2);
    // It takes calls once it has all that its own disk held applied, and not before.
    fleet
        .await_that("it to take calls", || {
            fleet
                .call_of(3, "franq-bajio", &secret(1), "later")
                .unwrap()
                != 503
        })
        .unwrap();
    assert_eq!(
        fleet
            .call_of(3, "franq-bajio", &secret(1), "later")
            .unwrap(),
        401
    );
    assert_eq!(
        fleet.administrator(3).unwrap().get("franq-bajio").status,
        404,
        "after a start on the file"
    );
    assert_eq!(fleet.administrator(3).unwrap().get("lonely").status, 404);
}

/// A third of all frames is lost and the rest late; then all processes are killed at once. What was told done holds.
#[test]
fn lossy_links_and_a_start_of_all_lose_no_change() {
    let _place = alone();
    let mut fleet = fleet(4, None);
    fleet.everywhere(Faults {
        lost: 30,
        doubled: 3,
        jitter_ms: 20,
        ..Faults::default()
    });
    let mut done = 0;
    for n in 0..18 {
        let said = fleet
            .administrator(n % 6)
            .unwrap()
            .put(&format!("clinic-{n}"), &spec(n as u8))
            .status;
        assert!([201, 503].contains(&said), "{said}");
        done += usize::from(said == 201);
    }
    fleet.everywhere(Faults::default());
    assert!(done > 0);
    for n in 0..6 {
        fleet.kill(n).unwrap();
    }
    for n in 0..6 {
        fleet.run(n).unwrap();
    }
    holds(&fleet, done);
}

/// Without a majority of the voters nothing is told done, and what stands goes on being used.
#[test]
fn without_a_majority_nothing_is_told_done() {
    let _place = alone();
    let fleet = fleet(5, None);
    let mut there = fleet.administrator(4).unwrap();
    assert_eq!(there.put("clinic", &spec(2)).status, 201);
    fleet.tenants_settle().unwrap();
    for n in 0..3 {
        fleet.gateway(n).unwrap().freeze().unwrap();
    }
    assert_eq!(there.put("clinic", &spec(3)).status, 503);
    assert_eq!(fleet.call_of(5, "clinic", &secret(3), "new").unwrap(), 401);
    assert_ne!(fleet.call_of(5, "clinic", &secret(2), "old").unwrap(), 401);
    for n in 0..3 {
        fleet.gateway(n).unwrap().thaw().unwrap();
    }
    fleet.tenants_settle().unwrap();
    assert_eq!(fleet.judge_tenants().unwrap().1, []);
}

/// With the guard taken out that has a change wait until it is agreed on, one is told done that nobody has, and the checker
/// finds it.
#[test]
fn a_change_that_is_told_done_too_soon_is_found() {
    let _place = alone();
    let mut fleet = fleet(6, Some("agreed"));
    let cut = Faults {
        cut: true,
        ..Faults::default()
    };
    fleet.around(5, cut, Faults::default());
    assert_eq!(
        fleet
            .administrator(5)
            .unwrap()
            .put("clinic", &spec(2))
            .status,
        201
    );
    fleet.lose(5).unwrap();
    let (_, wrong) = fleet.judge_tenants().unwrap();
    assert!(
        wrong.iter().any(|w| matches!(w, Wrong::Gone { .. })),
        "{wrong:?}"
    );
}
