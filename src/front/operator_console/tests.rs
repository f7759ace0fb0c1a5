//! Tests of `front::operator_console`.

use super::*;

#[test]
fn each_call_is_read_and_each_damage_told() {
    let one = |text: &str| take(text.as_bytes(), false);
    assert_eq!(one("readyz\n"), Ok(Some(Ask::Ready)));
    assert_eq!(one("telemetry\r\n"), Ok(Some(Ask::Telemetry)));
    assert_eq!(
        one("exclude s-00c41f7a\n"),
        Ok(Some(Ask::Exclude("s-00c41f7a".into())))
    );
    assert_eq!(
        one("include  s-1 \nmore"),
        Ok(Some(Ask::Include("s-1".into())))
    );
    assert_eq!(
        (one("evacuate\n"), one("activate\n")),
        (Ok(Some(Ask::Evacuate)), Ok(Some(Ask::Activate)))
    );
    for (text, error) in [
        ("ready\n", LineError::Unknown),
        ("READYZ\n", LineError::Unknown),
        ("\n", LineError::Empty),
        (" \r\n", LineError::Empty),
        ("exclude\n", LineError::NoWorker),
        ("include \n", LineError::NoWorker),
        ("exclude a b\n", LineError::Superfluous),
        ("readyz now\n", LineError::Superfluous),
        ("exclude a\tb\n", LineError::NotText),
        ("exclude \u{e9}\n", LineError::NotText),
    ] {
        assert_eq!(one(text), Err(error), "{text:?}");
    }
    assert_eq!(take(&[0xff, 0, b'\n'], false), Err(LineError::NotText));
    assert_eq!(
        take(&vec![b'a'; LONGEST + 1], false),
        Err(LineError::TooLong)
    );
    let long = [&vec![b'a'; LONGEST + 1][..], b"\n"].concat();
    assert_eq!(take(&long, false), Err(LineError::TooLong));
}

#[test]
fn half_a_line_waits_until_its_connection_ends() {
    let line = b"exclude s-1\n";
    for cut in 0..line.len() {
        assert_eq!(take(&line[..cut], false), Ok(None), "{cut}");
        let end = if cut == 0 {
            Ok(None)
        } else {
            Err(LineError::Half)
        };
        assert_eq!(take(&line[..cut], true), end, "{cut}");
    }
}
