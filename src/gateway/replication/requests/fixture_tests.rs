//! Guards the postcard encoding of requests to a shard's primary.

use super::PrimaryRequest;
use crate::api::Effect;
use crate::delivery::Seq;
use crate::fixture;
use crate::store::records::CallRecord;

const REQUESTS: &str = "primary-questions.txt";

fn call() -> CallRecord {
    CallRecord {
        seq: Seq(5),
        tenant: "clinic".into(),
        serial: 21,
        webhook_id: "call-1".into(),
        worker_id: "0000000000000005".into(),
        class: "interactive".into(),
        effect: Effect::NonIdempotent,
        function: 1007,
        expires: 100_000_000,
        work: Some(250_000),
        memory_mb: 96.5,
        concurrency_per_copy: 3,
        load_time: None,
        body: b"body".to_vec(),
        order: None,
        sent: None,
    }
}

fn to_hex_line(request: &PrimaryRequest) -> String {
    let bytes = postcard::to_stdvec(request).expect("it encodes");
    bytes
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect::<String>()
        + "\n"
}

fn from_hex_line(line: &str) -> PrimaryRequest {
    let digits =
        |at: usize| u8::from_str_radix(&line[at..at + 2], 16).expect("two hexadecimal digits");
    let bytes: Vec<u8> = (0..line.len()).step_by(2).map(digits).collect();
    postcard::from_bytes(&bytes).expect("it decodes")
}

#[test]
fn primary_requests_encode_as_before() {
    let take = PrimaryRequest::AcceptCall {
        call: Box::new(call()),
        identity: [0xc3; 32],
        valid_until: 50_000_000,
    };
    let state = PrimaryRequest::CallState(21, "call-1".into());
    fixture::assert_matches(REQUESTS, &(to_hex_line(&take) + &to_hex_line(&state)));

    let stored: Vec<PrimaryRequest> = fixture::read_text(REQUESTS)
        .lines()
        .map(from_hex_line)
        .collect();
    let [PrimaryRequest::AcceptCall {
        call: stored_call,
        identity,
        valid_until,
    }, PrimaryRequest::CallState(serial, id)] = &stored[..]
    else {
        panic!("other requests: {stored:?}")
    };
    assert_eq!(
        (&**stored_call, *identity, *valid_until),
        (&call(), [0xc3; 32], 50_000_000)
    );
    assert_eq!((*serial, id.as_str()), (21, "call-1"));
}
