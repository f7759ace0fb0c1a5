//! Hot restart: two gateway processes, the old and the new version, share one listening socket.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};

use common::*;
use rustix::process::Signal;

fn call(id: u64) -> String {
    format!(
        "POST /call/0000000000000007/trigger HTTP/1.1\r\nHost: t\r\nX-Class: disponibilidad\r\n\
         X-Org: franq-bajio\r\nX-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 2400\r\nContent-Length: 0\r\n\r\n"
    )
}

fn answer(stream: &mut TcpStream) -> Option<String> {
    let whole = read_message(stream, &mut Vec::new(), http_length)?;
    Some(String::from_utf8_lossy(&whole).into_owned())
}

/// Sends one call on a new connection and returns whether the status is 200.
fn served(at: std::net::SocketAddr, id: u64) -> bool {
    let mut s = TcpStream::connect(at).unwrap();
    s.write_all(call(id).as_bytes()).unwrap();
    answer(&mut s).is_some_and(|a| a.starts_with("HTTP/1.1 200"))
}

struct Setup {
    socket: TcpListener,
    worker: Worker,
    workers: Vec<serde_json::Value>,
    at: std::net::SocketAddr,
}

fn setup() -> Setup {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = Worker::start();
    let workers = vec![
        endpoint("s-00000001", worker.address, "SERVING"),
        endpoint("s-00000002", worker.address, "SERVING"),
    ];
    let at = socket.local_addr().unwrap();
    Setup {
        socket,
        worker,
        workers,
        at,
    }
}

impl Setup {
    fn start_first(&self) -> Gateway {
        self.ready(Gateway::start_with_socket(
            &self.socket,
            &self.workers,
            None,
        ))
    }

    fn start_beside(&self, old: &Gateway) -> Gateway {
        self.ready(Gateway::start_with_socket(
            &self.socket,
            &self.workers,
            Some(old),
        ))
    }

    fn ready(&self, g: Gateway) -> Gateway {
        until("it is ready", || g.ask(b"readyz\n") == "200 ready\n");
        g
    }
}

/// The new process serves with the exclusions of the old one. The old process answers its calls in
/// flight, closes idle connections and exits.
#[test]
fn new_process_takes_over_without_loss() {
    let s = setup();
    let old = s.start_first();
    assert!(old.ask(b"exclude s-00000002\n").starts_with("200 "));
    let connect = || TcpStream::connect(s.at).unwrap();
    let mut kept: Vec<TcpStream> = (0..6).map(|_| connect()).collect();
    for (n, c) in kept.iter_mut().enumerate() {
        c.write_all(call(n as u64 + 1).as_bytes()).unwrap();
        assert!(answer(c).unwrap().starts_with("HTTP/1.1 200"));
    }
    s.worker.set(Does::Silent);
    let mut in_flight = kept.remove(0);
    let sent = s.worker.gos.lock().unwrap().len();
    in_flight.write_all(call(100).as_bytes()).unwrap();
    until("the call is in flight", || {
        s.worker.gos.lock().unwrap().len() > sent
    });
    s.worker.set(Does::Answer);
    let new = s.start_beside(&old);
    assert_eq!(
        new.figure("members_unavailable"),
        1,
        "the exclusion is inherited"
    );
    until("both processes are ready", || {
        old.ask(b"readyz\n") == "200 ready\n" && new.ask(b"readyz\n") == "200 ready\n"
    });
    until("each process counts the other", || {
        old.live_siblings() == 1 && new.live_siblings() == 1
    });
    old.signal(Signal::TERM);
    until("the shutdown begins", || {
        old.ask(b"readyz\n").starts_with("400 ")
    });
    assert!(
        (200..240).all(|id| served(s.at, id)),
        "the new process serves new connections"
    );
    let mut response = Vec::new();
    for c in &mut kept {
        c.set_read_timeout(Some(PATIENCE)).unwrap();
        assert_eq!(
            c.read(&mut [0; 64]).unwrap(),
            0,
            "an idle connection is closed"
        );
    }
    in_flight.set_read_timeout(Some(PATIENCE)).unwrap();
    let _ = in_flight.read_to_end(&mut response);
    let last = String::from_utf8_lossy(&response);
    assert!(
        last.starts_with("HTTP/1.1 ") && last.contains("Connection: close"),
        "{last}"
    );
    let counters = old.end();
    assert_eq!(
        counters["taken"].as_u64(),
        Some(7),
        "no call accepted after SIGTERM"
    );
    assert!(served(s.at, 300) && new.figure("members_unavailable") == 1);
    new.stop();
}

/// Excluding or including a worker at either process takes effect in both.
#[test]
fn exclusions_apply_to_both_processes() {
    let s = setup();
    let old = s.start_first();
    let new = s.start_beside(&old);
    for (asked, other) in [(&old, &new), (&new, &old)] {
        assert!(asked.ask(b"exclude s-00000001\n").starts_with("200 "));
        until("the other process applies it", || {
            other.figure("members_unavailable") == 1
        });
        assert!(other.ask(b"include s-00000001\n").starts_with("200 "));
        until("the first process applies it", || {
            asked.figure("members_unavailable") == 0
        });
    }
}

