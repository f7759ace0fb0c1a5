//! Case: a planned restart with an operator's file that no longer names a tenant, while calls of that tenant wait. Each of
//! them was accepted with 202 and is owed its callback.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::common::{begin, end, folder, free_port, log, require, sleep_ms, trouble, wait_for, Gateway, BROKEN, HELD};
use crate::hooks::{confirming_portal, further_gateways, operator_file, secret, send_call};
use crate::net::{is_ready, quiet_board, worker};
use crate::site::{Site, AURORA_CLASSES};

pub fn run(record: &str) -> ! {
    begin(record);
    let address = worker(Arc::new(|connection, words| {
        let Some(words) = words else { return };
        let id = words.get(1).cloned().unwrap_or_default();
        match words[0].as_slice() {
            b"go" => {
                let connection = connection.clone();
                std::thread::spawn(move || {
                    log(format!("worker: runs {}", String::from_utf8_lossy(&words[3])));
                    sleep_ms(1300); // the load of its rule pack, and the run
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
    let other = format!(
        "[[tenants]]\nname = \"hospital-sur\"\nshare_per_s = 10.0\nportal = \"http://{portal}/trips\"\nsecrets = [\"{}\"]\n",
        secret()
    );
    let operator = operator_file(hooks, portal, &other);
    let site = Site { name: "n1", me: 0, gateways: 3, listen, board: Some(quiet_board()), workers: &workers, classes: AURORA_CLASSES };
    let config = site.write();
    let _others = further_gateways(&site, portal);
    let arguments = format!("--operator {}", operator.display());
    let mut gateway = Gateway::start("n1", &config, &arguments, &folder().join("tmp"));
    require(wait_for(10_000, || is_ready(listen)), "the gateway is ready");
    let calls: Vec<String> = (1..=4).map(|number| format!("call-{number}")).collect();
    for call in &calls {
        let accepted = send_call(hooks, call, "confirmar-traslado", "000000000000a001", 3000, call.as_bytes());
        require(accepted == Some(202), "the call is accepted");
    }
    // A planned restart.
    gateway.signal("TERM");
    require(wait_for(3_700, || gateway.has_ended()), "the gateway ends in time");
    log("n1: ended");
    if trouble() {
        let text = std::fs::read_to_string(&operator).unwrap();
        let start = text.find("[[tenants]]\nname = \"hospital-norte\"").unwrap();
        std::fs::write(&operator, &text[..start]).unwrap();
        log("operator: hospital-norte is no longer in the file");
    }
    let mut gateway = Gateway::start("n1", &config, &arguments, &folder().join("tmp"));
    let missing = || -> Vec<&String> {
        let told = outcomes.lock().unwrap();
        calls.iter().filter(|call| !told.contains_key(*call)).collect()
    };
    wait_for(25_000, || missing().is_empty());
    sleep_ms(500);
    let missing = missing();
    log(format!("accepted calls without a callback: {missing:?}"));
    let twice = outcomes.lock().unwrap().values().any(|told| told.len() > 1);
    gateway.kill();
    end(if missing.is_empty() && !twice { HELD } else { BROKEN })
}
