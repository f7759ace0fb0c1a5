//! Guards the digests under which the agreed log stores responses to requests with an idempotency
//! key.

use super::digests;
use crate::fixture;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn idempotency_digests_stay_as_before() {
    let (key, request) = digests(
        "spiffe://example.org/staff",
        "key-1",
        b"PUT /tenants/clinic",
    );
    fixture::assert_matches(
        "idempotency-digests.txt",
        &format!("key: {}\nrequest: {}\n", to_hex(&key), to_hex(&request)),
    );
}
