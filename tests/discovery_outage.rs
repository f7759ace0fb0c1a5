//! Orders of events around an outage of service discovery. A real gateway runs against peers that
//! act only when the test tells them to, so that each order is deterministic. The testbed has long
//! runs with many workers (`soak outage`).

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use common::by_hand::*;
use common::*;
use rustix::process::Signal;
use serde_json::{json, Value};

/// A connect timeout that is much longer than any connection is held back.
const CONNECT_TIMEOUT_MS: f64 = 20_000.0;

fn with_checks(allowed: bool) -> Value {
    let mut settings = settings(12_000.0);
    settings["caps"]["probes"] = json!(allowed);
    settings["caps"]["connectTimeoutMs"] = json!(CONNECT_TIMEOUT_MS);
    settings
}

fn serving(name: &str, address: std::net::SocketAddr) -> Value {
    endpoint(name, address, "SERVING")
}

fn ask(id: u64, wait_ms: u64) -> Ask {
    Ask {
        wait_ms,
        ..Ask::safe(id)
    }
}

/// Returns the rest of the line that begins with `key` in the operator console's evidence report.
fn evidence(g: &Gateway, key: &str) -> String {
    let report = g.ask(b"evidence\n");
    let line = report.lines().find_map(|line| line.strip_prefix(key));
    line.unwrap_or_else(|| panic!("no {key} in {report}"))
        .trim()
        .to_owned()
}

/// Guards the check of the evidence when bytes are sent. It was valid when the attempt was decided
/// on, and expires while the attempt waits for a connection.
#[test]
fn attempt_awaiting_connect_is_withdrawn_when_evidence_expires() {
    let dials = HeldDials::start();
    let board = BoardByHand::start();
    let workers = [serving("s-00000001", dials.address())];
    let g = Gateway::start_daily(&with_checks(false), &workers, Some(board.address()));
    let poll = board.poll();
    let mut client = Client::asks(&g, ask(1, 11_000));
    until("the attempt waits for its connection", || {
        dials.waiting() == 1
    });
    assert_eq!(
        evidence(&g, "workers_suspended"),
        "0",
        "the attempt was decided on while there was evidence"
    );
    // Discovery sends nothing from here on.
    until("the evidence has expired", || {
        evidence(&g, "workers_suspended") == "1"
    });
    let released = dials.release();
    assert_eq!(client.status(), 503, "the call is rejected at its deadline");
    assert_eq!(g.figure("upstream_requests"), 0);
    g.stop();
    let heard = released.and_then(|mut worker| worker.next());
    assert_eq!(heard, None, "nothing of the attempt was sent");
    drop(poll);
}

/// Guards startup: a worker list from a file has no known age and is no evidence.
#[test]
fn start_in_an_outage_sends_nothing_before_confirmation() {
    let worker = Worker::start();
    let board = BoardByHand::start();
    let workers = [serving("s-00000001", worker.address)];
    let g = Gateway::start_daily(&with_checks(false), &workers, Some(board.address()));
    let mut early = Client::asks(&g, ask(1, 700));
    assert_eq!(
        early.status(),
        503,
        "the call waits, and is rejected before its deadline"
    );
    assert!(worker.gos.lock().unwrap().is_empty());
    let mut late = Client::asks(&g, ask(2, 11_000));
    let _poll = board.poll();
    assert_eq!(
        late.status(),
        200,
        "the call is served with the first evidence"
    );
}

