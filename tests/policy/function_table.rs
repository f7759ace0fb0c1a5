//! Tests of `policy::function_table`.

use super::*;
use crate::api::RequestId;

const MAX_FUNCTIONS: usize = 4;

fn full_table() -> FunctionTable {
    let mut table = FunctionTable::with_limit(Some(MAX_FUNCTIONS));
    for id in 0..MAX_FUNCTIONS as u64 {
        assert!(table.make_room().is_none());
        table.get_or_create(FunctionId(id));
    }
    table
}

#[test]
fn oldest_function_without_an_answer_is_forgotten() {
    let mut table = full_table();
    let removed = table.make_room().map(|(id, _)| id);
    assert_eq!(removed, Some(FunctionId(0)));
    assert_eq!(table.len(), MAX_FUNCTIONS - 1);
}

#[test]
fn served_and_busy_functions_stay() {
    let mut table = full_table();
    table.get_or_create(FunctionId(0)).answers = 1.0;
    let busy = table.get_or_create(FunctionId(1));
    busy.queue.push_back(RequestId(7));
    let removed = table.make_room().map(|(id, _)| id);
    assert_eq!(removed, Some(FunctionId(2)));
    table.get_or_create(FunctionId(4)).answers = 1.0;
    table.get_or_create(FunctionId(3)).answers = 1.0;
    for id in [0, 3, 4] {
        table.get_or_create(FunctionId(id)).interval_requests = 2.0;
    }
    assert!(table.make_room().is_none(), "nothing can be forgotten");
    table.get_or_create(FunctionId(1)).queue.clear();
    let removed = table.make_room().map(|(id, _)| id);
    assert_eq!(removed, Some(FunctionId(1)), "it is busy no more");
}

#[test]
fn function_that_was_called_once_goes_before_one_in_use() {
    let mut table = full_table();
    for id in 0..MAX_FUNCTIONS as u64 {
        let function = table.get_or_create(FunctionId(id));
        function.answers = 1.0;
        function.interval_requests = 1.0;
    }
    table.get_or_create(FunctionId(0)).interval_requests = 9.0;
    let removed = table.make_room().map(|(id, _)| id);
    assert_eq!(removed, Some(FunctionId(1)));
    assert!(table.contains_key(&FunctionId(0)), "it is in use");
}

#[test]
fn order_of_functions_is_bounded_too() {
    let mut table = full_table();
    for id in 10..10_000 {
        table.make_room();
        table.get_or_create(FunctionId(id));
    }
    assert!(table.unserved.len() <= MAX_FUNCTIONS + MAX_EXAMINED);
    assert_eq!(table.len(), MAX_FUNCTIONS);
}
