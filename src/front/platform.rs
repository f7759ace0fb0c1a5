//! The platform's front: one call a POST, its fields in headers.

use std::rc::Rc;

use super::http::{self, fatal, plain, Bad, Request};
use crate::api::{Arrival, ClassId, FunctionId, Micros, RequestId, TenantId};
use crate::core::{Answer, Call};
use crate::names::Names;

/// The longest time that a caller may ask for where its class states none, and the longest for a figure that is
/// a time, in milliseconds.
const LONGEST_MS: f64 = 600_000.0;
/// What one copy may take and do at the most; no machine is larger.
const MOST_MEMORY_MB: f64 = 1e6;
const MOST_LANES: f64 = 1024.0;

/// What a client asks.
#[derive(Debug)]
pub enum Ask {
    /// Whether the gateway is there.
    Ping,
    /// A call, without its origin.
    Call(Call<()>),
}

/// A request off a client's connection.
#[derive(Debug)]
pub struct Taken {
    /// What it asks, or why it is turned away.
    pub ask: Result<Ask, Bad>,
    /// Bytes that it takes up.
    pub size: usize,
    /// Whether the connection stays.
    pub keep: bool,
}

/// Sixteen lower-case hex digits, as all identities on this wire are written.
pub fn hex16(text: &str) -> Option<u64> {
    let fits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    fits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

fn number(text: &str) -> Option<f64> {
    text.parse::<f64>()
        .ok()
        .filter(|n| n.is_finite() && *n >= 0.0)
}

/// Reads the next request; `None` while it is not whole.
pub fn take(bytes: &[u8], names: &Names, now: Micros) -> Result<Option<Taken>, Bad> {
    let Some(r) = http::request(bytes)? else {
        return Ok(None);
    };
    Ok(Some(Taken {
        size: r.size,
        keep: r.keep,
        ask: ask(&r, names, now),
    }))
}

fn ask(r: &Request<'_>, names: &Names, now: Micros) -> Result<Ask, Bad> {
    if r.path == "/ping" {
        return if r.method == "GET" {
            Ok(Ask::Ping)
        } else {
            Err(plain(405, "ping is a GET"))
        };
    }
    let key = r
        .path
        .strip_prefix("/call/")
        .and_then(|p| p.strip_suffix("/trigger"));
    let key = key.ok_or(plain(404, "no such path"))?;
    if r.method != "POST" {
        return Err(plain(405, "a call is a POST"));
    }
    let function = FunctionId(hex16(key).ok_or(plain(404, "a function is 16 hex digits"))?);
    let class = r
        .header("X-Class")
        .and_then(|c| Names::place(&names.classes, c));
    let tenant = match r.header("X-Org") {
        Some(org) => Names::place(&names.tenants, org),
        None => names.tenants.is_empty().then_some(0),
    };
    let id = r
        .header("X-Correlation-Id")
        .filter(|id| hex16(id).is_some());
    let stated = class.and_then(|c| names.longest.get(c)).filter(|t| **t > 0);
    // A little more than stated is a clock's or a rounding's doing.
    let longest = stated.map_or(LONGEST_MS, |t| *t as f64 / 1e3 * 1.05);
    let wait = r
        .header("X-Deadline-Ms")
        .and_then(number)
        .filter(|ms| *ms > 0.0 && *ms <= longest);
    let estimate = |w| {
        number(w)
            .filter(|ms| *ms <= LONGEST_MS)
            .ok_or(plain(400, "bad X-Estimate-Ms"))
    };
    let work = r.header("X-Estimate-Ms").map(estimate);
    let id = id.ok_or(plain(400, "bad X-Correlation-Id"))?;
    let mut arrival = Arrival {
        request: RequestId(0),
        class: ClassId(class.ok_or(plain(400, "unknown class"))? as u8),
        tenant: TenantId(tenant.ok_or(plain(400, "unknown tenant"))? as u32),
        function,
        expires_at: now + (wait.ok_or(plain(400, "bad X-Deadline-Ms"))? * 1e3) as Micros,
        expected_work: work.transpose()?.map(|ms| (ms * 1e3) as Micros),
        memory_mb: 0.0,
        concurrency_per_copy: 1,
        load_duration: None,
    };
    extras(r.header("X-Extras").unwrap_or_default(), &mut arrival)?;
    Ok(Ask::Call(Call {
        origin: (),
        identity: id.into(),
        body: Rc::from(r.body),
        arrival,
    }))
}

/// Reads `name:value;name:value`; names that mean nothing are passed over.
fn extras(text: &str, arrival: &mut Arrival) -> Result<(), Bad> {
    for part in text.split(';').filter(|p| !p.trim().is_empty()) {
        let (name, value) = part.split_once(':').ok_or(plain(400, "bad X-Extras"))?;
        let value = number(value.trim()).ok_or(plain(400, "bad X-Extras"))?;
        match name.trim() {
            "memory_mb" if value > MOST_MEMORY_MB => return Err(plain(400, "bad X-Extras")),
            "lanes" if !(1.0..=MOST_LANES).contains(&value) => {
                return Err(plain(400, "bad X-Extras"))
            }
            "load_ms" if value > LONGEST_MS => return Err(plain(400, "bad X-Extras")),
            "memory_mb" => arrival.memory_mb = value,
            "lanes" => arrival.concurrency_per_copy = value as u32,
            "load_ms" => arrival.load_duration = Some((value * 1e3) as Micros).filter(|t| *t > 0),
            _ => {}
        }
    }
    Ok(())
}

/// The bytes of a final answer. A refusal says when to come back, in whole seconds as HTTP has it.
pub fn answer(answer: &Answer, keep: bool) -> Vec<u8> {
    match answer {
        Answer::Served(body) => http::response(
            200,
            "Content-Type: application/octet-stream\r\n",
            body,
            keep,
        ),
        Answer::Rejected { retry_after } => {
            let wait = format!("Retry-After: {}\r\n", retry_after.div_ceil(1_000_000));
            http::response(503, &wait, b"", keep)
        }
        Answer::Failed => http::response(502, "", b"", keep),
    }
}

/// The bytes for a request that is turned away before it reaches the module.
pub fn turn_away(bad: &Bad, keep: bool) -> Vec<u8> {
    http::response(
        bad.status,
        "Content-Type: text/plain\r\n",
        bad.why.as_bytes(),
        keep && !bad.fatal,
    )
}

/// What a connection that is idle within a request for too long is told.
pub fn too_slow() -> Bad {
    fatal(408, "request took too long")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        Names {
            classes: vec!["call".into()],
            tenants: vec!["acme".into()],
            ..Names::default()
        }
    }

    const GOOD: &str =
        "POST /call/7f3a9c21e0b4d655/trigger HTTP/1.1\r\nHost: a\r\nX-Class: call\r\nX-Org: acme\r\n\
        X-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Deadline-Ms: 1500.5\r\nX-Estimate-Ms: 8.2\r\n\
        X-Extras: memory_mb:512;lanes:2;load_ms:640;new:1\r\nContent-Length: 3\r\n\r\nabc";

    #[test]
    fn a_call_is_read_with_an_absolute_deadline() {
        let taken = take(GOOD.as_bytes(), &names(), 1_000).unwrap().unwrap();
        let Ok(Ask::Call(call)) = taken.ask else {
            panic!("a call")
        };
        let a = &call.arrival;
        assert_eq!(
            (taken.size, taken.keep, &*call.identity, &*call.body),
            (GOOD.len(), true, "9b1f03aa5c7e2d41", &b"abc"[..])
        );
        assert_eq!(
            (
                a.expires_at,
                a.expected_work,
                a.concurrency_per_copy,
                a.load_duration
            ),
            (1_501_500, Some(8_200), 2, Some(640_000))
        );
        assert_eq!(
            (a.function, a.memory_mb),
            (FunctionId(0x7f3a_9c21_e0b4_d655), 512.0)
        );
    }

    #[test]
    fn damage_is_turned_away_or_waited_on_and_never_panics() {
        for cut in 0..GOOD.len() {
            assert!(
                matches!(take(&GOOD.as_bytes()[..cut], &names(), 0), Ok(None)),
                "cut at {cut}"
            );
        }
        for at in 0..GOOD.len() {
            for byte in [0, b'\r', b'\n', b' ', b':', b'-', b'9', 0xff] {
                let mut bad = GOOD.as_bytes().to_vec();
                bad[at] = byte;
                if let Err(bad) = take(&bad, &names(), 0) {
                    assert!((400..500).contains(&bad.status));
                }
            }
        }
        for value in ["nan", "inf", "-1", "1e308", "", "0"] {
            let bad = GOOD.replace("1500.5", value);
            assert!(
                take(bad.as_bytes(), &names(), 0)
                    .unwrap()
                    .unwrap()
                    .ask
                    .is_err(),
                "{value}"
            );
        }
    }

    #[test]
    fn figures_out_of_range_are_turned_away() {
        let names = Names {
            longest: vec![2_000_000],
            ..names()
        };
        let taken = |text: &str| {
            take(text.as_bytes(), &names, 0)
                .unwrap()
                .unwrap()
                .ask
                .is_ok()
        };
        assert!(taken(GOOD) && taken(&GOOD.replace("1500.5", "2000")));
        for (good, bad) in [
            ("1500.5", "2200"),
            ("Ms: 8.2", "Ms: 1e9"),
            ("memory_mb:512", "memory_mb:1e9"),
            ("lanes:2", "lanes:0"),
            ("lanes:2", "lanes:70000"),
            ("load_ms:640", "load_ms:1e12"),
        ] {
            assert!(!taken(&GOOD.replace(good, bad)), "{bad}");
        }
    }

    #[test]
    fn a_refusal_says_when_to_come_back_in_whole_seconds() {
        for (advice, seconds) in [(0, 0), (1, 1), (500_000, 1), (1_000_001, 2)] {
            let bytes = answer(
                &Answer::Rejected {
                    retry_after: advice,
                },
                true,
            );
            let text = String::from_utf8(bytes).unwrap();
            assert!(
                text.starts_with("HTTP/1.1 503 ")
                    && text.contains(&format!("Retry-After: {seconds}\r\n")),
                "{text}"
            );
        }
    }
}
