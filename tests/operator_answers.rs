//! Checks the keys of every JSON response of the administration API. Renames in the code must not
//! change them.
//!
//! After an intended change, `INSTA_UPDATE=always cargo test --test operator_answers` rewrites the
//! snapshots in `snapshots/`.

mod common;

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use base64::prelude::{Engine, BASE64_STANDARD};
use common::*;
use jsonwebtoken::jwk::{Jwk, PublicKeyUse};
use jsonwebtoken::{Algorithm, EncodingKey, Header};
use molelug::delivery::response::{DeadLetterReason, MessageState};
use molelug::delivery::Enabled;
use molelug::lease::grantor::VacancyReason;
use molelug::membership::group::PeerView;
use molelug::membership::swim::MemberState;
use serde_json::{json, Value};

const OPERATOR: &str = "spiffe://aurora.example/desk/operator";
const TENANT_KEY: &[u8] = b"the key of a tenant for a test..";

/// A P-256 key in PKCS #8 with a fixed secret.
fn signing_key() -> EncodingKey {
    let head = "3041020100301306072a8648ce3d020106082a8648ce3d030107042730250201010420";
    let byte = |n: usize| u8::from_str_radix(&head[2 * n..2 * n + 2], 16).expect("a byte");
    let mut der: Vec<u8> = (0..head.len() / 2).map(byte).collect();
    der.extend([7; 32]);
    EncodingKey::from_ec_der(&der)
}

fn trust_bundle() -> String {
    let mut jwk = Jwk::from_encoding_key(&signing_key(), Algorithm::ES256).expect("a public key");
    jwk.common.key_id = Some("k1".into());
    jwk.common.public_key_use = Some(PublicKeyUse::Other("jwt-svid".into()));
    json!({ "keys": [jwk], "spiffe_sequence": 1 }).to_string()
}

fn token() -> String {
    let header = Header {
        kid: Some("k1".into()),
        ..Header::new(Algorithm::ES256)
    };
    let claims = json!({ "sub": OPERATOR, "aud": "molelug", "exp": u32::MAX });
    jsonwebtoken::encode(&header, &claims, &signing_key()).expect("a token")
}

/// An address that no process listens on at the moment.
fn free_address() -> SocketAddr {
    // On this loopback address no outgoing connection of another process can take the port.
    let listener = TcpListener::bind("127.0.7.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// A gateway with webhooks, a store, the administration API, gossip and a single consensus voter.
struct FullGateway {
    child: Child,
    folder: PathBuf,
    webhooks: SocketAddr,
    admin: SocketAddr,
}

impl FullGateway {
    fn start(name: &str, workers: &[Value]) -> FullGateway {
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (webhooks, admin) = (free_address(), free_address());
        write_files(&folder, workers, webhooks, admin);
        let mut found = command(&folder);
        let found = found
            .args(["council", "found", "--council", "council.toml", "n1"])
            .output();
        assert!(
            found.as_ref().is_ok_and(|out| out.status.success()),
            "{found:?}"
        );
        let mut serve = command(&folder);
        serve.args([
            "serve",
            "--operator",
            "operator.toml",
            "--gossip",
            "gossip.toml",
        ]);
        serve
            .args(["--council", "council.toml"])
            .stderr(Stdio::null());
        let child = serve.spawn().expect("the process starts");
        let gateway = FullGateway {
            child,
            folder,
            webhooks,
            admin,
        };
        until("the gateway listens", || {
            TcpStream::connect(admin).is_ok() && TcpStream::connect(webhooks).is_ok()
        });
        gateway
    }

    /// Sends a request and returns the status and the JSON of the response.
    fn ask(&self, line: &str, body: &Value) -> (u16, Value) {
        let head = format!("{line} HTTP/1.1\r\nAuthorization: Bearer {}", token());
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let (status, answer) = http(self.admin, &head, body.as_bytes());
        (
            status,
            serde_json::from_slice(&answer).unwrap_or(Value::Null),
        )
    }

    /// Returns the JSON of a resource that must exist.
    fn get(&self, path: &str) -> Value {
        let (status, answer) = self.ask(&format!("GET {path}"), &Value::Null);
        assert_eq!(status, 200, "{path}: {answer}");
        answer
    }

    /// Sends a signed call and returns its status.
    fn call(&self, id: &str) -> u16 {
        let data = json!({ "class": "disponibilidad", "function": "0000000000000001" });
        let body = json!({ "type": "call.requested", "data": data })
            .to_string()
            .into_bytes();
        let since = std::time::UNIX_EPOCH.elapsed().expect("a time after 1970");
        let stamp = since.as_secs().to_string();
        let signed = signature(TENANT_KEY, id, &stamp, &body);
        let head = format!(
            "POST /webhooks/clinic HTTP/1.1\r\nwebhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\n\
             webhook-signature: {signed}"
        );
        http(self.webhooks, &head, &body).0
    }
}

impl Drop for FullGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn command(folder: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_molelug"));
    command
        .current_dir(folder)
        .env("RELAY_CONFIG", "config.json");
    for name in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_ADMIN_ADDR", "RELAY_FD"] {
        command.env_remove(name);
    }
    command
}

fn write_files(folder: &Path, workers: &[Value], webhooks: SocketAddr, admin: SocketAddr) {
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).expect("a file");
    let notice =
        json!({ "rev": 1, "pool": { "index": 1, "snapshot": true, "endpoints": workers } });
    let config = json!({ "name": "n1", "listen": "127.0.0.1:0", "settings": settings(2500.0),
        "known": { "rev": 1, "notices": [notice] } });
    write("config.json", &config.to_string());
    write("bundle.json", &trust_bundle());
    write(
        "shared.keys",
        &format!("{}\n", BASE64_STANDARD.encode([9; 32])),
    );
    write(
        "operator.toml",
        &format!(
            "[webhooks]\nlisten = \"{webhooks}\"\nstore = \"store\"\n[admin]\nlisten = \"{admin}\"\n\
             trust_domain = \"aurora.example\"\naudience = \"molelug\"\nbundle = \"bundle.json\"\n\
             [[admin.callers]]\nspiffe_id = \"{OPERATOR}\"\nrole = \"operator\"\n"
        ),
    );
    write(
        "gossip.toml",
        "listen = \"127.0.0.1:0\"\nshared_keys = \"shared.keys\"\n",
    );
    let council = free_address();
    write(
        "council.toml",
        &format!(
            "listen = \"{council}\"\nname = \"n1\"\nseat = \"seat\"\nduties = [\"trials\", \"loads-0\"]\n\
             shared_keys = \"shared.keys\"\n[voters]\nn1 = \"{council}\"\n"
        ),
    );
}

