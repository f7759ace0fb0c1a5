//! Day-to-day running, on sockets: the second address byte by byte, bans, and emptying a gateway.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;

use common::*;

fn call(function: u64, id: u64) -> String {
    format!(
        "POST /call/{function:016x}/trigger HTTP/1.1\r\nHost: t\r\nX-Class: disponibilidad\r\n\
         X-Org: franq-bajio\r\nX-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 2400\r\nContent-Length: 0\r\n\r\n"
    )
}

fn answer(stream: &mut TcpStream) -> Option<String> {
    let whole = read_message(stream, &mut Vec::new(), http_length)?;
    Some(String::from_utf8_lossy(&whole).into_owned())
}

fn ended(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    matches!(stream.read(&mut [0; 64]), Ok(0))
}

/// Every line gets one answer and a close; what is no line gets a close alone.
#[test]
fn the_second_address_answers_line_by_line() {
    let worker = Worker::start();
    let g = Gateway::start_daily(
        &settings(2500.0),
        &[endpoint("s-00000001", worker.address, "SERVING")],
        None,
    );
    let mut all = String::new();
    for bytes in [
        &b"readyz\n"[..],
        b"readyz\r\n",
        b"readyz now\n",
        b"telemetry\n",
        b"include s-00000001\n",
        b"exclude s-00000001\n",
        b"exclude s-00000001\n",
        b"include s-00000001\n",
        b"exclude s-00000002\n",
        b"include s-00000002\n",
        b"exclude\n",
        b"evacuate\n",
        b"readyz\n",
        b"evacuate\n",
        b"activate\n",
        b"activate\n",
        b"readyz\n",
        b"shutdown\n",
        b"\n",
        b"\xff\xfe\n",
        b"readyz",
        b"",
    ] {
        all += &format!("> {}\n{}\n", bytes.escape_ascii(), g.ask(bytes));
    }
    let long = g.ask(&[b'a'; 400]);
    all += &format!("> a * 400\n{long}");
    insta::assert_snapshot!("second_address", all);
}

/// Guards the second address against callers that say nothing: they fill its places and the longest silent one
/// yields.
#[test]
fn silent_callers_do_not_fill_the_second_address() {
    let g = Gateway::start_daily(&settings(2500.0), &[], None);
    let connect = || TcpStream::connect(g.line.unwrap()).unwrap();
    let mut silent: Vec<TcpStream> = (0..40).map(|_| connect()).collect();
    let _ = silent[39].write_all(b"read");
    for _ in 0..20 {
        assert_eq!(g.ask(b"readyz\n"), "200 ready\n");
    }
    // All forty had been accepted before the calls were answered; descriptors tell how many are still held.
    let held = std::fs::read_dir(format!("/proc/{}/fd", g.pid()))
        .unwrap()
        .count();
    assert!(held < 40, "{held} descriptors");
    assert!(ended(&mut silent[0]), "the first of them was let go");
}

/// Guards it against clients that hold every place and against the machine's own limit of descriptors.
#[test]
fn floods_of_clients_do_not_starve_the_second_address() {
    for limits in [(64, 1024), (1024, 48)] {
        let second = [("RELAY_ADMIN_ADDR", "127.0.0.1:0")];
        let g = Gateway::launch(&settings(2500.0), &[], None, None, limits, &second);
        let held: Vec<TcpStream> = (0..80)
            .map(|_| TcpStream::connect(g.platform).unwrap())
            .collect();
        for _ in 0..8 {
            assert_eq!(g.ask(b"readyz\n"), "200 ready\n", "{limits:?}");
        }
        drop(held);
    }
}

