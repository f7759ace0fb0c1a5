//! Tests of `membership::observations`.

use super::*;
use proptest::prelude::*;

const SKEW: Micros = 2_000_000;

fn one() -> impl Strategy<Value = (u8, u32, Observation)> {
    (0u8..4, 0u32..4, 0u64..20_000_000, 0u32..5, 0u32..5, 0u32..3).prop_map(
        |(o, w, at, a, s, r)| {
            (
                o,
                w,
                Observation {
                    at,
                    answered: a,
                    failed: 0,
                    silent: s,
                    refused: r,
                },
            )
        },
    )
}

fn all(now: Micros, list: &[(u8, u32, Observation)]) -> Observations {
    let mut r = Observations::default();
    for (o, w, x) in list {
        r.merge(now, SKEW, &o.to_string(), WorkerId(*w), *x);
    }
    r
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_idempotent_and_monotone(
        a in prop::collection::vec(one(), 0..20), b in prop::collection::vec(one(), 0..20),
        c in prop::collection::vec(one(), 0..20), now in 0u64..20_000_000,
    ) {
        let join = |x: &Observations, y: &Observations| {
            let mut z = x.clone();
            z.merge_all(now, SKEW, y);
            z
        };
        let (a, b, c) = (all(now, &a), all(now, &b), all(now, &c));
        prop_assert_eq!(join(&a, &b), join(&b, &a));
        prop_assert_eq!(join(&join(&a, &b), &c), join(&a, &join(&b, &c)));
        prop_assert_eq!(join(&a, &a), a.clone());
        // An older observation never replaces a newer one.
        let both = join(&a, &b);
        for w in a.workers() {
            for (origin, o) in a.for_worker(now, w) {
                prop_assert!(both.for_worker(now, w).any(|(p, q)| p == origin && q >= o));
            }
        }
        let mut later = both.clone();
        later.expire(now + OBSERVATION_LIFETIME + SKEW);
        prop_assert!(later.is_empty(), "all observations expire");
    }
}

#[test]
fn verdict_follows_from_the_outcomes() {
    let o = |answered, silent, refused| {
        Observation {
            at: 0,
            answered,
            failed: 0,
            silent,
            refused,
        }
        .verdict()
    };
    assert_eq!(
        [o(0, 0, 1), o(0, 3, 0), o(2, 2, 0)],
        [HealthVerdict::Unhealthy; 3]
    );
    assert_eq!(
        [o(0, 2, 0), o(2, 0, 0), o(9, 3, 0), o(5, 0, 1)],
        [HealthVerdict::Inconclusive; 4]
    );
    assert_eq!([o(3, 0, 0), o(10, 1, 0)], [HealthVerdict::Healthy; 2]);
}

#[test]
fn flooding_origin_stays_within_its_bound() {
    let mut r = Observations::default();
    for w in 0..5000 {
        r.merge(
            0,
            SKEW,
            "liar",
            WorkerId(w),
            Observation {
                at: 1,
                refused: 1,
                ..Default::default()
            },
        );
    }
    assert_eq!(r.len(), MAX_OBSERVATIONS_PER_ORIGIN);
    let ahead = Observation {
        at: SKEW + 1,
        refused: 1,
        ..Default::default()
    };
    assert!(
        !r.merge(0, SKEW, "x", WorkerId(1), ahead),
        "dated further ahead than the permitted skew"
    );
    r.forget("liar");
    assert!(r.is_empty());
}
