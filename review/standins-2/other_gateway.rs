//! Case: three gateways with a store each. A signed call that one of them took is sent once more, to another one: it is
//! accepted and runs a second time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::common::{begin, end, folder, free_port, log, require, sleep_ms, trouble, wait_for, Gateway, BROKEN, HELD};
use crate::hooks::{confirming_portal, secret, send, signed_call};
use crate::net::{is_ready, quiet_board, worker};
use crate::site::{Site, AURORA_CLASSES};

pub fn run(record: &str) -> ! {
    begin(record);
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let mut workers = Vec::new();
    for number in 1..=3 {
        let counted = runs.clone();
        let name = format!("s-0000000{number}");
        let label = name.clone();
        let address = worker(Arc::new(move |connection, words| {
            let Some(words) = words else { return };
            let id = words.get(1).cloned().unwrap_or_default();
            match words[0].as_slice() {
                b"go" => {
                    let trip = String::from_utf8_lossy(&words[3]).into_owned();
                    log(format!("{label} runs {trip}"));
                    *counted.lock().unwrap().entry(trip).or_default() += 1;
                    let connection = connection.clone();
                    std::thread::spawn(move || {
                        sleep_ms(150);
                        connection.reply(&[&id, b"200", b"remark=w", b"booked"]);
                    });
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
        workers.push((name, address));
    }
    let (portal, outcomes) = confirming_portal();
    let board = quiet_board();
    let mut gateways = Vec::new();
    let mut doors = Vec::new();
    for me in 0..3 {
        let name = format!("n{}", me + 1);
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let door: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        // Each gateway is a machine of its own, with a folder of its own.
        let machine = folder().join(&name);
        std::fs::create_dir_all(&machine).unwrap();
        let operator = machine.join("webhooks.toml");
        let text = format!(
            "[webhooks]\nlisten = \"{door}\"\nstore = \"store\"\n\n[[tenants]]\nname = \"hospital-norte\"\nshare_per_s = 50.0\n\
             portal = \"http://{portal}/trips\"\nsecrets = [\"{}\"]\n",
            secret()
        );
        std::fs::write(&operator, text).unwrap();
        let site = Site { name: &name, me, gateways: 3, listen, board: Some(board), workers: &workers, classes: AURORA_CLASSES };
        let arguments = format!("--operator {}", operator.display());
        gateways.push(Gateway::start(&name, &site.write(), &arguments, &machine.join("tmp")));
        require(wait_for(10_000, || is_ready(listen)), "the gateway is ready");
        doors.push(door);
    }
    let calls: Vec<(String, Vec<u8>)> = (1..=4)
        .map(|number| {
            let id = format!("call-{number}");
            let bytes = signed_call(&id, "confirmar-traslado", "000000000000a001", 3000, format!("trip {number}").as_bytes());
            (id, bytes)
        })
        .collect();
    for (id, bytes) in &calls {
        require(send(doors[0], id, bytes) == Some(202), "the call is accepted");
    }
    let all_told = || calls.iter().all(|(id, _)| outcomes.lock().unwrap().contains_key(id));
    require(wait_for(10_000, all_told), "all callbacks come");
    let door = if trouble() { 1 } else { 0 };
    log(format!("the same four requests are sent to n{}", door + 1));
    let mut taken = Vec::new();
    for (id, bytes) in &calls {
        if send(doors[door], id, bytes) == Some(202) {
            taken.push(id.clone());
        }
    }
    sleep_ms(2_000);
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    log(format!("replays that were accepted: {taken:?}; trips that ran more than once: {twice:?}"));
    end(if taken.is_empty() && twice.is_empty() { HELD } else { BROKEN })
}
