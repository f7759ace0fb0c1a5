//! Replays of signed calls while gateways end and start again, without a store and with portals
//! whose clocks are ahead.

use std::io::Result;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use molelug::front::webhook::signature;

use super::{Draw, End, RackWorker, Verdict, DEADLINE_MS, UNSAFE_CLASS};
use crate::fakes::gateway::Gateway;
use crate::fakes::{now_s, secret, secret_text, status, Caller, Portal, PortalBehavior};

const CALLS: u64 = 6;
/// How far time stamps may lie ahead, in seconds.
const TOLERANCE_S: u64 = 300;

pub(super) struct Replay {
    pub(super) id: String,
    pub(super) body: String,
    bytes: Vec<u8>,
}

impl Replay {
    pub(super) fn sign(number: u64, stamp: u64) -> Replay {
        let (id, body) = (format!("call-{number}"), format!("trip-{number}"));
        let text = super::signed_body(UNSAFE_CLASS, &body);
        let signed = signature::sign(std::iter::once(&secret(1)), &id, stamp, &text);
        let head = format!(
            "POST /webhooks/clinic HTTP/1.1\r\nHost: t\r\nwebhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\n\
             webhook-signature: {signed}\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        let bytes = [head.as_bytes(), &text].concat();
        Replay { id, body, bytes }
    }

    pub(super) fn send(&self, to: &Gateway) -> u16 {
        let Some(address) = to.webhooks else { return 0 };
        let answer = Caller::new(address).exchange(&self.bytes);
        answer.map_or(0, |answer| status(&answer))
    }
}

pub(super) fn play(seed: u64, draw: &mut Draw, folder: &Path) -> Result<Verdict> {
    let names = ["a", "b", "c"];
    let gateways = 1 + draw.below(names.len() as u64) as usize;
    let end = draw.one_of(&End::ALL);
    let max_ahead_s = draw.one_of(&[0, 5, 30, TOLERANCE_S - 2]);
    let workers = RackWorker::start_rack(2, Duration::from_millis(20))?;
    let portal = Portal::start(secret(1), PortalBehavior::Good)?;
    let operator = format!(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\ntolerance_s = {TOLERANCE_S}\n[[tenants]]\nname = \"clinic\"\n\
         portal = \"http://{}/in\"\nsecrets = [\"{}\"]\n",
        portal.address,
        secret_text(1)
    );
    let addresses: Vec<SocketAddr> = workers.iter().map(|worker| worker.address).collect();
    let start = |name: &str| Gateway::start_as(name, folder, &addresses, &operator, DEADLINE_MS);
    let mut running = names[..gateways]
        .iter()
        .map(|name| start(name))
        .collect::<Result<Vec<_>>>()?;
    let mut violations = Vec::new();
    // The first start with a file refuses what was signed up to its own second.
    let first_s = now_s();
    super::wait_until(Duration::from_secs(2), || now_s() > first_s);
    let mut calls = Vec::new();
    for number in 0..CALLS {
        let call = Replay::sign(number, now_s() + draw.below(max_ahead_s + 1));
        let at = draw.below(gateways as u64) as usize;
        let status = call.send(&running[at]);
        if status != 202 {
            violations.push(format!("{} got {status} at {}", call.id, names[at]));
        }
        calls.push(call);
    }
    super::wait_until(Duration::from_secs(10), || {
        portal.deliveries().len() as u64 >= CALLS
    });
    for round in 0..2 {
        let at = draw.below(gateways as u64) as usize;
        end.apply(&mut running[at])?;
        running[at] = start(names[at])?;
        for call in &calls {
            let asked = draw.below(gateways as u64) as usize;
            let status = call.send(&running[asked]);
            if ![401, 409, 503].contains(&status) {
                let name = names[asked];
                violations.push(format!(
                    "round {round}: the replay of {} got {status} at {name}",
                    call.id
                ));
            }
        }
    }
    let sound = Replay::sign(CALLS, now_s());
    let at = draw.below(gateways as u64) as usize;
    let status = sound.send(&running[at]);
    if status != 202 {
        violations.push(format!("a sound call after the starts got {status}"));
    }
    super::wait_until(Duration::from_secs(10), || {
        portal.deliveries().len() as u64 > CALLS
    });
    for call in calls.iter().chain([&sound]) {
        let runs = workers[0].memory().attempts.get(&call.body).copied();
        let told = portal
            .deliveries()
            .iter()
            .filter(|d| d.call == call.id)
            .count();
        if (runs, told) != (Some(1), 1) {
            violations.push(format!("{} ran {runs:?} times, told {told} times", call.id));
        }
    }
    for gateway in &mut running {
        gateway.stop()?;
    }
    let mut scenario =
        format!("replays, {gateways} gateways, {end:?}, up to {max_ahead_s} s ahead");
    if gateways > 1 {
        let group_folder = folder.join("group");
        std::fs::create_dir(&group_folder)?;
        let group = super::homes::play(draw, &group_folder)?;
        scenario += &format!("; group: {}", group.scenario);
        violations.extend(group.violations.iter().map(|text| format!("group: {text}")));
    }
    Ok(Verdict {
        seed,
        scenario,
        violations,
    })
}
