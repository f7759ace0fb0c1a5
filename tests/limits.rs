//! A gateway at its resource limits, during a reload and during shutdown.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use common::*;
use rustix::process::Signal;
use serde_json::json;

fn call(id: u64) -> String {
    format!(
        "POST /call/00000000000000aa/trigger HTTP/1.1\r\nHost: t\r\nX-Class: disponibilidad\r\n\
         X-Org: franq-bajio\r\nX-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 2400\r\nContent-Length: 0\r\n\r\n"
    )
}

fn answer(stream: &mut TcpStream) -> Option<String> {
    let whole = read_message(stream, &mut Vec::new(), http_length)?;
    Some(String::from_utf8_lossy(&whole).into_owned())
}

/// Guards a planned restart: requests and connections that arrive after SIGTERM are still answered.
#[test]
fn requests_after_sigterm_are_answered_before_exit() {
    let worker = Worker::start();
    worker.set(Does::Silent);
    let g = Gateway::start(
        &settings(2500.0),
        &[endpoint("s-00000001", worker.address, "SERVING")],
        None,
        None,
    );
    let mut before = TcpStream::connect(g.platform).unwrap();
    before.write_all(call(1).as_bytes()).unwrap();
    until("the call is sent", || worker.gos.lock().unwrap().len() == 1);
    worker.set(Does::Answer);
    g.signal(Signal::TERM);
    let mut after = TcpStream::connect(g.platform).expect("the gateway still listens");
    for id in 2..4 {
        after.write_all(call(id).as_bytes()).unwrap();
        assert!(answer(&mut after)
            .expect("an answer")
            .starts_with("HTTP/1.1 200"));
    }
    // The worker never answers the first request. The client gets an answer at its deadline.
    let last = answer(&mut before).expect("an answer");
    assert!(
        !last.starts_with("HTTP/1.1 200") && last.contains("Connection: close"),
        "{last}"
    );
    let counters = g.end();
    assert_eq!(
        (&counters["taken"], &counters["served"], &counters["left"]),
        (&json!(3), &json!(2), &json!(0))
    );
}

/// Connects more clients than the limits allow, each with a request. All are answered as earlier
/// connections end.
fn assert_excess_clients_are_served(limits: (usize, usize)) {
    let g = Gateway::start_with(&settings(2500.0), &[], None, None, limits);
    let mut clients: Vec<TcpStream> = (0..60)
        .map(|_| TcpStream::connect(g.platform).unwrap())
        .collect();
    for c in &mut clients {
        c.write_all(b"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n")
            .unwrap();
    }
    for mut c in clients {
        assert!(answer(&mut c)
            .expect("an answer")
            .starts_with("HTTP/1.1 200"));
    }
    assert_eq!(g.stop()["accepted"], 60);
}

/// Guards the file descriptors: at its connection limit a gateway leaves new connections in the
/// listen backlog and accepts them once others have ended.
#[test]
fn clients_beyond_the_limit_wait_and_are_served() {
    assert_excess_clients_are_served((40, 1024));
}

/// Guards against EMFILE, which leaves the connection in the listen backlog and raises no further
/// event.
#[test]
fn running_out_of_descriptors_is_survived() {
    assert_excess_clients_are_served((1024, 40));
}

/// Guards processor time: a process that has used up its CPU quota is stopped for a while, and the
/// calls that arrive meanwhile must be decided on as a batch. There is no time for a scan of the
/// queue for each call.
#[test]
fn calls_that_arrive_together_form_one_batch() {
    let g = Gateway::start(&settings(2500.0), &[], None, None);
    g.signal(Signal::STOP);
    let mut clients: Vec<TcpStream> = (0..150)
        .map(|_| TcpStream::connect(g.platform).unwrap())
        .collect();
    for (id, c) in clients.iter_mut().enumerate() {
        // With so short a deadline no call is queued, so that the counter excludes scans of the
        // queue.
        let text = call(id as u64 + 1).replace("X-Deadline-Ms: 2400", "X-Deadline-Ms: 1");
        c.write_all(text.as_bytes()).unwrap();
    }
    g.signal(Signal::CONT);
    for mut c in clients {
        assert!(answer(&mut c)
            .expect("an answer")
            .starts_with("HTTP/1.1 503"));
    }
    let counters = g.stop();
    assert_eq!(counters["taken"], 150);
    let settled = counters["settled"].as_u64().unwrap();
    assert!(settled < 75, "{settled} decision rounds for 150 calls");
}

/// Guards memory: the gateway stops reading from a client that sends requests and reads no answers,
/// and answers all of them once the client reads.
#[test]
fn a_client_that_never_reads_gets_back_pressure() {
    let g = Gateway::start(&settings(2500.0), &[], None, None);
    let mut c = TcpStream::connect(g.platform).unwrap();
    let ping = b"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n";
    let pings = ping.repeat(2_000);
    c.set_write_timeout(Some(std::time::Duration::from_millis(700)))
        .unwrap();
    let mut written = 0;
    while written < 64 << 20 {
        match c.write(&pings[written % ping.len()..]) {
            Ok(n) => written += n,
            Err(_) => break,
        }
    }
    assert!(
        written < 64 << 20,
        "the gateway stops reading long before 64 MiB"
    );
    let mut buffer = Vec::new();
    for _ in 0..written / ping.len() {
        let whole =
            read_message(&mut c, &mut buffer, http_length).expect("every request is answered");
        assert!(whole.starts_with(b"HTTP/1.1 200"));
    }
}

