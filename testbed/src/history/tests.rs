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

fn of(what: &str, term: u64) -> String {
    format!(r#"{{"what":"{what}","duty":"d","term":{term},"number":1}}"#)
}

fn took(term: u64, owner: &str) -> String {
    format!(r#"{{"what":"accepted","duty":"d","term":{term},"owner":"{owner}","number":1}}"#)
}

fn owner(name: &str, index: u64, term: u64) -> String {
    let notes = [
        agreed(index, term, name),
        of("began", term),
        of("acted", term),
        of("sent", term),
        of("ended", term),
    ];
    notes.iter().map(|n| line(name, n)).collect()
}

fn judge(files: &[String]) -> Vec<Wrong> {
    let files: Vec<Vec<Line>> = files.iter().map(|f| parse(f).unwrap()).collect();
    check(&files).1
}

fn lines(name: &str, notes: &[String]) -> String {
    notes.iter().map(|n| line(name, n)).collect()
}

#[test]
fn a_sound_history_is_sound_also_with_its_last_line_cut() {
    let c = lines("c", &[took(1, "a"), took(2, "b")]) + "{\"at\":1,\"na";
    assert_eq!(judge(&[owner("a", 5, 1), owner("b", 6, 2), c]), []);
}

#[test]
fn each_bad_history_is_refused_by_its_name() {
    let (a, b) = (owner("a", 5, 1), owner("b", 6, 2));
    let stale = lines("c", &[took(2, "b"), took(1, "a")]);
    assert!(matches!(
        judge(&[a.clone(), b.clone(), stale])[..],
        [Wrong::Stale {
            term: 1,
            after: 2,
            ..
        }]
    ));
    let forged = lines("c", &[took(2, "a")]);
    assert!(matches!(
        judge(&[a.clone(), b.clone(), forged])[..],
        [Wrong::Forged { .. }]
    ));
    // Two owners under one term, by the log and by what they did.
    let other = lines("b", &[agreed(6, 1, "b")]);
    assert!(judge(&[a.clone(), other]).contains(&Wrong::TwoOwners {
        duty: "d".into(),
        term: 1
    }));
    let other = lines("b", &[of("began", 1), of("acted", 1)]);
    assert!(judge(&[a.clone(), other]).contains(&Wrong::TwoOwners {
        duty: "d".into(),
        term: 1
    }));
    let other = lines("c", &[agreed(5, 1, "b")]);
    assert!(judge(&[a.clone(), other]).contains(&Wrong::TwoEntries { index: 5 }));
    let gap = owner("b", 6, 3);
    assert!(judge(&[a.clone(), gap]).contains(&Wrong::Gap {
        duty: "d".into(),
        term: 3
    }));
    for late in ["acted", "sent"] {
        let late = owner("a", 5, 1) + &lines("a", &[of(late, 1)]);
        assert!(matches!(judge(&[late])[..], [Wrong::NoLease { .. }]));
    }
    let leads = |n: &str| lines(n, &[r#"{"what":"leads","term":4}"#.into()]);
    assert_eq!(
        judge(&[leads("a"), leads("b")]),
        [Wrong::TwoLeaders { term: 4 }]
    );
    let answers =
        "{\"call\":9,\"status\":200}\n{\"call\":9,\"status\":503}\n{\"call\":8,\"status\":0}\n";
    assert_eq!(judge(&[answers.into()]), [Wrong::TwoAnswers { call: 9 }]);
    assert!(parse("not json\n").is_err());
}
