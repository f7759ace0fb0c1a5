//! Race conditions: each test reproduces one problematic order of events between a gateway process
//! and peers that act only on the test's command. `docs/design/races.md` lists them.
//!
//! A gateway that is suspended (SIGSTOP) handles everything that arrived meanwhile in one turn.

mod common;

use std::net::Shutdown;
use std::time::Duration;

use common::by_hand::*;
use common::*;
use rustix::process::Signal;
use serde_json::{json, Value};

/// Connect timeout in milliseconds; the test completes held connections well before it.
const LONG_CONNECT_TIMEOUT_MS: f64 = 20_000.0;

fn long_connect_settings() -> Value {
    let mut settings = settings(8000.0);
    settings["caps"]["connectTimeoutMs"] = json!(LONG_CONNECT_TIMEOUT_MS);
    settings
}

fn serving(name: &str, address: std::net::SocketAddr) -> Value {
    endpoint(name, address, "SERVING")
}

/// The way a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    ShutDownWrite,
}

/// A client disconnects while its attempt waits for a connection to the worker. Once the connection
/// is established, the attempt must not be sent.
fn check_disconnect_before_attempt(disconnect: Disconnect, may_cancel: bool) {
    let dials = HeldDials::start();
    let mut settings = long_connect_settings();
    settings["caps"]["cancel"] = json!(may_cancel);
    let g = Gateway::start_daily(&settings, &[serving("s-00000001", dials.address())], None);
    let client = Client::asks(
        &g,
        Ask {
            wait_ms: 8000,
            ..Ask::once(1)
        },
    );
    until("the attempt waits for the connection", || {
        dials.waiting() == 1
    });
    match disconnect {
        Disconnect::Close => drop(client),
        Disconnect::Reset => reset(client.stream),
        Disconnect::ShutDownWrite => client.stream.shutdown(Shutdown::Write).unwrap(),
    }
    until("the gateway notices the disconnect", || {
        g.figure("pending") == 0
    });
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
        "{disconnect:?}: the call of a disconnected client was sent"
    );
    worker.answer(&go, "200", "remark=w");
    assert_eq!(second.status(), 200);
}

#[test]
fn client_close_before_attempt_sends_nothing() {
    check_disconnect_before_attempt(Disconnect::Close, true);
}

/// Guards deployments without cancellation: dropping an attempt that was not sent cancels nothing.
#[test]
fn client_close_without_cancel_sends_nothing() {
    check_disconnect_before_attempt(Disconnect::Close, false);
}

#[test]
fn client_reset_before_attempt_sends_nothing() {
    check_disconnect_before_attempt(Disconnect::Reset, false);
}

/// The protocol does not distinguish a write shutdown by the client from a close, so both count as
/// a disconnect.
#[test]
fn client_write_shutdown_before_attempt_sends_nothing() {
    check_disconnect_before_attempt(Disconnect::ShutDownWrite, false);
}

