//! Digests and signatures of fixed inputs. They change with a context string or the order of the
//! hashed parts.

use base64::prelude::{Engine, BASE64_STANDARD};
use molelug::consensus::bootstrap_replica_id;
use molelug::consensus::wire::challenge;
use molelug::front::webhook::replay::identity_digest;
use molelug::front::webhook::signature::{sign, verify};
use molelug::replication::placement::{next_replica, replica_order, Host};
use molelug::replication::{shard_of, LogPosition};
use molelug::tenancy::replicated::history::digest;
use molelug::tenancy::Secret;

use crate::fixtures::check_lines;
use crate::hex::hex_line;

const MESSAGE_ID: &str = "msg_p5jXN8AQM9LWM0D4loKWxJek";
const TIMESTAMP: u64 = 1_614_265_330;
const BODY: &[u8] = b"{\"test\": 2432232314}";

fn secret(prefix: &str, byte: u8) -> Secret {
    let text = format!("{prefix}_{}", BASE64_STANDARD.encode([byte; 32]));
    Secret::parse(&text).expect("a secret of 32 bytes")
}

fn hosts() -> Vec<Host> {
    let host = |(number, hall): (u32, Option<&str>)| Host {
        name: format!("gateway-{number}").into(),
        hall: hall.map(str::to_owned),
    };
    let halls = [
        Some("north"),
        Some("north"),
        Some("south"),
        Some("south"),
        None,
        None,
        Some("west"),
    ];
    (0..).zip(halls).map(host).collect()
}

#[test]
fn digests_match_their_recorded_bytes() {
    let log_position = LogPosition::default()
        .advance(b"first record")
        .advance(b"second record");
    let identity = identity_digest("acme", MESSAGE_ID);
    let lines = [
        hex_line("session-word", &challenge("alpha", 0x0a0a, 4)),
        hex_line(
            "founder-seat",
            &bootstrap_replica_id(3, "alpha").to_le_bytes(),
        ),
        hex_line("record-chain", &log_position.chain),
        hex_line("call-identity", &identity),
        hex_line("tenant-digest", &digest(b"kept tenant").to_le_bytes()),
        format!("record-number {}", log_position.number),
        format!("identity-shard {}", shard_of(&identity, 64)),
    ];
    check_lines("wire/digests.txt", &lines);
}

#[test]
fn shard_hosts_keep_their_recorded_order() {
    let hosts = hosts();
    let line = |shard: u16| {
        let order = replica_order(shard, &hosts);
        let have = [order[0].clone(), order[1].clone()].into();
        let next = next_replica(shard, &hosts, &have, |_| true).expect("five hosts remain");
        format!("{shard} {} next={next}", order.join(" "))
    };
    let lines: Vec<String> = (1..=16).chain([1024]).map(line).collect();
    check_lines("wire/shard_hosts.txt", &lines);
}

#[test]
fn webhook_signatures_match_recorded_headers() {
    let (hmac, signing) = (secret("whsec", 1), secret("whsk", 2));
    let public = signing.public().expect("an Ed25519 key has a public half");
    let header = sign([&hmac, &signing].into_iter(), MESSAGE_ID, TIMESTAMP, BODY);
    check_lines(
        "wire/webhook_signatures.txt",
        &[format!("header {header}"), format!("public {public}")],
    );
    let checking = Secret::parse(&public).expect("a public key");
    for secret in [&hmac, &signing, &checking] {
        assert!(verify(
            std::iter::once(secret),
            MESSAGE_ID,
            TIMESTAMP,
            BODY,
            &header
        ));
    }
}

#[test]
fn secret_prefixes_name_their_kinds() {
    let public = secret("whsk", 2)
        .public()
        .expect("an Ed25519 key has a public half");
    assert_eq!(secret("whsec", 1).kind(), "hmac");
    assert_eq!(secret("whsk", 2).kind(), "ed25519");
    assert_eq!(
        Secret::parse(&public).expect("a public key").kind(),
        "ed25519-public"
    );
}
