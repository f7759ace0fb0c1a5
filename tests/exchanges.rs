//! Recorded byte exchanges that are replayed against the program.
//!
//! Each file in `exchanges/` is a script with one step per line: `PEER> BYTES` sends, `PEER<`
//! receives one whole message, `PEER!` closes, and `PEER$` waits for the end of the connection.
//! `\r`, `\n` and `\\` are escapes, and `{A*N}` stands for N times A. The peers are `client` (and
//! `client2`, ...), which connect to the platform's front, the single `worker`, and the `board`,
//! the discovery server. The snapshot holds the script with all received messages.

mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use common::*;

#[derive(Default)]
struct Peer {
    stream: Option<TcpStream>,
    /// Received bytes beyond the last whole message.
    buffer: Vec<u8>,
}

fn unescape(text: &str) -> Vec<u8> {
    let mut text = text.to_owned();
    while let Some((before, rest)) = text.split_once('{').filter(|(_, r)| r.contains('*')) {
        let (repetition, after) = rest.split_once('}').expect("a closing brace");
        let (text_to_repeat, times) = repetition.rsplit_once('*').expect("a count");
        text = format!(
            "{before}{}{after}",
            text_to_repeat.repeat(times.parse().expect("a number"))
        );
    }
    text.replace("\\r", "\r")
        .replace("\\n", "\n")
        .replace("\\\\", "\\")
        .into_bytes()
}

/// Replaces the only time-dependent number and the length of its field by `#`.
fn without_time_left(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let Some(at) = text.find(",max=").map(|at| at + 5) else {
        return text;
    };
    let end = text[at..].find('\r').map_or(text.len(), |n| at + n);
    let ms: u64 = text[at..end].parse().expect("a whole number");
    assert!((1..=2500).contains(&ms), "{text}");
    let size = text[..at].rfind('$').expect("a length");
    let line = text[size..].find('\r').map_or(text.len(), |n| size + n);
    format!("{}$#{}#{}", &text[..size], &text[line..at], &text[end..])
}

/// Accepts the next connection. A missing connection fails the test with the transcript so far
/// instead of blocking it.
fn accept(listener: &TcpListener, peer: &str, transcript: &str) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let end = std::time::Instant::now() + PATIENCE;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => panic!("{peer}: {e}"),
            Err(_) => assert!(
                std::time::Instant::now() < end,
                "no connection to the {peer}\n{transcript}"
            ),
        }
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
}

fn replay(script: &str) -> String {
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    let board = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = worker.local_addr().unwrap();
    let uses_board = script.lines().any(|l| l.starts_with("board"));
    let workers = if uses_board {
        vec![]
    } else {
        vec![endpoint("s-0000000a", at, "SERVING")]
    };
    let board_at = uses_board.then(|| board.local_addr().unwrap());
    let g = Gateway::start(&settings(2500.0), &workers, board_at, None);
    let mut peers: BTreeMap<String, Peer> = BTreeMap::new();
    let mut out = String::new();
    for line in script.lines() {
        let Some(mark) = line
            .find(['>', '<', '!', '$'])
            .filter(|_| !line.starts_with('#'))
        else {
            out += &format!("{line}\n");
            continue;
        };
        let (who, what) = (&line[..mark], line[mark + 1..].trim());
        let peer = peers.entry(who.to_owned()).or_default();
        let stream = peer.stream.get_or_insert_with(|| match who {
            "worker" => accept(&worker, who, &out),
            "board" => accept(&board, who, &out),
            _ => TcpStream::connect(g.platform).unwrap(),
        });
        match &line[mark..=mark] {
            ">" => {
                let what = what.replace("{worker}", &at.to_string());
                stream.write_all(&unescape(&what)).unwrap();
                out += &format!("{line}\n");
            }
            "!" => {
                *peer = Peer::default();
                out += &format!("{line}\n");
            }
            "$" => {
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                let mut rest = Vec::new();
                // A reset also ends the connection.
                let _ = stream.read_to_end(&mut rest);
                out += &format!("{line} {:?}\n", String::from_utf8_lossy(&rest));
                *peer = Peer::default();
            }
            _ => {
                let whole = if who == "worker" {
                    resp_length
                } else {
                    http_length
                };
                let message = read_message(stream, &mut peer.buffer, whole)
                    .unwrap_or_else(|| panic!("{line}\n{out}"));
                let text = without_time_left(&message).replace(&at.to_string(), "{worker}");
                let text =
                    board_at.map_or(text.clone(), |b| text.replace(&b.to_string(), "{board}"));
                for l in text.split_inclusive("\r\n") {
                    out += &format!("{who}< {}\n", l.replace('\r', "\\r").replace('\n', "\\n"));
                }
            }
        }
    }
    out
}

#[test]
fn exchanges_match_their_recordings() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/exchanges");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path())
        .collect();
    files.sort();
    assert!(files.len() >= 6, "the recorded scripts exist");
    for file in files {
        let name = file.file_stem().unwrap().to_string_lossy().into_owned();
        let transcript = replay(&std::fs::read_to_string(&file).unwrap());
        insta::assert_snapshot!(name, transcript);
    }
}