/// Guards startup where health checks are allowed: a check is sent before the call.
#[test]
fn start_in_an_outage_checks_workers_before_sending() {
    let worker = WorkerByHand::start();
    let board = BoardByHand::start();
    let workers = [serving("s-00000001", worker.address())];
    let g = Gateway::start_daily(&with_checks(true), &workers, Some(board.address()));
    let mut client = Client::asks(&g, ask(1, 11_000));
    let mut connection = worker.accept();
    let check = connection.next().expect("a check comes");
    assert_eq!(check.word, "stat");
    connection.answer(&check.id, "dead", "-");
    let check = connection.next().expect("the worker is checked again");
    assert_eq!(
        check.word, "stat",
        "a worker that answered dead gets no call"
    );
    connection.answer(&check.id, "alive", "-");
    // The worker's process may be new, and discovery may not have reported its start yet. More
    // checks come before the call.
    let go = loop {
        let command = connection.next().expect("another command comes");
        match command.word.as_str() {
            "stat" => connection.answer(&command.id, "alive", "-"),
            _ => break command,
        }
    };
    assert!(["go", "stage"].contains(&go.word.as_str()), "{go:?}");
    let answer = if go.word == "go" {
        "remark=w"
    } else {
        "copies=1"
    };
    connection.answer(&go.id, "200", answer);
    if go.word == "stage" {
        let go = connection.next_go();
        connection.answer(&go, "200", "remark=w");
    }
    assert_eq!(client.status(), 200);
}

/// Guards a new stream: its first comment comes before the updates that were missed.
#[test]
fn missed_updates_are_applied_before_anything_is_sent() {
    let drained = Worker::start();
    let board = BoardByHand::start();
    let workers = [serving("s-00000001", drained.address)];
    let g = Gateway::start_daily(&with_checks(false), &workers, Some(board.address()));
    let mut client = Client::asks(&g, ask(1, 1_500));
    let mut poll = board.poll();
    poll.tell(2, &[endpoint("s-00000001", drained.address, "DRAINING")]);
    assert_eq!(client.status(), 503);
    assert!(drained.gos.lock().unwrap().is_empty());
}

/// Guards against evidence from an incomplete event, whose content is unknown.
#[test]
fn stream_that_stops_inside_an_event_confirms_nothing() {
    let worker = Worker::start();
    let board = BoardByHand::start();
    let workers = [serving("s-00000001", worker.address)];
    let g = Gateway::start_daily(&with_checks(false), &workers, Some(board.address()));
    let mut poll = board.poll();
    poll.write("id: 2\ndata: {\"rev\":2,\"po");
    let mut client = Client::asks(&g, ask(1, 1_500));
    assert_eq!(client.status(), 503);
    assert!(worker.gos.lock().unwrap().is_empty());
}

/// Guards a change of the discovery address during an outage: the new server confirms the expired
/// list.
#[test]
fn moved_discovery_confirms_the_list_in_an_outage() {
    let worker = Worker::start();
    let (old, new) = (BoardByHand::start(), BoardByHand::start());
    let workers = [serving("s-00000001", worker.address)];
    let g = Gateway::start_daily(&with_checks(false), &workers, Some(old.address()));
    until("discovery is lost", || {
        evidence(&g, "discovery_lost") == "true"
    });
    let (from, to) = (old.address().to_string(), new.address().to_string());
    g.replace_config(|text| text.replace(&from, &to));
    g.signal(Signal::HUP);
    let mut client = Client::asks(&g, ask(1, 11_000));
    let _poll = new.poll();
    assert_eq!(client.status(), 200);
    assert_eq!(evidence(&g, "discovery_lost"), "false");
    assert!(evidence(&g, "worker s-00000001").ends_with("used"));
}

/// Guards a worker against a flood of load orders that it rejects: further orders back off.
#[test]
fn rejected_load_order_is_not_repeated_at_once() {
    let worker = WorkerByHand::start();
    let workers = [serving("s-00000001", worker.address())];
    let g = Gateway::start_daily(&with_checks(false), &workers, None);
    let mut client = Client::asks(&g, ask(1, 3_000));
    let mut connection = worker.accept();
    let orders = Arc::new(AtomicUsize::new(0));
    let counted = orders.clone();
    std::thread::spawn(move || {
        while let Some(command) = connection.next() {
            if command.word == "stage" {
                counted.fetch_add(1, Ordering::SeqCst);
            }
            let answer = if command.word == "go" { "404" } else { "503" };
            connection.answer(&command.id, answer, "copies=0");
        }
    });
    assert_eq!(client.status(), 503);
    let orders = orders.load(Ordering::SeqCst);
    assert!((1..=12).contains(&orders), "{orders} orders in 3 s");
}
