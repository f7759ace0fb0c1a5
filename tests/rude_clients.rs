//! Clients that disconnect, flood or stall: what they may make the gateway send, keep and delay.
//!
//! Each test is named after the failure that it guards against. Verdicts come from what the worker
//! was sent, from recorded times, and from the process's own memory figures.

mod common;

use std::io::{ErrorKind, Write};
use std::net::SocketAddr;

use common::by_hand::*;
use common::*;

/// The size of one padded call, in bytes.
const PADDED_CALL_BYTES: usize = 1200;
/// Bytes that a client's socket holds before they are sent, far more than the peer's socket takes.
const UNSENT_BYTES: usize = 4 << 20;
/// The id of the call of a client that is still connected.
const SOUND_ID: u64 = 0xffff;

fn serving(worker: &WorkerByHand) -> serde_json::Value {
    endpoint("s-00000001", worker.address(), "SERVING")
}

/// A call padded with a header that the gateway ignores.
fn padded(ask: Ask) -> String {
    let text = ask.text();
    let padding = "p".repeat(PADDED_CALL_BYTES.saturating_sub(text.len() + "X-Pad: \r\n".len()));
    text.replacen(
        "Host: t\r\n",
        &format!("Host: t\r\nX-Pad: {padding}\r\n"),
        1,
    )
}

/// The way a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
}

/// A client sends calls ahead of its first answer and disconnects. Once the first attempt has
/// ended, the next attempt must be that of another client.
fn check_calls_sent_ahead(disconnect: Disconnect, calls_ahead: u64) {
    let worker = WorkerByHand::start();
    let g = Gateway::start_daily(&settings(8000.0), &[serving(&worker)], None);
    let mut client = Client::asks(&g, Ask::safe(1));
    let mut connection = worker.accept();
    assert_eq!(connection.next_attempt().id, Ask::safe(1).id());
    for id in 0..calls_ahead {
        client.send(&padded(Ask::safe(2 + id)));
    }
    match disconnect {
        Disconnect::Close => drop(client),
        Disconnect::Reset => reset(client.stream),
    }
    check_next_attempt_is_of_sound_client(&g, connection);
}

/// Ends the attempt of call 1. The next attempt must be that of a client that is still connected.
fn check_next_attempt_is_of_sound_client(g: &Gateway, mut connection: WorkerConn) {
    let mut sound = Client::asks(g, Ask::safe(SOUND_ID));
    connection.answer(&Ask::safe(1).id(), "200", "remark=w");
    let next = connection.next_attempt().id;
    assert_eq!(
        next,
        Ask::safe(SOUND_ID).id(),
        "a call of a departed client"
    );
    connection.answer(&next, "200", "remark=w");
    assert_eq!(sound.status(), 200);
    assert_eq!(g.figure("upstream_requests"), 2);
}

#[test]
fn close_behind_unread_calls_is_noticed() {
    check_calls_sent_ahead(Disconnect::Close, 60);
}

#[test]
fn reset_behind_unread_calls_is_noticed() {
    check_calls_sent_ahead(Disconnect::Reset, 60);
}

/// The departure is noticed as it happens, and not only once the call's worker answers or its time
/// ends.
#[test]
fn departure_behind_unread_calls_ends_the_open_call() {
    let worker = WorkerByHand::start();
    let longer_than_patience = 2 * PATIENCE.as_millis() as u64;
    let settings = settings(longer_than_patience as f64);
    let g = Gateway::start_daily(&settings, &[serving(&worker)], None);
    let first = Ask {
        wait_ms: longer_than_patience,
        ..Ask::safe(1)
    };
    let mut client = Client::asks(&g, first);
    let mut connection = worker.accept();
    assert_eq!(connection.next_attempt().id, first.id());
    for id in 2..62 {
        client.send(&padded(Ask::safe(id)));
    }
    drop(client);
    until("the departure is noticed", || g.figure("pending") == 0);
    assert_eq!(g.figure("upstream_requests"), 1);
}

/// Where the client has sent more than the sockets hold, its end of stream cannot arrive, so calls
/// so far ahead are rejected. A client that still reads causes no reset either.
#[test]
fn calls_ahead_of_an_end_that_cannot_arrive_are_not_sent() {
    check_end_that_cannot_arrive(|client| {
        let ended = client.stream.shutdown(std::net::Shutdown::Write);
        ended.expect("a socket");
        Some(client)
    });
}

#[test]
fn calls_ahead_of_a_close_that_cannot_arrive_are_not_sent() {
    check_end_that_cannot_arrive(|client| {
        drop(client);
        None
    });
}

