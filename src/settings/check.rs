//! Validates settings: each value must have its key's type and be within its bounds. An invalid
//! value is never replaced by a default.

use std::collections::BTreeSet;

use super::SettingsMap;

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A key without a default is absent.
    #[error("settings.{key} is missing: {expected} is expected; state it, as no default would fit every deployment")]
    Missing {
        /// The key.
        key: String,
        /// The description of the accepted values.
        expected: String,
    },
    /// A value has the wrong type or is out of bounds.
    #[error("settings.{key} = '{value}' cannot be used: {expected} is expected; correct it or, where it has a default, leave it out")]
    Value {
        /// The key.
        key: String,
        /// The rejected value.
        value: String,
        /// The description of the accepted values.
        expected: String,
    },
    /// A name is used twice.
    #[error("settings.{key} = '{value}' stands twice: names are expected to differ; rename or remove one")]
    Twice {
        /// The key.
        key: String,
        /// The name.
        value: String,
    },
    /// The tenants' fractions add up to more than 1.
    #[error("settings.orgs: the fractions add up to {sum}: 1 at the most is expected; lower them")]
    Shares {
        /// The sum of the fractions.
        sum: String,
    },
}

/// The type and bounds of a value.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// A number between two bounds, both included.
    Number(f64, f64),
    /// A number above 0.
    Above0,
    /// One of these words.
    Word(&'static [&'static str]),
    /// `true` or `false`.
    Flag,
    /// Any text that is not blank.
    Name,
}

/// The largest accepted time or count.
const MAX_NUMBER: f64 = 1e12;
/// Tolerance of the sum of fractions, as each may be rounded to hundredths.
const FRACTION_SUM_TOLERANCE: f64 = 0.05;

const COUNT: Kind = Kind::Number(0.0, MAX_NUMBER);
const SHARE: Kind = Kind::Number(0.0, 1.0);

/// Optional keys; their defaults are in [`super::from_map`].
const OPTIONAL: &[(&str, Kind)] = &[
    ("groupSize", Kind::Number(1.0, 4096.0)),
    ("tickMs", COUNT),
    ("overShareWorth", SHARE),
    ("obligations.graceToAnswerMs", COUNT),
    ("obligations.drainGraceMs", COUNT),
    ("obligations.coldFrom", SHARE),
    ("obligations.coldMs", COUNT),
    ("obligations.fallMultiple", COUNT),
    ("obligations.fallMs", COUNT),
    ("familyInfo.keepMs", COUNT),
    ("familyInfo.mayLoad", Kind::Flag),
    ("familyInfo.marksCold", Kind::Flag),
    ("familyInfo.onMiss", Kind::Word(&["miss", "load"])),
    ("familyInfo.orderLimitMs", COUNT),
    ("familyInfo.loadWindowMs", COUNT),
    ("familyInfo.loadsAnyway", COUNT),
    ("familyInfo.loadRatio", COUNT),
    ("caps.mostTries", Kind::Number(1.0, 255.0)),
    ("caps.mostHeld", Kind::Above0),
    ("caps.streamsPerConn", Kind::Above0),
    ("caps.connectTimeoutMs", Kind::Above0),
    ("caps.connIdleMs", Kind::Above0),
    ("caps.maxRetryAfterMs", COUNT),
    ("caps.cancel", Kind::Flag),
    ("caps.probes", Kind::Flag),
    ("caps.retryAfter", Kind::Flag),
];

impl Kind {
    fn fits(self, value: &str) -> bool {
        let number = || value.trim().parse::<f64>().ok().filter(|n| n.is_finite());
        match self {
            Kind::Number(least, most) => number().is_some_and(|n| (least..=most).contains(&n)),
            Kind::Above0 => number().is_some_and(|n| n > 0.0 && n <= MAX_NUMBER),
            Kind::Word(words) => words.contains(&value),
            Kind::Flag => value == "true" || value == "false",
            Kind::Name => !value.trim().is_empty(),
        }
    }

