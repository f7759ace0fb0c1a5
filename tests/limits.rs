//! What a gateway does at its limits and at its end.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use common::*;
use rustix::process::Signal;
use serde_json::json;

fn ask(id: u64) -> String {
    format!(
        "POST /call/00000000000000aa/trigger HTTP/1.1\r\nHost: t\r\nX-Class: disponibilidad\r\n\
         X-Org: franq-bajio\r\nX-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 2400\r\nContent-Length: 0\r\n\r\n"
    )
}

fn answer(stream: &mut TcpStream) -> Option<String> {
    let whole = read_message(stream, &mut Vec::new(), http_length)?;
    Some(String::from_utf8_lossy(&whole).into_owned())
}

/// Guards a planned restart: requests and connections keep coming after SIGTERM, and all are answered.
#[test]
fn after_sigterm_all_that_comes_is_answered_and_the_end_is_clean() {
    let worker = Worker::start();
    worker.set(Does::Silent);
    let g = Gateway::start(
        &settings(2500.0),
        &[endpoint("s-00000001", worker.address, "SERVING")],
        None,
        None,
    );
    let mut before = TcpStream::connect(g.platform).unwrap();
    before.write_all(ask(1).as_bytes()).unwrap();
    until("it is out", || worker.gos.lock().unwrap().len() == 1);
    worker.set(Does::Answer);
    g.signal(Signal::TERM);
    let mut after = TcpStream::connect(g.platform).expect("it still listens");
    for id in 2..4 {
        after.write_all(ask(id).as_bytes()).unwrap();
        assert!(answer(&mut after)
            .expect("an answer")
            .starts_with("HTTP/1.1 200"));
    }
    // The first one is never answered by its worker: its time ends, and its answer still comes.
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

/// More clients than there is room for, each with a question; all are answered, as those before them end.
fn all_are_served_in_turn(limits: (usize, usize)) {
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

/// Guards the descriptors: beyond its room a gateway leaves connections in the machine's queue, and takes them
/// once others have ended.
#[test]
fn clients_beyond_the_room_wait_and_are_served_later() {
    all_are_served_in_turn((40, 1024));
}

/// Guards against EMFILE, which leaves the connection in the queue and raises no further event.
#[test]
fn running_out_of_descriptors_is_survived() {
    all_are_served_in_turn((1024, 40));
}

/// Guards the processor's share: a process that has used it up is stopped for a while, and what has come meanwhile is
/// decided on together. A look over all that is held for each of them is what it had no time for.
#[test]
fn calls_that_come_together_are_decided_on_together() {
    let g = Gateway::start(&settings(2500.0), &[], None, None);
    g.signal(Signal::STOP);
    let mut clients: Vec<TcpStream> = (0..150)
        .map(|_| TcpStream::connect(g.platform).unwrap())
        .collect();
    for (id, c) in clients.iter_mut().enumerate() {
        // Hardly any time: none of them is held, so that no round of the held is counted.
        let text = ask(id as u64 + 1).replace("X-Deadline-Ms: 2400", "X-Deadline-Ms: 1");
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
    assert!(settled < 75, "{settled} looks for 150 calls");
}

/// Guards memory: a client that asks and never reads is not read from any further, and served once it reads.
#[test]
fn a_client_that_never_reads_is_held_back() {
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
    assert!(written < 64 << 20, "it stops reading long before this");
    let mut held = Vec::new();
    for _ in 0..written / ping.len() {
        let whole =
            read_message(&mut c, &mut held, http_length).expect("every question is answered");
        assert!(whole.starts_with(b"HTTP/1.1 200"));
    }
}

/// Guards the second answer: a refusal comes at once when the module gives up, and says when to come back.
#[test]
fn what_the_module_gives_up_is_refused_at_once_with_advice() {
    // No worker at all: the module holds the call until its time is nearly out, and then refuses it.
    let g = Gateway::start(&settings(2500.0), &[], None, None);
    let mut c = TcpStream::connect(g.platform).unwrap();
    c.write_all(ask(1).replace("2400", "300").as_bytes())
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
        "by the module, not the core"
    );
}

/// Guards the places: clients that asked once and stay, or say nothing, yield theirs to those that come.
#[test]
fn clients_that_stay_without_a_request_yield_their_places() {
    let g = Gateway::start_with(&settings(2500.0), &[], None, None, (40, 1024));
    let mut stay = Vec::new();
    for n in 0..60 {
        let mut c = TcpStream::connect(g.platform).unwrap();
        if n % 2 == 0 {
            c.write_all(b"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n")
                .unwrap();
            assert!(
                answer(&mut c)
                    .expect("an answer")
                    .starts_with("HTTP/1.1 200"),
                "number {n}"
            );
        }
        stay.push(c);
    }
    let last = stay.last_mut().unwrap();
    last.write_all(b"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n")
        .unwrap();
    assert!(answer(last).expect("an answer").starts_with("HTTP/1.1 200"));
    // The very first was the longest idle, and the last has its place still.
    assert_eq!(stay[0].read(&mut [0; 8]).unwrap(), 0, "it was closed");
    assert!(
        g.stop()["yielded"].as_u64() >= Some(20),
        "not for its idle time alone"
    );
}

/// Guards a reload under load: the gateway lives on, moves to the new board from the version it holds, and
/// answers what was under way; a file that cannot be used changes nothing.
#[test]
fn on_sighup_it_moves_to_the_new_board_and_drops_nothing() {
    let worker = Worker::start();
    worker.set(Does::Silent);
    let boards = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let at = boards.each_ref().map(|b| b.local_addr().unwrap());
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let mut g = Gateway::start(&settings(2500.0), &workers, Some(at[0]), None);
    let poll = |board: &TcpListener| {
        let mut stream = board.accept().unwrap().0;
        let bytes = read_message(&mut stream, &mut Vec::new(), http_length).expect("a poll");
        (stream, String::from_utf8(bytes).unwrap())
    };
    let (mut first, text) = poll(&boards[0]);
    assert!(text.contains("Last-Event-ID: 1\r\n"), "{text}");
    let news = json!({"rev": 2, "pool": {"index": 2, "snapshot": false, "endpoints": [
        endpoint("s-00000002", worker.address, "DRAINING")]}});
    write!(first, "HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: {news}\n\n").unwrap();
    let mut before = TcpStream::connect(g.platform).unwrap();
    before.write_all(ask(1).as_bytes()).unwrap();
    until("it is out", || worker.gos.lock().unwrap().len() == 1);
    worker.set(Does::Answer);

    g.replace_config(|text| text[1..].to_owned());
    g.signal(Signal::HUP);
    g.line("the settings stay as they are");
    g.replace_config(|text| format!("{{{}", text.replace(&at[0].to_string(), &at[1].to_string())));
    g.signal(Signal::HUP);
    let (_second, text) = poll(&boards[1]);
    assert!(text.contains("Last-Event-ID: 2\r\n"), "{text}");
    assert_eq!(first.read(&mut [0; 8]).unwrap(), 0, "the old one is left");

    let mut after = TcpStream::connect(g.platform).unwrap();
    after.write_all(ask(2).as_bytes()).unwrap();
    assert!(answer(&mut after)
        .expect("an answer")
        .starts_with("HTTP/1.1 200"));
    assert!(
        !answer(&mut before)
            .expect("an answer")
            .starts_with("HTTP/1.1 200"),
        "its worker said nothing"
    );
    assert_eq!(g.stop()["left"], 0);
}

/// Guards the one answer: a second call under the identity of an open one is turned away and reaches no worker.
#[test]
fn the_identity_of_an_open_request_is_taken_once() {
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
        .write_all(ask(1).replace("2400", "600").as_bytes())
        .unwrap();
    until("it is out", || worker.gos.lock().unwrap().len() == 1);
    let mut second = TcpStream::connect(g.platform).unwrap();
    second.write_all(ask(1).as_bytes()).unwrap();
    assert!(answer(&mut second)
        .expect("an answer")
        .starts_with("HTTP/1.1 409"));
    assert!(
        answer(&mut first)
            .expect("an answer")
            .starts_with("HTTP/1.1 503"),
        "its own end"
    );
    worker.set(Does::Answer);
    second.write_all(ask(2).as_bytes()).unwrap();
    assert!(
        answer(&mut second)
            .expect("an answer")
            .starts_with("HTTP/1.1 200"),
        "the connection goes on"
    );
    assert_eq!(g.stop()["taken"], 2);
}
