//! A new version beside the old one: two real processes on one listening socket.

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

/// One call on a connection of its own.
fn served(at: std::net::SocketAddr, id: u64) -> bool {
    let mut s = TcpStream::connect(at).unwrap();
    s.write_all(call(id).as_bytes()).unwrap();
    answer(&mut s).is_some_and(|a| a.starts_with("HTTP/1.1 200"))
}

struct Site {
    socket: TcpListener,
    worker: Worker,
    workers: Vec<serde_json::Value>,
    at: std::net::SocketAddr,
}

fn site() -> Site {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = Worker::start();
    let workers = vec![
        endpoint("s-00000001", worker.address, "SERVING"),
        endpoint("s-00000002", worker.address, "SERVING"),
    ];
    let at = socket.local_addr().unwrap();
    Site {
        socket,
        worker,
        workers,
        at,
    }
}

impl Site {
    fn first(&self) -> Gateway {
        self.ready(Gateway::handed(&self.socket, &self.workers, None))
    }

    fn beside(&self, old: &Gateway) -> Gateway {
        self.ready(Gateway::handed(&self.socket, &self.workers, Some(old)))
    }

    fn ready(&self, g: Gateway) -> Gateway {
        until("it is ready", || g.ask(b"readyz\n") == "200 ready\n");
        g
    }
}

/// The new process serves with the bans kept, the old one answers what it holds, lets idle connections go and ends.
#[test]
fn a_new_version_takes_over_and_nothing_is_lost() {
    let s = site();
    let old = s.first();
    assert!(old.ask(b"exclude s-00000002\n").starts_with("200 "));
    let connect = || TcpStream::connect(s.at).unwrap();
    let mut kept: Vec<TcpStream> = (0..6).map(|_| connect()).collect();
    for (n, c) in kept.iter_mut().enumerate() {
        c.write_all(call(n as u64 + 1).as_bytes()).unwrap();
        assert!(answer(c).unwrap().starts_with("HTTP/1.1 200"));
    }
    s.worker.set(Does::Silent);
    let mut waits = kept.remove(0);
    let sent = s.worker.gos.lock().unwrap().len();
    waits.write_all(call(100).as_bytes()).unwrap();
    until("it is out", || s.worker.gos.lock().unwrap().len() > sent);
    s.worker.set(Does::Answer);
    let new = s.beside(&old);
    assert_eq!(new.figure("members_unavailable"), 1, "the ban came over");
    until("the old one knows", || {
        old.ask(b"readyz\n") == "200 ready\n" && new.ask(b"readyz\n") == "200 ready\n"
    });
    until("both know of two", || {
        old.others() == 1 && new.others() == 1
    });
    old.signal(Signal::TERM);
    until("it has heard", || old.ask(b"readyz\n").starts_with("400 "));
    assert!(
        (200..240).all(|id| served(s.at, id)),
        "whoever connects now is served, by the new one"
    );
    let mut rest = Vec::new();
    for c in &mut kept {
        c.set_read_timeout(Some(PATIENCE)).unwrap();
        assert_eq!(
            c.read(&mut [0; 64]).unwrap(),
            0,
            "an idle connection is let go"
        );
    }
    waits.set_read_timeout(Some(PATIENCE)).unwrap();
    let _ = waits.read_to_end(&mut rest);
    let last = String::from_utf8_lossy(&rest);
    assert!(
        last.starts_with("HTTP/1.1 ") && last.contains("Connection: close"),
        "{last}"
    );
    let counters = old.end();
    assert_eq!(
        counters["taken"].as_u64(),
        Some(7),
        "it took none after SIGTERM"
    );
    assert!(served(s.at, 300) && new.figure("members_unavailable") == 1);
    new.stop();
}

/// A ban called for at either address holds in both, and so does its end.
#[test]
fn bans_hold_in_both_whichever_is_asked() {
    let s = site();
    let old = s.first();
    let new = s.beside(&old);
    for (asked, other) in [(&old, &new), (&new, &old)] {
        assert!(asked.ask(b"exclude s-00000001\n").starts_with("200 "));
        until("the other one knows", || {
            other.figure("members_unavailable") == 1
        });
        assert!(other.ask(b"include s-00000001\n").starts_with("200 "));
        until("the first one knows", || {
            asked.figure("members_unavailable") == 0
        });
    }
}

/// Whichever is killed, at any moment, the other one serves, and with the bans.
#[test]
fn whoever_is_killed_the_other_serves_with_the_bans() {
    let s = site();
    let mut old = s.first();
    assert!(old.ask(b"exclude s-00000001\n").starts_with("200 "));
    for seed in 0..12u64 {
        // Killed at a moment of the seed's choice: from before its first line to long after it is ready.
        let pause = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48;
        let mut new = Gateway::handed(&s.socket, &s.workers, Some(&old));
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
    until("nothing is left of the dead", || old.others() == 0);
    old.stop();
}

/// Told to end while the new one is not ready, the old one goes on accepting for a little, as without it.
#[test]
fn without_a_ready_successor_the_end_is_as_ever() {
    let s = site();
    let old = s.first();
    old.signal(Signal::TERM);
    until("it has heard", || old.ask(b"readyz\n").starts_with("400 "));
    assert!(served(s.at, 1));
    assert_eq!(old.end()["taken"].as_u64(), Some(1));
}

/// What lies in the folder and cannot be used is told in a line, and the start goes on without it.
#[test]
fn what_was_left_and_cannot_be_used_is_passed_over() {
    let s = site();
    let old = s.first();
    assert!(old.ask(b"exclude s-00000001\n").starts_with("200 "));
    let folder = old.folder.join("tmp/molelug-handover");
    let word = std::fs::read_to_string(folder.join(format!("{}.word", old.pid()))).unwrap();
    assert!(word.contains("\nban s-00000001 "), "{word}");
    old.kill();
    for (text, why) in [
        (word[..word.len() / 2].to_owned(), "its sum does not fit"),
        (word.replace("ban ", "bon "), "its sum does not fit"),
        (
            word.replace("handover 1", "handover 7"),
            "is not the form that this version reads",
        ),
        (String::new(), "its sum does not fit"),
    ] {
        std::fs::remove_dir_all(&folder).unwrap();
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("4000000.word"), &text).unwrap();
        let base = Gateway::handed_in(&s.socket, folder.parent().unwrap().parent().unwrap());
        let (said, g) = base;
        assert!(said.contains(why), "{said}");
        until("it is ready", || g.ask(b"readyz\n") == "200 ready\n");
        assert_eq!(g.figure("members_unavailable"), 0);
        g.kill();
    }
}

/// A descriptor that cannot be the clients' socket ends the start with a clear line.
#[test]
fn a_wrong_descriptor_is_told_clearly() {
    let connected = {
        let l = TcpListener::bind("127.0.0.1:0").unwrap();
        TcpStream::connect(l.local_addr().unwrap()).unwrap()
    };
    for (value, why) in [
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
            error.starts_with("molelug: ") && error.contains(why),
            "{value}: {error}"
        );
    }
}
