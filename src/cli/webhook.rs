//! `molelug webhook`: signs, verifies, sends and receives webhooks by hand.

use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;

use crate::front::http;
use crate::front::webhook::signature;
use crate::tenancy::Secret;

/// Timeout for connecting and for each read.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Signed webhooks by hand
#[derive(Clone, Debug, Bpaf)]
pub enum Webhook {
    /// Print the headers that sign a body from standard input
    #[bpaf(command)]
    Sign {
        /// A file that holds the secret, whsec_ or whsk_
        #[bpaf(long, argument("FILE"))]
        secret_file: PathBuf,
        /// The webhook-id
        #[bpaf(long, argument("ID"))]
        id: String,
        /// The webhook-timestamp, seconds since 1970; now if absent
        #[bpaf(long, argument("SECONDS"))]
        timestamp: Option<u64>,
    },
    /// Check a signature over a body from standard input; ends with 1 if it does not hold
    #[bpaf(command)]
    Verify {
        /// A file that holds the secret, whsec_, whsk_ or whpk_
        #[bpaf(long, argument("FILE"))]
        secret_file: PathBuf,
        /// The webhook-id
        #[bpaf(long, argument("ID"))]
        id: String,
        /// The webhook-timestamp
        #[bpaf(long, argument("SECONDS"))]
        timestamp: u64,
        /// The webhook-signature
        #[bpaf(long, argument("TEXT"))]
        signature: String,
    },
    /// Sign a body from standard input, send it, and print the answer; ends with 0 on a 2xx
    #[bpaf(command)]
    Send {
        /// A file that holds the secret
        #[bpaf(long, argument("FILE"))]
        secret_file: PathBuf,
        /// The webhook-id
        #[bpaf(long, argument("ID"))]
        id: String,
        /// Where to: http://ADDRESS:PORT/PATH
        #[bpaf(positional("URL"))]
        url: String,
    },
    /// Listen for webhooks, print each with whether its signature holds, and confirm it
    #[bpaf(command)]
    Listen {
        /// A file that holds the secret
        #[bpaf(long, argument("FILE"))]
        secret_file: PathBuf,
        /// Where
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
}

/// Reads a secret from a file, as every user of the machine can read command lines.
fn secret(path: &Path) -> Result<Secret, Box<dyn Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Secret::parse(text.trim())?)
}

fn now_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

fn input() -> Result<Vec<u8>, Box<dyn Error>> {
    let mut body = Vec::new();
    std::io::stdin().read_to_end(&mut body)?;
    Ok(body)
}

fn headers(secret: &Secret, id: &str, stamp: u64, body: &[u8]) -> Result<String, Box<dyn Error>> {
    if id.is_empty() || id.contains('.') || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("a webhook-id is printable and has no full stop".into());
    }
    if !secret.signs() {
        return Err("this key only checks".into());
    }
    let signed = signature::sign(std::iter::once(secret), id, stamp, body);
    Ok(format!(
        "webhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\nwebhook-signature: {signed}\r\n"
    ))
}

/// Runs a sub-command of `molelug webhook`; returns false if a signature does not verify or the
/// response is not a 2xx.
pub fn run(command: Webhook) -> Result<bool, Box<dyn Error>> {
    match command {
        Webhook::Sign {
            secret_file,
            id,
            timestamp,
        } => {
            let stamp = timestamp.unwrap_or_else(now_s);
            print!(
                "{}",
                headers(&secret(&secret_file)?, &id, stamp, &input()?)?.replace("\r\n", "\n")
            );
            Ok(true)
        }
        Webhook::Verify {
            secret_file,
            id,
            timestamp,
            signature,
        } => {
            let secret = secret(&secret_file)?;
            let holds = signature::verify(
                std::iter::once(&secret),
                &id,
                timestamp,
                &input()?,
                &signature,
            );
            println!(
                "{}",
                if holds {
                    "the signature holds"
                } else {
                    "the signature does not hold"
                }
            );
            Ok(holds)
        }
        Webhook::Send {
            secret_file,
            id,
            url,
        } => {
            let portal = crate::tenancy::Portal::parse(&url)?;
            let body = input()?;
            let signed = headers(&secret(&secret_file)?, &id, now_s(), &body)?;
            let mut stream = TcpStream::connect_timeout(&portal.address, TIMEOUT)?;
            stream.set_read_timeout(Some(TIMEOUT))?;
            write!(
                stream,
                "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n{signed}Content-Length: {}\r\n\
                 Connection: close\r\n\r\n",
                portal.path,
                portal.address,
                body.len()
            )?;
            stream.write_all(&body)?;
            let mut response = Vec::new();
            stream.take(1 << 20).read_to_end(&mut response)?;
            let text = String::from_utf8_lossy(&response);
            println!("{text}");
            Ok(text.split(' ').nth(1).is_some_and(|s| s.starts_with('2')))
        }
        Webhook::Listen {
            secret_file,
            address,
        } => {
            let secret = secret(&secret_file)?;
            let listener = TcpListener::bind(address)?;
            println!("listens on {}", listener.local_addr()?);
            for stream in listener.incoming() {
                // A connection that fails does not end the command.
                if let Err(e) = serve(stream?, &secret) {
                    println!("a connection ended: {e}");
                }
            }
            Ok(true)
        }
    }
}

fn serve(mut stream: TcpStream, secret: &Secret) -> Result<(), Box<dyn Error>> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let answer = match http::request(&received) {
            Ok(Some(r)) => {
                let stamp = r
                    .header("webhook-timestamp")
                    .and_then(|t| t.parse().ok())
                    .unwrap_or(0);
                let id = r.header("webhook-id").unwrap_or_default();
                let given = r.header("webhook-signature").unwrap_or_default();
                let holds = signature::verify(std::iter::once(secret), id, stamp, r.body, given);
                let fresh = stamp.abs_diff(now_s()) <= 300;
                println!(
                    "{id} signature {holds}, fresh {fresh}: {}",
                    String::from_utf8_lossy(r.body)
                );
                http::response(if holds && fresh { 204 } else { 401 }, "", b"", false)
            }
            Ok(None) => match stream.read(&mut chunk)? {
                0 => return Ok(()),
                n => {
                    received.extend(&chunk[..n]);
                    continue;
                }
            },
            Err(bad) => http::response(bad.status, "", bad.reason.as_bytes(), false),
        };
        stream.write_all(&answer)?;
        return Ok(());
    }
}
