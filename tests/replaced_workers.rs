//! A new worker process at the address of one that has gone is not taken for the old one.

mod common;

use common::by_hand::*;
use common::*;

const FORMER: &str = "s-00000001";
const NEWCOMER: &str = "s-00000002";
/// Calls of different functions, of which each worker would get some.
const CALLS: u64 = 12;

fn call(id: u64) -> Ask {
    Ask {
        function: id,
        ..Ask::once(id)
    }
}

/// Discovery lists a new worker at the address and has not yet told that the former one is gone. The
/// former one's connection stays open and silent, as if its machine had vanished.
#[test]
fn newcomer_at_an_address_supersedes_the_former_worker() {
    let worker = WorkerByHand::start();
    let board = BoardByHand::start();
    let listed = [endpoint(FORMER, worker.address(), "SERVING")];
    let g = Gateway::start_daily(&settings(8000.0), &listed, Some(board.address()));
    let mut poll = board.poll();
    until("the gateway is ready", || {
        g.ask(b"readyz\n") == "200 ready\n"
    });
    let mut client = Client::asks(&g, call(1));
    let mut former = worker.accept();
    assert_eq!(former.next_attempt().id, call(1).id());
    former.answer(&call(1).id(), "200", "remark=w");
    assert_eq!(client.status(), 200);

    poll.tell(2, &[endpoint(NEWCOMER, worker.address(), "SERVING")]);
    until("the newcomer is listed", || {
        let evidence = g.ask(b"evidence\n");
        evidence.contains(NEWCOMER)
    });
    assert_eq!(g.figure("members"), 1, "the newcomer alone");
    let mut connection = None;
    for id in 2..2 + CALLS {
        let mut client = Client::asks(&g, call(id));
        let connection = connection.get_or_insert_with(|| worker.accept());
        assert_eq!(connection.next_attempt().id, call(id).id());
        connection.answer(&call(id).id(), "200", "remark=w");
        assert_eq!(client.status(), 200);
    }
    while let Some(command) = former.next() {
        assert_ne!(
            command.word, "go",
            "an attempt for the newcomer: {command:?}"
        );
    }
}

/// The former worker is told as gone after the newcomer came: that removes nothing of the newcomer.
#[test]
fn late_removal_of_the_former_worker_leaves_the_newcomer() {
    let worker = WorkerByHand::start();
    let board = BoardByHand::start();
    let listed = [endpoint(FORMER, worker.address(), "SERVING")];
    let g = Gateway::start_daily(&settings(8000.0), &listed, Some(board.address()));
    let mut poll = board.poll();
    poll.tell(2, &[endpoint(NEWCOMER, worker.address(), "SERVING")]);
    poll.tell(3, &[endpoint(FORMER, worker.address(), "DELETED")]);
    until("the newcomer alone is listed", || {
        let evidence = g.ask(b"evidence\n");
        evidence.contains(NEWCOMER) && !evidence.contains(FORMER)
    });
    let mut client = Client::asks(&g, call(1));
    let mut connection = worker.accept();
    assert_eq!(connection.next_attempt().id, call(1).id());
    connection.answer(&call(1).id(), "200", "remark=w");
    assert_eq!(client.status(), 200);
    assert_eq!(g.figure("members"), 1);
}
