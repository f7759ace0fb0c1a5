//! The administration API and the authentication of its callers.

mod common;

use std::collections::BTreeMap;

use base64::prelude::{Engine, BASE64_STANDARD};
use common::administration::*;
use common::*;
use jsonwebtoken::{Algorithm, EncodingKey, Header};
use molelug::identity::{check_id, IdentityError, Role, TokenVerifier};
use serde_json::{json, Value};

const SECOND: u64 = 1_000_000;

fn gate() -> TokenVerifier {
    let roles = BTreeMap::from([
        (VIEWER.into(), Role::Viewer),
        (OPERATOR.into(), Role::Operator),
    ]);
    let mut gate = TokenVerifier::new("aurora.example", "molelug", roles).unwrap();
    assert_eq!(gate.load(&bundle("k1", 7, "jwt-svid")), Ok(1));
    gate
}

#[test]
fn jwt_svid_checks_key_audience_time_and_subject() {
    let (gate, now) = (gate(), 1000 * SECOND);
    let check = |t: &str| gate.check(t, now);
    let of = |sub: &str| token("k1", 7, &claims(sub, json!(["molelug", "x"]), 1001));
    assert_eq!(check(&of(VIEWER)), Ok((VIEWER.into(), Some(Role::Viewer))));
    assert_eq!(
        check(&of(OPERATOR)),
        Ok((OPERATOR.into(), Some(Role::Operator)))
    );
    let nobody = "spiffe://aurora.example/desk/nobody";
    assert_eq!(
        check(&of(nobody)),
        Ok((nobody.into(), None)),
        "authenticated, without a role"
    );
    assert!(matches!(
        check(&of("spiffe://other.example/desk/viewer")),
        Err(IdentityError::Id(_))
    ));
    let late = token("k1", 7, &claims(VIEWER, json!("molelug"), 1000));
    assert_eq!(check(&late), Err(IdentityError::Time), "at its expiry");
    let early = json!({ "sub": VIEWER, "aud": "molelug", "exp": 1001, "nbf": 1000.5 });
    assert_eq!(check(&token("k1", 7, &early)), Err(IdentityError::Time));
    let elsewhere = token("k1", 7, &claims(VIEWER, json!("other"), 1001));
    assert!(matches!(check(&elsewhere), Err(IdentityError::Claims(_))));
    for missing in ["sub", "aud", "exp"] {
        let mut c = claims(VIEWER, json!("molelug"), 1001);
        c.as_object_mut().unwrap().remove(missing);
        assert!(
            matches!(check(&token("k1", 7, &c)), Err(IdentityError::Claims(_))),
            "without {missing}"
        );
    }
    let forged = token("k1", 8, &claims(VIEWER, json!("molelug"), 1001));
    assert!(
        matches!(check(&forged), Err(IdentityError::Claims(_))),
        "signed by another key"
    );
    let unknown = token("k2", 7, &claims(VIEWER, json!("molelug"), 1001));
    assert!(matches!(check(&unknown), Err(IdentityError::Token(_))));
    let header = Header {
        kid: Some("k1".into()),
        ..Header::new(Algorithm::HS256)
    };
    let c = claims(VIEWER, json!("molelug"), 1001);
    let hs =
        jsonwebtoken::encode(&header, &c, &EncodingKey::from_secret(b"guess").unwrap()).unwrap();
    assert_eq!(
        check(&hs),
        Err(IdentityError::Token("algorithm not allowed"))
    );
    assert!(check("").is_err() && check("a.b.c").is_err());
}

#[test]
fn unusable_bundle_keeps_current_keys() {
    let mut gate = gate();
    assert!(gate.load("{").is_err());
    let good = token("k1", 7, &claims(VIEWER, json!("molelug"), 10));
    assert!(gate.check(&good, 0).is_ok());
    assert_eq!(
        gate.load(&bundle("k1", 7, "x509-svid")),
        Ok(0),
        "an X.509 key verifies no token"
    );
    assert!(gate.check(&good, 0).is_err());
}

