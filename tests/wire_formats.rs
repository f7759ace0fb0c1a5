//! Compares messages on the wire, hashes and signatures byte by byte with recorded files.
//!
//! The files are in `tests/fixtures/wire`, one line per value: its name and its bytes in hex.
//! Renaming code must not change them. After an intended change of a format, `UPDATE_FIXTURES=1
//! cargo test --test wire_formats` rewrites them. Changed bytes break fleets with gateways of
//! different versions unless the version of the wire format changes too.

#[path = "wire_formats/council.rs"]
mod consensus;
#[path = "wire_formats/digests.rs"]
mod digests;
#[path = "wire_formats/board.rs"]
mod discovery;
#[path = "common/fixtures.rs"]
mod fixtures;
#[path = "common/hex.rs"]
mod hex;
#[path = "wire_formats/membership.rs"]
mod membership;
#[path = "wire_formats/worker.rs"]
mod worker;

use std::collections::BTreeMap;

use base64::prelude::{Engine, BASE64_STANDARD};
use molelug::membership::keys::Keys;

/// The names of the two gateways in all fixtures.
const ALPHA: &str = "alpha";
const BETA: &str = "beta";

fn encoded_key(byte: u8) -> String {
    BASE64_STANDARD.encode([byte; 32])
}

/// Keys shared by all gateways; their seals are keyed hashes.
fn shared_keys() -> Keys {
    Keys::shared(&[encoded_key(7)]).expect("a key of 32 bytes")
}

/// A key pair per gateway; the seals are Ed25519 signatures, which are deterministic.
fn own_keys(name: &str) -> Keys {
    let private = BTreeMap::from([(ALPHA, encoded_key(1)), (BETA, encoded_key(2))]);
    let public = |key: &String| vec![Keys::public(key).expect("a key of 32 bytes")];
    let accepted = private
        .iter()
        .map(|(name, key)| ((*name).to_owned(), public(key)))
        .collect();
    Keys::per_instance(name, &private[name], &accepted).expect("its own key is accepted")
}
