use super::{CallIdentities, Claim, BYTES_PER_IDENTITY, IDENTITY_RETENTION, MEMORY_SHARE};

const NOW: u64 = 1_000_000_000;
const DEADLINE: u64 = NOW + 3_000_000;

fn with_capacity(identities: usize) -> CallIdentities {
    CallIdentities::in_memory(identities * MEMORY_SHARE * BYTES_PER_IDENTITY)
}

#[test]
fn identity_is_kept_for_its_time_after_the_deadline() {
    let mut identities = with_capacity(8);
    assert_eq!(identities.claim("a", NOW, DEADLINE), Claim::New);
    let last = DEADLINE + IDENTITY_RETENTION;
    assert_eq!(identities.claim("a", last, last + 1), Claim::MayHaveRun);
    assert_eq!(identities.claim("a", last + 1, last + 2), Claim::New);
}

#[test]
fn full_table_rejects_and_forgets_nothing() {
    let mut identities = with_capacity(2);
    assert_eq!(identities.claim("a", NOW, DEADLINE), Claim::New);
    assert_eq!(identities.claim("b", NOW, DEADLINE), Claim::New);
    assert_eq!(identities.claim("c", NOW, DEADLINE), Claim::Unavailable);
    assert_eq!(identities.claim("a", NOW, DEADLINE), Claim::MayHaveRun);
    identities.release("b");
    assert_eq!(identities.claim("c", NOW, DEADLINE), Claim::New);
}

/// The other process's clock is an hour behind: what it recorded looks expired here.
#[test]
fn identities_of_a_process_with_another_clock_are_kept() {
    const HOUR: u64 = 3_600_000_000;
    let folder = std::env::temp_dir().join(format!("call-identities-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let memory = 8 * MEMORY_SHARE * BYTES_PER_IDENTITY;
    let mut old = CallIdentities::shared(&folder, memory, NOW).unwrap();
    assert_eq!(old.claim("a", NOW, DEADLINE), Claim::New);
    let mut new = CallIdentities::shared(&folder, memory, NOW + HOUR).unwrap();
    assert_eq!(old.claim("b", NOW, DEADLINE), Claim::New);
    for identity in ["a", "b"] {
        assert_eq!(
            new.claim(identity, NOW + HOUR + 1, DEADLINE + HOUR),
            Claim::MayHaveRun,
            "{identity}"
        );
    }
    assert_eq!(new.claim("c", NOW + HOUR, DEADLINE + HOUR), Claim::New);
    assert_eq!(old.claim("c", NOW, DEADLINE), Claim::MayHaveRun);
    std::fs::remove_dir_all(folder).unwrap();
}