#[test]
fn spiffe_id_requires_trust_domain_and_clean_path() {
    for id in [
        "spiffe://aurora.example/a",
        "spiffe://aurora.example/a/b-c_d.e",
    ] {
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
fn tenants_are_administered_by_role_without_exposing_secrets() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("admin-{}", std::process::id()));
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
    let far_future = u64::from(u32::MAX);
    let ask = |g: &Gateway, who: &str, line: &str, body: &str| {
        let t = token("k1", 7, &claims(who, json!("molelug"), far_future));
        let (status, answer) = http(
            g.admin.unwrap(),
            &format!("{line} HTTP/1.1\r\nAuthorization: Bearer {t}"),
            body.as_bytes(),
        );
        (status, String::from_utf8(answer).unwrap())
    };
    let secret = format!("whsec_{}", BASE64_STANDARD.encode(key));
    let spec = json!({ "share_per_s": 5.0, "portal": format!("http://{}/in", portal.address) })
        .to_string();
    assert_eq!(
        http(g.admin.unwrap(), "GET /v1/tenants HTTP/1.1", b"").0,
        401
    );
    assert_eq!(
        ask(&g, "spiffe://aurora.example/x", "GET /v1/counters", "").0,
        403,
        "a caller without a role is refused"
    );
    assert_eq!(ask(&g, VIEWER, "PUT /v1/tenants/clinic", &spec).0, 403);
    assert_eq!(ask(&g, OPERATOR, "PUT /v1/tenants/clinic", &spec).0, 201);
    assert_eq!(
        ask(
            &g,
            OPERATOR,
            "PUT /v1/tenants/clinic",
            "{\"portal\":\"ftp://x\"}"
        )
        .0,
        422
    );
    assert_eq!(ask(&g, OPERATOR, "PUT /v1/tenants/clinic", "[]").0, 400);
    let rotation = json!({ "secret": secret }).to_string();
    assert_eq!(
        ask(&g, OPERATOR, "POST /v1/tenants/none/secrets", &rotation).0,
        404
    );
    let (status, shown) = ask(&g, OPERATOR, "POST /v1/tenants/clinic/secrets", &rotation);
    assert!(status == 200 && !shown.contains(&secret[6..]), "{shown}");
    // The tenant can send calls immediately, signed with the new secret.
    let data = json!({ "class": "disponibilidad", "function": "0000000000000001" });
    let body = json!({ "type": "call.requested", "data": data })
        .to_string()
        .into_bytes();
    let stamp = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_secs()
        .to_string();
    let signed = signature(key, "m1", &stamp, &body);
    let head = format!(
        "POST /webhooks/clinic HTTP/1.1\r\nwebhook-id: m1\r\nwebhook-timestamp: {stamp}\r\n\
         webhook-signature: {signed}"
    );
    assert_eq!(http(g.webhooks.unwrap(), &head, &body).0, 202);
    until("its callback is delivered", || portal.count() == 1);
    assert!(portal.by_call()["m1"][0].signed);
    let (status, shown) = ask(&g, VIEWER, "GET /v1/tenants", "");
    let list: Value = serde_json::from_str(&shown).unwrap();
    assert_eq!(
        (status, &list[0]["name"], &list[0]["secrets"]),
        (200, &json!("clinic"), &json!(1))
    );
    let (_, counters) = ask(&g, VIEWER, "GET /v1/counters", "");
    assert!(counters.contains("\"webhooks_taken\":1"), "{counters}");
    // The tenant and its secret survive a restart.
    assert_eq!(g.stop()["callbacks_delivered"], 1);
    g = Gateway::start(&settings(900.0), &workers, None, Some(&operator));
    assert!(ask(&g, VIEWER, "GET /v1/tenants/clinic", "")
        .1
        .contains("\"secrets\":1"));
    let mode = std::fs::metadata(folder.join("tenants.json"))
        .unwrap()
        .permissions();
    assert_eq!(
        std::os::unix::fs::PermissionsExt::mode(&mode) & 0o777,
        0o600
    );
    assert_eq!(ask(&g, OPERATOR, "DELETE /v1/tenants/clinic", "").0, 204);
    assert_eq!(
        http(g.webhooks.unwrap(), &head, &body).0,
        401,
        "removed with its secrets"
    );
    // A change that cannot be stored is not applied.
    std::fs::remove_file(folder.join("tenants.json")).unwrap();
    std::fs::create_dir(folder.join("tenants.json")).unwrap();
    assert_eq!(ask(&g, OPERATOR, "PUT /v1/tenants/clinic", &spec).0, 500);
    assert_eq!(ask(&g, VIEWER, "GET /v1/tenants/clinic", "").0, 404);
    assert_eq!(ask(&g, VIEWER, "GET /v1/nothing", "").0, 404);
    assert_eq!(ask(&g, OPERATOR, "PATCH /v1/tenants", "").0, 405);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The OpenAPI file lists exactly the routes of the code with their roles, and its schema
/// references resolve.
#[test]
fn openapi_file_matches_the_routes() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/openapi.json");
    let doc: Value = serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    let mut documented = Vec::new();
    for (path, methods) in doc["paths"].as_object().unwrap() {
        let route: Vec<&str> = path
            .split('/')
            .map(|p| if p.starts_with('{') { "*" } else { p })
            .collect();
        for (method, op) in methods.as_object().unwrap() {
            documented.push((
                method.to_uppercase(),
                route.join("/"),
                op["x-role"].as_str().unwrap().to_owned(),
            ));
            if let Some(name) =
                op["requestBody"]["content"]["application/json"]["schema"]["$ref"].as_str()
            {
                let name = name.strip_prefix("#/components/schemas/").unwrap();
                assert!(doc["components"]["schemas"][name].is_object(), "{name}");
            }
        }
    }
    let role = |r: Role| {
        if r == Role::Viewer {
            "viewer"
        } else {
            "operator"
        }
    };
    let mut implemented: Vec<_> = molelug::admin::ROUTES
        .iter()
        .map(|(m, p, r)| (m.to_string(), p.to_string(), role(*r).to_owned()))
        .collect();
    documented.sort();
    implemented.sort();
    assert_eq!(documented, implemented);
}

