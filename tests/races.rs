//! Events that cross: each test makes one bad order happen every time, between a real gateway and peers that move only
//! when the test lets them. `docs/design/races.md` lists them.
//!
//! A gateway that is frozen (SIGSTOP) finds all that came meanwhile in one turn.

mod common;

use std::net::Shutdown;
use std::time::Duration;

use common::by_hand::*;
use common::*;
use rustix::process::Signal;
use serde_json::{json, Value};

/// A connection that is held is released long before this.
const PATIENT_DIAL_MS: f64 = 20_000.0;

fn patient_settings() -> Value {
    let mut settings = settings(8000.0);
    settings["caps"]["connectTimeoutMs"] = json!(PATIENT_DIAL_MS);
    settings
}

fn serving(name: &str, address: std::net::SocketAddr) -> Value {
    endpoint(name, address, "SERVING")
}

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Goes {
    Closes,
    Resets,
    ShutsItsSide,
}

/// Its attempt waits for a connection that is still coming up; once that has come up, nothing of it may leave.
fn a_client_that_goes_before_its_attempt_begins(goes: Goes, may_cancel: bool) {
    let dials = HeldDials::start();
    let mut settings = patient_settings();
    settings["caps"]["cancel"] = json!(may_cancel);
    let g = Gateway::start_daily(&settings, &[serving("s-00000001", dials.address())], None);
    let client = Client::asks(
        &g,
        Ask {
            wait_ms: 8000,
            ..Ask::once(1)
        },
    );
    until("its attempt waits for the connection", || {
        dials.waiting() == 1
    });
    match goes {
        Goes::Closes => drop(client),
        Goes::Resets => reset(client.stream),
        Goes::ShutsItsSide => client.stream.shutdown(Shutdown::Write).unwrap(),
    }
    until("its going is noticed", || g.figure("pending") == 0);
    let mut second = Client::asks(
        &g,
        Ask {
            wait_ms: 8000,
            ..Ask::once(2)
        },
    );
    let mut worker = dials.release().expect("the gateway still waits");
    let go = worker.next_go();
    assert_eq!(
        go,
        Ask::once(2).id(),
        "{goes:?}: the first call of a client that has gone was sent"
    );
    worker.answer(&go, "200", "remark=w");
    assert_eq!(second.status(), 200);
}

#[test]
fn a_client_closes_before_its_attempt_begins() {
    a_client_that_goes_before_its_attempt_begins(Goes::Closes, true);
}

/// Guards deployments that allow no cancelling: what has not left is no cancelling.
#[test]
fn a_client_closes_before_its_attempt_begins_where_nothing_may_be_cancelled() {
    a_client_that_goes_before_its_attempt_begins(Goes::Closes, false);
}

#[test]
fn a_client_resets_before_its_attempt_begins() {
    a_client_that_goes_before_its_attempt_begins(Goes::Resets, false);
}

/// The protocol tells an end of the client's side from a close nowhere: both count as gone.
#[test]
fn a_client_shuts_its_side_before_its_attempt_begins() {
    a_client_that_goes_before_its_attempt_begins(Goes::ShutsItsSide, false);
}

/// Guards keyed calls: a repeat whose connection comes up after the window would run a second time.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_sent() {
    let first = WorkerByHand::start();
    let second = HeldDials::start();
    let board = BoardByHand::start();
    let mut settings = patient_settings();
    settings["services"][1]["repeat"] = json!("idempotency_key");
    settings["services"][1]["dedupWindowMs"] = json!(1500.0);
    let workers = [serving("s-00000001", first.address())];
    let g = Gateway::start_daily(&settings, &workers, Some(board.address()));
    let mut poll = board.poll();
    let mut client = Client::asks(
        &g,
        Ask {
            wait_ms: 8000,
            ..Ask::once(1)
        },
    );
    let mut worker = first.accept();
    assert_eq!(worker.next_go(), Ask::once(1).id());
    poll.tell(2, &[serving("s-00000002", second.address())]);
    until("the second worker is known", || g.figure("members") == 2);
    // It may have run: from here on a repeat is dropped for so long only.
    worker.reset();
    until("the repeat waits for the connection", || {
        second.waiting() == 1
    });
    assert!(
        client.status() >= 500,
        "it has failed once the window is over"
    );
    let drained = [endpoint("s-00000001", first.address(), "DRAINING")];
    poll.tell(3, &drained);
    let mut after = Client::asks(
        &g,
        Ask {
            wait_ms: 8000,
            function: 0xbb,
            ..Ask::once(2)
        },
    );
    let mut worker = second.release().expect("the gateway still waits");
    let go = worker.next_go();
    assert_eq!(go, Ask::once(2).id(), "the repeat left after its window");
    worker.answer(&go, "200", "remark=w");
    assert_eq!(after.status(), 200);
}

