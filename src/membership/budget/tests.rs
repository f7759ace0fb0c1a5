//! Tests of `membership::budget`.

use super::*;
use proptest::prelude::*;

proptest! {
    /// In any time span, the budget admits at most the allowance of that span plus one second's
    /// burst.
    #[test]
    fn traffic_stays_within_the_limit_in_every_span(steps in prop::collection::vec((0u64..400_000, 1usize..1200), 1..200)) {
        let (mut budget, mut now, mut sent) = (Budget::new(5000, 10, 0), 0, Vec::new());
        for (span, size) in steps {
            now += span;
            if budget.try_take(now, size) {
                sent.push((now, size));
            }
        }
        for (i, (from, _)) in sent.iter().enumerate() {
            let (mut bytes, mut count) = (0, 0.0);
            for (at, size) in &sent[i..] {
                bytes += size;
                count += 1.0;
                let span = (at - from) as f64 / 1e6;
                prop_assert!(bytes as f64 <= 5000.0 * (1.0 + span) + 1.0 && count <= 10.0 * (1.0 + span) + 0.01);
            }
        }
    }
}
