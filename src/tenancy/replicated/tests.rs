//! Changes of tenants at several gateways with one simulated log.

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

/// Several gateways that share one log. The test passes the agreed state to the gateways.
struct Cluster {
    agreed: Tenants,
    all: Vec<Changes>,
    outputs: Vec<(usize, Output)>,
    notes: Vec<HistoryEvent>,
    /// Proposals that have not reached the log; the test applies them.
    proposed: Vec<Entry>,
}

impl Cluster {
    fn new(gateways: usize, copies: usize, voters: usize) -> Cluster {
        let one = |n: usize| {
            let settings = Settings {
                name: format!("g{n}").into(),
                process: 100 + n as u64,
                replicas: copies,
                agreement_timeout: ASK,
                confirm_before_agreement: false,
            };
            Changes::new(settings)
        };
        let mut t = Cluster {
            agreed: Tenants::default(),
            all: (0..gateways).map(one).collect(),
            outputs: Vec::new(),
            notes: Vec::new(),
            proposed: Vec::new(),
        };
        for n in 0..gateways {
            t.deliver(0, n, voters);
        }
        t
    }

    fn handle(&mut self, now: Micros, n: usize, input: Input) {
        self.all[n].handle(now, input);
        while let Some(output) = self.all[n].output() {
            match output {
                Output::Propose(e) => self.proposed.push(e),
                Output::RecordEvent(note) => self.notes.push(note),
                other => self.outputs.push((n, other)),
            }
        }
    }

    fn deliver(&mut self, now: Micros, n: usize, voters: usize) {
        let agreed = Arc::new(self.agreed.clone());
        self.handle(now, n, Input::StateChanged(agreed, voters));
    }

    fn request(&mut self, now: Micros, n: usize, ticket: u64, tenant: &str, kept: Option<&str>) {
        let kept = kept.map(|k| k.as_bytes().to_vec());
        let change = ChangeRequest {
            tenant: tenant.into(),
            encoded: kept,
            listed: false,
            answer: None,
        };
        self.handle(now, n, Input::Change(ticket, change));
    }

    /// Applies the proposals to the log in order and returns which ones took effect.
    fn commit(&mut self) -> Vec<bool> {
        std::mem::take(&mut self.proposed)
            .iter()
            .map(|e| self.agreed.apply(e))
            .collect()
    }

    fn outputs_of(&mut self, n: usize) -> Vec<Output> {
        let (own, rest) = std::mem::take(&mut self.outputs)
            .into_iter()
            .partition(|(who, _)| *who == n);
        self.outputs = rest;
        own.into_iter().map(|(_, o): (usize, Output)| o).collect()
    }
}

