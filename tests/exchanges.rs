//! Recorded byte exchanges, played against the program and compared.
//!
//! Each file in `exchanges/` is a script, one step a line: `WHO> BYTES` sends, `WHO<` receives one whole
//! message, `WHO!` closes, `WHO$` waits for the end of the connection. `\r`, `\n` and `\\` are escapes, and
//! `{A*N}` stands for N times A. Those who take part: `client` (and `client2`, ...) of the platform, the one
//! `worker`, and the `board`. The snapshot holds the script with all that came.

mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use common::*;

#[derive(Default)]
struct Peer {
    stream: Option<TcpStream>,
    held: Vec<u8>,
}

fn unescape(text: &str) -> Vec<u8> {
    let mut text = text.to_owned();
    while let Some((before, rest)) = text.split_once('{').filter(|(_, r)| r.contains('*')) {
        let (inside, after) = rest.split_once('}').expect("a closing brace");
        let (what, times) = inside.rsplit_once('*').expect("a count");
        text = format!(
            "{before}{}{after}",
            what.repeat(times.parse().expect("a number"))
        );
    }
    text.replace("\\r", "\r")
        .replace("\\n", "\n")
        .replace("\\\\", "\\")
        .into_bytes()
}

/// Takes the one figure out that depends on the time.
fn steady(bytes: &[u8]) -> String {
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

/// The next connection; one that never comes is a failure that shows how far the script got, not a test that hangs.
fn accept(listener: &TcpListener, who: &str, so_far: &str) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let end = std::time::Instant::now() + PATIENCE;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => panic!("{who}: {e}"),
            Err(_) => assert!(
                std::time::Instant::now() < end,
                "nobody connects to the {who}\n{so_far}"
            ),
        }
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
}

fn play(script: &str) -> String {
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
                // A reset is an end too.
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
                let message = read_message(stream, &mut peer.held, whole)
                    .unwrap_or_else(|| panic!("{line}\n{out}"));
                let text = steady(&message).replace(&at.to_string(), "{worker}");
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
fn exchanges_go_as_recorded() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/exchanges");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path())
        .collect();
    files.sort();
    assert!(files.len() >= 6, "the recordings are there");
    for file in files {
        let name = file.file_stem().unwrap().to_string_lossy().into_owned();
        let transcript = play(&std::fs::read_to_string(&file).unwrap());
        insta::assert_snapshot!(name, transcript);
    }
}
