use super::*;

#[test]
fn slow_pass_is_reported_with_its_longest_activity() {
    let mut timer = LoopTimer::new(0);
    assert_eq!(timer.begin_pass(1_000_000, Some(1_000_000)), None);
    timer.end_activity(1_010_000, Activity::Connections);
    timer.end_activity(1_080_000, Activity::EndpointList);
    timer.end_activity(1_090_000, Activity::Connections);
    assert_eq!(
        timer.end_pass(1_090_000),
        Some(HeldLoop::SlowPass {
            duration: 90_000,
            longest: Activity::EndpointList,
            longest_time: 70_000,
        })
    );
    let activities = &timer.figures().activities;
    assert_eq!(activities.of(Activity::Connections).total(), 20_000);
    assert_eq!(activities.of(Activity::Deadlines).count(), 0);
}

#[test]
fn late_wake_up_is_reported_at_most_once_a_second() {
    let mut timer = LoopTimer::new(0);
    let report = timer.begin_pass(2_000_000, Some(1_100_000));
    assert_eq!(report, Some(HeldLoop::LateWakeUp { late_by: 900_000 }));
    assert_eq!(timer.end_pass(2_100_000), None);
    assert_eq!(timer.begin_pass(2_500_000, Some(2_200_000)), None);
    assert_eq!(timer.figures().late_wake_ups.max(), 900_000);
    assert_eq!(timer.figures().passes.count(), 1);
}

#[test]
fn figures_name_the_buckets_that_are_not_empty() {
    let mut histogram = Histogram::default();
    for duration in [1_000, 1_001, 3_000_000] {
        histogram.record(duration);
    }
    let text = serde_json::to_string(&histogram).expect("it is written");
    assert_eq!(
        text,
        r#"{"count":3,"total_us":3002001,"max_us":3000000,"le_1_ms":1,"le_2_ms":1,"over":1}"#
    );
}