/// If either process is killed at any moment, the other one serves with the exclusions.
#[test]
fn survivor_serves_with_exclusions_after_kill() {
    let s = setup();
    let mut old = s.start_first();
    assert!(old.ask(b"exclude s-00000001\n").starts_with("200 "));
    for seed in 0..12u64 {
        // The seed chooses the time of the kill, from before the first log line to long after
        // readiness.
        let pause = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48;
        let mut new = Gateway::start_with_socket(&s.socket, &s.workers, Some(&old));
        std::thread::sleep(std::time::Duration::from_micros(pause));
        if seed % 2 == 0 {
            new.kill();
        } else {
            std::mem::swap(&mut old, &mut new);
            new.kill();
            until("the survivor is ready", || {
                old.ask(b"readyz\n") == "200 ready\n"
            });
        }
        assert!(served(s.at, 1000 + seed), "seed {seed}");
        assert_eq!(old.figure("members_unavailable"), 1, "seed {seed}");
    }
    until("the lock files of killed processes are removed", || {
        old.live_siblings() == 0
    });
    old.stop();
}

/// At SIGTERM without a ready successor, the process accepts for its shutdown window as usual.
#[test]
fn shutdown_without_ready_successor_is_unchanged() {
    let s = setup();
    let old = s.start_first();
    old.signal(Signal::TERM);
    until("the shutdown begins", || {
        old.ask(b"readyz\n").starts_with("400 ")
    });
    assert!(served(s.at, 1));
    assert_eq!(old.end()["taken"].as_u64(), Some(1));
}

/// A state file that cannot be used is reported in the log, and the process starts without it.
#[test]
fn unusable_sibling_state_is_ignored_at_start() {
    let s = setup();
    let old = s.start_first();
    assert!(old.ask(b"exclude s-00000001\n").starts_with("200 "));
    let folder = old.folder.join("tmp/molelug-handover");
    let state_file = std::fs::read_to_string(folder.join(format!("{}.word", old.pid()))).unwrap();
    assert!(state_file.contains("\nban s-00000001 "), "{state_file}");
    old.kill();
    for (text, reason) in [
        (
            state_file[..state_file.len() / 2].to_owned(),
            "its sum does not fit",
        ),
        (state_file.replace("ban ", "bon "), "its sum does not fit"),
        (
            state_file.replace("handover 1", "handover 7"),
            "is not the form that this version reads",
        ),
        (String::new(), "its sum does not fit"),
    ] {
        std::fs::remove_dir_all(&folder).unwrap();
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("4000000.word"), &text).unwrap();
        let base = Gateway::start_in_folder(&s.socket, folder.parent().unwrap().parent().unwrap());
        let (startup_log, g) = base;
        assert!(startup_log.contains(reason), "{startup_log}");
        until("it is ready", || g.ask(b"readyz\n") == "200 ready\n");
        assert_eq!(g.figure("members_unavailable"), 0);
        g.kill();
    }
}

/// A descriptor that is no listening socket makes the start fail with a message that says why.
#[test]
fn unusable_inherited_descriptor_is_reported() {
    let connected = {
        let l = TcpListener::bind("127.0.0.1:0").unwrap();
        TcpStream::connect(l.local_addr().unwrap()).unwrap()
    };
    for (value, reason) in [
        ("seven", "no descriptor from 3 on"),
        ("1", "no descriptor from 3 on"),
        ("-7", "no descriptor from 3 on"),
        ("9", "which cannot be used"),
        ("7", "does not listen"),
    ] {
        let mut command = Command::new("/bin/sh");
        command.args([
            "-c",
            "exec 7<&0 </dev/null && exec \"$0\" serve",
            env!("CARGO_BIN_EXE_molelug"),
        ]);
        command
            .env("RELAY_FD", value)
            .env("RELAY_CONFIG", "examples/gateway.json")
            .env("RELAY_LISTEN", "127.0.0.1:0");
        command
            .stdin(std::os::fd::OwnedFd::from(connected.try_clone().unwrap()))
            .stderr(Stdio::piped());
        let out = command
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .output()
            .unwrap();
        let error = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{value}: {error}");
        assert!(
            error.starts_with("molelug: ") && error.contains(reason),
            "{value}: {error}"
        );
    }
}

/// Suspends one process, so that only the other accepts what comes next.
fn call_at_the_other(setup: &Setup, suspended: &Gateway, ask: by_hand::Ask) -> u16 {
    suspended.suspend();
    let mut stream = TcpStream::connect(setup.at).unwrap();
    stream.write_all(ask.text().as_bytes()).unwrap();
    let text = answer(&mut stream).expect("an answer");
    suspended.resume();
    text[9..12].parse().expect("a status")
}

#[test]
fn unsafe_id_does_not_run_again_at_the_other_process() {
    let setup = setup();
    let old = setup.start_first();
    let first = by_hand::Ask::once(1);
    let mut client = TcpStream::connect(setup.at).unwrap();
    client.write_all(first.text().as_bytes()).unwrap();
    assert!(answer(&mut client).is_some_and(|text| text.starts_with("HTTP/1.1 200")));
    let new = setup.start_beside(&old);
    assert_eq!(call_at_the_other(&setup, &old, first), 409, "old to new");
    let second = by_hand::Ask::once(2);
    assert_eq!(call_at_the_other(&setup, &old, second), 200);
    assert_eq!(call_at_the_other(&setup, &new, second), 409, "new to old");
    assert_eq!(call_at_the_other(&setup, &old, by_hand::Ask::safe(3)), 200);
    assert_eq!(call_at_the_other(&setup, &new, by_hand::Ask::safe(3)), 200);
}
