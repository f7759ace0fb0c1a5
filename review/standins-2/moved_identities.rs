//! Case: a planned restart that gives the gateway a store. The identities that it accepted before are in the file beside
//! the operator's file, which the new process does not read: a replayed call is accepted and runs a second time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};

use crate::common::{begin, end, folder, free_port, log, require, sleep_ms, trouble, wait_for, Gateway, BROKEN, HELD};
use crate::hooks::{confirming_portal, further_gateways, secret, send, signed_call};
use crate::net::{is_ready, quiet_board, worker};
use crate::site::{Site, AURORA_CLASSES};

fn write_operator_file(path: &Path, hooks: SocketAddr, portal: SocketAddr, store: &str) {
    let text = format!(
        "[webhooks]\nlisten = \"{hooks}\"\n{store}\n[[tenants]]\nname = \"hospital-norte\"\nshare_per_s = 50.0\n\
         portal = \"http://{portal}/trips\"\nsecrets = [\"{}\"]\n",
        secret()
    );
    std::fs::write(path, text).expect("an operator's file");
}

pub fn run(record: &str) -> ! {
    begin(record);
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let counted = runs.clone();
    let address = worker(Arc::new(move |connection, words| {
        let Some(words) = words else { return };
        let id = words.get(1).cloned().unwrap_or_default();
        match words[0].as_slice() {
            b"go" => {
                let trip = String::from_utf8_lossy(&words[3]).into_owned();
                log(format!("worker: runs {trip}"));
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
    let workers = vec![("s-00000001".to_owned(), address)];
    let (portal, outcomes) = confirming_portal();
    let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let hooks: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let operator = folder().join("webhooks.toml");
    write_operator_file(&operator, hooks, portal, "");
    let site = Site { name: "n1", me: 0, gateways: 3, listen, board: Some(quiet_board()), workers: &workers, classes: AURORA_CLASSES };
    let config = site.write();
    let _others = further_gateways(&site, portal);
    let arguments = format!("--operator {}", operator.display());
    let mut gateway = Gateway::start("n1", &config, &arguments, &folder().join("tmp"));
    require(wait_for(10_000, || is_ready(listen)), "the gateway is ready");
    // The first start with a file of identities turns away what was signed up to the second of the start.
    sleep_ms(2_000);
    let calls: Vec<(String, Vec<u8>)> = (1..=4)
        .map(|number| {
            let id = format!("call-{number}");
            let bytes = signed_call(&id, "confirmar-traslado", "000000000000a001", 3000, format!("trip {number}").as_bytes());
            (id, bytes)
        })
        .collect();
    for (id, bytes) in &calls {
        require(send(hooks, id, bytes) == Some(202), "the call is accepted");
    }
    let all_told = || calls.iter().all(|(id, _)| outcomes.lock().unwrap().contains_key(id));
    require(wait_for(10_000, all_told), "all callbacks come");
    for (id, bytes) in &calls {
        require(send(hooks, id, bytes) == Some(409), "a replay is refused before the restart");
    }
    gateway.signal("TERM");
    require(wait_for(3_700, || gateway.has_ended()), "the gateway ends in time");
    if trouble() {
        write_operator_file(&operator, hooks, portal, "store = \"store\"\n");
        log("operator: the gateway is given a store");
    }
    let mut gateway = Gateway::start("n1", &config, &arguments, &folder().join("tmp"));
    require(wait_for(10_000, || is_ready(listen)), "the gateway is ready again");
    let mut taken = Vec::new();
    for (id, bytes) in &calls {
        let status = send(hooks, id, bytes);
        if status == Some(202) {
            taken.push(id.clone());
        }
    }
    sleep_ms(2_000);
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    log(format!("replays that were accepted: {taken:?}; trips that ran more than once: {twice:?}"));
    gateway.kill();
    end(if taken.is_empty() && twice.is_empty() { HELD } else { BROKEN })
}
