//! The webhook front end to end on loopback: signed calls, workers that die or stop replying, and a
//! portal that records its callbacks.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};

use base64::prelude::{Engine, BASE64_STANDARD};
use common::*;
use serde_json::json;

const KEY: &[u8] = b"a test key of thirty-two bytes..";
const OTHER: &[u8] = b"another key of thirty-two bytes.";

fn operator(portal: SocketAddr) -> String {
    format!(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\ncallback_window_ms = 20000\ncallback_answer_ms = 10000\n\
         [[tenants]]\nname = \"clinic\"\nshare_per_s = 0.0\nportal = \"http://{portal}/in\"\n\
         secrets = [\"whsec_{}\"]\n",
        BASE64_STANDARD.encode(KEY)
    )
}

fn now_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs()
}

fn event(class: &str, function: u64) -> Vec<u8> {
    let data = json!({ "class": class, "function": format!("{function:016x}"), "lanes": 4,
                       "payload": BASE64_STANDARD.encode("trip") });
    json!({ "type": "call.requested", "data": data })
        .to_string()
        .into_bytes()
}

/// Sends a call and returns the status.
fn call(g: &Gateway, key: &[u8], id: &str, stamp: u64, body: &[u8]) -> u16 {
    let signed = signature(key, id, &stamp.to_string(), body);
    let head = format!(
        "POST /webhooks/clinic HTTP/1.1\r\nwebhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\n\
         webhook-signature: v1,bm90IHRoaXM= {signed}"
    );
    http(g.webhooks.expect("webhooks are enabled"), &head, body).0
}

/// Starts a gateway and waits past its first second: at the first start with the file of identities
/// beside the operator's file it rejects calls signed in or before that second.
fn start(workers: &[Worker], portal: SocketAddr) -> Gateway {
    let g = Gateway::start(
        &settings(900.0),
        &endpoints(workers),
        None,
        Some(&operator(portal)),
    );
    let first = now_s();
    until("the first second has passed", || now_s() > first);
    g
}

fn endpoints(workers: &[Worker]) -> Vec<serde_json::Value> {
    workers
        .iter()
        .enumerate()
        .map(|(i, w)| endpoint(&format!("s-0000000{i}"), w.address, "SERVING"))
        .collect()
}

#[test]
fn each_call_gets_one_callback_despite_worker_failures() {
    let workers: Vec<Worker> = (0..5).map(|_| Worker::start()).collect();
    let portal = Portal::start(KEY);
    let g = start(&workers, portal.address);
    let mut sent = BTreeMap::new();
    for i in 0..90u64 {
        match i {
            20 => workers[0].set(Does::Die),
            30 => workers[1].set(Does::Silent),
            40 => workers[2].set(Does::Die),
            70 => workers[1].set(Does::Answer),
            _ => {}
        }
        let class = if i % 2 == 0 {
            "confirmar-traslado"
        } else {
            "disponibilidad"
        };
        let id = format!("call-{i}");
        assert_eq!(call(&g, KEY, &id, now_s(), &event(class, i % 12)), 202);
        sent.insert(id, class);
    }
    until("every call has its callback", || {
        portal.by_call().len() == sent.len()
    });
    let counters = g.stop();
    let seen = portal.by_call();
    assert!(
        seen.keys().eq(sent.keys()),
        "every callback belongs to a call"
    );
    for (id, deliveries) in &seen {
        assert_eq!(deliveries.len(), 1, "{id}: {deliveries:?}");
        assert!(deliveries[0].signed, "{id}");
    }
    let ids: BTreeSet<_> = seen.values().flatten().map(|d| d.id.clone()).collect();
    assert_eq!(ids.len(), sent.len(), "each callback has a distinct ID");
    // No booking reached a worker twice, whatever the outcome of its first attempt.
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (id, fields) in workers.iter().flat_map(|w| w.gos.lock().unwrap().clone()) {
        *runs.entry(id).or_default() += usize::from(fields.contains("confirmar-traslado"));
    }
    assert!(runs.values().all(|n| *n <= 1), "{runs:?}");
    assert!(
        workers[1].gos.lock().unwrap().len() > 1 && counters["served"].as_u64() > Some(60),
        "{counters}"
    );
    assert_eq!(counters["callbacks_delivered"], 90, "{counters}");
    assert_eq!(
        (&counters["taken"], &counters["overdue"]),
        (&json!(90), &json!(0)),
        "{counters}"
    );
}

#[test]
fn interrupted_callback_is_retried_by_class() {
    let workers = [Worker::start()];
    let portal = Portal::start(KEY);
    let g = start(&workers, portal.address);
    portal.drops.store(1, Ordering::SeqCst);
    assert_eq!(
        call(&g, KEY, "booking", now_s(), &event("confirmar-traslado", 1)),
        202
    );
    until("the portal has received it", || portal.count() == 1);
    until("the portal has dropped the connection", || {
        portal.drops.load(Ordering::SeqCst) == 0
    });
    portal.drops.store(1, Ordering::SeqCst);
    assert_eq!(
        call(&g, KEY, "question", now_s(), &event("disponibilidad", 1)),
        202
    );
    until("the question is sent again", || portal.count() == 3);
    let counters = g.stop();
    let seen = portal.by_call();
    assert_eq!(
        seen["booking"].len(),
        1,
        "a booking's callback is never sent twice"
    );
    assert_eq!(seen["question"].len(), 2);
    assert_eq!(
        seen["question"][0].id, seen["question"][1].id,
        "the ID lets the portal detect the duplicate"
    );
    assert_eq!(
        (
            &counters["callbacks_unknown"],
            &counters["callbacks_delivered"]
        ),
        (&json!(1), &json!(1))
    );
}