/// A client sends more calls ahead than the sockets hold and ends its stream.
fn check_end_that_cannot_arrive(end: impl FnOnce(Client) -> Option<Client>) {
    let worker = WorkerByHand::start();
    let g = Gateway::start_daily(&settings(8000.0), &[serving(&worker)], None);
    let mut client = Client::asks(&g, Ask::safe(1));
    let mut connection = worker.accept();
    assert_eq!(connection.next_attempt().id, Ask::safe(1).id());
    rustix::net::sockopt::set_socket_send_buffer_size(&client.stream, UNSENT_BYTES)
        .expect("an option");
    client.stream.set_nonblocking(true).expect("a socket");
    let mut id = 2;
    // The first write that the sockets cannot hold ends the loop.
    loop {
        match client.stream.write(padded(Ask::safe(id)).as_bytes()) {
            Ok(PADDED_CALL_BYTES) => id += 1,
            Ok(_) => break,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => panic!("{error}"),
        }
    }
    let client = end(client);
    check_next_attempt_is_of_sound_client(&g, connection);
    drop(client);
}

/// Sends an unsafe call, disconnects once the worker has it, and sends the same id again.
fn repeat_after_departure(g: &Gateway, connection: &mut WorkerConn) -> u16 {
    let client = Client::asks(g, Ask::once(1));
    assert_eq!(connection.next_attempt().id, Ask::once(1).id());
    drop(client);
    until("the departure is noticed", || g.figure("pending") == 0);
    connection.answer(&Ask::once(1).id(), "200", "remark=w");
    Client::asks(g, Ask::once(1)).status()
}

#[test]
fn unsafe_id_of_departed_client_does_not_run_again() {
    let worker = WorkerByHand::start();
    let g = Gateway::start_daily(&settings(8000.0), &[serving(&worker)], None);
    let mut client = Client::asks(&g, Ask::safe(SOUND_ID));
    let mut connection = worker.accept();
    assert_eq!(connection.next_attempt().id, Ask::safe(SOUND_ID).id());
    connection.answer(&Ask::safe(SOUND_ID).id(), "200", "remark=w");
    assert_eq!(client.status(), 200);
    assert_eq!(repeat_after_departure(&g, &mut connection), 409);
    assert_eq!(g.figure("upstream_requests"), 2, "attempts in all");
}

/// The first attempt never reached the worker, as it waited for the connection.
#[test]
fn unsafe_id_that_never_ran_is_taken_again() {
    let dials = HeldDials::start();
    let mut settings = settings(8000.0);
    settings["caps"]["connectTimeoutMs"] = serde_json::json!(20_000.0);
    let workers = [endpoint("s-00000001", dials.address(), "SERVING")];
    let g = Gateway::start_daily(&settings, &workers, None);
    let ask = Ask {
        wait_ms: 8000,
        ..Ask::once(1)
    };
    let client = Client::asks(&g, ask);
    until("the attempt waits for the connection", || {
        dials.waiting() == 1
    });
    drop(client);
    until("the departure is noticed", || g.figure("pending") == 0);
    let mut again = Client::asks(&g, ask);
    let mut connection = dials.release().expect("the gateway still waits");
    assert_eq!(connection.next_attempt().id, ask.id());
    connection.answer(&ask.id(), "200", "remark=w");
    assert_eq!(again.status(), 200);
}

/// While the gateway is suspended, a client sends many requests at once. They are handled in turns
/// of a few requests, between which other clients, deadlines and accepts are served.
#[test]
fn flood_on_one_connection_does_not_hold_the_loop() {
    const REQUESTS: usize = 400;
    const REQUESTS_PER_TURN: usize = 8;
    let g = Gateway::start(&settings(2500.0), &[], None, None);
    let mut client = Client::connect(&g);
    g.suspend();
    client.send(&"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n".repeat(REQUESTS));
    g.resume();
    for _ in 0..REQUESTS {
        client.status();
    }
    let turns = g.stop()["client_turns"].as_u64().expect("a number");
    assert!(
        turns >= (REQUESTS / REQUESTS_PER_TURN) as u64 - 1,
        "{REQUESTS} requests in {turns} further turns"
    );
}

/// The smallest limit on memory that a site gives, in MB.
const SMALLEST_MEMORY_MB: u64 = 32;
const BYTES_PER_MB: u64 = 1_000_000;

/// The part of it that a gateway without peers may use, in MB.
const IDLE_MEMORY_MB: u64 = 8;

/// The memory of a gateway that nobody has connected to. A build without optimization has more
/// program text than a site's, so limits are checked by what is added to it.
struct IdleMemory(u64);

