//! Idempotency keys between clients and workers: a worker recognizes a repeat by its key alone.

mod common;

use common::by_hand::*;
use common::signed::*;
use common::*;
use serde_json::{json, Value};

const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// Settings whose second class is keyed.
fn keyed_settings() -> Value {
    let mut settings = settings(2500.0);
    settings["services"][1]["repeat"] = json!("idempotency_key");
    settings
}

fn keyed_call(id: u64) -> Ask {
    Ask {
        key: Some(KEY),
        ..Ask::once(id)
    }
}

/// Accepts a worker's next connection, reads one attempt and resets the connection. Returns the
/// attempt.
fn reset_under_attempt(worker: &WorkerByHand) -> WorkerCommand {
    let mut connection = worker.accept();
    let attempt = connection.next_attempt();
    connection.reset();
    attempt
}

/// Guards against keyed calls that run twice: a repeat without its key is not recognized.
#[test]
fn every_attempt_carries_the_clients_key() {
    let worker = WorkerByHand::start();
    let workers = [endpoint("s-00000001", worker.address(), "SERVING")];
    let g = Gateway::start(&keyed_settings(), &workers, None, None);
    let mut client = Client::asks(&g, keyed_call(1));
    for attempt in 1..=2 {
        let go = reset_under_attempt(&worker);
        assert_eq!(go.idempotency_key(), Some(KEY), "attempt {attempt}: {go:?}");
    }
    let mut connection = worker.accept();
    let go = connection.next_attempt();
    assert_eq!(go.idempotency_key(), Some(KEY), "{go:?}");
    connection.answer(&go.id, "200", "remark=w");
    assert_eq!(client.status(), 200);
}

/// Guards against keyed calls that run twice: without a key no worker can recognize a repeat.
#[test]
fn keyed_call_without_key_is_not_repeated() {
    let worker = WorkerByHand::start();
    let workers = [endpoint("s-00000001", worker.address(), "SERVING")];
    let g = Gateway::start(&keyed_settings(), &workers, None, None);
    let mut client = Client::asks(&g, Ask::once(1));
    let go = reset_under_attempt(&worker);
    assert_eq!(go.idempotency_key(), None, "{go:?}");
    assert_eq!(client.status(), 502, "it may have run, so it failed");
    assert_eq!(g.stop()["sent"], 1);
}

/// A call of an idempotent class without a key is sent as before.
#[test]
fn idempotent_call_is_repeated_without_key() {
    let worker = WorkerByHand::start();
    let workers = [endpoint("s-00000001", worker.address(), "SERVING")];
    let g = Gateway::start(&keyed_settings(), &workers, None, None);
    let mut client = Client::asks(&g, Ask::safe(1));
    assert_eq!(reset_under_attempt(&worker).idempotency_key(), None);
    let mut connection = worker.accept();
    let go = connection.next_attempt();
    assert!(!go.fields.contains("replay"), "{go:?}");
    connection.answer(&go.id, "200", "remark=w");
    assert_eq!(client.status(), 200);
}

#[test]
fn key_that_cannot_be_passed_on_gets_400() {
    let g = Gateway::start(&keyed_settings(), &[], None, None);
    let too_long: &'static str = "k".repeat(129).leak();
    for key in ["", "a,thing=0000000000000000", "a b", too_long] {
        let ask = Ask {
            key: Some(key),
            ..Ask::once(1)
        };
        assert_eq!(Client::asks(&g, ask).status(), 400, "{key:?}");
    }
}

/// Guards against signed calls of keyed classes that run twice: the key depends on nothing that
/// differs between gateways or starts.
#[test]
fn signed_call_has_the_same_key_at_every_gateway() {
    let worker = WorkerByHand::start();
    let workers = [endpoint("s-00000001", worker.address(), "SERVING")];
    let portal = Portal::start(WEBHOOK_KEY);
    let operator = operator_file(portal.address);
    let mut keys = Vec::new();
    for _ in 0..2 {
        let g = Gateway::start(&keyed_settings(), &workers, None, Some(&operator));
        wait_for_next_second();
        let call = SignedCall::new("call-1", "confirmar-traslado");
        assert_eq!(call.send(&g), 202);
        let first = reset_under_attempt(&worker);
        let mut connection = worker.accept();
        let second = connection.next_attempt();
        assert_eq!(first.idempotency_key(), second.idempotency_key());
        keys.push(second.idempotency_key().expect("a key").to_owned());
        connection.answer(&second.id, "200", "remark=w");
        g.kill();
    }
    assert_eq!(keys[0], keys[1]);
}

#[test]
fn signed_call_of_other_class_has_no_key() {
    let worker = WorkerByHand::start();
    let workers = [endpoint("s-00000001", worker.address(), "SERVING")];
    let portal = Portal::start(WEBHOOK_KEY);
    let operator = operator_file(portal.address);
    let g = Gateway::start(&settings(2500.0), &workers, None, Some(&operator));
    wait_for_next_second();
    let call = SignedCall::new("call-1", "disponibilidad");
    assert_eq!(call.send(&g), 202);
    let go = worker.accept().next_attempt();
    assert!(!go.fields.contains("replay"), "{go:?}");
}
