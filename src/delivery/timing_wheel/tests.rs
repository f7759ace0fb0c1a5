//! Tests of `delivery::timing_wheel`.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Step {
    Insert(Micros),
    Cancel(usize),
    Advance(Micros),
    ToNextDeadline,
}

fn step() -> impl Strategy<Value = Step> {
    // Spans of every size, from less than a tick to beyond the range of the wheel.
    let span = (0u32..44, 0u64..1000).prop_map(|(e, f)| (1u64 << e) + (f << e.saturating_sub(10)));
    prop_oneof![
        4 => span.clone().prop_map(Step::Insert),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => span.prop_map(Step::Advance),
        2 => Just(Step::ToNextDeadline),
    ]
}

proptest! {
    /// The wheel expires the same entries as an ordered set, and its next deadline is never later
    /// than the set's first.
    #[test]
    fn timing_wheel_matches_ordered_set(start in 0u64..1 << 40, steps in prop::collection::vec(step(), 1..200)) {
        let (mut wheel, mut model) = (TimingWheel::new(start), BTreeSet::new());
        let (mut now, mut timers) = (start, Vec::new());
        for (n, step) in steps.into_iter().enumerate() {
            match step {
                Step::Insert(span) => {
                    timers.push((wheel.insert(now + span, n), now + span, n));
                    model.insert((now + span, n));
                }
                Step::Cancel(i) if !timers.is_empty() => {
                    let (timer, at, n) = timers[i % timers.len()];
                    prop_assert_eq!(wheel.cancel(timer).is_some(), model.remove(&(at, n)));
                }
                Step::Cancel(_) => {}
                Step::Advance(span) => now += span,
                Step::ToNextDeadline => now = now.max(wheel.next_deadline().unwrap_or(now)),
            }
            let mut expired = Vec::new();
            wheel.expire(now, &mut expired);
            let rest = model.split_off(&(now + 1, 0));
            let due: Vec<_> = std::mem::replace(&mut model, rest).into_iter().collect();
            let mut seen = expired.clone();
            seen.sort();
            prop_assert_eq!(&seen, &due);
            prop_assert!(expired.windows(2).all(|w| w[0].0 <= w[1].0));
            prop_assert_eq!(wheel.len(), model.len());
            match (wheel.next_deadline(), model.first()) {
                (Some(at), Some((first, _))) => prop_assert!(at <= *first && at > now),
                (at, first) => prop_assert!(at.is_none() && first.is_none()),
            }
        }
    }
}

#[test]
fn cancelled_nodes_are_reused() {
    let mut wheel = TimingWheel::new(0);
    for round in 0..1000u64 {
        let timers: Vec<_> = (0..10)
            .map(|n| wheel.insert(round * 7 + n * 1_000_000, n))
            .collect();
        timers
            .into_iter()
            .for_each(|t| assert!(wheel.cancel(t).is_some()));
    }
    assert!(wheel.is_empty() && wheel.nodes.len() == 10);
}
