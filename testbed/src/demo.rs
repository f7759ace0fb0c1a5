//! `demo`: shows all main functions in one run.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::time::{Duration, Instant};

use crate::fakes::gateway::{TempFolder, NON_IDEMPOTENT_CLASS, READ_CLASS};
use crate::fakes::{
    body, call_body, secret, secret_text, status, Caller, Gateway, Portal, PortalBehavior, Worker,
    WAIT_TIMEOUT,
};

/// Starts a gateway, two workers and a portal, sends calls by both fronts, and prints the result of
/// each call. Returns `true` if all calls were answered.
pub fn run() -> Result<bool> {
    let folder = TempFolder::new("demo")?;
    let workers = [
        Worker::start(Duration::from_millis(5), 0)?,
        Worker::start(Duration::from_millis(5), 0)?,
    ];
    let portal = Portal::start(secret(1), PortalBehavior::Good)?;
    let operator = format!(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\n[[tenants]]\nname = \"clinic\"\n\
         portal = \"http://{}/trips\"\nsecrets = [\"{}\"]\n",
        portal.address,
        secret_text(1)
    );
    let mut g = Gateway::start(&folder.0, &workers, &operator, 900.0)?;
    let to = g
        .webhooks
        .ok_or_else(|| Error::other("the gateway has no webhook listener"))?;
    println!(
        "a gateway on {}, its webhooks on {to}, two workers and a portal on {}",
        g.platform, portal.address
    );
    let mut all_answered = true;
    println!("\nthe platform's front: a POST each, answered with the worker's body");
    let mut caller = Caller::new(g.platform);
    for n in 0..3u64 {
        let class = if n == 2 {
            NON_IDEMPOTENT_CLASS
        } else {
            READ_CLASS
        };
        let request = format!(
            "POST /call/{n:016x}/trigger HTTP/1.1\r\nHost: demo\r\nX-Class: {class}\r\nX-Org: franq-bajio\r\n\
             X-Correlation-Id: {n:016x}\r\nX-Deadline-Ms: 900\r\nContent-Length: 4\r\n\r\ntrip"
        );
        let answer = caller.exchange(request.as_bytes())?;
        all_answered &= status(&answer) == 200;
        println!(
            "  {class:<20} {} {}",
            status(&answer),
            String::from_utf8_lossy(body(&answer))
        );
    }
    println!("\nsigned webhooks: 202 once the call is kept, and its answer as a signed callback");
    let mut caller = Caller::new(to);
    let mut sent = BTreeMap::new();
    for n in 0..4 {
        let (id, class) = (
            format!("trip-{n}"),
            if n % 2 == 0 {
                READ_CLASS
            } else {
                NON_IDEMPOTENT_CLASS
            },
        );
        let answer = caller.call("clinic", &secret(1), &id, &call_body(class, n, None))?;
        all_answered &= status(&answer) == 202;
        println!("  {id} {class:<20} {}", status(&answer));
        sent.insert(id, class);
    }
    let end = Instant::now() + WAIT_TIMEOUT;
    while portal.deliveries().len() < sent.len() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    for s in portal.deliveries() {
        let signed = if s.signed { "signed" } else { "NOT SIGNED" };
        println!(
            "  {} came back: {}, {signed}, under {}",
            s.call, s.outcome, s.id
        );
        all_answered &= s.signed && s.outcome == "served" && sent.remove(&s.call).is_some();
    }
    all_answered &= sent.is_empty();
    let counters = g.stop()?;
    println!(
        "\nthe gateway ended in order: {} taken, {} served",
        counters["taken"], counters["served"]
    );
    println!(
        "{}",
        if all_answered {
            "all were answered"
        } else {
            "NOT all were answered"
        }
    );
    Ok(all_answered)
}
