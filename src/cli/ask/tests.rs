//! Tests of `cli::ask`.

use super::*;

#[test]
fn responses_are_parsed_and_errors_reported() {
    let ok = answer(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\": 1}").unwrap();
    assert_eq!(ok["a"], 1);
    let bad =
        answer(b"HTTP/1.1 404 Not Found\r\n\r\n{\"detail\":\"the council is off\"}").unwrap_err();
    assert_eq!(bad.to_string(), "404: the council is off");
    assert!(answer(b"HTTP/1.1 200 OK\r\nCont").is_err() && answer(b"").is_err());
    assert!(request("GET", "/v1/duties", "h", "t", "").contains("\r\nAuthorization: Bearer t\r\n"));
}
