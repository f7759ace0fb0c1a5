//! A minimal portal: it prints each callback and confirms it.
//!
//! `cargo run --example toy_portal -- 127.0.0.1:7003`

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use molelug::front::http::request;

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let (mut held, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        held.extend(&chunk[..n]);
        if let Some(r) = request(&held).map_err(|e| std::io::Error::other(e.to_string()))? {
            println!(
                "{} {}",
                r.header("webhook-id").unwrap_or("-"),
                String::from_utf8_lossy(r.body)
            );
            return stream.write_all(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
        }
    }
}

fn main() -> std::io::Result<()> {
    let at = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "127.0.0.1:7003".into());
    let listener = TcpListener::bind(&at)?;
    println!("toy portal on {}", listener.local_addr()?);
    for stream in listener.incoming() {
        if let Err(e) = serve(stream?) {
            eprintln!("a connection ended: {e}");
        }
    }
    Ok(())
}
