//! Keyed calls whose attempts are reset after a worker applied them, with and without a key, from
//! platform clients and as signed calls.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use super::{Draw, RackWorker, Verdict, DEADLINE_MS, KEYED_CLASS};
use crate::fakes::gateway::Gateway;
use crate::fakes::{secret, secret_text, Caller, Portal, PortalBehavior};

const CALLS: u64 = 8;
/// Bound of the resets under one call: the played site permits three attempts.
const MAX_RESETS: u64 = 3;

/// Where a call comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    ClientWithKey,
    ClientWithoutKey,
    SignedCall,
}

pub(super) fn play(seed: u64, draw: &mut Draw, folder: &Path) -> Result<Verdict> {
    let sources = [
        Source::ClientWithKey,
        Source::ClientWithoutKey,
        Source::SignedCall,
    ];
    let workers = RackWorker::start_rack(1 + draw.below(3) as usize, Duration::from_millis(30))?;
    let portal = Portal::start(secret(1), PortalBehavior::Good)?;
    let operator = format!(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\n[[tenants]]\nname = \"clinic\"\n\
         portal = \"http://{}/in\"\nsecrets = [\"{}\"]\n",
        portal.address,
        secret_text(1)
    );
    let addresses: Vec<SocketAddr> = workers.iter().map(|worker| worker.address).collect();
    let mut gateway = Gateway::start_as("a", folder, &addresses, &operator, DEADLINE_MS)?;
    let mut calls = Vec::new();
    let mut threads = Vec::new();
    for number in 0..CALLS {
        let (source, resets) = (draw.one_of(&sources), draw.below(MAX_RESETS));
        let body = format!("edit-{number}");
        workers[0]
            .memory()
            .resets
            .insert(body.clone(), resets as u32);
        calls.push((source, resets, body.clone()));
        let (platform, webhooks) = (gateway.platform, gateway.webhooks);
        threads.push(std::thread::spawn(move || match source {
            Source::SignedCall => send_signed(webhooks, number, &body),
            Source::ClientWithKey => send(platform, number, &body, true),
            Source::ClientWithoutKey => send(platform, number, &body, false),
        }));
    }
    let statuses: Vec<u16> = threads
        .into_iter()
        .map(|thread| thread.join().unwrap_or(0))
        .collect();
    let signed = calls.iter().filter(|call| call.0 == Source::SignedCall);
    let expected = signed.count();
    super::wait_until(Duration::from_secs(10), || {
        portal.deliveries().len() >= expected
    });
    let mut violations = Vec::new();
    for ((source, resets, body), status) in calls.iter().zip(&statuses) {
        let memory = workers[0].memory();
        let applied = memory.applied.get(body).copied().unwrap_or(0);
        let attempts = memory.attempts.get(body).copied().unwrap_or(0);
        if applied != 1 {
            violations.push(format!("{body} ({source:?}) was applied {applied} times"));
        }
        // A reset also ends the other calls on its connection, so a call may have more attempts than
        // its own resets, or fail.
        if *source == Source::ClientWithoutKey && attempts != 1 {
            violations.push(format!("{body}, without a key, had {attempts} attempts"));
        }
        let is_permitted = match source {
            Source::SignedCall => *status == 202,
            // A client with a key may send its call again after a rejection.
            Source::ClientWithKey => [200, 502, 503].contains(status),
            Source::ClientWithoutKey => [200, 502].contains(status),
        };
        if !is_permitted {
            violations.push(format!("{body} ({source:?}, {resets} resets) got {status}"));
        }
    }
    if portal.deliveries().len() != expected {
        violations.push(format!(
            "{expected} signed calls got {} callbacks",
            portal.deliveries().len()
        ));
    }
    gateway.stop()?;
    Ok(Verdict {
        seed,
        scenario: format!("keys, {} workers", workers.len()),
        violations,
    })
}

fn send(to: SocketAddr, number: u64, body: &str, with_key: bool) -> u16 {
    let key = if with_key {
        format!("X-Operation-Key: {number:032x}\r\n")
    } else {
        String::new()
    };
    let request = format!(
        "POST /call/{:016x}/trigger HTTP/1.1\r\nHost: t\r\nX-Class: {KEYED_CLASS}\r\nX-Org: franq-bajio\r\n\
         X-Correlation-Id: {number:016x}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{key}\
         X-Extras: lanes:8\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        7,
        body.len()
    );
    let exchange = || -> Result<u16> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(request.as_bytes())?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(crate::fakes::status(&answer))
    };
    exchange().unwrap_or(0)
}

fn send_signed(to: Option<SocketAddr>, number: u64, body: &str) -> u16 {
    let Some(to) = to else { return 0 };
    let text = super::signed_body(KEYED_CLASS, body);
    let id = format!("call-{number}");
    let answer = Caller::new(to).call("clinic", &secret(1), &id, &text);
    answer.map_or(0, |answer| crate::fakes::status(&answer))
}