impl IdleMemory {
    fn of(g: &Gateway) -> IdleMemory {
        IdleMemory(g.peak_memory())
    }

    /// The process stays below its limit on memory.
    fn check(&self, g: &Gateway) {
        let added = (g.peak_memory() - self.0) / BYTES_PER_MB;
        let allowed = SMALLEST_MEMORY_MB - IDLE_MEMORY_MB;
        println!("{added} MB of {allowed}");
        assert!(added < allowed, "{added} MB of {allowed}");
    }
}

/// Sends calls of ever new functions on one connection, reads the answers, and returns their
/// number.
fn call_new_functions(gateway: SocketAddr, first: u64, calls: u64, wait_ms: u64) -> u64 {
    const CALLS_AT_ONCE: u64 = 64;
    let mut client = Client::connect_to(gateway);
    let mut answers = 0;
    for batch in 0..calls / CALLS_AT_ONCE {
        let ids = (0..CALLS_AT_ONCE).map(|n| first + batch * CALLS_AT_ONCE + n);
        let text: String = ids
            .map(|id| {
                let ask = Ask {
                    function: id,
                    wait_ms,
                    ..Ask::safe(id)
                };
                ask.text()
            })
            .collect();
        client.send(&text);
        for _ in 0..CALLS_AT_ONCE {
            client.status();
            answers += 1;
        }
    }
    answers
}

/// Several clients call ever new functions of a worker that serves every function.
fn check_new_functions(calls: u64, wait_ms: u64) {
    const CLIENTS: u64 = 8;
    let worker = Worker::start();
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let g = Gateway::start_with_memory(&settings(2500.0), &workers, SMALLEST_MEMORY_MB);
    let idle = IdleMemory::of(&g);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let gateway = g.platform;
            scope.spawn(move || {
                let answers = call_new_functions(gateway, client * calls, calls, wait_ms);
                assert_eq!(answers, calls, "every call is answered");
            });
        }
    });
    idle.check(&g);
    let mut sound = Client::asks(&g, Ask::safe(u64::MAX));
    assert_eq!(sound.status(), 200);
}

#[test]
fn calls_of_ever_new_functions_keep_memory_bounded() {
    check_new_functions(8_000, 1);
}

#[test]
fn served_calls_of_ever_new_functions_keep_memory_bounded() {
    check_new_functions(4_096, 2_400);
}

/// A number of clients that could together fill more than the smallest memory.
const CROWD: u64 = 1_400;
/// The largest body of a call.
const LARGEST_BODY_BYTES: usize = 16 * 1024;

/// A call with a body of this size.
fn with_body(ask: Ask, bytes: usize) -> String {
    let text = ask
        .text()
        .replace("Content-Length: 2", &format!("Content-Length: {bytes}"));
    let head = text.strip_suffix("hi").expect("the body");
    format!("{head}{}", "b".repeat(bytes))
}

/// Calls of one client are answered while the crowd holds what it holds.
fn check_sound_client_is_served(g: &Gateway, ids: std::ops::Range<u64>) {
    for id in ids {
        let status = Client::asks(g, Ask::safe(id)).status();
        assert_eq!(status, 200, "a call of a sound client");
    }
}

#[test]
fn crowd_that_stops_half_way_through_bodies_stays_within_memory() {
    let worker = Worker::start();
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let g = Gateway::start_with_memory(&settings(2500.0), &workers, SMALLEST_MEMORY_MB);
    let idle = IdleMemory::of(&g);
    let crowd: Vec<Client> = (0..CROWD)
        .map(|id| {
            let whole = with_body(Ask::safe(id), LARGEST_BODY_BYTES);
            let mut client = Client::connect(&g);
            client.send(&whole[..whole.len() - 1]);
            client
        })
        .collect();
    check_sound_client_is_served(&g, 10_000..10_010);
    idle.check(&g);
    drop(crowd);
}

#[test]
fn crowd_that_waits_for_its_answers_stays_within_memory() {
    let worker = WorkerByHand::start();
    let g = Gateway::start_with_memory(&settings(2500.0), &[serving(&worker)], SMALLEST_MEMORY_MB);
    let idle = IdleMemory::of(&g);
    let mut crowd: Vec<Client> = (0..CROWD)
        .map(|id| {
            let mut client = Client::connect(&g);
            client.send(&with_body(Ask::safe(id), LARGEST_BODY_BYTES).repeat(2));
            client
        })
        .collect();
    for client in &mut crowd {
        let status = client.status();
        assert!(status == 503 || status == 502, "{status}");
    }
    idle.check(&g);
}
