//! A minimal worker: it has every function loaded and answers each call with the call's body after
//! 20 ms.
//!
//! `cargo run --example toy_worker -- 127.0.0.1:7001`

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use molelug::worker::{encode_array, parse_array};

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let (mut held, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        held.extend(&chunk[..n]);
        while let Some(array) = parse_array(&held).map_err(std::io::Error::other)? {
            let words = array.strings;
            let size = array.size_bytes;
            let word = |i: usize| words.get(i).copied().unwrap_or_default();
            println!(
                "{}",
                words
                    .iter()
                    .map(|w| String::from_utf8_lossy(w))
                    .collect::<Vec<_>>()
                    .join(" ")
            );
            let answer = match word(0) {
                b"go" => {
                    std::thread::sleep(Duration::from_millis(20));
                    Some(encode_array(&[word(1), b"200", b"remark=w", word(3)]))
                }
                b"stage" => Some(encode_array(&[word(1), b"200", b"copies=1"])),
                b"ping" | b"stat" => Some(encode_array(&[word(1), b"alive", b"-"])),
                _ => None,
            };
            if let Some(answer) = answer {
                stream.write_all(&answer)?;
            }
            held.drain(..size);
        }
    }
}

fn main() -> std::io::Result<()> {
    let at = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "127.0.0.1:7001".into());
    let listener = TcpListener::bind(&at)?;
    println!("toy worker on {}", listener.local_addr()?);
    for stream in listener.incoming() {
        let stream = stream?;
        std::thread::spawn(move || {
            if let Err(e) = serve(stream) {
                eprintln!("a connection ended: {e}");
            }
        });
    }
    Ok(())
}