/// Guards the drain rule: a worker may be told to drain while a connection to it is still coming up.
#[test]
fn a_worker_that_drains_while_a_connection_comes_up_is_sent_nothing() {
    let dials = HeldDials::start();
    let other = WorkerByHand::start();
    let board = BoardByHand::start();
    let workers = [serving("s-00000001", dials.address())];
    let g = Gateway::start_daily(&patient_settings(), &workers, Some(board.address()));
    let mut poll = board.poll();
    let mut client = Client::asks(
        &g,
        Ask {
            wait_ms: 8000,
            ..Ask::once(1)
        },
    );
    until("its attempt waits for the connection", || {
        dials.waiting() == 1
    });
    let drains = endpoint("s-00000001", dials.address(), "DRAINING");
    poll.tell(2, &[drains, serving("s-00000002", other.address())]);
    let mut worker = other.accept();
    let go = worker.next_go();
    assert_eq!(go, Ask::once(1).id(), "what had not left goes elsewhere");
    worker.answer(&go, "200", "remark=w");
    assert_eq!(client.status(), 200);
    let heard = dials.release().and_then(|mut worker| worker.next());
    assert_eq!(
        heard, None,
        "the drained worker hears nothing before the connection ends"
    );
}

/// Guards the wait for connections: one that never comes up costs its own time-out, not the calls' time.
#[test]
fn a_connection_that_never_comes_up_holds_no_call_and_gives_its_descriptor_back() {
    let dials = HeldDials::start();
    let other = Worker::start();
    let workers = [
        serving("s-00000001", dials.address()),
        serving("s-00000002", other.address),
    ];
    let g = Gateway::start_daily(&settings(2500.0), &workers, None);
    let before = g.descriptors();
    let mut clients: Vec<Client> = (0..16)
        .map(|n| {
            Client::asks(
                &g,
                Ask {
                    function: n,
                    ..Ask::once(n + 1)
                },
            )
        })
        .collect();
    for client in &mut clients {
        assert_eq!(
            client.status(),
            200,
            "sent on to the worker that can be reached"
        );
    }
    drop(clients);
    // What may stay: a connection to the worker that answers, and one more try of the other.
    until("descriptors come back", || g.descriptors() <= before + 2);
}

/// Guards calls that must not run twice: a second 'missed' that comes late is not the answer to the next attempt.
#[test]
fn a_second_answer_to_the_first_attempt_does_not_end_the_next_one() {
    let by_hand = WorkerByHand::start();
    let g = Gateway::start_daily(
        &settings(8000.0),
        &[serving("s-00000001", by_hand.address())],
        None,
    );
    let mut client = Client::asks(
        &g,
        Ask {
            wait_ms: 8000,
            ..Ask::once(1)
        },
    );
    let mut first = by_hand.accept();
    let id = first.next_go();
    first.answer(&id, "404", "-");
    let order = first.next().expect("an order to load");
    assert_eq!(order.word, "stage");
    first.answer(&order.id, "200", "copies=1");
    // The next attempt is out; now the first answer comes once more.
    assert_eq!(first.next_go(), id);
    first.answer(&id, "404", "-");
    let mut other = Client::asks(
        &g,
        Ask {
            wait_ms: 8000,
            ..Ask::safe(2)
        },
    );
    let go = first.next_go();
    assert_eq!(
        go,
        Ask::safe(2).id(),
        "a third attempt of the first call while the second may run"
    );
    first.answer(&go, "200", "remark=w");
    assert_eq!(other.status(), 200);
    first.answer(&id, "200", "remark=w");
    assert_eq!(client.status(), 200);
}

/// Guards the drain rule in the turn of the decision: an order decided on before the word of the drain was read.
#[test]
fn a_miss_and_the_word_of_a_drain_in_one_turn_order_nothing() {
    let by_hand = WorkerByHand::start();
    let board = BoardByHand::start();
    let g = Gateway::start_daily(
        &settings(2500.0),
        &[serving("s-00000001", by_hand.address())],
        Some(board.address()),
    );
    let mut poll = board.poll();
    let mut client = Client::asks(
        &g,
        Ask {
            wait_ms: 600,
            ..Ask::safe(1)
        },
    );
    let mut worker = by_hand.accept();
    let id = worker.next_go();
    g.freeze();
    worker.answer(&id, "404", "-");
    poll.tell(2, &[endpoint("s-00000001", by_hand.address(), "DRAINING")]);
    g.thaw();
    assert_eq!(client.status(), 503);
    assert_eq!(
        worker.next(),
        None,
        "nothing more before the connection ends"
    );
    assert!(!by_hand.has_another(), "nor on another connection");
}

