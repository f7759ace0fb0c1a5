//! Settings of different kinds of deployments: the program takes names, classes, tenants and limits
//! only from the settings, and names each value that it cannot use.

mod common;

use std::process::Command;

use common::by_hand::Client;
use common::*;
use serde_json::{json, Value};

/// One zone, no tenants and four classes, two of them non-idempotent.
fn without_tenants() -> Value {
    let class = |name: &str, repeat: &str, aim: f64, limit: f64| json!({ "name": name, "repeat": repeat, "aimMs": aim, "hardLimitMs": limit });
    json!({
        "groupSize": 1, "me": 0, "zone": 0, "tickMs": 3.0, "dcs": ["quay"],
        "services": [class("plan", "read_like", 600.0, 2000.0), class("fare", "read_like", 1000.0, 3500.0),
                     class("berth", "non_idempotent", 1800.0, 4000.0), class("notice", "non_idempotent", 500.0, 1500.0)],
        "orgs": [],
        "caps": { "mostTries": 5, "cancel": false, "connectTimeoutMs": 400.0, "connIdleMs": 12000.0, "streamsPerConn": 24 },
        "familyInfo": { "onMiss": "miss", "mayLoad": true, "keepMs": 6000.0, "orderLimitMs": 4000.0 },
        "obligations": { "graceToAnswerMs": 5.0, "drainGraceMs": 400.0 },
    })
}

/// Two zones, five tenants, two classes, loads on a miss, two attempts and no health checks.
fn with_tenants() -> Value {
    let tenant =
        |name: &str, fraction: f64| json!({ "name": name, "fraction": fraction, "quotaPerS": 9.0 });
    json!({
        "groupSize": 2, "me": 1, "zone": 1, "tickMs": 5.0, "dcs": ["north-hall", "south-hall"],
        "services": [
            { "name": "estimate", "repeat": "read_like", "aimMs": 900.0, "hardLimitMs": 6000.0 },
            { "name": "purchase", "repeat": "non_idempotent", "aimMs": 1200.0, "hardLimitMs": 4500.0 }],
        "orgs": [tenant("v", 0.3), tenant("w", 0.25), tenant("x", 0.2), tenant("y", 0.15), tenant("z", 0.1)],
        "caps": { "mostTries": 2, "cancel": true, "probes": false, "streamsPerConn": 64, "retryAfter": true },
        "familyInfo": { "onMiss": "load", "mayLoad": true, "keepMs": 9000.0 },
        "obligations": { "graceToAnswerMs": 20.0, "drainGraceMs": 800.0, "fallMultiple": 3.5, "fallMs": 2500.0 },
    })
}

fn call(id: u64, class: &str, tenant: Option<&str>) -> String {
    let tenant = tenant.map_or(String::new(), |t| format!("X-Org: {t}\r\n"));
    format!(
        "POST /call/00000000000000aa/trigger HTTP/1.1\r\nHost: t\r\nX-Class: {class}\r\n{tenant}\
         X-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 1400\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Guards deployments with other names: each class and tenant of the settings is served under its
/// own name, and any other name is rejected.
#[test]
fn names_come_from_the_settings_alone() {
    for (settings, tenants) in [
        (without_tenants(), vec![None]),
        (with_tenants(), vec![Some("v"), Some("z")]),
    ] {
        let worker = Worker::start();
        let g = Gateway::start(
            &settings,
            &[endpoint("s-00000001", worker.address, "SERVING")],
            None,
            None,
        );
        let mut client = Client::connect(&g);
        let mut id = 0;
        for class in settings["services"].as_array().unwrap() {
            let class = class["name"].as_str().unwrap();
            for tenant in &tenants {
                id += 1;
                client.send(&call(id, class, *tenant));
                assert_eq!(client.status(), 200, "{class}");
                let (_, fields) = worker.gos.lock().unwrap().last().cloned().unwrap();
                assert!(fields.contains(&format!("profile={class},")), "{fields}");
            }
        }
        for (class, tenant) in [
            ("disponibilidad", tenants[0]),
            ("lens-fit", tenants[0]),
            ("plan", Some("franq-bajio")),
        ] {
            id += 1;
            client.send(&call(id, class, tenant));
            assert_eq!(
                client.status(),
                400,
                "{class} of {tenant:?} belongs to another deployment"
            );
        }
        let counters = g.stop();
        assert_eq!(
            counters["ends"].as_array().unwrap().len(),
            settings["services"].as_array().unwrap().len()
        );
    }
}

/// Guards startup: an unusable setting is rejected with its key, value and remedy, also by
/// `check-config`.
#[test]
fn unusable_settings_are_rejected_by_key_and_value() {
    type Case = (fn(&mut Value), &'static str);
    let cases: [Case; 4] = [
        (
            |s| s["services"][0]["repeat"] = json!("often"),
            "settings.services.0.repeat = 'often' cannot be used",
        ),
        (
            |s| s["orgs"][0]["fraction"] = json!(1.5),
            "settings.orgs.0.fraction = '1.5' cannot be used",
        ),
        (
            |s| {
                drop(
                    s["services"][1]
                        .as_object_mut()
                        .unwrap()
                        .remove("hardLimitMs"),
                )
            },
            "settings.services.1.hardLimitMs is missing",
        ),
        (
            |s| s["services"][1]["repeat"] = json!("idempotency_key"),
            "settings.services.1.dedupWindowMs is missing",
        ),
    ];
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("deployment-{}.json", std::process::id()));
    for (change, expected) in cases {
        let mut settings = with_tenants();
        change(&mut settings);
        let config = json!({ "name": "g0", "listen": "127.0.0.1:0", "settings": settings });
        std::fs::write(&file, config.to_string()).unwrap();
        let path = file.display().to_string();
        for args in [vec!["check-config", &path], vec!["serve"]] {
            let out = Command::new(env!("CARGO_BIN_EXE_molelug"))
                .args(&args)
                .env("RELAY_CONFIG", &file)
                .output()
                .unwrap();
            let error = String::from_utf8_lossy(&out.stderr).into_owned();
            assert!(
                !out.status.success() && error.contains(expected),
                "{args:?}: {error}"
            );
        }
    }
    std::fs::remove_file(&file).unwrap();
}