/// Guards the answer to a request that the decision module gives up: it comes at once and has a
/// Retry-After header.
#[test]
fn a_rejected_request_is_answered_with_retry_after() {
    // Without a worker the module queues the call until shortly before its deadline and then
    // rejects it.
    let g = Gateway::start(&settings(2500.0), &[], None, None);
    let mut c = TcpStream::connect(g.platform).unwrap();
    c.write_all(call(1).replace("2400", "300").as_bytes())
        .unwrap();
    let text = answer(&mut c).expect("an answer");
    assert!(
        text.starts_with("HTTP/1.1 503") && text.contains("Retry-After: "),
        "{text}"
    );
    let counters = g.stop();
    assert_eq!(
        (&counters["refused"], &counters["overdue"]),
        (&json!(1), &json!(0)),
        "the module rejects the call, not the core"
    );
}

/// Guards the connection limit: connections without an open request are closed for new clients.
#[test]
fn idle_connections_are_closed_for_new_clients() {
    let g = Gateway::start_with(&settings(2500.0), &[], None, None, (40, 1024));
    let mut clients = Vec::new();
    for n in 0..60 {
        let mut c = TcpStream::connect(g.platform).unwrap();
        if n % 2 == 0 {
            c.write_all(b"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n")
                .unwrap();
            assert!(
                answer(&mut c)
                    .expect("an answer")
                    .starts_with("HTTP/1.1 200"),
                "client {n}"
            );
        }
        clients.push(c);
    }
    let last = clients.last_mut().unwrap();
    last.write_all(b"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n")
        .unwrap();
    assert!(answer(last).expect("an answer").starts_with("HTTP/1.1 200"));
    // The first connection was idle for longest and is closed. The last one is still open.
    assert_eq!(
        clients[0].read(&mut [0; 8]).unwrap(),
        0,
        "the first connection is closed"
    );
    assert!(
        g.stop()["yielded"].as_u64() >= Some(20),
        "connections are closed before their idle timeout"
    );
}

/// Guards a reload under load: the gateway keeps running, subscribes to the new discovery server
/// from its current revision, and answers requests in flight. An invalid file changes nothing.
#[test]
fn sighup_changes_the_discovery_server_and_drops_nothing() {
    let worker = Worker::start();
    worker.set(Does::Silent);
    let boards = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let addresses = boards.each_ref().map(|b| b.local_addr().unwrap());
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let mut g = Gateway::start(&settings(2500.0), &workers, Some(addresses[0]), None);
    let poll = |board: &TcpListener| {
        let mut stream = board.accept().unwrap().0;
        let bytes = read_message(&mut stream, &mut Vec::new(), http_length).expect("a poll");
        (stream, String::from_utf8(bytes).unwrap())
    };
    let (mut first, text) = poll(&boards[0]);
    assert!(text.contains("Last-Event-ID: 1\r\n"), "{text}");
    let update = json!({"rev": 2, "pool": {"index": 2, "snapshot": false, "endpoints": [
        endpoint("s-00000002", worker.address, "DRAINING")]}});
    write!(first, "HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: {update}\n\n").unwrap();
    let mut before = TcpStream::connect(g.platform).unwrap();
    before.write_all(call(1).as_bytes()).unwrap();
    until("the call is sent", || worker.gos.lock().unwrap().len() == 1);
    worker.set(Does::Answer);

    g.replace_config(|text| text[1..].to_owned());
    g.signal(Signal::HUP);
    g.line("the settings stay as they are");
    g.replace_config(|text| {
        format!(
            "{{{}",
            text.replace(&addresses[0].to_string(), &addresses[1].to_string())
        )
    });
    g.signal(Signal::HUP);
    let (_second, text) = poll(&boards[1]);
    assert!(text.contains("Last-Event-ID: 2\r\n"), "{text}");
    assert_eq!(
        first.read(&mut [0; 8]).unwrap(),
        0,
        "the stream of the old server is closed"
    );

    let mut after = TcpStream::connect(g.platform).unwrap();
    after.write_all(call(2).as_bytes()).unwrap();
    assert!(answer(&mut after)
        .expect("an answer")
        .starts_with("HTTP/1.1 200"));
    assert!(
        !answer(&mut before)
            .expect("an answer")
            .starts_with("HTTP/1.1 200"),
        "the worker never answered"
    );
    assert_eq!(g.stop()["left"], 0);
}

/// Guards the single answer: a second call with the correlation id of an open request is rejected
/// and reaches no worker.
#[test]
fn an_open_requests_correlation_id_cannot_be_reused() {
    let worker = Worker::start();
    worker.set(Does::Silent);
    let g = Gateway::start(
        &settings(2500.0),
        &[endpoint("s-00000001", worker.address, "SERVING")],
        None,
        None,
    );
    let mut first = TcpStream::connect(g.platform).unwrap();
    first
        .write_all(call(1).replace("2400", "600").as_bytes())
        .unwrap();
    until("the call is sent", || worker.gos.lock().unwrap().len() == 1);
    let mut second = TcpStream::connect(g.platform).unwrap();
    second.write_all(call(1).as_bytes()).unwrap();
    assert!(answer(&mut second)
        .expect("an answer")
        .starts_with("HTTP/1.1 409"));
    assert!(
        answer(&mut first)
            .expect("an answer")
            .starts_with("HTTP/1.1 503"),
        "the first call ends at its own deadline"
    );
    worker.set(Does::Answer);
    second.write_all(call(2).as_bytes()).unwrap();
    assert!(
        answer(&mut second)
            .expect("an answer")
            .starts_with("HTTP/1.1 200"),
        "the connection stays open"
    );
    assert_eq!(g.stop()["taken"], 2);
}
