//! Changes of tenants at several gateways, each entry in the log's order.

use std::sync::Arc;

use super::changes::{ChangeRequest, Changes, Input, Output, Settings};
use super::error::Refusal;
use super::history::{digest, HistoryEvent};
use super::state::{Answer, Entry, Follows, Tenants};
use super::*;
use crate::api::Micros;

const ASK: Micros = 800;

fn entry(tenant: &str, follows: Follows, number: u64, kept: Option<&str>) -> Entry {
    Entry {
        tenant: tenant.into(),
        follows,
        by: "a".into(),
        origin: Origin { process: 1, number },
        kept: kept.map(|k| k.as_bytes().to_vec()),
        listed: false,
        answer: None,
    }
}

/// Several gateways round one log, which is handed to all after each entry unless a gateway is cut
/// off.
struct Table {
    agreed: Tenants,
    all: Vec<Changes>,
    told: Vec<(usize, Output)>,
    notes: Vec<HistoryEvent>,
    /// What was proposed; it reaches the log when the test says so.
    proposed: Vec<Entry>,
}

impl Table {
    fn new(gateways: usize, copies: usize, voters: usize) -> Table {
        let one = |n: usize| {
            let settings = Settings {
                name: format!("g{n}").into(),
                process: 100 + n as u64,
                copies,
                ask: ASK,
                without_agreed: false,
            };
            Changes::new(settings)
        };
        let mut t = Table {
            agreed: Tenants::default(),
            all: (0..gateways).map(one).collect(),
            told: Vec::new(),
            notes: Vec::new(),
            proposed: Vec::new(),
        };
        for n in 0..gateways {
            t.hear(0, n, voters);
        }
        t
    }

    fn handle(&mut self, now: Micros, n: usize, input: Input) {
        self.all[n].handle(now, input);
        while let Some(output) = self.all[n].output() {
            match output {
                Output::Propose(e) => self.proposed.push(e),
                Output::Noted(note) => self.notes.push(note),
                other => self.told.push((n, other)),
            }
        }
    }

    fn hear(&mut self, now: Micros, n: usize, voters: usize) {
        let agreed = Arc::new(self.agreed.clone());
        self.handle(now, n, Input::Agreed(agreed, voters));
    }

    fn want(&mut self, now: Micros, n: usize, ticket: u64, tenant: &str, kept: Option<&str>) {
        let kept = kept.map(|k| k.as_bytes().to_vec());
        let wanted = ChangeRequest {
            tenant: tenant.into(),
            kept,
            listed: false,
            answer: None,
        };
        self.handle(now, n, Input::Change(ticket, wanted));
    }

    /// The log takes what was proposed, in this order.
    fn agree(&mut self) -> Vec<bool> {
        std::mem::take(&mut self.proposed)
            .iter()
            .map(|e| self.agreed.apply(e))
            .collect()
    }

    fn told(&mut self, n: usize) -> Vec<Output> {
        let (own, rest) = std::mem::take(&mut self.told)
            .into_iter()
            .partition(|(who, _)| *who == n);
        self.told = rest;
        own.into_iter().map(|(_, o): (usize, Output)| o).collect()
    }
}

#[test]
fn a_change_is_told_done_once_it_is_agreed_and_all_take_it_over() {
    let mut t = Table::new(2, 2, 3);
    t.want(0, 0, 7, "clinic", Some("one"));
    assert_eq!(t.told(0), [], "nothing is told before it is agreed");
    assert_eq!(t.agree(), [true]);
    for n in 0..2 {
        t.hear(1, n, 3);
        let adopt = Output::Adopt("clinic".into(), Some(b"one".to_vec()));
        let expected = if n == 0 {
            vec![adopt, Output::Done(7)]
        } else {
            vec![adopt]
        };
        assert_eq!(t.told(n), expected);
    }
    let adopted = HistoryEvent::Adopted {
        tenant: "clinic".into(),
        version: 1,
        digest: Some(digest(b"one")),
    };
    let told = HistoryEvent::Told {
        tenant: "clinic".into(),
        version: 1,
    };
    assert_eq!(t.notes, [adopted.clone(), told, adopted]);
}