/// Guards idle connections: a worker closes its side in the turn in which a call comes that must not run twice.
#[test]
fn a_call_and_a_workers_close_in_one_turn_go_on_another_connection() {
    for worker_first in [true, false] {
        let by_hand = WorkerByHand::start();
        let g = Gateway::start(
            &settings(2500.0),
            &[serving("s-00000001", by_hand.address())],
            None,
            None,
        );
        let mut client = Client::asks(&g, Ask::once(1));
        let mut worker = by_hand.accept();
        let id = worker.next_go();
        worker.answer(&id, "200", "remark=w");
        assert_eq!(client.status(), 200);
        g.freeze();
        if worker_first {
            drop(worker);
            client.send(&Ask::once(2).text());
        } else {
            client.send(&Ask::once(2).text());
            drop(worker);
        }
        g.thaw();
        let mut worker = by_hand.accept();
        let id = worker.next_go();
        worker.answer(&id, "200", "remark=w");
        assert_eq!(client.status(), 200);
    }
}

/// Guards the one answer: a worker's answer and the deadline in one turn.
#[test]
fn an_answer_and_the_deadline_in_one_turn_are_one_answer() {
    let by_hand = WorkerByHand::start();
    let g = Gateway::start(
        &settings(2500.0),
        &[serving("s-00000001", by_hand.address())],
        None,
        None,
    );
    let mut client = Client::asks(
        &g,
        Ask {
            wait_ms: 300,
            ..Ask::once(1)
        },
    );
    let mut worker = by_hand.accept();
    let id = worker.next_go();
    g.freeze();
    worker.answer(&id, "200", "remark=w");
    std::thread::sleep(Duration::from_millis(400));
    g.thaw();
    assert_eq!(
        client.status(),
        200,
        "what came before the deadline was noticed counts"
    );
    client.send(&Ask::once(2).text());
    let id = worker.next_go();
    worker.answer(&id, "200", "remark=w");
    assert_eq!(client.status(), 200, "and nothing else came in between");
    let counters = g.stop();
    assert_eq!(
        (&counters["served"], &counters["failed"]),
        (&json!(2), &json!(0))
    );
}

/// A gateway that has been told to end and has heard it.
fn told_to_end(g: &Gateway) {
    g.signal(Signal::TERM);
    until("it ends", || !g.ask(b"readyz\n").starts_with("200"));
}

/// Guards those whom the machine has accepted and the gateway has not: the end of a listener resets them.
#[test]
fn who_waits_to_be_accepted_when_the_listener_ends_is_answered() {
    let worker = Worker::start();
    let g = Gateway::start_daily(
        &settings(2500.0),
        &[serving("s-00000001", worker.address)],
        None,
    );
    told_to_end(&g);
    g.freeze();
    let mut client = Client::asks(&g, Ask::once(1));
    // Stopped past the time at which it closes its listener.
    std::thread::sleep(Duration::from_micros(
        molelug::operations::lifecycle::SHUTDOWN_ACCEPT_WINDOW,
    ));
    g.thaw();
    assert_eq!(client.status(), 200);
    assert_eq!(g.end()["taken"], 1);
}

/// Guards requests under way: half of one has come when the signal comes, and it ends the gateway once it is answered.
#[test]
fn half_a_request_at_sigterm_is_read_to_its_end() {
    let worker = Worker::start();
    let g = Gateway::start_daily(
        &settings(2500.0),
        &[serving("s-00000001", worker.address)],
        None,
    );
    let text = Ask::once(1).text();
    let (head, rest) = text.split_at(40);
    let before = g.descriptors();
    let mut client = Client::connect(&g);
    client.send(head);
    until("it is accepted", || g.descriptors() > before);
    told_to_end(&g);
    // Past the time at which idle connections are closed, and within that of a request that comes by and by.
    std::thread::sleep(Duration::from_micros(
        molelug::operations::lifecycle::SHUTDOWN_ACCEPT_WINDOW + 200_000,
    ));
    client.send(rest);
    assert_eq!(client.status(), 200);
    assert_eq!(g.end()["taken"], 1);
}

