//! Tests of `front::operator_console`.

use super::*;

#[test]
fn commands_are_parsed_and_malformed_lines_rejected() {
    let one = |text: &str| parse_line(text.as_bytes(), false);
    assert_eq!(one("readyz\n"), Ok(Some(Request::Ready)));
    assert_eq!(one("telemetry\r\n"), Ok(Some(Request::Telemetry)));
    assert_eq!(one("evidence\n"), Ok(Some(Request::Evidence)));
    assert_eq!(one("memory\n"), Ok(Some(Request::Memory)));
    assert_eq!(
        one("exclude s-00c41f7a\n"),
        Ok(Some(Request::Exclude("s-00c41f7a".into())))
    );
    assert_eq!(
        one("include  s-1 \nmore"),
        Ok(Some(Request::Include("s-1".into())))
    );
    assert_eq!(
        (one("evacuate\n"), one("activate\n")),
        (Ok(Some(Request::Evacuate)), Ok(Some(Request::Activate)))
    );
    for (text, error) in [
        ("ready\n", RequestError::Unknown),
        ("READYZ\n", RequestError::Unknown),
        ("\n", RequestError::Empty),
        (" \r\n", RequestError::Empty),
        ("exclude\n", RequestError::NoWorker),
        ("include \n", RequestError::NoWorker),
        ("exclude a b\n", RequestError::Superfluous),
        ("readyz now\n", RequestError::Superfluous),
        ("exclude a\tb\n", RequestError::NotText),
        ("exclude \u{e9}\n", RequestError::NotText),
    ] {
        assert_eq!(one(text), Err(error), "{text:?}");
    }
    assert_eq!(
        parse_line(&[0xff, 0, b'\n'], false),
        Err(RequestError::NotText)
    );
    assert_eq!(
        parse_line(&vec![b'a'; MAX_LINE_BYTES + 1], false),
        Err(RequestError::TooLong)
    );
    let long = [&vec![b'a'; MAX_LINE_BYTES + 1][..], b"\n"].concat();
    assert_eq!(parse_line(&long, false), Err(RequestError::TooLong));
}

#[test]
fn incomplete_line_waits_until_connection_ends() {
    let line = b"exclude s-1\n";
    for cut in 0..line.len() {
        assert_eq!(parse_line(&line[..cut], false), Ok(None), "{cut}");
        let end = if cut == 0 {
            Ok(None)
        } else {
            Err(RequestError::Half)
        };
        assert_eq!(parse_line(&line[..cut], true), end, "{cut}");
    }
}
