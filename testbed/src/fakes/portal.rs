//! A portal that checks signatures and counts what it gets.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use molelug::front::webhook::signature;
use molelug::tenancy::Secret;

use super::{body, header, read_http};

/// How a portal answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// 204 at once.
    Good,
    /// 204 after so many milliseconds.
    Slow(u64),
    /// One in so many is read whole and then cut off; the others are good.
    Cuts(u32),
    /// One in so many is answered 500; the others are good.
    Fails(u32),
    /// A status, with a header line.
    Says(u16, &'static str),
    /// It takes the connection and says nothing.
    Silent,
    /// The answer comes byte by byte, so many milliseconds apart.
    Drips(u64),
}

/// A delivery as the portal saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When it had come whole.
    pub at: Instant,
    /// The `webhook-id`.
    pub id: String,
    /// The type of event.
    pub kind: String,
    /// The call that it answers.
    pub call: String,
    /// What became of the call.
    pub outcome: String,
    /// Whether one of its signatures holds.
    pub signed: bool,
    /// Whether the portal confirmed it.
    pub confirmed: bool,
}

/// A stand-in portal.
#[derive(Clone, Debug)]
pub struct Portal {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has seen.
    pub seen: Arc<Mutex<Vec<Seen>>>,
    manner: Arc<Mutex<Manner>>,
    secret: Secret,
}

impl Portal {
    /// Starts one on a free port.
    pub fn start(secret: Secret, manner: Manner) -> std::io::Result<Portal> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let manner = Arc::new(Mutex::new(manner));
        let portal = Portal {
            address: listener.local_addr()?,
            seen: Arc::default(),
            manner,
            secret,
        };
        let me = portal.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let me = me.clone();
                std::thread::spawn(move || me.serve(stream));
            }
        });
        Ok(portal)
    }

    /// Changes how it answers from now on.
    pub fn set(&self, manner: Manner) {
        if let Ok(mut m) = self.manner.lock() {
            *m = manner;
        }
    }

    /// What it has seen so far.
    pub fn all(&self) -> Vec<Seen> {
        self.seen.lock().map_or(Vec::new(), |s| s.clone())
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut held = Vec::new();
        while let Some(message) = read_http(&mut stream, &mut held).ok()? {
            let manner = *self.manner.lock().ok()?;
            let text: serde_json::Value = serde_json::from_slice(body(&message)).ok()?;
            let word = |v: &serde_json::Value| v.as_str().unwrap_or_default().to_owned();
            let (id, stamp) = (
                header(&message, "webhook-id"),
                header(&message, "webhook-timestamp"),
            );
            let given = header(&message, "webhook-signature");
            let stamp = stamp.parse().unwrap_or(0);
            let signed = signature::verify(
                std::iter::once(&self.secret),
                &id,
                stamp,
                body(&message),
                &given,
            );
            let nth = {
                let mut seen = self.seen.lock().ok()?;
                let confirmed = match manner {
                    Manner::Good | Manner::Slow(_) | Manner::Drips(_) => true,
                    Manner::Cuts(n) | Manner::Fails(n) => {
                        !(seen.len() as u32 + 1).is_multiple_of(n)
                    }
                    Manner::Says(status, _) => status / 100 == 2,
                    Manner::Silent => false,
                };
                seen.push(Seen {
                    at: Instant::now(),
                    id,
                    kind: word(&text["type"]),
                    call: word(&text["data"]["call"]),
                    outcome: word(&text["data"]["outcome"]),
                    signed,
                    confirmed,
                });
                confirmed
            };
            let good = b"HTTP/1.1 204 No Content\r\n\r\n";
            match manner {
                Manner::Slow(ms) => std::thread::sleep(Duration::from_millis(ms)),
                Manner::Cuts(_) if !nth => return None,
                Manner::Fails(_) if !nth => {
                    stream
                        .write_all(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
                        .ok()?;
                    continue;
                }
                Manner::Says(status, line) => {
                    let text = format!("HTTP/1.1 {status} So\r\n{line}Content-Length: 0\r\n\r\n");
                    stream.write_all(text.as_bytes()).ok()?;
                    continue;
                }
                Manner::Silent => {
                    std::thread::sleep(super::PATIENCE);
                    return None;
                }
                Manner::Drips(ms) => {
                    for byte in good {
                        std::thread::sleep(Duration::from_millis(ms));
                        stream.write_all(&[*byte]).ok()?;
                    }
                    continue;
                }
                _ => {}
            }
            stream.write_all(good).ok()?;
        }
        None
    }
}
