//! The administration API and the identities of its callers.

mod common;

use std::collections::BTreeMap;

use base64::prelude::{Engine, BASE64_STANDARD};
use common::*;
use jsonwebtoken::jwk::{Jwk, PublicKeyUse};
use jsonwebtoken::{Algorithm, EncodingKey, Header};
use molelug::identity::{check_id, Gate, IdentityError, Role};
use serde_json::{json, Value};

const VIEWER: &str = "spiffe://aurora.example/desk/viewer";
const OPERATOR: &str = "spiffe://aurora.example/desk/operator";
const SECOND: u64 = 1_000_000;

/// A P-256 key in PKCS #8, made of its 32 bytes.
fn key(byte: u8) -> EncodingKey {
    let head = "308141020100301306072a8648ce3d020106082a8648ce3d030107042730250201010420";
    let head = head.replacen("308141", "3041", 1);
    let mut der: Vec<u8> =
        (0..head.len() / 2).map(|i| u8::from_str_radix(&head[2 * i..2 * i + 2], 16).unwrap()).collect();
    der.extend([byte; 32]);
    EncodingKey::from_ec_der(&der)
}

fn bundle(kid: &str, byte: u8, usage: &str) -> String {
    let mut jwk = Jwk::from_encoding_key(&key(byte), Algorithm::ES256).expect("a public key");
    jwk.common.key_id = Some(kid.into());
    jwk.common.public_key_use = Some(PublicKeyUse::Other(usage.into()));
    json!({ "keys": [jwk], "spiffe_sequence": 1 }).to_string()
}

fn token(kid: &str, byte: u8, claims: &Value) -> String {
    let header = Header { kid: Some(kid.into()), ..Header::new(Algorithm::ES256) };
    jsonwebtoken::encode(&header, claims, &key(byte)).expect("a token")
}

fn claims(sub: &str, aud: Value, exp: u64) -> Value {
    json!({ "sub": sub, "aud": aud, "exp": exp })
}

fn gate() -> Gate {
    let roles = BTreeMap::from([(VIEWER.into(), Role::Viewer), (OPERATOR.into(), Role::Operator)]);
    let mut gate = Gate::new("aurora.example", "molelug", roles).unwrap();
    assert_eq!(gate.load(&bundle("k1", 7, "jwt-svid")), Ok(1));
    gate
}

#[test]
fn a_jwt_svid_is_checked_by_key_audience_time_and_subject() {
    let (gate, now) = (gate(), 1000 * SECOND);
    let check = |t: &str| gate.check(t, now);
    let of = |sub: &str| token("k1", 7, &claims(sub, json!(["molelug", "x"]), 1001));
    assert_eq!(check(&of(VIEWER)), Ok((VIEWER.into(), Some(Role::Viewer))));
    assert_eq!(check(&of(OPERATOR)), Ok((OPERATOR.into(), Some(Role::Operator))));
    let nobody = "spiffe://aurora.example/desk/nobody";
    assert_eq!(check(&of(nobody)), Ok((nobody.into(), None)), "known, and without a role");
    assert!(matches!(check(&of("spiffe://other.example/desk/viewer")), Err(IdentityError::Id(_))));
    let late = token("k1", 7, &claims(VIEWER, json!("molelug"), 1000));
    assert_eq!(check(&late), Err(IdentityError::Time), "at its expiry");
    let early = json!({ "sub": VIEWER, "aud": "molelug", "exp": 1001, "nbf": 1000.5 });
    assert_eq!(check(&token("k1", 7, &early)), Err(IdentityError::Time));
    let elsewhere = token("k1", 7, &claims(VIEWER, json!("other"), 1001));
    assert!(matches!(check(&elsewhere), Err(IdentityError::Claims(_))));
    for missing in ["sub", "aud", "exp"] {
        let mut c = claims(VIEWER, json!("molelug"), 1001);
        c.as_object_mut().unwrap().remove(missing);
        assert!(matches!(check(&token("k1", 7, &c)), Err(IdentityError::Claims(_))), "without {missing}");
    }
    let forged = token("k1", 8, &claims(VIEWER, json!("molelug"), 1001));
    assert!(matches!(check(&forged), Err(IdentityError::Claims(_))), "signed by another key");
    let unknown = token("k2", 7, &claims(VIEWER, json!("molelug"), 1001));
    assert!(matches!(check(&unknown), Err(IdentityError::Token(_))));
    let header = Header { kid: Some("k1".into()), ..Header::new(Algorithm::HS256) };
    let c = claims(VIEWER, json!("molelug"), 1001);
    let hs = jsonwebtoken::encode(&header, &c, &EncodingKey::from_secret(b"guess").unwrap()).unwrap();
    assert_eq!(check(&hs), Err(IdentityError::Token("algorithm not allowed")));
    assert!(check("").is_err() && check("a.b.c").is_err());
}

#[test]
fn a_bundle_that_cannot_be_used_leaves_the_keys_held() {
    let mut gate = gate();
    assert!(gate.load("{").is_err());
    let good = token("k1", 7, &claims(VIEWER, json!("molelug"), 10));
    assert!(gate.check(&good, 0).is_ok());
    assert_eq!(gate.load(&bundle("k1", 7, "x509-svid")), Ok(0), "a key for X.509 opens nothing");
    assert!(gate.check(&good, 0).is_err());
}

#[test]
fn a_spiffe_id_is_of_the_trust_domain_and_has_a_clean_path() {
    for id in ["spiffe://aurora.example/a", "spiffe://aurora.example/a/b-c_d.e"] {
        assert!(check_id(id, "aurora.example").is_ok(), "{id}");
    }
    for id in [
        "spiffe://aurora.example",
        "spiffe://aurora.example/",
        "spiffe://aurora.example/a//b",
        "spiffe://aurora.example/a/../b",
        "spiffe://aurora.example/a?x",
        "spiffe://aurora.example.evil/a",
        "https://aurora.example/a",
    ] {
        assert!(check_id(id, "aurora.example").is_err(), "{id}");
    }
}