/// Guards keyed calls: a retry sent after the deduplication window would run a second time.
#[test]
fn retry_after_dedup_window_is_not_sent() {
    let first = WorkerByHand::start();
    let second = HeldDials::start();
    let board = BoardByHand::start();
    let mut settings = long_connect_settings();
    settings["services"][1]["repeat"] = json!("idempotency_key");
    settings["services"][1]["dedupWindowMs"] = json!(1500.0);
    let workers = [serving("s-00000001", first.address())];
    let g = Gateway::start_daily(&settings, &workers, Some(board.address()));
    let mut poll = board.poll();
    let mut client = Client::asks(
        &g,
        Ask {
            wait_ms: 8000,
            key: Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
            ..Ask::once(1)
        },
    );
    let mut worker = first.accept();
    assert_eq!(worker.next_go(), Ask::once(1).id());
    poll.tell(2, &[serving("s-00000002", second.address())]);
    until("the second worker is known", || g.figure("members") == 2);
    // The attempt may have run: the worker drops retries only until the window ends.
    worker.reset();
    until("the retry waits for the connection", || {
        second.waiting() == 1
    });
    assert!(
        client.status() >= 500,
        "the call fails at the end of the window"
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
    assert_eq!(go, Ask::once(2).id(), "the retry was sent after its window");
    worker.answer(&go, "200", "remark=w");
    assert_eq!(after.status(), 200);
}

/// Guards the drain rule: a worker may start to drain while a connection to it is being
/// established.
#[test]
fn worker_drained_while_connecting_is_sent_nothing() {
    let dials = HeldDials::start();
    let other = WorkerByHand::start();
    let board = BoardByHand::start();
    let workers = [serving("s-00000001", dials.address())];
    let g = Gateway::start_daily(&long_connect_settings(), &workers, Some(board.address()));
    let mut poll = board.poll();
    let mut client = Client::asks(
        &g,
        Ask {
            wait_ms: 8000,
            ..Ask::once(1)
        },
    );
    until("the attempt waits for the connection", || {
        dials.waiting() == 1
    });
    let drains = endpoint("s-00000001", dials.address(), "DRAINING");
    poll.tell(2, &[drains, serving("s-00000002", other.address())]);
    let mut worker = other.accept();
    let go = worker.next_go();
    assert_eq!(
        go,
        Ask::once(1).id(),
        "an attempt that was not sent moves to the other worker"
    );
    worker.answer(&go, "200", "remark=w");
    assert_eq!(client.status(), 200);
    let received = dials.release().and_then(|mut worker| worker.next());
    assert_eq!(
        received, None,
        "the drained worker receives nothing before the connection ends"
    );
}

/// Guards calls that wait for a connection: one that is never established costs its connect
/// timeout, not the calls' deadlines.
#[test]
fn connect_timeout_holds_no_call_and_frees_descriptor() {
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
        assert_eq!(client.status(), 200, "retried on the reachable worker");
    }
    drop(clients);
    // May remain: a connection to the reachable worker and a new connection attempt to the other
    // one.
    until("descriptors are released", || g.descriptors() <= before + 2);
}

/// Guards non-idempotent calls: a late duplicate 404 (function not loaded) is not the reply to the
/// next attempt.
#[test]
fn duplicate_reply_does_not_end_next_attempt() {
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
    let order = first.next().expect("a load order");
    assert_eq!(order.word, "stage");
    first.answer(&order.id, "200", "copies=1");
    // The next attempt is in flight; the first reply arrives once more.
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

/// Guards the drain rule within one turn: a load order decided before the drain event is read must
/// not be sent.
#[test]
fn miss_and_drain_in_one_turn_load_nothing() {
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
    g.suspend();
    worker.answer(&id, "404", "-");
    poll.tell(2, &[endpoint("s-00000001", by_hand.address(), "DRAINING")]);
    g.resume();
    assert_eq!(client.status(), 503);
    assert_eq!(
        worker.next(),
        None,
        "nothing more before the connection ends"
    );
    assert!(
        !by_hand.has_pending_connection(),
        "nor on another connection"
    );
}

/// Guards idle connections: a worker closes its connection in the turn in which a non-idempotent
/// call arrives.
#[test]
fn call_with_worker_close_uses_another_connection() {
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
        g.suspend();
        if worker_first {
            drop(worker);
            client.send(&Ask::once(2).text());
        } else {
            client.send(&Ask::once(2).text());
            drop(worker);
        }
        g.resume();
        let mut worker = by_hand.accept();
        let id = worker.next_go();
        worker.answer(&id, "200", "remark=w");
        assert_eq!(client.status(), 200);
    }
}

/// Guards against a second response: a worker's reply and the deadline fall into one turn.
#[test]
fn reply_and_deadline_in_one_turn_answer_once() {
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
    g.suspend();
    worker.answer(&id, "200", "remark=w");
    std::thread::sleep(Duration::from_millis(400));
    g.resume();
    assert_eq!(
        client.status(),
        200,
        "a reply read before the deadline is noticed counts"
    );
    client.send(&Ask::once(2).text());
    let id = worker.next_go();
    worker.answer(&id, "200", "remark=w");
    assert_eq!(client.status(), 200, "no second response to the first call");
    let counters = g.stop();
    assert_eq!(
        (&counters["served"], &counters["failed"]),
        (&json!(2), &json!(0))
    );
}

/// Sends SIGTERM and waits until the gateway is no longer ready.
fn begin_shutdown(g: &Gateway) {
    g.signal(Signal::TERM);
    until("the shutdown begins", || {
        !g.ask(b"readyz\n").starts_with("200")
    });
}

