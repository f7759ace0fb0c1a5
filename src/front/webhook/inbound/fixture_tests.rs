//! Compares the identity sent to workers with its recorded value.
//!
//! See `tests/wire_formats.rs`; `UPDATE_FIXTURES=1` rewrites the file.

use super::{CallContext, EarlierIdentities, WebhookVerifier};
use crate::api::{Effect, FunctionId, IdempotencyScope};
use crate::fixtures::check_lines;
use crate::front::webhook::home::{GroupPlace, HomeGateways, SharedIdentities, TakeRule};
use crate::front::webhook::replay::ReplayStore;

#[test]
fn worker_identity_matches_its_recorded_value() {
    let inbound = WebhookVerifier {
        tolerance_s: 300,
        earlier_identities: EarlierIdentities::Known,
        replays: ReplayStore::new(1),
        seed: 0x5eed,
        classes: Vec::new(),
        take_rule: TakeRule {
            place: GroupPlace {
                number: Some(0),
                size: 1,
            },
            homes: HomeGateways::default(),
            shared: SharedIdentities::ByFile,
        },
    };
    check_lines(
        "wire/worker_identity.txt",
        &[format!(
            "identity {}",
            inbound.worker_identity("acme", "msg_1")
        )],
    );
}

fn call_of_class(effect: Effect) -> CallContext {
    CallContext {
        tenant: "acme".into(),
        serial: 3,
        webhook_id: "msg_1".into(),
        class: "edit".into(),
        effect,
        function: FunctionId(7),
        order_key: None,
        accepted_at: 0,
    }
}

/// Gateways of different versions, and a restarted one, must derive the same key: workers recognize
/// a repeat by nothing else. Stored calls have all that the key is made from.
#[test]
fn idempotency_key_matches_its_recorded_value() {
    let keyed = call_of_class(Effect::Keyed {
        scope: IdempotencyScope::Cell,
        window: 12_000_000,
    });
    let key = keyed.idempotency_key().expect("a key");
    check_lines(
        "wire/idempotency_key.txt",
        &[format!("key {}", key.as_str())],
    );
    for effect in [Effect::Idempotent, Effect::NonIdempotent] {
        assert_eq!(call_of_class(effect).idempotency_key(), None);
    }
}
