//! Tests of `history`.

use super::*;

fn line(name: &str, note: &str) -> String {
    let process = u64::from(name.as_bytes()[0]);
    format!("{{\"at\":1,\"name\":\"{name}\",\"process\":{process},\"note\":{note}}}\n")
}

fn agreed(index: u64, term: u64, owner: &str) -> String {
    let process = u64::from(owner.as_bytes()[0]);
    format!(
        r#"{{"what":"agreed","index":{index},"duty":"d","term":{term},"owner":{{"name":"{owner}","incarnation":{process}}}}}"#
    )
}

fn event(what: &str, term: u64) -> String {
    format!(r#"{{"what":"{what}","duty":"d","term":{term},"number":1}}"#)
}

fn accepted(term: u64, owner: &str) -> String {
    format!(r#"{{"what":"accepted","duty":"d","term":{term},"owner":"{owner}","number":1}}"#)
}

fn owner_history(name: &str, index: u64, term: u64) -> String {
    let notes = [
        agreed(index, term, name),
        event("began", term),
        event("acted", term),
        event("sent", term),
        event("ended", term),
    ];
    notes.iter().map(|n| line(name, n)).collect()
}

fn violations(files: &[String]) -> Vec<Violation> {
    let files: Vec<Vec<Line>> = files.iter().map(|f| parse(f).unwrap()).collect();
    check(&files).1
}

fn lines(name: &str, notes: &[String]) -> String {
    notes.iter().map(|n| line(name, n)).collect()
}

#[test]
fn valid_history_with_truncated_last_line_passes() {
    let c = lines("c", &[accepted(1, "a"), accepted(2, "b")]) + "{\"at\":1,\"na";
    assert_eq!(
        violations(&[owner_history("a", 5, 1), owner_history("b", 6, 2), c]),
        []
    );
}

#[test]
fn each_violation_is_reported() {
    let (a, b) = (owner_history("a", 5, 1), owner_history("b", 6, 2));
    let stale = lines("c", &[accepted(2, "b"), accepted(1, "a")]);
    assert!(matches!(
        violations(&[a.clone(), b.clone(), stale])[..],
        [Violation::Stale {
            term: 1,
            after: 2,
            ..
        }]
    ));
    let forged = lines("c", &[accepted(2, "a")]);
    assert!(matches!(
        violations(&[a.clone(), b.clone(), forged])[..],
        [Violation::Forged { .. }]
    ));
    // Two owners of one term, shown by the log and by their effects.
    let other = lines("b", &[agreed(6, 1, "b")]);
    assert!(
        violations(&[a.clone(), other]).contains(&Violation::TwoOwners {
            duty: "d".into(),
            term: 1
        })
    );
    let other = lines("b", &[event("began", 1), event("acted", 1)]);
    assert!(
        violations(&[a.clone(), other]).contains(&Violation::TwoOwners {
            duty: "d".into(),
            term: 1
        })
    );
    let other = lines("c", &[agreed(5, 1, "b")]);
    assert!(violations(&[a.clone(), other]).contains(&Violation::TwoEntries { index: 5 }));
    let gap = owner_history("b", 6, 3);
    assert!(violations(&[a.clone(), gap]).contains(&Violation::Gap {
        duty: "d".into(),
        term: 3
    }));
    for late in ["acted", "sent"] {
        let late = owner_history("a", 5, 1) + &lines("a", &[event(late, 1)]);
        assert!(matches!(
            violations(&[late])[..],
            [Violation::NoLease { .. }]
        ));
    }
    let leads = |n: &str| lines(n, &[r#"{"what":"leads","term":4}"#.into()]);
    assert_eq!(
        violations(&[leads("a"), leads("b")]),
        [Violation::TwoLeaders { term: 4 }]
    );
    let answers =
        "{\"call\":9,\"status\":200}\n{\"call\":9,\"status\":503}\n{\"call\":8,\"status\":0}\n";
    assert_eq!(
        violations(&[answers.into()]),
        [Violation::TwoAnswers { call: 9 }]
    );
    assert!(parse("not json\n").is_err());
}