/// Guards the order of signals: read anew and ended in one turn, in either order, and told to end twice.
#[test]
fn signals_in_one_turn_end_it_in_order() {
    for signals in [
        [Signal::HUP, Signal::TERM],
        [Signal::TERM, Signal::HUP],
        [Signal::TERM, Signal::INT],
    ] {
        let worker = Worker::start();
        worker.set(Does::Silent);
        let board = BoardByHand::start();
        let workers = [serving("s-00000001", worker.address)];
        let g = Gateway::start(&settings(2500.0), &workers, Some(board.address()), None);
        let _poll = board.poll();
        let mut client = Client::asks(
            &g,
            Ask {
                wait_ms: 1200,
                ..Ask::safe(1)
            },
        );
        until("it is out", || worker.gos.lock().unwrap().len() == 1);
        g.freeze();
        signals.into_iter().for_each(|s| g.signal(s));
        let mut late = Client::asks(
            &g,
            Ask {
                wait_ms: 1200,
                ..Ask::safe(2)
            },
        );
        g.thaw();
        assert_ne!(client.status(), 0, "it is answered");
        assert_ne!(late.status(), 0, "and so is who came with the signals");
        let counters = g.end();
        assert_eq!(
            (&counters["taken"], &counters["left"]),
            (&json!(2), &json!(0))
        );
    }
}

/// Guards the list: a notice spoilt on the way is asked for again, and its number is not believed.
#[test]
fn a_notice_that_cannot_be_read_is_asked_for_again() {
    let worker = Worker::start();
    let board = BoardByHand::start();
    let g = Gateway::start(&settings(2500.0), &[], Some(board.address()), None);
    let mut poll = board.poll();
    assert_eq!(poll.after, 1);
    poll.write("id: 4000000000\ndata: {\"rev\":2,\"pool\":\n\n");
    poll.closed();
    let mut poll = board.poll();
    assert_eq!(poll.after, 1, "the list held is still the first");
    // Spoilt for good: passed over, and the next one counts.
    poll.write("id: 2\ndata: nothing\n\n");
    poll.tell(3, &[serving("s-00000001", worker.address)]);
    let mut client = Client::asks(&g, Ask::once(1));
    assert_eq!(client.status(), 200);
}

/// Guards the list: a watch that is open and silent is dead after a while, and is opened again from the number held.
#[test]
fn a_watch_that_falls_silent_is_opened_again() {
    let worker = Worker::start();
    let board = BoardByHand::start();
    let g = Gateway::start(&settings(2500.0), &[], Some(board.address()), None);
    let mut silent = board.poll();
    silent.tell(2, &[]);
    silent.write(": still here\n\nid: 3\ndata: {\"rev\":3");
    let mut poll = board.poll();
    assert_eq!(poll.after, 2, "what was cut in mid-event did not count");
    silent.closed();
    poll.tell(3, &[serving("s-00000001", worker.address)]);
    let mut client = Client::asks(&g, Ask::once(1));
    assert_eq!(client.status(), 200);
}

/// Guards workers, board and second address against clients that take all the room they may while discovery is down.
#[test]
fn idle_clients_leave_room_for_workers_the_board_and_the_second_address() {
    const DESCRIPTORS: usize = 160;
    const WORKERS: u32 = 90;
    let worker = Worker::start();
    worker.set(Does::Silent);
    let board = BoardByHand::start();
    let port = board.address();
    let workers: Vec<Value> = (1..=WORKERS)
        .map(|n| serving(&format!("s-{n:08x}"), worker.address))
        .collect();
    let variables = [("RELAY_ADMIN_ADDR", "127.0.0.1:0")];
    let limits = (DESCRIPTORS, DESCRIPTORS);
    let g = Gateway::launch(
        &settings(8000.0),
        &workers,
        Some(port),
        None,
        limits,
        &variables,
    );
    // The board says once that the list holds, and then nobody listens there any more.
    let confirmed = board.poll();
    until("the list is confirmed", || {
        g.figure("members_unavailable") == 0
    });
    drop(confirmed);
    drop(board);
    let _idle: Vec<Client> = (0..DESCRIPTORS).map(|_| Client::connect(&g)).collect();
    let calls: Vec<Client> = (0..60)
        .map(|n| {
            Client::asks(
                &g,
                Ask {
                    function: n,
                    wait_ms: 8000,
                    ..Ask::once(n + 1)
                },
            )
        })
        .collect();
    until("all are with workers", || {
        worker.gos.lock().unwrap().len() == 60
    });
    assert!(
        g.ask(b"readyz\n").starts_with("200"),
        "the second address answers"
    );
    let board = std::net::TcpListener::bind(port).expect("the port is free still");
    board.accept().expect("the board is reached again");
    drop(calls);
    let endings = &g.stop()["endings"];
    assert!(
        endings["overflow"].is_null(),
        "no connection to a worker lacked a descriptor: {endings}"
    );
}