#[test]
fn of_two_changes_at_once_one_takes_hold_and_the_other_is_told() {
    let mut t = Table::new(2, 2, 3);
    t.want(0, 0, 1, "clinic", Some("one"));
    t.want(0, 1, 2, "clinic", Some("two"));
    assert_eq!(t.agree(), [true, false]);
    (0..2).for_each(|n| t.hear(1, n, 3));
    assert!(t.told(0).contains(&Output::Done(1)));
    let refused = Output::Refused(
        2,
        Refusal::Changed {
            tenant: "clinic".into(),
        },
    );
    assert_eq!(
        t.told(1),
        [
            Output::Adopt("clinic".into(), Some(b"one".to_vec())),
            refused
        ]
    );
}

/// A proposal that is said again, or comes late, after its tenant was changed or removed since, has
/// no effect.
#[test]
fn what_comes_again_or_late_has_no_effect() {
    let mut s = Tenants::default();
    let made = entry("t", s.follows("t"), 1, Some("one"));
    assert!(s.apply(&made) && !s.apply(&made));
    let removed = entry("t", s.follows("t"), 2, None);
    assert!(s.apply(&removed) && !s.apply(&removed));
    assert!(!s.lines.contains_key("t"));
    assert!(
        !s.apply(&made),
        "made anew by a word from before its removal"
    );
    assert!(s.apply(&entry("t", s.follows("t"), 3, Some("two"))));
    assert!(
        !s.apply(&removed),
        "removed by a word from before it was made anew"
    );
    assert_eq!((s.changes, s.removals), (3, 1));
}

/// One that the operator's file names is remembered as removed, so that a gateway that starts on
/// the file lets go of it.
#[test]
fn a_removed_tenant_of_the_file_stays_removed() {
    let mut t = Table::new(2, 1, 1);
    let e = Entry {
        listed: true,
        ..entry("filed", t.agreed.follows("filed"), 1, None)
    };
    assert!(t.agreed.apply(&e));
    t.hear(0, 1, 1);
    assert_eq!(
        t.told(1),
        [Output::Removals(1), Output::Adopt("filed".into(), None)]
    );
    assert!(
        !t.agreed
            .apply(&entry("never", t.agreed.follows("never"), 2, None)),
        "there is nothing to remove"
    );
}

/// While one waits others are removed: the change is proposed on what stands now, without a word to
/// whoever waits.
#[test]
fn a_new_tenant_waits_out_the_removal_of_another() {
    let mut t = Table::new(2, 1, 1);
    assert!(t
        .agreed
        .apply(&entry("other", Follows::Nothing(0), 1, Some("x"))));
    (0..2).for_each(|n| t.hear(0, n, 1));
    t.want(1, 0, 5, "fresh", Some("one"));
    let late = std::mem::take(&mut t.proposed);
    t.want(1, 1, 6, "other", None);
    assert_eq!(t.agree(), [true]);
    (0..2).for_each(|n| t.hear(2, n, 1));
    assert_eq!(t.agree(), [true], "proposed anew");
    assert!(!t.agreed.apply(&late[0]));
    t.hear(3, 0, 1);
    assert!(t.told(0).contains(&Output::Done(5)));
}

/// The wait has an end, and says that the change may still hold; it is proposed again until then.
#[test]
fn a_change_that_nobody_agrees_on_is_refused_in_time() {
    let mut t = Table::new(1, 1, 1);
    t.want(0, 0, 9, "t", Some("one"));
    let mut now = 0;
    while let Some(at) = t.all[0].next_deadline() {
        now = at;
        t.handle(now, 0, Input::Tick);
    }
    assert!(
        now == ASK && t.proposed.len() == 8,
        "{now} {}",
        t.proposed.len()
    );
    assert_eq!(
        t.told(0),
        [Output::Refused(
            9,
            Refusal::Unreached { tenant: "t".into() }
        )]
    );
    // It was agreed on after all: it is taken over like anybody's.
    assert_eq!(t.agree().iter().filter(|held| **held).count(), 1);
    t.hear(now + 1, 0, 1);
    assert_eq!(
        t.told(0),
        [Output::Adopt("t".into(), Some(b"one".to_vec()))]
    );
}

