//! `conformance`: runs test cases of the published webhook specification against any
//! implementation.

use std::io::{Error, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use molelug::front::webhook::signature;
use molelug::tenancy::Secret;
use serde::Deserialize;

use crate::fakes::gateway::{TempFolder, NON_IDEMPOTENT_CLASS, READ_CLASS};
use crate::fakes::{
    body, call_body, header, now_s, read_http, secret, secret_text, status, Caller, Gateway,
    Worker, WAIT_TIMEOUT,
};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Cases {
    case: Vec<Case>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum Expect {
    Taken,
    Refused,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    section: String,
    expect: Expect,
    prepend: Option<String>,
    #[serde(default)]
    upper: bool,
    #[serde(default)]
    stamp: i64,
    #[serde(default)]
    wrong_key: bool,
    #[serde(default)]
    change_body: bool,
    #[serde(default)]
    change_id: bool,
    #[serde(default)]
    change_stamp: bool,
    drop: Option<String>,
    #[serde(default)]
    truncate: bool,
    version: Option<String>,
    double: Option<String>,
    #[serde(default)]
    junk_stamp: bool,
    #[serde(default)]
    replay: bool,
}

fn cases() -> Result<Vec<Case>> {
    let cases: Cases =
        toml::from_str(include_str!("../cases/receiver.toml")).map_err(Error::other)?;
    Ok(cases.case)
}

/// Builds the request of a case.
fn request(case: &Case, path: &str, key: &Secret, id: &str, text: &str) -> Vec<u8> {
    let stamp = now_s().saturating_add_signed(case.stamp);
    let other = secret(99);
    let signer = if case.wrong_key { &other } else { key };
    let mut signed = signature::sign(std::iter::once(signer), id, stamp, text.as_bytes());
    if case.truncate {
        signed.truncate(signed.len() - 8);
    }
    if let Some(version) = &case.version {
        signed = format!("{version}{}", &signed[2..]);
    }
    if let Some(more) = &case.prepend {
        signed = format!("{more} {signed}");
    }
    let id = if case.change_id {
        format!("{id}x")
    } else {
        id.to_owned()
    };
    let stamp = if case.change_stamp { stamp + 1 } else { stamp };
    let stamp = if case.junk_stamp {
        "soon".to_owned()
    } else {
        stamp.to_string()
    };
    let mut head = format!("POST {path} HTTP/1.1\r\nHost: conformance\r\nConnection: close\r\n");
    for (name, value) in [
        ("webhook-id", &id),
        ("webhook-timestamp", &stamp),
        ("webhook-signature", &signed),
    ] {
        if case.drop.as_deref() == Some(name) {
            continue;
        }
        let shown = if case.upper {
            name.to_ascii_uppercase()
        } else {
            name.to_owned()
        };
        head.push_str(&format!("{shown}: {value}\r\n"));
        if case.double.as_deref() == Some(name) {
            head.push_str(&format!("{shown}: 1{value}\r\n"));
        }
    }
    let text = if case.change_body {
        text.replacen('{', "{ ", 1)
    } else {
        text.to_owned()
    };
    head.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    ));
    head.into_bytes()
}

/// Prints the result of each case. Returns `true` if all passed.
fn print_results(rows: &[(String, String, std::result::Result<(), String>)]) -> bool {
    let failed = rows.iter().filter(|(.., r)| r.is_err()).count();
    for (name, section, result) in rows {
        match result {
            Ok(()) => println!("ok      {name}  [{section}]"),
            Err(e) => println!("FAILED  {name}  [{section}]: {e}"),
        }
    }
    println!("{} passed, {failed} failed", rows.len() - failed);
    failed == 0
}

/// Runs the receiver's cases.
pub fn receiver(
    self_test: bool,
    target: Option<SocketAddr>,
    path: &str,
    key: Option<&str>,
    text: &str,
) -> Result<bool> {
    if !self_test {
        let (Some(target), Some(key)) = (target, key) else {
            return Err(Error::other(
                "--target and --secret are required unless --self starts a receiver",
            ));
        };
        let key = Secret::parse(key).map_err(Error::other)?;
        return check_receiver(target, path, &key, text);
    }
    let folder = TempFolder::new("receiver")?;
    let workers = [Worker::start(Duration::ZERO, 0)?];
    let portal = TcpListener::bind("127.0.0.1:0")?;
    let mut g = Gateway::start(&folder.0, &workers, &operator(portal.local_addr()?), 900.0)?;
    let to = g
        .webhooks
        .ok_or_else(|| Error::other("the gateway has no webhook listener"))?;
    let text = String::from_utf8(call_body(READ_CLASS, 1, None)).map_err(Error::other)?;
    let passed = check_receiver(to, "/webhooks/t", &secret(1), &text)?;
    g.stop()?;
    Ok(passed)
}

