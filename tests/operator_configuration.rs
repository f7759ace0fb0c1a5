//! Checks the gateway's configuration, which the platform writes: the value that every key sets,
//! and the keys that are read. Renames in the code must not change them.
//!
//! `fixtures/operator/gateway.json` has every key set to a value other than its default. The tests
//! write values under their own names, so that snapshots do not depend on field names. After an
//! intended change, `INSTA_UPDATE=always cargo test --test operator_configuration` rewrites the
//! snapshots in `snapshots/`.

#[path = "common/values.rs"]
mod values;

use molelug::api::{Effect, IdempotencyScope, OnMiss, Settings, WorkerStatus};
use molelug::config::Config;
use molelug::settings::{self, Field};
use serde_json::Value;
use values::{read_fixture, Values};

fn class_values(out: &mut Values, settings: &Settings) {
    for (n, class) in settings.classes.iter().enumerate() {
        let at = format!("settings.classes.{n}");
        out.add(
            &format!("{at}.latency_objective_us"),
            class.latency_objective,
        );
        out.add(&format!("{at}.deadline_us"), class.deadline);
        out.add(&format!("{at}.weight"), class.priority_weight);
        out.add(&format!("{at}.late_weight"), class.late_weight);
        let effect = match class.effect {
            Effect::Idempotent => "safe".to_owned(),
            Effect::Keyed {
                scope: IdempotencyScope::All,
                window,
            } => {
                format!("keyed among all for {window} us")
            }
            Effect::Keyed {
                scope: IdempotencyScope::Zone,
                window,
            } => {
                format!("keyed in a zone for {window} us")
            }
            Effect::Keyed {
                scope: IdempotencyScope::Cell,
                window,
            } => {
                format!("keyed in a cell for {window} us")
            }
            Effect::NonIdempotent => "unsafe".to_owned(),
        };
        out.add(&format!("{at}.effect"), effect);
    }
}

fn settings_values(out: &mut Values, settings: &Settings) {
    out.add("settings.instances", settings.instances);
    out.add("settings.zone", settings.zone.0);
    out.add("settings.tick_us", settings.tick);
    class_values(out, settings);
    out.add(
        "settings.quotas_per_s",
        settings
            .tenants
            .iter()
            .map(|t| t.quota_per_s)
            .collect::<Vec<_>>(),
    );
    out.add("settings.over_quota_weight", settings.over_quota_weight);
    out.add("settings.answer_grace_us", settings.answer_grace);
    out.add("settings.drain_grace_us", settings.drain_grace);
    out.add("settings.slow_start_floor", settings.slow_start_floor);
    out.add(
        "settings.slow_start_duration_us",
        settings.slow_start_duration,
    );
    out.add("settings.overload_multiple", settings.overload_multiple);
    out.add("settings.overload_window_us", settings.overload_window);
    out.add("settings.copy_idle_timeout_us", settings.copy_idle_timeout);
    out.add("settings.may_load", settings.may_load);
    let limit = settings.load_rate_limit.as_ref();
    out.add("settings.load_limit.window_us", limit.map(|l| l.window));
    out.add("settings.load_limit.free", limit.map(|l| l.base_loads));
    out.add(
        "settings.load_limit.ratio",
        limit.map(|l| l.loads_per_request),
    );
    out.add("settings.load_timeout_us", settings.load_order_timeout);
    let on_miss = match settings.on_miss {
        OnMiss::Load => "loads",
        OnMiss::Reject => "answers",
    };
    out.add("settings.on_miss", on_miss);
    out.add("settings.tells_warm", settings.reports_copy_start);
    out.add("settings.max_attempts", settings.max_attempts);
    out.add("settings.may_cancel", settings.may_cancel);
    out.add("settings.may_probe", settings.may_health_check);
    out.add("settings.reports_inline", settings.reports_inline);
    out.add("settings.max_retry_after_us", settings.max_retry_after);
    out.add("settings.must_subscribe", settings.must_subscribe);
}

fn known_values(out: &mut Values, config: &Config) {
    out.add("known.revision", config.initial_revision);
    for (n, notice) in config.initial_updates.iter().enumerate() {
        out.add(&format!("known.{n}.revision"), notice.revision);
        out.add(&format!("known.{n}.snapshot"), notice.snapshot);
        for (m, endpoint) in notice.endpoints.iter().enumerate() {
            let at = format!("known.{n}.endpoints.{m}");
            let status = match endpoint.status {
                WorkerStatus::Ready => "ready",
                WorkerStatus::Draining => "draining",
                WorkerStatus::Removed => "gone",
            };
            out.add(&format!("{at}.name"), &endpoint.name);
            out.add(&format!("{at}.address"), endpoint.address);
            out.add(&format!("{at}.zone"), endpoint.zone.0);
            out.add(&format!("{at}.cell"), endpoint.cell.0);
            out.add(&format!("{at}.status"), status);
            out.add(&format!("{at}.capacity"), endpoint.capacity);
            out.add(&format!("{at}.started_us"), endpoint.started_at);
        }
    }
}

