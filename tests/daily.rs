//! Operations over sockets: the protocol of the second address, worker exclusion, and draining a
//! gateway.

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

fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    matches!(stream.read(&mut [0; 64]), Ok(0))
}

/// Every line gets one response and a close; input without a complete line gets only a close.
#[test]
fn second_address_answers_each_line() {
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

/// Guards the second address against silent callers: when its connections are used up, it closes
/// the one that has been silent longest.
#[test]
fn silent_callers_do_not_block_second_address() {
    let g = Gateway::start_daily(&settings(2500.0), &[], None);
    let connect = || TcpStream::connect(g.line.unwrap()).unwrap();
    let mut silent: Vec<TcpStream> = (0..40).map(|_| connect()).collect();
    let _ = silent[39].write_all(b"read");
    for _ in 0..20 {
        assert_eq!(g.ask(b"readyz\n"), "200 ready\n");
    }
    // All forty were accepted before the calls were answered; the descriptors show how many are
    // open.
    let held = std::fs::read_dir(format!("/proc/{}/fd", g.pid()))
        .unwrap()
        .count();
    assert!(held < 40, "{held} descriptors");
    assert!(
        is_closed(&mut silent[0]),
        "the first silent connection is closed"
    );
}

/// Guards the second address against clients that use up the configured sockets or the process
/// limit on open files.
#[test]
fn client_floods_do_not_starve_second_address() {
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

/// An excluded worker receives nothing. Without another worker, calls are rejected immediately with
/// Retry-After.
#[test]
fn excluded_worker_gets_nothing_until_included() {
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
    assert_eq!(
        worker.gos.lock().unwrap().len(),
        sent,
        "the excluded worker receives nothing"
    );
    assert_eq!(g.ask(b"readyz\n"), "200 ready\n", "the gateway stays ready");
    assert!(g.ask(b"include s-00000001\n").starts_with("200 "));
    client.write_all(call(7, 3).as_bytes()).unwrap();
    assert!(
        answer(&mut client).unwrap().starts_with("HTTP/1.1 200"),
        "the included worker is used immediately"
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
        "the same counts at exit"
    );
}

/// After `evacuate`, the gateway answers new calls, closes idle connections and every connection
/// after its response, and does not exit.
#[test]
fn evacuated_gateway_closes_connections_and_can_reactivate() {
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
    assert!(is_closed(&mut kept));
    let mut late = connect();
    late.write_all(call(7, 21).as_bytes()).unwrap();
    let last = answer(&mut late).unwrap();
    assert!(
        last.starts_with("HTTP/1.1 200") && last.contains("Connection: close"),
        "{last}"
    );
    assert!(
        idle.iter_mut().all(is_closed),
        "idle connections are closed"
    );
    assert!(g.ask(b"activate\n").starts_with("200 "));
    assert_eq!(g.ask(b"readyz\n"), "200 ready\n");
    let mut fresh = connect();
    fresh.write_all(call(7, 22).as_bytes()).unwrap();
    assert!(!answer(&mut fresh).unwrap().contains("Connection: close"));
}

/// Without a configured second address, only the platform front listens.
#[test]
fn no_second_address_without_configuration() {
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