fn operator(portal: SocketAddr) -> String {
    format!(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\ncallback_answer_ms = 1000\n\
         schedule_s = [0.2, 0.4, 0.8]\n[[tenants]]\nname = \"t\"\nportal = \"http://{portal}/in\"\nsecrets = [\"{}\"]\n",
        secret_text(1)
    )
}

fn check_receiver(target: SocketAddr, path: &str, key: &Secret, text: &str) -> Result<bool> {
    let mut rows = Vec::new();
    let run = now_s();
    for (n, case) in cases()?.iter().enumerate() {
        let bytes = request(case, path, key, &format!("msg_{run}_{n}"), text);
        let mut answer = Caller::new(target).exchange(&bytes);
        if case.replay && answer.as_ref().is_ok_and(|a| status(a) / 100 == 2) {
            answer = Caller::new(target).exchange(&bytes);
        }
        let result = match (answer.map(|a| status(&a)), case.expect) {
            (Ok(200..=299), Expect::Taken) | (Ok(400..=499), Expect::Refused) => Ok(()),
            (Ok(s), expected) => Err(format!("answered {s}, to be {expected:?}")),
            (Err(e), _) => Err(format!("no answer: {e}")),
        };
        rows.push((case.name.clone(), case.section.clone(), result));
    }
    Ok(print_results(&rows))
}

/// A delivery received from the sender under test.
struct Delivery {
    bytes: Vec<u8>,
    at: Instant,
    /// Status that answered the delivery.
    response_status: u16,
}

/// Runs the sender's cases: answers the first delivery of each message with 500, the second with
/// 301 and later ones with 204, and checks the received deliveries.
pub fn sender(self_test: bool, listen: Option<SocketAddr>, key: Option<&str>) -> Result<bool> {
    let listener = TcpListener::bind(listen.unwrap_or_else(|| ([127, 0, 0, 1], 0).into()))?;
    let key = key
        .map_or_else(|| Ok(secret(1)), Secret::parse)
        .map_err(Error::other)?;
    if !self_test {
        println!(
            "point the sender at http://{}/ and have it send one message",
            listener.local_addr()?
        );
        return check_sender(&listener, &key, None);
    }
    let folder = TempFolder::new("sender")?;
    let workers = [Worker::start(Duration::ZERO, 0)?];
    let mut g = Gateway::start(
        &folder.0,
        &workers,
        &operator(listener.local_addr()?),
        900.0,
    )?;
    let to = g
        .webhooks
        .ok_or_else(|| Error::other("the gateway has no webhook listener"))?;
    for class in [READ_CLASS, NON_IDEMPOTENT_CLASS] {
        Caller::new(to).call("t", &secret(1), class, &call_body(class, 1, None))?;
    }
    let passed = check_sender(&listener, &key, Some(NON_IDEMPOTENT_CLASS))?;
    g.stop()?;
    Ok(passed)
}