    fn expected(self) -> String {
        match self {
            Kind::Number(least, most) if most == MAX_NUMBER => {
                format!("a number of at least {least}")
            }
            Kind::Number(least, most) => format!("a number from {least} to {most}"),
            Kind::Above0 => "a number above 0".to_owned(),
            Kind::Word(words) => format!("one of {}", words.join(", ")),
            Kind::Flag => "true or false".to_owned(),
            Kind::Name => "a name".to_owned(),
        }
    }
}

fn optional(settings: &SettingsMap, key: &str, kind: Kind) -> Result<(), SettingsError> {
    match settings.get(key) {
        Some(value) if value != "null" && !kind.fits(value) => Err(SettingsError::Value {
            key: key.to_owned(),
            value: value.clone(),
            expected: kind.expected(),
        }),
        _ => Ok(()),
    }
}

fn required(settings: &SettingsMap, key: &str, kind: Kind) -> Result<(), SettingsError> {
    if settings.get(key).is_none_or(|v| v == "null") {
        return Err(SettingsError::Missing {
            key: key.to_owned(),
            expected: kind.expected(),
        });
    }
    optional(settings, key, kind)
}

fn count(settings: &SettingsMap, list: &str) -> usize {
    settings
        .get(&format!("{list}.count"))
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Checks that each entry of a list has a name and that no name is used twice.
fn check_names(settings: &SettingsMap, list: &str) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for i in 0..count(settings, list) {
        let key = format!("{list}.{i}.name");
        required(settings, &key, Kind::Name)?;
        if let Some(value) = settings.get(&key).filter(|value| !seen.insert(*value)) {
            return Err(SettingsError::Twice {
                key,
                value: value.clone(),
            });
        }
    }
    Ok(())
}

fn check_class(settings: &SettingsMap, i: usize) -> Result<(), SettingsError> {
    let key = |name: &str| format!("services.{i}.{name}");
    required(settings, &key("aimMs"), COUNT)?;
    required(settings, &key("hardLimitMs"), COUNT)?;
    let effects = &["read_like", "idempotency_key", "non_idempotent"];
    required(settings, &key("repeat"), Kind::Word(effects))?;
    optional(settings, &key("worth"), COUNT)?;
    optional(settings, &key("lateWorth"), SHARE)?;
    if settings
        .get(&key("repeat"))
        .is_some_and(|effect| effect == "idempotency_key")
    {
        required(settings, &key("dedupWindowMs"), Kind::Above0)?;
        required(
            settings,
            &key("group"),
            Kind::Word(&["all", "zone", "cell"]),
        )?;
    }
    Ok(())
}

fn check_tenants(settings: &SettingsMap) -> Result<(), SettingsError> {
    let mut sum = 0.0;
    for i in 0..count(settings, "orgs") {
        let key = format!("orgs.{i}.fraction");
        optional(settings, &key, SHARE)?;
        optional(settings, &format!("orgs.{i}.quotaPerS"), COUNT)?;
        sum += settings
            .get(&key)
            .and_then(|v| v.parse::<f64>().ok())
            .unwrap_or(0.0);
    }
    if sum > 1.0 + FRACTION_SUM_TOLERANCE {
        return Err(SettingsError::Shares {
            sum: format!("{sum:.3}"),
        });
    }
    Ok(())
}

/// Checks that all given values are valid and that no key without a default is absent.
pub fn check(settings: &SettingsMap) -> Result<(), SettingsError> {
    if count(settings, "services") == 0 {
        let expected = "a list of classes".to_owned();
        return Err(SettingsError::Missing {
            key: "services".to_owned(),
            expected,
        });
    }
    for (key, kind) in OPTIONAL {
        optional(settings, key, *kind)?;
    }
    check_names(settings, "services")?;
    check_names(settings, "orgs")?;
    (0..count(settings, "services")).try_for_each(|i| check_class(settings, i))?;
    check_tenants(settings)?;
    let is_above_0 = |key: &str| {
        settings
            .get(key)
            .and_then(|v| v.parse::<f64>().ok())
            .is_some_and(|n| n > 0.0)
    };
    if is_above_0("obligations.fallMultiple") {
        required(settings, "obligations.fallMs", Kind::Above0)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