#[test]
fn change_is_confirmed_after_agreement_and_adopted_by_all() {
    let mut t = Cluster::new(2, 2, 3);
    t.request(0, 0, 7, "clinic", Some("one"));
    assert_eq!(t.outputs_of(0), [], "nothing is reported before agreement");
    assert_eq!(t.commit(), [true]);
    for n in 0..2 {
        t.deliver(1, n, 3);
        let adopt = Output::Adopt("clinic".into(), Some(b"one".to_vec()));
        let expected = if n == 0 {
            vec![adopt, Output::Done(7)]
        } else {
            vec![adopt]
        };
        assert_eq!(t.outputs_of(n), expected);
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
fn only_one_of_two_concurrent_changes_takes_effect() {
    let mut t = Cluster::new(2, 2, 3);
    t.request(0, 0, 1, "clinic", Some("one"));
    t.request(0, 1, 2, "clinic", Some("two"));
    assert_eq!(t.commit(), [true, false]);
    (0..2).for_each(|n| t.deliver(1, n, 3));
    assert!(t.outputs_of(0).contains(&Output::Done(1)));
    let refused = Output::Refused(
        2,
        Refusal::Changed {
            tenant: "clinic".into(),
        },
    );
    assert_eq!(
        t.outputs_of(1),
        [
            Output::Adopt("clinic".into(), Some(b"one".to_vec())),
            refused
        ]
    );
}

/// A proposal that is repeated, or arrives after a later change or removal of its tenant, has no
/// effect.
#[test]
fn repeated_or_late_entry_has_no_effect() {
    let mut s = Tenants::default();
    let made = entry("t", s.follows("t"), 1, Some("one"));
    assert!(s.apply(&made) && !s.apply(&made));
    let removed = entry("t", s.follows("t"), 2, None);
    assert!(s.apply(&removed) && !s.apply(&removed));
    assert!(!s.lines.contains_key("t"));
    assert!(
        !s.apply(&made),
        "recreated by an entry from before the removal"
    );
    assert!(s.apply(&entry("t", s.follows("t"), 3, Some("two"))));
    assert!(
        !s.apply(&removed),
        "removed by an entry from before the recreation"
    );
    assert_eq!((s.changes, s.removals), (3, 1));
}

/// The removal of a tenant listed in the operator's file stays recorded, so that a gateway that
/// starts with the file removes the tenant.
#[test]
fn removed_tenant_of_the_file_stays_removed() {
    let mut t = Cluster::new(2, 1, 1);
    let e = Entry {
        listed: true,
        ..entry("filed", t.agreed.follows("filed"), 1, None)
    };
    assert!(t.agreed.apply(&e));
    t.deliver(0, 1, 1);
    assert_eq!(
        t.outputs_of(1),
        [Output::Removals(1), Output::Adopt("filed".into(), None)]
    );
    assert!(
        !t.agreed
            .apply(&entry("never", t.agreed.follows("never"), 2, None)),
        "there is nothing to remove"
    );
}

/// If another tenant is removed while a creation waits, the creation is proposed again on the new
/// base, without an answer to the requester.
#[test]
fn creation_survives_removal_of_another_tenant() {
    let mut t = Cluster::new(2, 1, 1);
    assert!(t
        .agreed
        .apply(&entry("other", Follows::Nothing(0), 1, Some("x"))));
    (0..2).for_each(|n| t.deliver(0, n, 1));
    t.request(1, 0, 5, "fresh", Some("one"));
    let late = std::mem::take(&mut t.proposed);
    t.request(1, 1, 6, "other", None);
    assert_eq!(t.commit(), [true]);
    (0..2).for_each(|n| t.deliver(2, n, 1));
    assert_eq!(t.commit(), [true], "proposed again");
    assert!(!t.agreed.apply(&late[0]));
    t.deliver(3, 0, 1);
    assert!(t.outputs_of(0).contains(&Output::Done(5)));
}

/// A change without agreement is proposed again until its deadline; the refusal then says that the
/// change may still take effect.
#[test]
fn change_without_agreement_is_refused_at_deadline() {
    let mut t = Cluster::new(1, 1, 1);
    t.request(0, 0, 9, "t", Some("one"));
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
        t.outputs_of(0),
        [Output::Refused(
            9,
            Refusal::AgreementTimeout { tenant: "t".into() }
        )]
    );
    // A late agreement is adopted like a change by any other gateway.
    assert_eq!(t.commit().iter().filter(|held| **held).count(), 1);
    t.deliver(now + 1, 0, 1);
    assert_eq!(
        t.outputs_of(0),
        [Output::Adopt("t".into(), Some(b"one".to_vec()))]
    );
}

#[test]
fn changes_over_the_limits_are_refused_before_proposal() {
    let mut t = Cluster::new(1, 3, 3);
    t.request(0, 0, 1, "t", Some("one"));
    assert_eq!(
        t.outputs_of(0),
        [Output::Refused(
            1,
            Refusal::TooFewDisks { have: 2, want: 3 }
        )]
    );
    t.deliver(0, 0, 5);
    t.request(0, 0, 2, "t", Some(&"x".repeat(MAX_TENANT_BYTES + 1)));
    let long = Refusal::TooLong {
        tenant: "t".into(),
        bytes: MAX_TENANT_BYTES + 1,
    };
    assert_eq!(t.outputs_of(0), [Output::Refused(2, long)]);
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
    t.deliver(1, 0, 5);
    t.outputs.clear();
    t.request(1, 0, 3, "one-more", Some(&full));
    assert!(matches!(
        t.outputs_of(0)[..],
        [Output::Refused(3, Refusal::TooMuch { .. })]
    ));
    t.request(1, 0, 4, "t0", None);
    assert_eq!(t.commit(), [true], "a removal has room");
    for n in 0..=changes::MAX_OPEN_CHANGES as u64 {
        t.request(2, 0, 10 + n, &format!("s{n}"), Some("x"));
    }
    let busy = Refusal::Busy {
        open: changes::MAX_OPEN_CHANGES,
    };
    assert_eq!(
        t.outputs_of(0).last(),
        Some(&Output::Refused(
            10 + changes::MAX_OPEN_CHANGES as u64,
            busy
        ))
    );
}

/// A gateway that missed more changes than are stored reports that the outcome is unknown.
#[test]
fn outcome_is_unknown_after_a_long_absence() {
    let mut t = Cluster::new(1, 1, 1);
    t.request(0, 0, 1, "t", Some("one"));
    assert_eq!(t.commit(), [true]);
    for n in 0..=MAX_RECENT_CHANGES as u64 {
        assert!(t
            .agreed
            .apply(&entry("busy", t.agreed.follows("busy"), 50 + n, Some("x"))));
    }
    t.deliver(1, 0, 1);
    let unknown = Refusal::Unknown {
        tenant: "t".into(),
        since: MAX_RECENT_CHANGES as u64 + 2,
    };
    assert_eq!(t.outputs_of(0).last(), Some(&Output::Refused(1, unknown)));
    assert!(t.agreed.recent.len() == MAX_RECENT_CHANGES);
}

#[test]
fn answers_to_keyed_requests_are_replicated_and_bounded() {
    let mut s = Tenants::default();
    for n in 0..MAX_ANSWERS as u64 + 5 {
        let mut e = entry("t", s.follows("t"), n, Some("x"));
        let bytes = vec![n as u8; if n == 0 { MAX_ANSWER_BYTES + 1 } else { 4 }];
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
    // The state at its maximum size fits into the frame that carries it.
    let most = MAX_TOTAL_BYTES + MAX_ANSWERS * (MAX_ANSWER_BYTES + 64) + MAX_RECENT_CHANGES * 20;
    assert!(most < crate::consensus::wire::MAX_FRAME_BYTES * 2 / 3);
}

/// Compares the texts, statuses and remedies of all refusals with the snapshot.
#[test]
fn refusals_and_their_remedies() {
    let t = || "clinic".to_owned();
    let all = [
        Refusal::Changed { tenant: t() },
        Refusal::AgreementTimeout { tenant: t() },
        Refusal::Unknown {
            tenant: t(),
            since: 300,
        },
        Refusal::TooFewDisks { have: 2, want: 3 },
        Refusal::TooMuch { bytes: 400_000 },
        Refusal::TooMany { lines: 4096 },
        Refusal::TooLong {
            tenant: t(),
            bytes: 30_000,
        },
        Refusal::Busy { open: 64 },
        Refusal::NotCaughtUp,
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