/// Collects the paths of all keys in a value; all entries of a list share one path.
fn key_paths(at: &str, value: &Value, out: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (key, inner) in map {
                let at = format!("{at}.{key}");
                out.insert(at.clone());
                key_paths(&at, inner, out);
            }
        }
        Value::Array(list) => list
            .iter()
            .for_each(|inner| key_paths(&format!("{at}[]"), inner, out)),
        _ => {}
    }
}

fn keys_of(title: &str, value: &Value) -> String {
    let mut paths = BTreeSet::new();
    key_paths("", value, &mut paths);
    let lines: String = paths.iter().map(|path| format!("    {path}\n")).collect();
    format!("{title}\n{lines}")
}

/// Creates a tenant with two endpoints, sends a call and waits until its callback is confirmed.
fn deliver_one_callback(gateway: &FullGateway, portal: &Portal) {
    let url = format!("http://{}/in", portal.address);
    let secret = format!("whsec_{}", BASE64_STANDARD.encode(TENANT_KEY));
    let tenant = json!({ "share_per_s": 5.0, "secrets": [secret], "portal": url });
    assert_eq!(gateway.ask("PUT /v1/tenants/clinic", &tenant).0, 201);
    let endpoint = json!({ "url": url, "types": ["endpoint.*"], "enabled": false, "rate_per_s": 7.5, "in_flight": 9,
        "schedule_s": [2.0, 4.0], "ordered": true, "secrets": [secret] });
    assert_eq!(
        gateway
            .ask("PUT /v1/tenants/clinic/endpoints/ops", &endpoint)
            .0,
        201
    );
    assert_eq!(gateway.call("m1"), 202);
    until("its callback is confirmed", || {
        let list = gateway.get("/v1/tenants/clinic/messages?state=delivered");
        list["messages"]
            .as_array()
            .is_some_and(|all| all.len() == 1)
    });
}

#[test]
fn administration_answers_keep_their_keys() {
    let worker = Worker::start();
    let portal = Portal::start(TENANT_KEY);
    let gateway = FullGateway::start(
        "answers",
        &[endpoint("s-00000001", worker.address, "SERVING")],
    );
    deliver_one_callback(&gateway, &portal);
    until("the gateway holds its leases", || {
        let all = gateway.get("/v1/duties");
        all["duties"]
            .as_array()
            .is_some_and(|list| list.len() == 2 && list.iter().all(|d| d["mine"] == true))
    });
    let messages = gateway.get("/v1/tenants/clinic/messages");
    let message = messages["messages"][0]["message"]
        .as_str()
        .expect("a number")
        .to_owned();
    let again = json!({ "acknowledge_duplicate": true });
    let answers = [
        "/v1/counters",
        "/v1/store",
        "/v1/council",
        "/v1/duties",
        "/v1/peers",
        "/v1/tenants",
        "/v1/tenants/clinic",
        "/v1/tenants/clinic/endpoints",
        "/v1/tenants/clinic/endpoints/ops",
        "/v1/tenants/clinic/messages",
    ]
    .map(|path| keys_of(&format!("GET {path}"), &gateway.get(path)));
    let shown = gateway.get(&format!("/v1/tenants/clinic/messages/{message}"));
    let (status, sent) = gateway.ask(
        &format!("POST /v1/tenants/clinic/messages/{message}/again"),
        &again,
    );
    let (tested, test) = gateway.ask(
        "POST /v1/tenants/clinic/endpoints/portal/test",
        &Value::Null,
    );
    let (refused, problem) = gateway.ask("GET /v1/nothing", &Value::Null);
    let rest = [
        keys_of("GET /v1/tenants/clinic/messages/MESSAGE", &shown),
        keys_of(
            &format!("POST /v1/tenants/clinic/messages/MESSAGE/again: {status}"),
            &sent,
        ),
        keys_of(
            &format!("POST /v1/tenants/clinic/endpoints/portal/test: {tested}"),
            &test,
        ),
        keys_of(&format!("GET /v1/nothing: {refused}"), &problem),
    ];
    insta::assert_snapshot!(
        "administration_answers",
        [answers.concat(), rest.concat()].concat()
    );
}

