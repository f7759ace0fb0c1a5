//! Errors: their texts, and what an operator can do.

use crate::replication::error::ReplicationError;

#[test]
fn replication_errors_name_a_remedy() {
    let errors = [
        ReplicationError::NotPrimary {
            shard: 3,
            primary: Some("g1".into()),
        },
        ReplicationError::NotPrimary {
            shard: 3,
            primary: None,
        },
        ReplicationError::Superseded {
            shard: 3,
            ours: 4,
            theirs: 6,
        },
        ReplicationError::TooFewReplicas {
            shard: 3,
            have: 1,
            want: 2,
        },
        ReplicationError::PrimaryUnreachable { shard: 3 },
        ReplicationError::TooManyRequests { open: 4096 },
        ReplicationError::ReplicationLag {
            shard: 3,
            bytes: 5_000_000,
        },
        ReplicationError::TooLong {
            bytes: 600_000,
            max: 524_288,
        },
        ReplicationError::DuplicateIdentity,
        ReplicationError::IdentityExpired { shard: 3 },
        ReplicationError::Unknown {
            subject: "class".into(),
        },
        ReplicationError::PrimaryOverloaded,
        ReplicationError::ShuttingDown,
    ];
    let text: Vec<String> = errors
        .iter()
        .map(|error| format!("{error}; {}", error.remedy()))
        .collect();
    insta::assert_snapshot!(text.join("\n"));
}