/// A banned worker gets nothing, and with no other one calls are refused at once, with a time to return.
#[test]
fn a_banned_worker_gets_nothing_until_it_is_put_back() {
    let worker = Worker::start();
    let g = Gateway::start_daily(
        &settings(2500.0),
        &[endpoint("s-00000001", worker.address, "SERVING")],
        None,
    );
    let mut client = TcpStream::connect(g.platform).unwrap();
    client.write_all(call(7, 1).as_bytes()).unwrap();
    assert!(answer(&mut client).unwrap().starts_with("HTTP/1.1 200"));
    assert_eq!(g.figure("members_unavailable"), 0);
    assert!(g.ask(b"exclude s-00000001\n").starts_with("200 "));
    assert_eq!(
        (g.figure("members"), g.figure("members_unavailable")),
        (1, 1)
    );
    let sent = worker.gos.lock().unwrap().len();
    client.write_all(call(7, 2).as_bytes()).unwrap();
    let refused = answer(&mut client).unwrap();
    assert!(
        refused.starts_with("HTTP/1.1 503") && refused.contains("Retry-After: "),
        "{refused}"
    );
    assert_eq!(worker.gos.lock().unwrap().len(), sent, "nothing went there");
    assert_eq!(g.ask(b"readyz\n"), "200 ready\n", "it can still be called");
    assert!(g.ask(b"include s-00000001\n").starts_with("200 "));
    client.write_all(call(7, 3).as_bytes()).unwrap();
    assert!(
        answer(&mut client).unwrap().starts_with("HTTP/1.1 200"),
        "used again at once"
    );
    let ends = ["completed", "rejected", "failed"]
        .map(|w| g.figure(&format!("downstream_requests.disponibilidad.{w}")));
    assert_eq!(
        (ends, g.figure("upstream_requests"), g.figure("pending")),
        ([2, 1, 0], 2, 0)
    );
    let counters = g.stop();
    assert_eq!(
        (counters["served"].as_u64(), counters["refused"].as_u64()),
        (Some(2), Some(1))
    );
    assert_eq!(
        counters["ends"][0]["served"].as_u64(),
        Some(2),
        "the same numbers at the end"
    );
}

/// Emptied, it answers what comes, keeps no connection, closes idle ones, and does not end.
#[test]
fn an_emptied_gateway_keeps_nobody_and_serves_again() {
    let worker = Worker::start();
    let g = Gateway::start_daily(
        &settings(2500.0),
        &[endpoint("s-00000001", worker.address, "SERVING")],
        None,
    );
    let connect = || TcpStream::connect(g.platform).unwrap();
    let mut idle: Vec<TcpStream> = (0..8).map(|_| connect()).collect();
    for (n, c) in idle.iter_mut().enumerate() {
        c.write_all(call(7, n as u64 + 1).as_bytes()).unwrap();
        assert!(!answer(c).unwrap().contains("Connection: close"));
    }
    assert_eq!(g.ask(b"evacuate\n"), "200 no connection stays\n");
    assert!(g.ask(b"readyz\n").starts_with("400 "));
    let mut kept = idle.remove(7);
    kept.write_all(call(7, 20).as_bytes()).unwrap();
    let last = answer(&mut kept).unwrap();
    assert!(
        last.starts_with("HTTP/1.1 200") && last.contains("Connection: close"),
        "{last}"
    );
    assert!(ended(&mut kept));
    let mut late = connect();
    late.write_all(call(7, 21).as_bytes()).unwrap();
    let last = answer(&mut late).unwrap();
    assert!(
        last.starts_with("HTTP/1.1 200") && last.contains("Connection: close"),
        "{last}"
    );
    assert!(idle.iter_mut().all(ended), "idle ones are closed");
    assert!(g.ask(b"activate\n").starts_with("200 "));
    assert_eq!(g.ask(b"readyz\n"), "200 ready\n");
    let mut fresh = connect();
    fresh.write_all(call(7, 22).as_bytes()).unwrap();
    assert!(!answer(&mut fresh).unwrap().contains("Connection: close"));
}

/// Without an address for it nothing listens.
#[test]
fn without_an_address_there_is_no_second_one() {
    let g = Gateway::start(&settings(2500.0), &[], None, None);
    assert!(g.line.is_none());
    let pid = g.pid();
    let tables = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap();
    let own: std::collections::BTreeSet<String> = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .filter_map(|f| std::fs::read_link(f.ok()?.path()).ok())
        .filter_map(|l| {
            l.to_str()?
                .strip_prefix("socket:[")?
                .strip_suffix(']')
                .map(str::to_owned)
        })
        .collect();
    let listening = tables
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>());
    let listening = listening
        .filter(|f| f.len() > 9 && f[3] == "0A" && own.contains(f[9]))
        .count();
    assert_eq!(listening, 1);
}
