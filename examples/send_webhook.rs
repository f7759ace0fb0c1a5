//! Sends one signed call to the gateway of `examples/webhooks.toml` and prints the response.
//!
//! `cargo run --example send_webhook -- 127.0.0.1:7002`

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{SystemTime, UNIX_EPOCH};

use molelug::front::webhook::signature::sign;
use molelug::tenancy::Secret;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let at = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "127.0.0.1:7002".into());
    let secret = Secret::parse("whsec_ZXhhbXBsZSBrZXkgb25seSBmb3IgdHJ5aW5nIQ==")?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let (id, stamp) = (format!("msg_{}", now.as_nanos()), now.as_secs());
    let body = br#"{"type":"call.requested","data":{"class":"confirmar-traslado","function":"7f3a9c21e0b4d655","payload":"aGVsbG8="}}"#;
    let signature = sign(std::iter::once(&secret), &id, stamp, body);
    let mut stream = TcpStream::connect(&at)?;
    write!(
        stream,
        "POST /webhooks/clinic HTTP/1.1\r\nHost: {at}\r\nwebhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\n\
         webhook-signature: {signature}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    )?;
    stream.write_all(body)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    println!("{answer}");
    Ok(())
}