#[test]
fn recovered_portal_gets_one_delayed_callback() {
    let workers = [Worker::start()];
    // A port that has just been closed and refuses connections, at a loopback address on which no
    // outgoing connection of another process can take it.
    let closed = TcpListener::bind("127.0.7.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let g = start(&workers, address);
    assert_eq!(
        call(&g, KEY, "booking", now_s(), &event("confirmar-traslado", 1)),
        202
    );
    until("the call has run", || {
        workers[0].gos.lock().unwrap().len() == 1
    });
    let portal = Portal::on(
        TcpListener::bind(address).expect("the port is still free"),
        KEY,
    );
    until("the callback is delivered", || portal.count() == 1);
    let counters = g.stop();
    assert_eq!(
        (portal.count(), &counters["callbacks_delivered"]),
        (1, &json!(1))
    );
    assert_eq!(portal.by_call()["booking"][0].outcome, "served");
}

#[test]
fn forged_stale_and_replayed_calls_are_rejected() {
    let workers = [Worker::start()];
    let portal = Portal::start(KEY);
    let g = start(&workers, portal.address);
    let body = event("confirmar-traslado", 1);
    assert_eq!(call(&g, OTHER, "a", now_s(), &body), 401, "forged");
    assert_eq!(call(&g, KEY, "a", now_s() - 301, &body), 401, "stale");
    assert_eq!(
        call(&g, KEY, "a", now_s() + 400, &body),
        401,
        "from the future"
    );
    assert_eq!(
        call(&g, KEY, "a", now_s(), b"{\"type\":\"call.requested\"}"),
        400
    );
    assert_eq!(call(&g, KEY, "a", now_s(), &event("none", 1)), 422);
    let at = now_s();
    assert_eq!(call(&g, KEY, "a", at, &body), 202);
    assert_eq!(call(&g, KEY, "a", at, &body), 409, "replayed");
    assert_eq!(
        call(&g, KEY, "a", at + 1, &body),
        409,
        "the same call with a new signature"
    );
    let to = g.webhooks.unwrap();
    let (id, stamp) = ("b", now_s().to_string());
    let signed = signature(KEY, id, &stamp, &body);
    let unsigned =
        format!("POST /webhooks/clinic HTTP/1.1\r\nwebhook-id: b\r\nwebhook-timestamp: {stamp}");
    assert_eq!(http(to, &unsigned, &body).0, 401);
    let elsewhere =
        unsigned.replace("clinic", "nobody") + &format!("\r\nwebhook-signature: {signed}");
    assert_eq!(
        http(to, &elsewhere, &body).0,
        401,
        "the path of another tenant"
    );
    until("the callback is delivered", || portal.count() == 1);
    let counters = g.stop();
    assert_eq!(
        (&counters["taken"], &counters["webhooks_taken"]),
        (&json!(1), &json!(1)),
        "{counters}"
    );
    assert_eq!(
        (workers[0].gos.lock().unwrap().len(), portal.count()),
        (1, 1)
    );
}

/// Guards a restart: the replay file identifies calls accepted before it; without a file, calls
/// signed before the start are rejected.
#[test]
fn call_accepted_before_restart_is_rejected_as_replay() {
    let workers = [Worker::start()];
    let portal = Portal::start(KEY);
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("seen-{}", std::process::id()));
    let line = format!(
        "[webhooks]\nreplay_file = {:?}\n",
        file.display().to_string()
    );
    let with_replay_file = operator(portal.address).replace("[webhooks]\n", &line);
    let start_with = |operator: &str| {
        Gateway::start(&settings(900.0), &endpoints(&workers), None, Some(operator))
    };
    let (body, at) = (event("confirmar-traslado", 1), now_s());
    let g = start_with(&with_replay_file);
    assert_eq!(call(&g, KEY, "a", at, &body), 202);
    until("the callback is delivered", || portal.count() == 1);
    g.stop();
    let g = start_with(&with_replay_file);
    assert_eq!(call(&g, KEY, "a", at, &body), 409, "the same bytes");
    assert_eq!(
        call(&g, KEY, "a", now_s(), &body),
        409,
        "with a new signature"
    );
    g.stop();
    let g = start(&workers, portal.address);
    assert_eq!(
        call(&g, KEY, "a", at, &body),
        401,
        "the first start with another file: signed before it"
    );
    let counters = g.stop();
    assert_eq!((portal.count(), &counters["taken"]), (1, &json!(0)));
    std::fs::remove_file(&file).unwrap();
}
