//! The platform's settings as a map from path to value, from `path=value` lines or nested JSON.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::api::{
    Class, Effect, IdempotencyScope, LoadRateLimit, Micros, OnMiss, Settings, Tenant, ZoneId,
};

mod check;
pub use check::{check, SettingsError};

/// Maximum age of the endpoint list where discovery requires a subscription, as a multiple of
/// `obligations.askWithinMs`: after a failed subscription, changes count as known from then on.
const FAILED_SUBSCRIPTION_FACTOR: Micros = 4;

/// Values by path.
pub type SettingsMap = BTreeMap<String, String>;

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Queued requests.
    Queue,
    /// Requests in flight.
    Inflight,
    /// Fraction of CPU time in use.
    Busy,
    /// Fraction of memory that cannot be freed.
    Pinned,
    /// Active loads.
    Loads,
    /// A value that the decision module does not use.
    Other,
}

fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// Parses lines of `path=value`; lines without `=` are ignored.
pub fn lines(text: &str) -> SettingsMap {
    text.lines()
        .filter_map(|l| l.split_once('='))
        .map(|(k, v)| (k.into(), v.into()))
        .collect()
}

/// Flattens nested JSON. A list of simple values is joined by commas; a list of objects gets a
/// `count` and one path per index.
pub fn nested(value: &Value) -> SettingsMap {
    let mut values = SettingsMap::new();
    flatten(String::new(), value, &mut values);
    values
}

fn simple_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

fn flatten(path: String, value: &Value, values: &mut SettingsMap) {
    let child_path = |name: &str| {
        if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(name, v)| flatten(child_path(name), v, values)),
        Value::Array(list) if list.iter().any(Value::is_object) => {
            values.insert(child_path("count"), list.len().to_string());
            list.iter()
                .enumerate()
                .for_each(|(i, v)| flatten(child_path(&i.to_string()), v, values));
        }
        Value::Array(list) => {
            values.insert(
                path,
                list.iter().map(simple_text).collect::<Vec<_>>().join(","),
            );
        }
        simple => {
            values.insert(path, simple_text(simple));
        }
    }
}

/// Builds the settings, and the list of a load report's values in order.
pub fn from_map(values: &SettingsMap) -> (Settings, Vec<Field>) {
    let get = |key: &str| values.get(key).map(String::as_str);
    let number = |key: &str| {
        get(key)
            .and_then(|v| v.trim().parse::<f64>().ok())
            .filter(|v| v.is_finite())
    };
    let time = |key: &str| micros(number(key).unwrap_or(0.0));
    let yes = |key: &str| get(key).is_some_and(|v| v.eq_ignore_ascii_case("true"));
    let count = |key: &str| number(key).unwrap_or(0.0).clamp(0.0, 4096.0) as usize;
    let class = |i: usize| {
        let key = |k: &str| format!("services.{i}.{k}");
        Class {
            latency_objective: time(&key("aimMs")),
            deadline: time(&key("hardLimitMs")),
            priority_weight: number(&key("worth")).unwrap_or(1.0),
            late_weight: number(&key("lateWorth")).unwrap_or(0.0),
            effect: match get(&key("repeat")) {
                Some("read_like") => Effect::Idempotent,
                Some("idempotency_key") => Effect::Keyed {
                    window: time(&key("dedupWindowMs")),
                    scope: match get(&key("group")) {
                        Some("all") => IdempotencyScope::All,
                        Some("zone") => IdempotencyScope::Zone,
                        _ => IdempotencyScope::Cell,
                    },
                },
                _ => Effect::NonIdempotent,
            },
        }
    };
    let fields = get("report.fields")
        .unwrap_or("")
        .split(',')
        .map(|name| match name.trim() {
            "q" => Field::Queue,
            "rif" => Field::Inflight,
            "busy" => Field::Busy,
            "x0" => Field::Pinned,
            "x1" => Field::Loads,
            _ => Field::Other,
        });
    let window = time("familyInfo.loadWindowMs");
    let settings = Settings {
        instances: count("groupSize").max(1) as u32,
        zone: ZoneId(count("zone") as u8),
        tick: time("tickMs"),
        classes: (0..count("services.count")).map(class).collect(),
        tenants: (0..count("orgs.count"))
            .map(|i| Tenant {
                quota_per_s: number(&format!("orgs.{i}.quotaPerS")).unwrap_or(0.0),
            })
            .collect(),
        over_quota_weight: number("overShareWorth").unwrap_or(1.0),
        answer_grace: time("obligations.graceToAnswerMs"),
        drain_grace: time("obligations.drainGraceMs"),
        slow_start_floor: number("obligations.coldFrom").unwrap_or(1.0),
        slow_start_duration: time("obligations.coldMs"),
        overload_multiple: number("obligations.fallMultiple").unwrap_or(0.0),
        overload_window: time("obligations.fallMs"),
        copy_idle_timeout: time("familyInfo.keepMs"),
        may_load: yes("familyInfo.mayLoad"),
        load_rate_limit: (window > 0).then(|| LoadRateLimit {
            window,
            base_loads: number("familyInfo.loadsAnyway").unwrap_or(0.0),
            loads_per_request: number("familyInfo.loadRatio").unwrap_or(0.0),
        }),
        load_order_timeout: time("familyInfo.orderLimitMs"),
        on_miss: if get("familyInfo.onMiss") == Some("miss") {
            OnMiss::Reject
        } else {
            OnMiss::Load
        },
        reports_copy_start: yes("familyInfo.marksCold"),
        max_attempts: number("caps.mostTries").unwrap_or(1.0).max(1.0) as u32,
        may_cancel: yes("caps.cancel"),
        may_health_check: yes("caps.probes"),
        reports_inline: get("report.via") == Some("inline"),
        max_retry_after: if yes("caps.retryAfter") {
            time("caps.maxRetryAfterMs")
        } else {
            0
        },
        must_subscribe: get("registryMode") == Some("on_request"),
        max_functions: None,
        list_max_age: (get("registryMode") == Some("on_request"))
            .then(|| time("obligations.askWithinMs") * FAILED_SUBSCRIPTION_FACTOR)
            .filter(|age| *age > 0),
        discovery_heartbeats: false,
    };
    (settings, fields.collect())
}
