//! Tests of `delivery::timing_wheel`.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Step {
    Insert(Micros),
    Cancel(usize),
    Pass(Micros),
    ToNext,
}

fn step() -> impl Strategy<Value = Step> {
    // Spans of every size, from within a tick to past the wheel's reach.
    let span = (0u32..44, 0u64..1000).prop_map(|(e, f)| (1u64 << e) + (f << e.saturating_sub(10)));
    prop_oneof![
        4 => span.clone().prop_map(Step::Insert),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => span.prop_map(Step::Pass),
        2 => Just(Step::ToNext),
    ]
}

proptest! {
    /// The wheel tells what a plain ordered set tells, and its next time is never past the set's first.
    #[test]
    fn it_tells_what_an_ordered_set_tells(start in 0u64..1 << 40, steps in prop::collection::vec(step(), 1..200)) {
        let (mut wheel, mut plain) = (TimingWheel::new(start), BTreeSet::new());
        let (mut now, mut timers) = (start, Vec::new());
        for (n, step) in steps.into_iter().enumerate() {
            match step {
                Step::Insert(span) => {
                    timers.push((wheel.insert(now + span, n), now + span, n));
                    plain.insert((now + span, n));
                }
                Step::Cancel(i) if !timers.is_empty() => {
                    let (timer, at, n) = timers[i % timers.len()];
                    prop_assert_eq!(wheel.cancel(timer).is_some(), plain.remove(&(at, n)));
                }
                Step::Cancel(_) => {}
                Step::Pass(span) => now += span,
                Step::ToNext => now = now.max(wheel.next().unwrap_or(now)),
            }
            let mut told = Vec::new();
            wheel.expire(now, &mut told);
            let rest = plain.split_off(&(now + 1, 0));
            let due: Vec<_> = std::mem::replace(&mut plain, rest).into_iter().collect();
            let mut seen = told.clone();
            seen.sort();
            prop_assert_eq!(&seen, &due);
            prop_assert!(told.windows(2).all(|w| w[0].0 <= w[1].0));
            prop_assert_eq!(wheel.len(), plain.len());
            match (wheel.next(), plain.first()) {
                (Some(at), Some((first, _))) => prop_assert!(at <= *first && at > now),
                (at, first) => prop_assert!(at.is_none() && first.is_none()),
            }
        }
    }
}

#[test]
fn places_are_used_again() {
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
