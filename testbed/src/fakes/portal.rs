//! A fake portal that verifies signatures and records the deliveries it receives.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use molelug::front::webhook::signature;
use molelug::tenancy::Secret;

use super::{body, header, read_http};

/// How the portal answers deliveries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortalBehavior {
    /// Answers 204 at once.
    Good,
    /// Answers 204 after this many milliseconds.
    Slow(u64),
    /// Reads every n-th delivery completely and then closes the connection; answers the others 204.
    Cuts(u32),
    /// Answers every n-th delivery 500 and the others 204.
    Fails(u32),
    /// Answers this status with this header line.
    Says(u16, &'static str),
    /// Accepts the connection and sends nothing.
    Silent,
    /// Sends a 204 byte by byte, this many milliseconds apart.
    Drips(u64),
}

/// A delivery that the portal received.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// Time at which it was complete.
    pub at: Instant,
    /// The `webhook-id`.
    pub id: String,
    /// Event type.
    pub kind: String,
    /// Id of the call that the delivery reports on.
    pub call: String,
    /// Outcome of the call.
    pub outcome: String,
    /// Whether one of the signatures is valid.
    pub signed: bool,
    /// Whether the portal answered with a 2xx status.
    pub confirmed: bool,
}

/// A fake portal.
#[derive(Clone, Debug)]
pub struct Portal {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Deliveries received.
    pub deliveries: Arc<Mutex<Vec<Delivery>>>,
    manner: Arc<Mutex<PortalBehavior>>,
    secret: Secret,
}

impl Portal {
    /// Starts a portal on a free port.
    pub fn start(secret: Secret, manner: PortalBehavior) -> std::io::Result<Portal> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let manner = Arc::new(Mutex::new(manner));
        let portal = Portal {
            address: listener.local_addr()?,
            deliveries: Arc::default(),
            manner,
            secret,
        };
        let server = portal.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(portal)
    }

    /// Changes how the portal answers from now on.
    pub fn set(&self, manner: PortalBehavior) {
        if let Ok(mut m) = self.manner.lock() {
            *m = manner;
        }
    }

    /// Returns the deliveries received so far.
    pub fn deliveries(&self) -> Vec<Delivery> {
        self.deliveries.lock().map_or(Vec::new(), |s| s.clone())
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut buffer = Vec::new();
        while let Some(message) = read_http(&mut stream, &mut buffer).ok()? {
            let manner = *self.manner.lock().ok()?;
            let text: serde_json::Value = serde_json::from_slice(body(&message)).ok()?;
            let as_text = |v: &serde_json::Value| v.as_str().unwrap_or_default().to_owned();
            let (id, stamp) = (
                header(&message, "webhook-id"),
                header(&message, "webhook-timestamp"),
            );
            let signatures = header(&message, "webhook-signature");
            let stamp = stamp.parse().unwrap_or(0);
            let signed = signature::verify(
                std::iter::once(&self.secret),
                &id,
                stamp,
                body(&message),
                &signatures,
            );
            let confirmed = {
                let mut deliveries = self.deliveries.lock().ok()?;
                let confirmed = match manner {
                    PortalBehavior::Good | PortalBehavior::Slow(_) | PortalBehavior::Drips(_) => {
                        true
                    }
                    PortalBehavior::Cuts(n) | PortalBehavior::Fails(n) => {
                        !(deliveries.len() as u32 + 1).is_multiple_of(n)
                    }
                    PortalBehavior::Says(status, _) => status / 100 == 2,
                    PortalBehavior::Silent => false,
                };
                deliveries.push(Delivery {
                    at: Instant::now(),
                    id,
                    kind: as_text(&text["type"]),
                    call: as_text(&text["data"]["call"]),
                    outcome: as_text(&text["data"]["outcome"]),
                    signed,
                    confirmed,
                });
                confirmed
            };
            let no_content = b"HTTP/1.1 204 No Content\r\n\r\n";
            match manner {
                PortalBehavior::Slow(ms) => std::thread::sleep(Duration::from_millis(ms)),
                PortalBehavior::Cuts(_) if !confirmed => return None,
                PortalBehavior::Fails(_) if !confirmed => {
                    stream
                        .write_all(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
                        .ok()?;
                    continue;
                }
                PortalBehavior::Says(status, line) => {
                    let text = format!("HTTP/1.1 {status} So\r\n{line}Content-Length: 0\r\n\r\n");
                    stream.write_all(text.as_bytes()).ok()?;
                    continue;
                }
                PortalBehavior::Silent => {
                    std::thread::sleep(super::WAIT_TIMEOUT);
                    return None;
                }
                PortalBehavior::Drips(ms) => {
                    for byte in no_content {
                        std::thread::sleep(Duration::from_millis(ms));
                        stream.write_all(&[*byte]).ok()?;
                    }
                    continue;
                }
                _ => {}
            }
            stream.write_all(no_content).ok()?;
        }
        None
    }
}