/// The settings that the simulator's host reads differently from the gateway.
fn simulator_values(out: &mut Values, settings: &Value) {
    let (module, fields) = settings::from_map(&settings::nested(settings));
    let name = |field: &Field| match field {
        Field::Queue => "queue",
        Field::Inflight => "in flight",
        Field::Busy => "busy",
        Field::Pinned => "pinned",
        Field::Loads => "loads",
        Field::Other => "other",
    };
    out.add(
        "simulator.report_fields",
        fields.iter().map(name).collect::<Vec<_>>(),
    );
    out.add("simulator.max_retry_after_us", module.max_retry_after);
}

/// Returns all values that a configuration sets, or its error.
fn configuration_values(file: &Value) -> Result<String, String> {
    let config = Config::parse(&file.to_string(), None, None).map_err(|e| e.to_string())?;
    let mut out = Values::default();
    out.add("name", &config.name);
    out.add("listen", config.listen);
    out.add("second_address", config.admin_addr);
    out.add("seed", config.seed);
    out.add("limits.memory_mb", config.limits.memory_mb);
    out.add("limits.sockets", config.limits.sockets);
    out.add("discovery", config.discovery_address);
    known_values(&mut out, &config);
    out.add("names.classes", &config.names.classes);
    out.add("names.tenants", &config.names.tenants);
    out.add("names.zones", &config.names.zones);
    out.add("names.deadlines_us", &config.names.max_deadlines);
    out.add("connect_timeout_us", config.connect_timeout);
    out.add("connection_idle_timeout_us", config.connection_idle_timeout);
    out.add("streams_per_connection", config.max_streams_per_connection);
    out.add("max_held", config.max_pending_requests);
    settings_values(&mut out, &config.settings);
    simulator_values(&mut out, &file["settings"]);
    Ok(out.0)
}

fn configuration() -> Value {
    serde_json::from_str(&read_fixture("gateway.json")).expect("JSON")
}

#[test]
fn configuration_with_every_key_keeps_values() {
    let values = configuration_values(&configuration()).expect("a usable configuration");
    insta::assert_snapshot!("configuration", values);
}

#[test]
fn example_configuration_keeps_values_and_defaults() {
    let text = std::fs::read_to_string("examples/gateway.json").expect("the example");
    let file: Value = serde_json::from_str(&text).expect("JSON");
    insta::assert_snapshot!(
        "example_configuration",
        configuration_values(&file).expect("it can be used")
    );
}

/// Collects the keys of all objects in a value as JSON pointers.
fn pointers(at: &str, value: &Value, out: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (key, inner) in map {
                let at = format!("{at}/{key}");
                out.push(at.clone());
                pointers(&at, inner, out);
            }
        }
        Value::Array(list) => {
            list.iter()
                .enumerate()
                .for_each(|(n, inner)| pointers(&format!("{at}/{n}"), inner, out));
        }
        _ => {}
    }
}

/// Returns the effect of misspelling one key of the configuration.
fn effect_of_misspelling(file: &Value, pointer: &str, values: &str) -> &'static str {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let mut changed = file.clone();
    let object = changed
        .pointer_mut(parent)
        .and_then(Value::as_object_mut)
        .expect("an object");
    let value = object.remove(key).expect("the key");
    object.insert(format!("{key}_misspelt"), value);
    match configuration_values(&changed) {
        Err(_) => "required",
        Ok(other) if other == values => "no effect",
        Ok(_) => "read",
    }
}

/// Returns whether the parser rejects an arbitrary word as the value of this key.
fn refuses_any_word(file: &Value, pointer: &str) -> bool {
    let mut changed = file.clone();
    let value = changed.pointer_mut(pointer).expect("the key");
    if value.is_object() || value.is_array() {
        return false;
    }
    *value = Value::from("any-word");
    configuration_values(&changed).is_err()
}

/// The parser ignores unknown keys, as the platform writes the configuration; misspelling a key
/// shows whether the parser reads it.
#[test]
fn configuration_keys_are_read_as_spelt() {
    let file = configuration();
    let values = configuration_values(&file).expect("a usable configuration");
    let mut all = Vec::new();
    pointers("", &file, &mut all);
    let line = |pointer: &String| {
        let checked = if refuses_any_word(&file, pointer) {
            ", value checked"
        } else {
            ""
        };
        format!(
            "{pointer}: {}{checked}",
            effect_of_misspelling(&file, pointer, &values)
        )
    };
    let lines: Vec<String> = all.iter().map(line).collect();
    insta::assert_snapshot!("configuration_keys", lines.join("\n"));
}

/// Parses the configuration with this word as the value at `pointer`, which accepts a fixed set of
/// words.
fn with_word(pointer: &str, word: &str) -> Result<String, String> {
    let mut file = configuration();
    *file.pointer_mut(pointer).expect("the key") = Value::from(word);
    configuration_values(&file)
}

#[test]
fn unknown_words_in_settings_are_refused() {
    for pointer in [
        "/settings/services/0/repeat",
        "/settings/services/1/group",
        "/settings/familyInfo/onMiss",
    ] {
        let error = with_word(pointer, "unknown").expect_err(pointer);
        assert!(error.contains("'unknown' cannot be used"), "{error}");
    }
    let status = "/known/notices/0/pool/endpoints/0/status";
    assert!(with_word(status, "UNKNOWN")
        .expect_err(status)
        .contains("UNKNOWN"));
    assert!(with_word("/settings/familyInfo/onMiss", "load").is_ok());
}
