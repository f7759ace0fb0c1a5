use super::{MemoryBudget, MemoryKind, MemoryPressure, MemoryUse, COUNT_INTERVAL, REPORT_INTERVAL};

const LIMIT_BYTES: usize = 32_000_000;

fn holding(bytes: usize) -> MemoryUse {
    let mut used = MemoryUse::default();
    used.add(MemoryKind::ClientInput, bytes / 4);
    used.add(MemoryKind::Requests, bytes - bytes / 4);
    used
}

#[test]
fn pressure_rises_before_the_budget_is_used_up() {
    let mut budget = MemoryBudget::new(LIMIT_BYTES);
    let all = budget.budget();
    assert!(all < LIMIT_BYTES);
    assert_eq!(budget.record(1, holding(all / 4)), MemoryPressure::Normal);
    assert_eq!(
        budget.record(2, holding(all * 6 / 10)),
        MemoryPressure::High
    );
    assert_eq!(
        budget.record(3, holding(all * 8 / 10)),
        MemoryPressure::Critical
    );
    assert_eq!(budget.used().largest(), MemoryKind::Requests);
    assert_eq!(budget.record(4, holding(all / 4)), MemoryPressure::Normal);
}

#[test]
fn memory_is_counted_after_much_input_or_some_time() {
    let mut budget = MemoryBudget::new(LIMIT_BYTES);
    budget.record(1, MemoryUse::default());
    assert!(
        !budget.is_count_useful(1 + COUNT_INTERVAL),
        "nothing was read"
    );
    budget.note_read(1);
    assert!(!budget.is_count_due());
    assert!(budget.is_count_useful(1 + COUNT_INTERVAL));
    budget.note_read(budget.budget());
    assert!(budget.is_count_due() && budget.is_count_useful(1));
}

#[test]
fn processes_of_an_upgrade_share_the_limit() {
    let mut budget = MemoryBudget::new(LIMIT_BYTES);
    let alone = budget.budget();
    budget.set_limit(LIMIT_BYTES / 2);
    assert!(2 * budget.budget() < alone);
}

#[test]
fn pressure_is_reported_once_a_second() {
    let mut budget = MemoryBudget::new(LIMIT_BYTES);
    assert!(!budget.take_report(1), "no pressure");
    budget.record(1, holding(LIMIT_BYTES));
    assert!(budget.take_report(1) && !budget.take_report(2));
    assert!(budget.take_report(1 + REPORT_INTERVAL));
}