/// Guards connections in the accept queue: closing the listener would reset them.
#[test]
fn unaccepted_client_is_answered_at_listener_close() {
    let worker = Worker::start();
    let g = Gateway::start_daily(
        &settings(2500.0),
        &[serving("s-00000001", worker.address)],
        None,
    );
    begin_shutdown(&g);
    g.suspend();
    let mut client = Client::asks(&g, Ask::once(1));
    // Suspended past the time at which the gateway closes its listener.
    std::thread::sleep(Duration::from_micros(
        molelug::operations::lifecycle::SHUTDOWN_ACCEPT_WINDOW,
    ));
    g.resume();
    assert_eq!(client.status(), 200);
    assert_eq!(g.end()["taken"], 1);
}

/// Guards partly received requests: the gateway reads and answers one during the shutdown, and
/// exits afterwards.
#[test]
fn partial_request_at_sigterm_is_read_completely() {
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
    until("the connection is accepted", || g.descriptors() > before);
    begin_shutdown(&g);
    // After idle connections are closed, and within the time allowed for a slow request.
    std::thread::sleep(Duration::from_micros(
        molelug::operations::lifecycle::SHUTDOWN_ACCEPT_WINDOW + 200_000,
    ));
    client.send(rest);
    assert_eq!(client.status(), 200);
    assert_eq!(g.end()["taken"], 1);
}

/// Guards the handling of signals in one turn: reload and shutdown in either order, and a double
/// shutdown.
#[test]
fn signals_in_one_turn_shut_down_cleanly() {
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
        until("the attempt is in flight", || {
            worker.gos.lock().unwrap().len() == 1
        });
        g.suspend();
        signals.into_iter().for_each(|s| g.signal(s));
        let mut late = Client::asks(
            &g,
            Ask {
                wait_ms: 1200,
                ..Ask::safe(2)
            },
        );
        g.resume();
        assert_ne!(client.status(), 0, "the client is answered");
        assert_ne!(
            late.status(),
            0,
            "the client that came with the signals is answered"
        );
        let counters = g.end();
        assert_eq!(
            (&counters["taken"], &counters["left"]),
            (&json!(2), &json!(0))
        );
    }
}

/// Guards the endpoint list: the gateway requests an event that arrives malformed again, and
/// ignores its ID.
#[test]
fn malformed_discovery_event_is_requested_again() {
    let worker = Worker::start();
    let board = BoardByHand::start();
    let g = Gateway::start(&settings(2500.0), &[], Some(board.address()), None);
    let mut poll = board.poll();
    assert_eq!(poll.after, 1);
    poll.write("id: 4000000000\ndata: {\"rev\":2,\"pool\":\n\n");
    poll.closed();
    let mut poll = board.poll();
    assert_eq!(poll.after, 1, "the gateway still has the first list");
    // Malformed the second time as well: the event is skipped and the next one is applied.
    poll.write("id: 2\ndata: nothing\n\n");
    poll.tell(3, &[serving("s-00000001", worker.address)]);
    let mut client = Client::asks(&g, Ask::once(1));
    assert_eq!(client.status(), 200);
}

/// Guards the endpoint list: the gateway reopens a watch stream that stays silent, from the
/// revision that it has.
#[test]
fn silent_discovery_stream_is_reopened() {
    let worker = Worker::start();
    let board = BoardByHand::start();
    let g = Gateway::start(&settings(2500.0), &[], Some(board.address()), None);
    let mut silent = board.poll();
    silent.tell(2, &[]);
    silent.write(": still here\n\nid: 3\ndata: {\"rev\":3");
    let mut poll = board.poll();
    assert_eq!(poll.after, 2, "a truncated event is not applied");
    silent.closed();
    poll.tell(3, &[serving("s-00000001", worker.address)]);
    let mut client = Client::asks(&g, Ask::once(1));
    assert_eq!(client.status(), 200);
}

/// Guards the connections to workers, to the board and to the second address against clients that
/// use up their share of descriptors while discovery is down.
#[test]
fn idle_clients_leave_descriptors_for_other_connections() {
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
    // The board confirms the list once and then stops listening.
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
    until("all calls are in flight", || {
        worker.gos.lock().unwrap().len() == 60
    });
    assert!(
        g.ask(b"readyz\n").starts_with("200"),
        "the second address answers"
    );
    let board = std::net::TcpListener::bind(port).expect("the port is still free");
    board.accept().expect("the board is reached again");
    drop(calls);
    let endings = &g.stop()["endings"];
    assert!(
        endings["overflow"].is_null(),
        "no connection to a worker lacked a descriptor: {endings}"
    );
}