#[test]
fn administration_bodies_with_unknown_keys_are_refused() {
    let gateway = FullGateway::start("bodies", &[]);
    until("the gateway is the consensus leader", || {
        gateway.get("/v1/council")["leads"] == true
    });
    let tenant = json!({ "share_per_s": 5.0 });
    assert_eq!(gateway.ask("PUT /v1/tenants/clinic", &tenant).0, 201);
    let endpoint = json!({ "url": "http://127.0.0.1:9/in" });
    assert_eq!(
        gateway
            .ask("PUT /v1/tenants/clinic/endpoints/ops", &endpoint)
            .0,
        201
    );
    let secret = format!("whsec_{}", BASE64_STANDARD.encode(TENANT_KEY));
    let accepted = [
        (
            "PUT /v1/tenants/clinic",
            json!({ "name": "clinic", "share_per_s": 6.0 }),
            200,
        ),
        (
            "PUT /v1/tenants/clinic/endpoints/ops",
            json!({ "name": "ops", "in_flight": 2 }),
            200,
        ),
        (
            "POST /v1/tenants/clinic/secrets",
            json!({ "secret": secret, "keep_old_s": 60 }),
            200,
        ),
        (
            "POST /v1/tenants/clinic/endpoints/ops/secrets",
            json!({ "secret": secret, "keep_old_s": 60 }),
            200,
        ),
        (
            "POST /v1/tenants/clinic/endpoints/ops/recover",
            json!({ "since_s": 60 }),
            202,
        ),
        ("POST /v1/council/voters", json!({ "joins": "n2" }), 409),
        ("POST /v1/council/voters", json!({ "leaves": "n2" }), 422),
    ];
    for (line, body, status) in accepted {
        let (got, answer) = gateway.ask(line, &body);
        assert_eq!(got, status, "{line} {body}: {answer}");
        let mut unknown = body.clone();
        unknown["unknown_key"] = json!(1);
        let (got, answer) = gateway.ask(line, &unknown);
        assert_eq!(got, 400, "{line} {unknown}: {answer}");
    }
}

#[test]
fn state_names_in_answers_are_unchanged() {
    let messages = [
        MessageState::Waiting,
        MessageState::Blocked,
        MessageState::Delivered,
        MessageState::Dead(DeadLetterReason::Exhausted),
        MessageState::Dead(DeadLetterReason::Unknown),
        MessageState::Dead(DeadLetterReason::Gone),
        MessageState::Dead(DeadLetterReason::Expired),
    ];
    let expected = [
        "waiting",
        "waiting",
        "delivered",
        "exhausted",
        "unknown",
        "gone",
        "expired",
    ];
    assert_eq!(messages.map(MessageState::name), expected);
    let enabled = json!([
        Enabled::Yes,
        Enabled::DisabledByOperator,
        Enabled::DisabledByFailure
    ]);
    assert_eq!(enabled, json!(["yes", "by_hand", "by_failure"]));
    let without_holder = json!([
        VacancyReason::AwaitingExpiry,
        VacancyReason::NoCandidate,
        VacancyReason::Proposed
    ]);
    assert_eq!(
        without_holder,
        json!(["WaitsOut", "NobodyOffers", "Proposed"])
    );
    let members = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
    assert_eq!(
        members.map(MemberState::name),
        ["alive", "suspect", "dead", "left"]
    );
}

#[test]
fn peer_entries_keep_their_keys() {
    let peer = PeerView {
        name: "n2".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8190)),
        state: "alive",
        incarnation: 3,
        heard: 4,
        weight: 0.5,
    };
    let expected = json!({ "name": "n2", "address": "127.0.0.1:8190", "standing": "alive", "incarnation": 3,
        "heard": 4, "weight": 0.5 });
    assert_eq!(json!(peer), expected);
}