#[test]
fn tenants_are_administered_by_role_and_secrets_never_shown() {
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("admin-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("bundle.json");
    std::fs::write(&path, bundle("k1", 7, "jwt-svid")).unwrap();
    let worker = Worker::start();
    let key = b"the key of a tenant made later..";
    let portal = Portal::start(key);
    let operator = format!(
        "state = {:?}\n[webhooks]\nlisten = \"127.0.0.1:0\"\nreplay_file = {:?}\n[admin]\nlisten = \"127.0.0.1:0\"\ntrust_domain = \"aurora.example\"\n\
         audience = \"molelug\"\nbundle = {:?}\n[[admin.callers]]\nspiffe_id = \"{VIEWER}\"\nrole = \"viewer\"\n\
         [[admin.callers]]\nspiffe_id = \"{OPERATOR}\"\nrole = \"operator\"\n",
        folder.join("tenants.json").display().to_string(),
        folder.join("seen").display().to_string(),
        path.display().to_string()
    );
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let mut g = Gateway::start(&settings(900.0), &workers, None, Some(&operator));
    let far = u64::from(u32::MAX);
    let ask = |g: &Gateway, who: &str, line: &str, body: &str| {
        let t = token("k1", 7, &claims(who, json!("molelug"), far));
        let (status, answer) =
            http(g.admin.unwrap(), &format!("{line} HTTP/1.1\r\nAuthorization: Bearer {t}"), body.as_bytes());
        (status, String::from_utf8(answer).unwrap())
    };
    let secret = format!("whsec_{}", BASE64_STANDARD.encode(key));
    let spec = json!({ "share_per_s": 5.0, "portal": format!("http://{}/in", portal.address) }).to_string();
    assert_eq!(http(g.admin.unwrap(), "GET /v1/tenants HTTP/1.1", b"").0, 401);
    assert_eq!(ask(&g, "spiffe://aurora.example/x", "GET /v1/counters", "").0, 403, "no role, no entry");
    assert_eq!(ask(&g, VIEWER, "PUT /v1/tenants/clinic", &spec).0, 403);
    assert_eq!(ask(&g, OPERATOR, "PUT /v1/tenants/clinic", &spec).0, 201);
    assert_eq!(ask(&g, OPERATOR, "PUT /v1/tenants/clinic", "{\"portal\":\"ftp://x\"}").0, 422);
    assert_eq!(ask(&g, OPERATOR, "PUT /v1/tenants/clinic", "[]").0, 400);
    let rotation = json!({ "secret": secret }).to_string();
    assert_eq!(ask(&g, OPERATOR, "POST /v1/tenants/none/secrets", &rotation).0, 404);
    let (status, shown) = ask(&g, OPERATOR, "POST /v1/tenants/clinic/secrets", &rotation);
    assert!(status == 200 && !shown.contains(&secret[6..]), "{shown}");
    // The tenant works at once, with the secret just given.
    let data = json!({ "class": "disponibilidad", "function": "0000000000000001" });
    let body = json!({ "type": "call.requested", "data": data }).to_string().into_bytes();
    let stamp =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs().to_string();
    let signed = signature(key, "m1", &stamp, &body);
    let head = format!(
        "POST /webhooks/clinic HTTP/1.1\r\nwebhook-id: m1\r\nwebhook-timestamp: {stamp}\r\n\
         webhook-signature: {signed}"
    );
    assert_eq!(http(g.webhooks.unwrap(), &head, &body).0, 202);
    until("its callback comes", || portal.count() == 1);
    assert!(portal.by_call()["m1"][0].signed);
    let (status, shown) = ask(&g, VIEWER, "GET /v1/tenants", "");
    let list: Value = serde_json::from_str(&shown).unwrap();
    assert_eq!((status, &list[0]["name"], &list[0]["secrets"]), (200, &json!("clinic"), &json!(1)));
    let (_, counters) = ask(&g, VIEWER, "GET /v1/counters", "");
    assert!(counters.contains("\"webhooks_taken\":1"), "{counters}");
    // Over a restart the tenant and its secret stay.
    assert_eq!(g.stop()["callbacks_delivered"], 1);
    g = Gateway::start(&settings(900.0), &workers, None, Some(&operator));
    assert!(ask(&g, VIEWER, "GET /v1/tenants/clinic", "").1.contains("\"secrets\":1"));
    let mode = std::fs::metadata(folder.join("tenants.json")).unwrap().permissions();
    assert_eq!(std::os::unix::fs::PermissionsExt::mode(&mode) & 0o777, 0o600);
    assert_eq!(ask(&g, OPERATOR, "DELETE /v1/tenants/clinic", "").0, 204);
    assert_eq!(http(g.webhooks.unwrap(), &head, &body).0, 401, "gone with its secrets");
    // What cannot be kept is not done.
    std::fs::remove_file(folder.join("tenants.json")).unwrap();
    std::fs::create_dir(folder.join("tenants.json")).unwrap();
    assert_eq!(ask(&g, OPERATOR, "PUT /v1/tenants/clinic", &spec).0, 500);
    assert_eq!(ask(&g, VIEWER, "GET /v1/tenants/clinic", "").0, 404);
    assert_eq!(ask(&g, VIEWER, "GET /v1/nothing", "").0, 404);
    assert_eq!(ask(&g, OPERATOR, "PATCH /v1/tenants", "").0, 405);
    std::fs::remove_dir_all(&folder).unwrap();
}
