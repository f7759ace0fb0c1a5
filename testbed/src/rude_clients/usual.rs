//! Usual clients: one call at a time on a connection that they keep.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::crowd::call_text;
use super::records::{Outcome, Records, UsualCall};
use super::scenario::DEADLINE;
use crate::fakes::gateway::{NON_IDEMPOTENT_CLASS, READ_CLASS};

/// Clients of a run.
pub const USUAL_CLIENTS: u64 = 4;
/// How long a client waits for an answer before it counts as lost.
const PATIENCE: Duration = Duration::from_millis(4_000);
/// The pause between two calls of a client.
const PAUSE: Duration = Duration::from_millis(40);
/// A call that crosses the end of an idle connection within this time is sent once more.
const CROSSING_TIME: Duration = Duration::from_millis(50);

/// Sends calls until the run is over.
pub fn run(address: SocketAddr, number: u64, records: &Arc<Records>) {
    let class = [READ_CLASS, NON_IDEMPOTENT_CLASS][(number % 2) as usize];
    let mut connection: Option<TcpStream> = None;
    while !records.is_over() {
        let was_open = connection.is_some();
        let mut call = exchange(address, &mut connection, class, number, records);
        let crossed = call.ended_at - call.sent_at <= CROSSING_TIME;
        if was_open && crossed && call.outcome == Outcome::Lost {
            call = exchange(address, &mut connection, class, number, records);
        }
        records.note_call(call);
        std::thread::sleep(PAUSE);
    }
}

fn exchange(
    address: SocketAddr,
    connection: &mut Option<TcpStream>,
    class: &str,
    number: u64,
    records: &Records,
) -> UsualCall {
    let text = call_text(records.new_identity(), class, number, DEADLINE, 2);
    let began_at = Instant::now();
    let stream = connection.take().or_else(|| connect(address));
    // The platform counts a call's time from its last byte, on a connection that was accepted.
    let sent_at = Instant::now();
    let outcome = match stream {
        None => Outcome::Unreachable,
        Some(stream) => match ask(&stream, &text) {
            None => Outcome::Lost,
            Some(answer) => {
                *connection = answer.keeps_open.then_some(stream);
                Outcome::Answered(answer.status)
            }
        },
    };
    UsualCall {
        connect_time: sent_at - began_at,
        sent_at,
        ended_at: Instant::now(),
        outcome,
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(stream)
}

struct Answer {
    status: u16,
    keeps_open: bool,
}

fn ask(mut stream: &TcpStream, text: &str) -> Option<Answer> {
    stream.write_all(text.as_bytes()).ok()?;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if let Some(head) = text.find("\r\n\r\n") {
            let length = text
                .lines()
                .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())
                .unwrap_or(0);
            if bytes.len() >= head + 4 + length {
                return Some(Answer {
                    status: text.get(9..12)?.parse().ok()?,
                    keeps_open: !text.contains("connection: close"),
                });
            }
        }
        match stream.read(&mut chunk).ok()? {
            0 => return None,
            n => bytes.extend(&chunk[..n]),
        }
    }
}
