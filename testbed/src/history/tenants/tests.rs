//! Tests of `history::tenants`.

use super::*;

fn adopted(name: &str, process: u64, version: u64, digest: u64) -> TenantLine {
    let note = TenantNote::Adopted {
        tenant: "t".into(),
        version,
        digest: Some(digest),
    };
    TenantLine {
        name: name.into(),
        process,
        note,
    }
}

fn confirmed(version: u64) -> TenantLine {
    let note = TenantNote::Told {
        tenant: "t".into(),
        version,
    };
    TenantLine {
        name: "a".into(),
        process: 1,
        note,
    }
}

#[test]
fn each_violation_is_reported() {
    let running: BTreeSet<String> = ["a".to_owned(), "b".to_owned()].into();
    let good = [
        adopted("a", 1, 1, 7),
        confirmed(1),
        adopted("b", 2, 1, 7),
        adopted("b", 3, 1, 7),
    ];
    assert_eq!(check(&good, &running), (1, vec![]));
    let two = [adopted("a", 1, 1, 7), adopted("b", 2, 1, 8)];
    assert_eq!(
        check(&two, &running).1,
        [Violation::TwoContents {
            tenant: "t".into(),
            version: 1
        }]
    );
    let back = [adopted("a", 1, 2, 7), adopted("a", 1, 1, 6)];
    let violation = Violation::Back {
        tenant: "t".into(),
        process: 1,
        from: 2,
        to: 1,
    };
    assert_eq!(check(&back, &running).1, [violation]);
    let twice = [
        adopted("a", 1, 1, 7),
        adopted("b", 2, 1, 7),
        confirmed(1),
        confirmed(1),
    ];
    assert_eq!(
        check(&twice, &running).1,
        [Violation::TwoTold {
            tenant: "t".into(),
            version: 1
        }]
    );
    let gone = [adopted("a", 1, 1, 7), confirmed(1)];
    let violation = Violation::Gone {
        tenant: "t".into(),
        version: 1,
        at: "b".into(),
    };
    assert_eq!(check(&gone, &running).1, [violation]);
}
