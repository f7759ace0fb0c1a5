//! Tests of `membership::reputation`.

use super::*;
use proptest::prelude::*;

const SKEW: Micros = 2 * SECOND;

fn ready(n: u32) -> BTreeSet<WorkerId> {
    (0..n).map(WorkerId).collect()
}

fn ill(at: Micros) -> Observation {
    Observation {
        at,
        silent: 5,
        ..Default::default()
    }
}

fn well(at: Micros) -> Observation {
    Observation {
        at,
        answered: 10,
        ..Default::default()
    }
}

#[test]
fn demotion_needs_two_origins_and_no_local_success() {
    let (mut t, mut r) = (Reputation::new(Bounds::default()), Observations::default());
    r.merge(10, SKEW, "a", WorkerId(1), ill(10));
    assert!(t.advise(10, &r, &ready(8)).is_empty(), "one origin alone");
    r.merge(10, SKEW, "b", WorkerId(1), ill(10));
    assert_eq!(
        t.advise(10, &r, &ready(8)),
        [(WorkerId(1), HealthAdvice::Demote(10 + 3 * SECOND))]
    );
    assert!(
        t.advise(11, &r, &ready(8)).is_empty(),
        "advice is issued once while it is in force"
    );
    let mut t = Reputation::new(Bounds::default());
    t.observe(WorkerId(1), well(10));
    assert!(
        t.advise(10, &r, &ready(8)).is_empty(),
        "the worker answers here"
    );
    assert!(t.weight(10, "a") < INITIAL_WEIGHT && t.weight(10, "b") < INITIAL_WEIGHT);
    assert!(
        (t.weight(10 + 600 * SECOND, "a") - INITIAL_WEIGHT).abs() < 1e-9,
        "the weight recovers slowly"
    );
}

#[test]
fn lying_origin_demotes_no_worker_and_loses_weight() {
    let (mut t, mut r, mut now) = (
        Reputation::new(Bounds::default()),
        Observations::default(),
        SECOND,
    );
    for _ in 0..10 {
        for w in 0..10 {
            r.merge(now, SKEW, "liar", WorkerId(w), ill(now));
            t.observe(WorkerId(w), well(now));
        }
        assert!(t.advise(now, &r, &ready(10)).is_empty());
        now += SECOND;
    }
    assert!(t.weight(now, "liar") < 0.05, "{}", t.weight(now, "liar"));
    // Two lying origins with initial weights exceed the panic share.
    let mut t = Reputation::new(Bounds::default());
    for w in 0..10 {
        r.merge(now, SKEW, "second", WorkerId(w), ill(now));
        r.merge(now, SKEW, "liar", WorkerId(w), ill(now));
    }
    assert!(t.advise(now, &r, &ready(10)).is_empty() && t.panics == 1);
}

#[test]
fn false_healthy_claims_allow_at_most_one_trial() {
    let (mut t, mut r) = (Reputation::new(Bounds::default()), Observations::default());
    let now = 10 * SECOND;
    t.observe(WorkerId(3), ill(now));
    for origin in ["a", "b", "c"] {
        r.merge(now, SKEW, origin, WorkerId(3), well(now));
    }
    // Local attempts contradict the claims at once: three contradicted origins weigh 0.9 together,
    // then less.
    let first = t.advise(now, &r, &ready(8));
    assert!(first.is_empty() || first == [(WorkerId(3), HealthAdvice::AllowTrial)]);
    for round in 1..4 {
        let now = now + round * SECOND;
        t.observe(WorkerId(3), ill(now));
        for origin in ["a", "b", "c"] {
            r.merge(now, SKEW, origin, WorkerId(3), well(now));
        }
        assert!(t.advise(now, &r, &ready(8)).is_empty(), "round {round}");
    }
}

proptest! {
    /// For any claims, at most the permitted share of ready workers is demoted, each for a bounded
    /// time, and only ready workers are demoted.
    #[test]
    fn demotions_never_exceed_the_permitted_share(
        claims in prop::collection::vec((0u8..6, 0u32..20, any::<bool>(), 0u64..8), 0..200), n in 1u32..20,
    ) {
        let (mut t, mut r) = (Reputation::new(Bounds::default()), Observations::default());
        let mut down: BTreeMap<WorkerId, Micros> = BTreeMap::new();
        let mut now = SECOND;
        for (origin, w, bad, step) in claims {
            now += step * SECOND / 4;
            let o = if bad { ill(now) } else { well(now) };
            r.merge(now, SKEW, &origin.to_string(), WorkerId(w), o);
            down.retain(|_, until| *until > now);
            for (worker, advice) in t.advise(now, &r, &ready(n)) {
                prop_assert!(worker.0 < n);
                if let HealthAdvice::Demote(until) = advice {
                    prop_assert!(until <= now + Bounds::default().demotion_duration);
                    down.insert(worker, until);
                }
            }
            prop_assert!(down.len() as f64 <= 0.25 * f64::from(n));
            for origin in 0..6u8 {
                let weight = t.weight(now, &origin.to_string());
                prop_assert!((MIN_WEIGHT..=MAX_WEIGHT).contains(&weight));
            }
        }
    }
}