/// Covers endpoints and messages in one session: event types, versions, idempotency keys, disabling
/// and enabling, secret rotation, redelivery by class, recovery and removal.
#[test]
fn endpoints_and_messages_are_administered() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("endpoints-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("bundle.json"), bundle("k1", 7, "jwt-svid")).unwrap();
    let file = |name: &str| folder.join(name).display().to_string();
    let key = b"the key of a tenant made later..";
    let portal = Portal::start(key);
    let events = Portal::start(key);
    let secret = format!("whsec_{}", BASE64_STANDARD.encode(key));
    let operator = format!(
        "state = {:?}\n[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = {:?}\nschedule_s = [0.05, 0.05]\n\
         [admin]\nlisten = \"127.0.0.1:0\"\n\
         trust_domain = \"aurora.example\"\naudience = \"molelug\"\nbundle = {:?}\n\
         [[admin.callers]]\nspiffe_id = \"{VIEWER}\"\nrole = \"viewer\"\n\
         [[admin.callers]]\nspiffe_id = \"{OPERATOR}\"\nrole = \"operator\"\n",
        file("tenants.json"),
        file("store"),
        file("bundle.json")
    );
    let worker = Worker::start();
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let g = Gateway::start(&settings(900.0), &workers, None, Some(&operator));
    let ask_with = |who: &str, line: &str, more: &str, body: &str| {
        let t = token("k1", 7, &claims(who, json!("molelug"), u64::from(u32::MAX)));
        let head = format!("{line} HTTP/1.1\r\nAuthorization: Bearer {t}{more}");
        let (status, answer) = http(g.admin.unwrap(), &head, body.as_bytes());
        (
            status,
            serde_json::from_slice::<Value>(&answer).unwrap_or(Value::Null),
        )
    };
    let ask = |line: &str, body: &str| ask_with(OPERATOR, line, "", body);
    let spec = json!({ "secrets": [secret] }).to_string();
    assert_eq!(ask("PUT /v1/tenants/clinic", &spec).0, 201);
    let first = json!({ "url": format!("http://{}/in", portal.address) }).to_string();
    let all = json!({ "url": format!("http://{}/in", events.address), "types": ["endpoint.*", "message.exhausted", "secret.rotated"] });
    assert_eq!(ask("PUT /v1/tenants/clinic/endpoints/main", &first).0, 201);
    assert_eq!(
        ask("PUT /v1/tenants/clinic/endpoints/ops", &all.to_string()).0,
        201
    );
    assert_eq!(
        ask_with(VIEWER, "PUT /v1/tenants/clinic/endpoints/x", "", &first).0,
        403
    );
    assert_eq!(
        ask("PUT /v1/tenants/clinic/endpoints/main", "{\"in_flight\":0}").0,
        422
    );
    // Two concurrent changes: the one with the outdated version gets 412.
    let change = "{\"in_flight\":4}";
    assert_eq!(
        ask_with(
            OPERATOR,
            "PUT /v1/tenants/clinic/endpoints/main",
            "\r\nIf-Match: \"1\"",
            change
        )
        .0,
        200
    );
    assert_eq!(
        ask_with(
            OPERATOR,
            "PUT /v1/tenants/clinic/endpoints/main",
            "\r\nIf-Match: \"1\"",
            change
        )
        .0,
        412
    );
    let (_, shown) = ask_with(VIEWER, "GET /v1/tenants/clinic/endpoints/main", "", "");
    assert_eq!(
        (
            &shown["in_flight"],
            &shown["version"],
            &shown["health"]["breaker"]
        ),
        (&json!(4), &json!(2), &json!("closed"))
    );
    let send = |id: &str, class: &str| {
        let data = json!({ "class": class, "function": "0000000000000001" });
        let body = json!({ "type": "call.requested", "data": data })
            .to_string()
            .into_bytes();
        let stamp = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap()
            .as_secs()
            .to_string();
        let signed = signature(key, id, &stamp, &body);
        let head = format!("POST /webhooks/clinic HTTP/1.1\r\nwebhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\nwebhook-signature: {signed}");
        http(g.webhooks.unwrap(), &head, &body).0
    };
    // The callback of a booking is cut off: its outcome is unknown, and it is sent again only after
    // an acknowledgement of the possible duplicate.
    portal.drops.store(1, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(send("booking", "confirmar-traslado"), 202);
    let mut list = Value::Null;
    until("the outcome is unknown", || {
        list = ask("GET /v1/tenants/clinic/messages?state=unknown", "").1;
        list["messages"].as_array().is_some_and(|a| a.len() == 1)
    });
    let message = list["messages"][0]["message"].as_str().unwrap().to_owned();
    let (_, one) = ask(&format!("GET /v1/tenants/clinic/messages/{message}"), "");
    assert_eq!(
        (
            &one["log"][0]["may_have_arrived"],
            &one["body"]["data"]["call"]
        ),
        (&json!(true), &json!("booking"))
    );
    let again = format!("POST /v1/tenants/clinic/messages/{message}/again");
    assert_eq!(ask(&again, "").0, 409);
    assert_eq!(
        ask(
            "POST /v1/tenants/clinic/endpoints/main/recover",
            "{\"since_s\":3600}"
        )
        .1["sent_again"],
        0
    );
    let with_key = "\r\nIdempotency-Key: k-1";
    let yes = "{\"acknowledge_duplicate\":true}";
    assert_eq!(ask_with(OPERATOR, &again, with_key, yes).0, 202);
    assert_eq!(
        ask_with(OPERATOR, &again, with_key, yes).0,
        202,
        "the same key gets the same answer"
    );
    assert_eq!(
        ask_with(OPERATOR, &again, with_key, "").0,
        409,
        "the same key with another request"
    );
    until("the callback is delivered again", || {
        portal.by_call()["booking"].len() == 2
    });
    until("the delivery is stored", || {
        ask(&format!("GET /v1/tenants/clinic/messages/{message}"), "").1["state"] == "delivered"
    });
    assert_eq!(
        ask(&format!("GET /v1/tenants/clinic/messages/{message}"), "").1["acknowledged_by"],
        OPERATOR
    );
    // Exhausted messages of an idempotent class are recovered once the portal answers again.
    portal.drops.store(3, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(send("question", "disponibilidad"), 202);
    until("the message is exhausted", || {
        ask("GET /v1/tenants/clinic/messages?state=exhausted", "").1["messages"]
            .as_array()
            .is_some_and(|a| a.len() == 1)
    });
    let (status, sent) = ask(
        "POST /v1/tenants/clinic/endpoints/main/recover",
        "{\"since_s\":3600}",
    );
    assert_eq!((status, &sent["sent_again"]), (202, &json!(1)));
    until("the message is delivered", || {
        portal
            .by_call()
            .get("question")
            .is_some_and(|d| d.len() == 4)
    });
    // Messages wait while the endpoint is disabled and are sent once it is enabled. Pages respect
    // the limit.
    assert_eq!(
        ask("POST /v1/tenants/clinic/endpoints/main/disable", "").0,
        200
    );
    assert_eq!(send("later", "disponibilidad"), 202);
    until("the message waits", || {
        ask("GET /v1/tenants/clinic/messages?state=waiting", "").1["messages"]
            .as_array()
            .is_some_and(|a| a.len() == 1)
    });
    assert!(!portal.by_call().contains_key("later"));
    assert_eq!(
        ask("POST /v1/tenants/clinic/endpoints/main/enable", "").0,
        200
    );
    until("the message is sent", || {
        portal.by_call().contains_key("later")
    });
    let (mut cursor, mut seen) = (String::new(), 0);
    loop {
        let (status, page) = ask(
            &format!("GET /v1/tenants/clinic/messages?limit=2{cursor}"),
            "",
        );
        assert_eq!(status, 200);
        seen += page["messages"].as_array().unwrap().len();
        let Some(next) = page["cursor"].as_str() else {
            break;
        };
        cursor = format!("&cursor={next}");
    }
    assert!(
        seen >= 5,
        "three callbacks, and the events of two abandoned deliveries: {seen}"
    );
    assert_eq!(ask("GET /v1/tenants/clinic/messages?limit=0", "").0, 422);
    // During the overlap of a rotation both secrets sign; the `ops` endpoint receives the event.
    let fresh = format!(
        "whsec_{}",
        BASE64_STANDARD.encode(b"the key that comes after it.....")
    );
    let rotation = json!({ "secret": fresh, "keep_old_s": 60 }).to_string();
    assert_eq!(ask("POST /v1/tenants/clinic/secrets", &rotation).0, 200);
    assert_eq!(
        ask("POST /v1/tenants/clinic/endpoints/main/test", "").0,
        202
    );
    until("the test event is delivered", || {
        portal
            .seen
            .lock()
            .unwrap()
            .iter()
            .filter(|d| d.call.is_empty())
            .count()
            == 1
    });
    assert!(
        portal.seen.lock().unwrap().iter().all(|d| d.signed),
        "signed with the old secret too"
    );
    until("the ops endpoint has received the events", || {
        events.count() >= 3
    });
    // After the removal its messages are inaccessible, also for a new tenant of the same name.
    assert_eq!(ask("DELETE /v1/tenants/clinic/endpoints/main", "").0, 204);
    assert_eq!(ask("GET /v1/tenants/clinic/endpoints/main", "").0, 404);
    assert_eq!(ask("DELETE /v1/tenants/clinic", "").0, 204);
    assert_eq!(ask("GET /v1/tenants/clinic/messages", "").0, 404);
    assert_eq!(ask("PUT /v1/tenants/clinic", &spec).0, 201);
    let list = ask("GET /v1/tenants/clinic/messages", "").1;
    assert_eq!(
        list["messages"],
        json!([]),
        "a new tenant of the same name sees no messages of the old one"
    );
    assert!(ask("GET /v1/store", "").1["messages"].as_u64() >= Some(5));
    g.stop();
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Removes a tenant, and one of two endpoints of another tenant, while callbacks are in flight,
/// waiting, queued behind others or disabled, with a configuration reload in between. Every
/// callback must reach a final state once the time for callbacks to removed endpoints is over.
#[test]
fn removal_ends_callbacks_in_every_state() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("removed-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("bundle.json"), bundle("k1", 7, "jwt-svid")).unwrap();
    let file = |name: &str| folder.join(name).display().to_string();
    let key = b"the key of a tenant made later..";
    // One portal accepts connections and never answers; the other one answers.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let portal = Portal::start(key);
    let operator = format!(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = {:?}\nschedule_s = [0.05]\n\
         removed_grace_s = 1\ncallback_answer_ms = 20000\n[admin]\nlisten = \"127.0.0.1:0\"\ntrust_domain = \"aurora.example\"\n\
         audience = \"molelug\"\nbundle = {:?}\n[[admin.callers]]\nspiffe_id = \"{OPERATOR}\"\nrole = \"operator\"\n",
        file("store"),
        file("bundle.json")
    );
    let worker = Worker::start();
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let mut g = Gateway::start(&settings(900.0), &workers, None, Some(&operator));
    let admin = g.admin.unwrap();
    let ask = |line: &str, body: &str| {
        let t = token(
            "k1",
            7,
            &claims(OPERATOR, json!("molelug"), u64::from(u32::MAX)),
        );
        http(
            admin,
            &format!("{line} HTTP/1.1\r\nAuthorization: Bearer {t}"),
            body.as_bytes(),
        )
    };
    let secret = format!("whsec_{}", BASE64_STANDARD.encode(key));
    let to = |address: std::net::SocketAddr, name: &str, ordered: bool| json!({ "name": name, "url": format!("http://{address}/in"), "in_flight": 2, "ordered": ordered });
    let at = silent.local_addr().unwrap();
    let mut off = to(portal.address, "off", false);
    off["enabled"] = false.into();
    let all = [to(at, "stuck", false), to(at, "order", true), off];
    let gone = json!({ "secrets": [secret], "endpoints": all }).to_string();
    let stays =
        json!({ "secrets": [secret], "endpoints": [all[0], to(portal.address, "well", false)] })
            .to_string();
    assert_eq!(ask("PUT /v1/tenants/gone", &gone).0, 201);
    assert_eq!(ask("PUT /v1/tenants/stays", &stays).0, 201);
    let webhooks_address = g.webhooks.unwrap();
    let send = |tenant: &str, id: &str, class: &str| {
        let data = json!({ "class": class, "function": "0000000000000001", "order_key": "k" });
        let body = json!({ "type": "call.requested", "data": data })
            .to_string()
            .into_bytes();
        let stamp = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap()
            .as_secs()
            .to_string();
        let signed = signature(key, id, &stamp, &body);
        let head = format!(
            "POST /webhooks/{tenant} HTTP/1.1\r\nwebhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\n\
             webhook-signature: {signed}"
        );
        http(webhooks_address, &head, &body).0
    };
    for n in 0..6 {
        let class = if n % 2 == 0 {
            "confirmar-traslado"
        } else {
            "disponibilidad"
        };
        assert_eq!(send("gone", &format!("g{n}"), class), 202);
        assert_eq!(send("stays", &format!("s{n}"), class), 202);
    }
    let list = |tenant: &str| {
        let (status, text) = ask(
            &format!("GET /v1/tenants/{tenant}/messages?state=waiting"),
            "",
        );
        let page: Value = serde_json::from_slice(&text).unwrap();
        (status, page["messages"].as_array().map_or(0, Vec::len))
    };
    until("all callbacks are waiting or delivered", || {
        list("gone").1 == 18 && portal.count() == 6
    });
    g.signal(rustix::process::Signal::HUP);
    g.line("the configuration was read anew");
    assert_eq!(ask("DELETE /v1/tenants/gone", "").0, 204);
    assert_eq!(ask("DELETE /v1/tenants/stays/endpoints/stuck", "").0, 204);
    // Only the two callbacks in flight are unfinished; deliveries to the other portal continue.
    until("the waiting callbacks have ended", || list("stays").1 <= 2);
    assert_eq!(send("stays", "later", "disponibilidad"), 202);
    until("the callback is delivered", || portal.count() == 7);
    let counters = g.stop();
    assert_eq!(counters["callbacks_delivered"], 7, "{counters}");
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_molelug"))
        .args(["store", "export", &file("store")])
        .output()
        .unwrap();
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    for line in String::from_utf8(out.stdout).unwrap().lines() {
        let m: Value = serde_json::from_str(line).unwrap();
        *states
            .entry(m["state"].as_str().unwrap().to_owned())
            .or_default() += 1;
    }
    assert_eq!(states.values().sum::<usize>(), 18 + 12 + 1, "{states:?}");
    assert!(!states.contains_key("waiting"), "{states:?}");
    assert_eq!(states["delivered"], 7);
    // Non-idempotent callbacks in flight to the silent portal end as unknown: at most one per
    // delivery slot.
    assert!(states.get("unknown").is_none_or(|n| *n <= 6), "{states:?}");
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Without a store, callbacks of a removed tenant also free their delivery slots and do not delay
/// an orderly shutdown.
#[test]
fn tenant_removal_without_store_leaves_no_callbacks() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("memory-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("bundle.json"), bundle("k1", 7, "jwt-svid")).unwrap();
    let key = b"the key of a tenant made later..";
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let secret = format!("whsec_{}", BASE64_STANDARD.encode(key));
    let operator = format!(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\nreplay_file = {:?}\nschedule_s = [3600]\n[admin]\n\
         listen = \"127.0.0.1:0\"\ntrust_domain = \"aurora.example\"\naudience = \"molelug\"\nbundle = {:?}\n\
         [[admin.callers]]\nspiffe_id = \"{OPERATOR}\"\nrole = \"operator\"\n\
         [[tenants]]\nname = \"clinic\"\nportal = \"http://{closed}/in\"\nsecrets = [\"{secret}\"]\n",
        folder.join("seen").display().to_string(),
        folder.join("bundle.json").display().to_string()
    );
    let worker = Worker::start();
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let g = Gateway::start(&settings(900.0), &workers, None, Some(&operator));
    let data = json!({ "class": "disponibilidad", "function": "0000000000000001" });
    let body = json!({ "type": "call.requested", "data": data })
        .to_string()
        .into_bytes();
    let stamp = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_secs()
        .to_string();
    let head = format!(
        "POST /webhooks/clinic HTTP/1.1\r\nwebhook-id: m1\r\nwebhook-timestamp: {stamp}\r\n\
         webhook-signature: {}",
        signature(key, "m1", &stamp, &body)
    );
    assert_eq!(http(g.webhooks.unwrap(), &head, &body).0, 202);
    let ask = |line: &str| {
        let t = token(
            "k1",
            7,
            &claims(OPERATOR, json!("molelug"), u64::from(u32::MAX)),
        );
        http(
            g.admin.unwrap(),
            &format!("{line} HTTP/1.1\r\nAuthorization: Bearer {t}"),
            b"",
        )
    };
    let waits = || {
        String::from_utf8(ask("GET /v1/store").1)
            .unwrap()
            .contains("\"waiting\":1")
    };
    until("the callback waits for its next attempt in an hour", waits);
    assert_eq!(ask("DELETE /v1/tenants/clinic").0, 204);
    // `stop` fails if the gateway does not exit within `PATIENCE`.
    let counters = g.stop();
    assert_eq!(
        (&counters["taken"], &counters["callbacks_delivered"]),
        (&json!(1), &json!(0))
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
