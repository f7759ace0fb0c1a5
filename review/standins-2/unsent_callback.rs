//! Case: a gateway is killed while its connection to a portal comes up late. Nothing of the callback was sent, and it is
//! never sent afterwards.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::common::{begin, end, folder, free_port, log, require, sleep_ms, trouble, wait_for, Gateway, BROKEN, HELD};
use crate::hooks::{further_gateways, operator_file, send_call};
use crate::net::{is_ready, quiet_board, read_message, worker};
use crate::site::{Site, AURORA_CLASSES};
use std::io::Write;
use std::sync::Mutex;

pub fn run(record: &str) -> ! {
    begin(record);
    let address = worker(Arc::new(|connection, words| {
        let Some(words) = words else { return };
        let id = words.get(1).cloned().unwrap_or_default();
        match words[0].as_slice() {
            b"go" => {
                log("worker: runs the call");
                connection.reply(&[&id, b"200", b"remark=w", b"booked"]);
            }
            b"stage" => {
                connection.reply(&[&id, b"200", b"copies=1", b""]);
            }
            b"stat" | b"ping" => {
                connection.reply(&[&id, b"alive", b"report=rif:0;x1:0;x0:0.1", b""]);
            }
            _ => {}
        }
    }));
    let workers = vec![("s-00000001".to_owned(), address)];
    // The portal's machine takes no connection for now.
    let portal = TcpListener::bind("127.0.0.1:0").unwrap();
    let portal_address = portal.local_addr().unwrap();
    let mut fill = Vec::new();
    while fill.len() < 5000 {
        match TcpStream::connect_timeout(&portal_address, Duration::from_millis(100)) {
            Ok(stream) => fill.push(stream),
            Err(_) => break,
        }
    }
    log(format!("portal: takes no connection ({} wait)", fill.len()));
    let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let hooks: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let operator = operator_file(hooks, portal_address, "");
    let site = Site { name: "n1", me: 0, gateways: 3, listen, board: Some(quiet_board()), workers: &workers, classes: AURORA_CLASSES };
    let config = site.write();
    let _others = further_gateways(&site, portal_address);
    let arguments = format!("--operator {}", operator.display());
    let mut gateway = Gateway::start("n1", &config, &arguments, &folder().join("tmp"));
    require(wait_for(10_000, || is_ready(listen)), "the gateway is ready");
    let accepted = send_call(hooks, "call-1", "confirmar-traslado", "000000000000a001", 3000, b"trip");
    require(accepted == Some(202), "the call is accepted");
    // The portal takes connections again 0.9 s after the call, whatever happens to the gateway.
    let told = Arc::new(Mutex::new(0u32));
    let counted = told.clone();
    std::thread::spawn(move || {
        sleep_ms(900);
        drop(fill);
        log("portal: takes connections");
        for stream in portal.incoming() {
            let Ok(mut stream) = stream else { continue };
            let counted = counted.clone();
            std::thread::spawn(move || {
                while let Some(message) = read_message(&mut stream, &mut Vec::new()) {
                    log(format!("portal: {}", String::from_utf8_lossy(&message.body)));
                    *counted.lock().unwrap() += 1;
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    if trouble() {
        sleep_ms(700);
        gateway.kill();
        sleep_ms(1000);
        gateway = Gateway::start("n1", &config, &arguments, &folder().join("tmp"));
    }
    wait_for(25_000, || *told.lock().unwrap() > 0);
    sleep_ms(500);
    let told = *told.lock().unwrap();
    log(format!("callbacks that reached the portal: {told}"));
    gateway.kill();
    end(if told == 1 { HELD } else { BROKEN })
}