#[test]
fn what_there_is_no_room_for_is_refused_by_name_before_it_is_proposed() {
    let mut t = Table::new(1, 3, 3);
    t.want(0, 0, 1, "t", Some("one"));
    assert_eq!(
        t.told(0),
        [Output::Refused(1, Refusal::Fewer { have: 2, want: 3 })]
    );
    t.hear(0, 0, 5);
    t.want(0, 0, 2, "t", Some(&"x".repeat(MAX_TENANT_BYTES + 1)));
    let long = Refusal::TooLong {
        tenant: "t".into(),
        bytes: MAX_TENANT_BYTES + 1,
    };
    assert_eq!(t.told(0), [Output::Refused(2, long)]);
    let full = "x".repeat(MAX_TENANT_BYTES);
    for n in 0.. {
        let e = entry(&format!("t{n}"), Follows::Nothing(0), n, Some(&full));
        if !t.agreed.apply(&e) {
            break;
        }
    }
    assert!(
        t.agreed.bytes() <= MAX_TOTAL_BYTES
            && t.agreed.bytes() > MAX_TOTAL_BYTES - 2 * MAX_TENANT_BYTES
    );
    t.hear(1, 0, 5);
    t.told.clear();
    t.want(1, 0, 3, "one-more", Some(&full));
    assert!(matches!(
        t.told(0)[..],
        [Output::Refused(3, Refusal::TooMuch { .. })]
    ));
    t.want(1, 0, 4, "t0", None);
    assert_eq!(t.agree(), [true], "a removal has room");
    for n in 0..=changes::MAX_OPEN_CHANGES as u64 {
        t.want(2, 0, 10 + n, &format!("s{n}"), Some("x"));
    }
    let busy = Refusal::Busy {
        open: changes::MAX_OPEN_CHANGES,
    };
    assert_eq!(
        t.told(0).last(),
        Some(&Output::Refused(
            10 + changes::MAX_OPEN_CHANGES as u64,
            busy
        ))
    );
}

/// One that was away while more was agreed than is remembered says that it does not know.
#[test]
fn who_was_away_for_long_says_that_it_does_not_know() {
    let mut t = Table::new(1, 1, 1);
    t.want(0, 0, 1, "t", Some("one"));
    assert_eq!(t.agree(), [true]);
    for n in 0..=MAX_RECENT_CHANGES as u64 {
        assert!(t
            .agreed
            .apply(&entry("busy", t.agreed.follows("busy"), 50 + n, Some("x"))));
    }
    t.hear(1, 0, 1);
    let unknown = Refusal::Unknown {
        tenant: "t".into(),
        since: MAX_RECENT_CHANGES as u64 + 2,
    };
    assert_eq!(t.told(0).last(), Some(&Output::Refused(1, unknown)));
    assert!(t.agreed.recent.len() == MAX_RECENT_CHANGES);
}

#[test]
fn answers_to_keyed_requests_are_agreed_on_and_bounded() {
    let mut s = Tenants::default();
    for n in 0..MAX_ANSWERS as u64 + 5 {
        let mut e = entry("t", s.follows("t"), n, Some("x"));
        let bytes = vec![n as u8; if n == 0 { LONGEST_ANSWER + 1 } else { 4 }];
        e.answer = Some(Answer {
            key: [n as u8; 32],
            request: [1; 32],
            bytes,
        });
        assert!(s.apply(&e));
    }
    assert!(s.answer(&[0; 32]).is_none() && s.answer(&[1; 32]).is_none());
    assert_eq!(
        s.answer(&[132; 32]).map(|a| a.bytes.clone()),
        Some(vec![132; 4])
    );
    assert_eq!(s.answers.len(), MAX_ANSWERS);
    // All of it, at its fullest, fits into the frame that carries it.
    let most = MAX_TOTAL_BYTES + MAX_ANSWERS * (LONGEST_ANSWER + 64) + MAX_RECENT_CHANGES * 20;
    assert!(most < crate::consensus::wire::MAX_FRAME_BYTES * 2 / 3);
}

/// Every refusal says what an operator can do, and none says it twice.
#[test]
fn refusals_and_their_remedies() {
    let t = || "clinic".to_owned();
    let all = [
        Refusal::Changed { tenant: t() },
        Refusal::Unreached { tenant: t() },
        Refusal::Unknown {
            tenant: t(),
            since: 300,
        },
        Refusal::Fewer { have: 2, want: 3 },
        Refusal::TooMuch { bytes: 400_000 },
        Refusal::TooMany { lines: 4096 },
        Refusal::TooLong {
            tenant: t(),
            bytes: 30_000,
        },
        Refusal::Busy { open: 64 },
        Refusal::Unheard,
        Refusal::Unreadable {
            tenant: t(),
            why: "the tenants' state cannot be read".into(),
        },
    ];
    let lines: Vec<String> = all
        .iter()
        .map(|r| format!("{} {r}: {}", r.status(), r.remedy()))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