/// Checks deliveries from a sender; `once` is the call whose callback must arrive only once.
fn check_sender(listener: &TcpListener, key: &Secret, once: Option<&str>) -> Result<bool> {
    listener.set_nonblocking(true)?;
    let elsewhere = TcpListener::bind("127.0.0.1:0")?;
    elsewhere.set_nonblocking(true)?;
    let mut deliveries: Vec<Delivery> = Vec::new();
    let end = Instant::now() + WAIT_TIMEOUT;
    // Three deliveries of one message end the check, after a wait for deliveries that must not
    // follow.
    let mut quiet = None;
    while Instant::now() < quiet.unwrap_or(end) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        if let Some(fresh) = receive_delivery(stream, &deliveries, elsewhere.local_addr()?)? {
            if fresh.response_status == 204 {
                quiet = Some(Instant::now() + Duration::from_millis(1500));
            }
            deliveries.push(fresh);
        }
    }
    let id = |g: &Delivery| header(&g.bytes, "webhook-id");
    let Some(last) = deliveries.iter().find(|g| g.response_status == 204).map(id) else {
        return Err(Error::other(
            "no message was sent a third time after 500 and 301",
        ));
    };
    let same_message: Vec<&Delivery> = deliveries.iter().filter(|g| id(g) == last).collect();
    let stamp = |g: &Delivery| header(&g.bytes, "webhook-timestamp").parse::<u64>().ok();
    let is_signed = |g: &Delivery| {
        let signed = header(&g.bytes, "webhook-signature");
        stamp(g).is_some_and(|at| {
            signature::verify(std::iter::once(key), &id(g), at, body(&g.bytes), &signed)
        })
    };
    let text: serde_json::Value =
        serde_json::from_slice(body(&same_message[0].bytes)).unwrap_or_default();
    let case = |name: &str, section: &str, passed: bool| {
        (
            name.to_owned(),
            section.to_owned(),
            passed.then_some(()).ok_or("it does not hold".to_owned()),
        )
    };
    let mut rows = vec![
        case(
            "it is a POST of JSON",
            "Webhook structure",
            same_message.iter().all(|g| g.bytes.starts_with(b"POST "))
                && header(&same_message[0].bytes, "content-type").starts_with("application/json"),
        ),
        case(
            "the body has type, timestamp and data",
            "Payload structure",
            text["type"].is_string() && text["timestamp"].is_string() && text["data"].is_object(),
        ),
        case(
            "every delivery is signed",
            "Signature scheme",
            deliveries.iter().all(is_signed),
        ),
        case(
            "the identity stays over repeats",
            "Webhook headers: webhook-id",
            same_message.len() == 3 && !last.is_empty(),
        ),
        case(
            "the identity has no full stop",
            "Webhook headers: webhook-id",
            !last.contains('.'),
        ),
        case(
            "the body stays over repeats",
            "Payload structure",
            same_message
                .iter()
                .all(|g| body(&g.bytes) == body(&same_message[0].bytes)),
        ),
        case(
            "the stamp is the attempt's own",
            "Webhook headers: webhook-timestamp",
            same_message.windows(2).all(|w| stamp(w[0]) <= stamp(w[1]))
                && stamp(same_message[0]).is_some_and(|s| s.abs_diff(now_s()) < 300),
        ),
        case(
            "500 and 301 are tried again, later",
            "Deliverability and reliability",
            same_message.windows(2).all(|w| w[1].at > w[0].at) && same_message.len() == 3,
        ),
        case(
            "a redirect is not followed",
            "Webhook security: SSRF",
            elsewhere.accept().is_err(),
        ),
        case(
            "nothing follows a 2xx",
            "Deliverability and reliability",
            same_message
                .last()
                .is_some_and(|g| g.response_status == 204),
        ),
    ];
    if let Some(once) = once {
        let count = deliveries
            .iter()
            .filter(|g| {
                String::from_utf8_lossy(body(&g.bytes)).contains(&format!("\"call\":\"{once}\""))
            })
            .count();
        rows.push(case(
            "what must not come twice comes once, whatever it is answered",
            "this project's own rule",
            count == 1,
        ));
    }
    Ok(print_results(&rows))
}

/// Reads one delivery and answers it by the number of earlier deliveries of the same message.
fn receive_delivery(
    mut stream: TcpStream,
    before: &[Delivery],
    elsewhere: SocketAddr,
) -> Result<Option<Delivery>> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let Some(bytes) = read_http(&mut stream, &mut Vec::new()).unwrap_or(None) else {
        return Ok(None);
    };
    let id = header(&bytes, "webhook-id");
    let response_status = match before
        .iter()
        .filter(|g| header(&g.bytes, "webhook-id") == id)
        .count()
    {
        0 => 500,
        1 => 301,
        _ => 204,
    };
    let head = format!(
        "HTTP/1.1 {response_status} So\r\nLocation: http://{elsewhere}/\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    let at = Instant::now();
    // A sender that has closed the connection has already sent its delivery, so errors are ignored.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let _ = stream.read(&mut [0; 64]);
    Ok(Some(Delivery {
        bytes,
        at,
        response_status,
    }))
}
