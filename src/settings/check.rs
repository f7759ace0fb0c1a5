//! Whether settings can be used: each value of the kind and within the bounds that its key has. Nothing that is stated is
//! replaced by a default.

use std::collections::BTreeSet;

use super::SettingsMap;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A key is absent that has no default.
    #[error("settings.{key} is missing: {expected} is expected; state it, as no default would fit every deployment")]
    Missing {
        /// The key.
        key: String,
        /// What it may be.
        expected: String,
    },
    /// A value is of another kind or out of bounds.
    #[error("settings.{key} = '{value}' cannot be used: {expected} is expected; correct it or, where it has a default, leave it out")]
    Value {
        /// The key.
        key: String,
        /// What was read.
        value: String,
        /// What it may be.
        expected: String,
    },
    /// A name stands twice.
    #[error("settings.{key} = '{value}' stands twice: names are expected to differ; rename or remove one")]
    Twice {
        /// The key.
        key: String,
        /// The name.
        value: String,
    },
    /// Shares together are more than the whole.
    #[error("settings.orgs: the fractions add up to {sum}: 1 at the most is expected; lower them")]
    Shares {
        /// What they add up to.
        sum: String,
    },
}

/// What a value may be.
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
    /// Any text but an empty one.
    Name,
}

/// No stated time or count is larger.
const MOST: f64 = 1e12;
/// Shares may be rounded to whole hundredths each.
const SHARES_SLACK: f64 = 0.05;

const COUNT: Kind = Kind::Number(0.0, MOST);
const SHARE: Kind = Kind::Number(0.0, 1.0);

/// Keys that may be absent; each then has its default in [`super::from_facts`].
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
            Kind::Above0 => number().is_some_and(|n| n > 0.0 && n <= MOST),
            Kind::Word(words) => words.contains(&value),
            Kind::Flag => value == "true" || value == "false",
            Kind::Name => !value.trim().is_empty(),
        }
    }

    fn expected(self) -> String {
        match self {
            Kind::Number(least, most) if most == MOST => format!("a number of at least {least}"),
            Kind::Number(least, most) => format!("a number from {least} to {most}"),
            Kind::Above0 => "a number above 0".to_owned(),
            Kind::Word(words) => format!("one of {}", words.join(", ")),
            Kind::Flag => "true or false".to_owned(),
            Kind::Name => "a name".to_owned(),
        }
    }
}

fn optional(facts: &SettingsMap, key: &str, kind: Kind) -> Result<(), SettingsError> {
    match facts.get(key) {
        Some(value) if value != "null" && !kind.fits(value) => Err(SettingsError::Value {
            key: key.to_owned(),
            value: value.clone(),
            expected: kind.expected(),
        }),
        _ => Ok(()),
    }
}

fn required(facts: &SettingsMap, key: &str, kind: Kind) -> Result<(), SettingsError> {
    if facts.get(key).is_none_or(|v| v == "null") {
        return Err(SettingsError::Missing {
            key: key.to_owned(),
            expected: kind.expected(),
        });
    }
    optional(facts, key, kind)
}

fn count(facts: &SettingsMap, list: &str) -> usize {
    facts
        .get(&format!("{list}.count"))
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// The names of a list; each is there, and none twice.
fn names(facts: &SettingsMap, list: &str) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for i in 0..count(facts, list) {
        let key = format!("{list}.{i}.name");
        required(facts, &key, Kind::Name)?;
        if let Some(value) = facts.get(&key).filter(|value| !seen.insert(*value)) {
            return Err(SettingsError::Twice {
                key,
                value: value.clone(),
            });
        }
    }
    Ok(())
}

fn class(facts: &SettingsMap, i: usize) -> Result<(), SettingsError> {
    let key = |name: &str| format!("services.{i}.{name}");
    required(facts, &key("aimMs"), COUNT)?;
    required(facts, &key("hardLimitMs"), COUNT)?;
    let effects = &["read_like", "idempotency_key", "non_idempotent"];
    required(facts, &key("repeat"), Kind::Word(effects))?;
    optional(facts, &key("worth"), COUNT)?;
    optional(facts, &key("lateWorth"), SHARE)?;
    if facts
        .get(&key("repeat"))
        .is_some_and(|effect| effect == "idempotency_key")
    {
        required(facts, &key("dedupWindowMs"), Kind::Above0)?;
        required(facts, &key("group"), Kind::Word(&["all", "zone", "cell"]))?;
    }
    Ok(())
}

fn shares(facts: &SettingsMap) -> Result<(), SettingsError> {
    let mut sum = 0.0;
    for i in 0..count(facts, "orgs") {
        let key = format!("orgs.{i}.fraction");
        optional(facts, &key, SHARE)?;
        optional(facts, &format!("orgs.{i}.quotaPerS"), COUNT)?;
        sum += facts
            .get(&key)
            .and_then(|v| v.parse::<f64>().ok())
            .unwrap_or(0.0);
    }
    if sum > 1.0 + SHARES_SLACK {
        return Err(SettingsError::Shares {
            sum: format!("{sum:.3}"),
        });
    }
    Ok(())
}

/// Whether all that is stated can be used, and nothing is missing that has no default.
pub fn check(facts: &SettingsMap) -> Result<(), SettingsError> {
    if count(facts, "services") == 0 {
        let expected = "a list of classes".to_owned();
        return Err(SettingsError::Missing {
            key: "services".to_owned(),
            expected,
        });
    }
    for (key, kind) in OPTIONAL {
        optional(facts, key, *kind)?;
    }
    names(facts, "services")?;
    names(facts, "orgs")?;
    (0..count(facts, "services")).try_for_each(|i| class(facts, i))?;
    shares(facts)?;
    let above_0 = |key: &str| {
        facts
            .get(key)
            .and_then(|v| v.parse::<f64>().ok())
            .is_some_and(|n| n > 0.0)
    };
    if above_0("obligations.fallMultiple") {
        required(facts, "obligations.fallMs", Kind::Above0)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
