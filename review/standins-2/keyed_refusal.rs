//! Case: a gateway is killed while a keyed call of a portal runs, and tells the portal after its restart that the call
//! was refused. A portal that then sends the call again has it run twice, as the second call has another key.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::common::{begin, end, folder, free_port, log, require, sleep_ms, trouble, wait_for, Gateway, BROKEN, HELD};
use crate::hooks::{confirming_portal, further_gateways, operator_file, send_call};
use crate::net::{field, is_ready, quiet_board, worker};
use crate::site::Site;

/// The window in which workers drop repeats.
const WINDOW_MS: u64 = 5000;
/// How long a run takes.
const WORK_MS: u64 = 600;

const CLASSES: &str = r#"
  {"name":"cotizacion","repeat":"read_like","group":"all","dedupWindowMs":5000.0,"aimMs":800.0,"hardLimitMs":3000.0,"worth":1.0,"lateWorth":0.3,"stream":false},
  {"name":"reserva","repeat":"idempotency_key","group":"all","dedupWindowMs":5000.0,"aimMs":1500.0,"hardLimitMs":3000.0,"worth":3.0,"lateWorth":0.1,"stream":false}"#;

/// What all workers know together: the group is `all`.
#[derive(Default)]
struct Seen {
    /// When a key was first seen.
    keys: HashMap<String, u64>,
    /// How often an operation (the payload) has run.
    runs: HashMap<String, u32>,
}

pub fn run(record: &str) -> ! {
    begin(record);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut workers = Vec::new();
    for number in 1..=2 {
        let seen = seen.clone();
        let name = format!("s-0000000{number}");
        let label = name.clone();
        let address = worker(Arc::new(move |connection, words| {
            let Some(words) = words else { return };
            let id = words.get(1).cloned().unwrap_or_default();
            match words[0].as_slice() {
                b"go" => {
                    let key = field(&words[2], "replay").unwrap_or_default();
                    let operation = String::from_utf8_lossy(&words[3]).into_owned();
                    let now = crate::common::ms();
                    let known = {
                        let mut seen = seen.lock().unwrap();
                        let known = seen.keys.get(&key).is_some_and(|at| now < at + WINDOW_MS);
                        if !known {
                            seen.keys.insert(key.clone(), now);
                            *seen.runs.entry(operation.clone()).or_default() += 1;
                        }
                        known
                    };
                    log(format!("{label} go key {key}: {}", if known { "a repeat, dropped" } else { "runs" }));
                    log(format!("{label} operation {operation}"));
                    let connection = connection.clone();
                    std::thread::spawn(move || {
                        sleep_ms(WORK_MS);
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
    let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let hooks: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let operator = operator_file(hooks, portal, "");
    let site = Site { name: "n1", me: 0, gateways: 3, listen, board: Some(quiet_board()), workers: &workers, classes: CLASSES };
    let config = site.write();
    let _others = further_gateways(&site, portal);
    let arguments = format!("--operator {}", operator.display());
    let mut gateway = Gateway::start("n1", &config, &arguments, &folder().join("tmp"));
    require(wait_for(10_000, || is_ready(listen)), "the gateway is ready");
    let function = "000000000000a001";
    let outcome_of = |call: &str| outcomes.lock().unwrap().get(call).and_then(|told| told.first().cloned());
    let trips: Vec<(String, String)> = (1..=4).map(|number| (format!("call-{number}"), format!("trip {number}"))).collect();
    for (call, trip) in &trips {
        let status = send_call(hooks, call, "reserva", function, 3000, trip.as_bytes());
        require(status == Some(202), "the call is accepted");
    }
    if trouble() {
        sleep_ms(300);
        gateway.kill();
        sleep_ms(1000);
        gateway = Gateway::start("n1", &config, &arguments, &folder().join("tmp"));
    }
    require(wait_for(12_000, || trips.iter().all(|(call, _)| outcome_of(call).is_some())), "the callbacks come");
    require(wait_for(5_000, || is_ready(listen)), "the gateway is ready");
    let mut told_harmless = Vec::new();
    for (call, trip) in &trips {
        if outcome_of(call).as_deref() != Some("refused") {
            continue;
        }
        // Trying again is harmless, says the answer. A portal that does so under the same identity gets 409, and there will
        // be no further answer under it; so the call goes out under a new one.
        told_harmless.push(trip.clone());
        if send_call(hooks, call, "reserva", function, 3000, trip.as_bytes()) == Some(202) {
            continue;
        }
        let again = format!("{call}-again");
        let status = send_call(hooks, &again, "reserva", function, 3000, trip.as_bytes());
        require(status == Some(202), "the second call is accepted");
        require(wait_for(12_000, || outcome_of(&again).is_some()), "the second callback comes");
    }
    gateway.kill();
    let seen = seen.lock().unwrap();
    let twice: Vec<_> = seen.runs.iter().filter(|(_, runs)| **runs > 1).collect();
    log(format!("runs by operation: {:?}", seen.runs));
    log(format!("told that trying again is harmless: {told_harmless:?}"));
    end(if twice.is_empty() { HELD } else { BROKEN })
}
