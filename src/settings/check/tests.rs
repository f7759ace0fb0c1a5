//! Tests of `settings::check`: valid settings pass; each error names key, value and remedy.

use serde_json::{json, Value};

use super::*;
use crate::settings::nested;

fn good() -> Value {
    json!({
        "groupSize": 3, "tickMs": 4.0, "overShareWorth": 0.05,
        "services": [
            { "name": "one", "aimMs": 800.0, "hardLimitMs": 2500.0, "repeat": "read_like", "worth": 2.0, "lateWorth": 0.3 },
            { "name": "two", "aimMs": 800.0, "hardLimitMs": 6000.0, "repeat": "idempotency_key", "group": "cell",
              "dedupWindowMs": 12000.0 },
        ],
        "orgs": [{ "name": "a", "fraction": 0.6, "quotaPerS": 3.0 }, { "name": "b", "fraction": 0.4 }],
        "caps": { "mostTries": 3, "cancel": true, "streamsPerConn": 100 },
        "familyInfo": { "onMiss": "load", "mayLoad": true, "loadWindowMs": 0.0 },
        "obligations": { "fallMultiple": 2.0, "fallMs": 1000.0, "coldFrom": 0.3 },
    })
}

fn check_changed(change: impl FnOnce(&mut Value)) -> Result<(), String> {
    let mut settings = good();
    change(&mut settings);
    check(&nested(&settings)).map_err(|e| e.to_string())
}

#[test]
fn absent_values_have_defaults() {
    assert_eq!(check_changed(|_| {}), Ok(()));
    for list in [
        "orgs",
        "caps",
        "familyInfo",
        "obligations",
        "tickMs",
        "groupSize",
        "overShareWorth",
    ] {
        assert_eq!(
            check_changed(|s| drop(s.as_object_mut().unwrap().remove(list))),
            Ok(()),
            "{list}"
        );
    }
    assert_eq!(
        check_changed(|s| s["orgs"] = json!([])),
        Ok(()),
        "a deployment without tenants"
    );
}

#[test]
fn each_error_names_key_value_and_what_is_expected() {
    type Case = (fn(&mut Value), &'static [&'static str]);
    let cases: [Case; 12] = [
        (
            |s| s["services"] = json!([]),
            &["services is missing", "a list of classes"],
        ),
        (
            |s| s["services"][0]["repeat"] = json!("sometimes"),
            &["services.0.repeat = 'sometimes'", "read_like"],
        ),
        (
            |s| s["services"][0]["hardLimitMs"] = json!(null),
            &["services.0.hardLimitMs is missing", "at least 0"],
        ),
        (
            |s| s["services"][0]["aimMs"] = json!("soon"),
            &["services.0.aimMs = 'soon'", "a number of at least 0"],
        ),
        (
            |s| s["services"][1]["dedupWindowMs"] = json!(0),
            &["services.1.dedupWindowMs = '0'", "above 0"],
        ),
        (
            |s| s["services"][1]["group"] = json!("row"),
            &["services.1.group = 'row'", "all, zone, cell"],
        ),
        (
            |s| s["services"][1]["name"] = json!("one"),
            &["services.1.name = 'one' stands twice", "rename"],
        ),
        (
            |s| s["orgs"][1]["fraction"] = json!(1.4),
            &["orgs.1.fraction = '1.4'", "from 0 to 1"],
        ),
        (
            |s| s["orgs"][1]["fraction"] = json!(0.5),
            &["add up to 1.100", "lower them"],
        ),
        (
            |s| s["caps"]["cancel"] = json!("perhaps"),
            &["caps.cancel = 'perhaps'", "true or false"],
        ),
        (
            |s| s["familyInfo"]["onMiss"] = json!("wait"),
            &["familyInfo.onMiss = 'wait'", "miss, load"],
        ),
        (
            |s| s["obligations"]["fallMs"] = json!(null),
            &["obligations.fallMs is missing"],
        ),
    ];
    for (change, parts) in cases {
        let error = check_changed(change).expect_err("invalid settings");
        assert!(parts.iter().all(|part| error.contains(part)), "{error}");
    }
}
