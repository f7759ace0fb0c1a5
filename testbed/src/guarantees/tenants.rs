//! Accepted calls whose tenant is changed at some step, by the administration interface or in the
//! operator's file, with and without an end of the process between.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::json;

use super::{Draw, End, RackWorker, Verdict, DEADLINE_MS, SAFE_CLASS, UNSAFE_CLASS};
use crate::fakes::gateway::{self, Gateway};
use crate::fakes::portal::Delivery;
use crate::fakes::{admin, secret, secret_text, status, Caller, Portal, PortalBehavior};
use crate::fault_injection::tenants::AdminClient;

const CALLS: u64 = 6;
const TENANT: &str = "clinic";

/// What an administrator changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    Remove,
    RemoveAndFoundAnew,
    RemoveEndpoint,
    DropType,
    ReplaceSecret,
    LowerShare,
}

/// When the change is made.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Accepted,
    Running,
    /// A callback has failed and waits for its next attempt.
    Retrying,
}

/// How a change is made.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    Administration,
    /// The next process starts with another operator's file.
    OperatorFile,
}

/// What a seed draws.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    change: Change,
    step: Step,
    /// How the process ends after the change; `None` if it runs on.
    end: Option<End>,
}

/// Plays a change by the administration interface, and the same one in the operator's file of the
/// next process.
pub(super) fn play(seed: u64, draw: &mut Draw, folder: &Path) -> Result<Verdict> {
    let change = draw.one_of(&[
        Change::Remove,
        Change::RemoveAndFoundAnew,
        Change::RemoveEndpoint,
        Change::DropType,
        Change::ReplaceSecret,
        Change::LowerShare,
    ]);
    let step = draw.one_of(&[Step::Accepted, Step::Running, Step::Retrying]);
    let end = draw.flip().then(|| draw.one_of(&End::ALL));
    let end_by_file = end.unwrap_or_else(|| draw.one_of(&End::ALL));
    let scenario = Scenario { change, step, end };
    let mut violations = play_change(scenario, Source::Administration, folder)?;
    let other_folder = folder.join("by-file");
    std::fs::create_dir(&other_folder)?;
    let scenario = Scenario {
        end: Some(end_by_file),
        ..scenario
    };
    let by_file = play_change(scenario, Source::OperatorFile, &other_folder)?;
    violations.extend(by_file.iter().map(|text| format!("by file: {text}")));
    let ended = end.map_or("runs on".to_owned(), |end| format!("{end:?}"));
    Ok(Verdict {
        seed,
        scenario: format!("tenants, {change:?} when {step:?}, {ended}; by file at {end_by_file:?}"),
        violations,
    })
}

/// Plays a change; returns what broke a guarantee.
fn play_change(scenario: Scenario, source: Source, folder: &Path) -> Result<Vec<String>> {
    let Scenario { change, step, end } = scenario;
    let workers = RackWorker::start_rack(2, Duration::from_millis(400))?;
    let portal = Portal::start(secret(1), PortalBehavior::Good)?;
    let newcomer = Portal::start(secret(2), PortalBehavior::Good)?;
    // Callbacks wait for the process that knows another file.
    if step == Step::Retrying || source == Source::OperatorFile {
        portal.set(PortalBehavior::Says(500, ""));
    }
    let settings = format!(
        "state = \"tenants.json\"\n[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\n\
         schedule_s = [2, 2, 2]\n{}",
        admin::write(folder)?
    );
    let file = settings.clone() + &tenant_in_file(portal.address, secret_text(1).as_str());
    let next_file = match source {
        Source::Administration => file.clone(),
        Source::OperatorFile => settings + &changed_file(change, portal.address, newcomer.address),
    };
    let addresses: Vec<SocketAddr> = workers.iter().map(|worker| worker.address).collect();
    let start = |file: &str| Gateway::start_as("a", folder, &addresses, file, DEADLINE_MS);
    let mut gateway = start(&file)?;
    let webhooks = gateway
        .webhooks
        .ok_or_else(|| Error::other("webhooks are off"))?;
    let mut violations = Vec::new();
    for number in 0..CALLS {
        let class = [SAFE_CLASS, UNSAFE_CLASS][number as usize % 2];
        let text = super::signed_body(class, &format!("trip-{number}"));
        let id = format!("call-{number}");
        let answer = Caller::new(webhooks).call(TENANT, &secret(1), &id, &text)?;
        if status(&answer) != 202 {
            violations.push(format!("{id} got {}", status(&answer)));
        }
    }
    let patience = Duration::from_secs(5);
    let has_begun = match step {
        Step::Accepted => true,
        Step::Running => super::wait_until(patience, || {
            workers[0].memory().attempts.len() as u64 == CALLS
        }),
        Step::Retrying => super::wait_until(patience, || !portal.deliveries().is_empty()),
    };
    if !has_begun {
        violations.push(format!("{step:?} was not reached"));
    }
    if source == Source::Administration {
        make_change(&gateway, folder, change, newcomer.address)?;
        portal.set(PortalBehavior::Good);
    }
    if let Some(end) = end {
        end.apply(&mut gateway)?;
        portal.set(PortalBehavior::Good);
        gateway = start(&next_file)?;
    }
    let told = |number: u64| {
        let id = format!("call-{number}");
        let deliveries = portal.deliveries();
        deliveries
            .into_iter()
            .filter(|delivery| delivery.call == id && delivery.kind == "call.completed")
            .collect::<Vec<_>>()
    };
    super::wait_until(Duration::from_secs(15), || {
        (0..CALLS).all(|number| told(number).iter().any(|delivery| delivery.confirmed))
    });
    let deliveries: Vec<Vec<Delivery>> = (0..CALLS).map(told).collect();
    if !newcomer.deliveries().is_empty() {
        violations.push(format!(
            "the newcomer was told: {:?}",
            newcomer.deliveries()
        ));
    }
    gateway.stop()?;
    let states = message_states(folder)?;
    let was_killed = matches!(end, Some(End::Kill));
    for (number, deliveries) in deliveries.iter().enumerate() {
        let state = states
            .get(&format!("call-{number}"))
            .map_or("", String::as_str);
        let is_unsafe = number % 2 == 1;
        if !is_answered(deliveries, is_unsafe, was_killed, state) {
            violations.push(format!("call-{number}, {state}, was told: {deliveries:?}"));
        }
    }
    Ok(violations)
}

/// Returns whether a call's callback came as its class allows. A callback that must not come twice
/// is not sent again once it may have arrived: its portal failed it, or the gateway was killed after
/// the attempt was recorded, and its message is `unknown`. After a kill a safe one may be repeated
/// under its id.
fn is_answered(deliveries: &[Delivery], is_unsafe: bool, was_killed: bool, state: &str) -> bool {
    let confirmed = deliveries.iter().filter(|d| d.confirmed).count();
    let has_one_id = deliveries.windows(2).all(|pair| pair[0].id == pair[1].id);
    let is_signed = deliveries.iter().all(|delivery| delivery.signed);
    let came = match (is_unsafe, deliveries.len()) {
        (true, 0) => was_killed && state == "unknown",
        (true, count) => count == 1,
        (false, _) => confirmed == 1 || (was_killed && confirmed > 1),
    };
    came && has_one_id && is_signed
}

/// Returns the states of the callbacks in the store, by call.
fn message_states(folder: &Path) -> Result<BTreeMap<String, String>> {
    let exported = gateway::command(None)?
        .args(["store", "export"])
        .arg(folder.join("store"))
        .output()?;
    let text = String::from_utf8_lossy(&exported.stdout);
    let messages = text
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    Ok(messages
        .filter_map(|message| {
            let text = |key: &str| message[key].as_str().map(str::to_owned);
            Some((text("call")?, text("state")?))
        })
        .collect())
}

/// The tenant in an operator's file.
fn tenant_in_file(portal: SocketAddr, secret: &str) -> String {
    format!(
        "[[tenants]]\nname = \"{TENANT}\"\nportal = \"http://{portal}/in\"\nsecrets = [\"{secret}\"]\n"
    )
}

/// The tenants of an operator's file after a change.
fn changed_file(change: Change, portal: SocketAddr, newcomer: SocketAddr) -> String {
    let unchanged = tenant_in_file(portal, &secret_text(1));
    match change {
        Change::Remove => String::new(),
        Change::RemoveAndFoundAnew => tenant_in_file(newcomer, &secret_text(2)),
        Change::RemoveEndpoint => {
            let is_portal = |line: &&str| line.starts_with("portal");
            let kept = unchanged.lines().filter(|line| !is_portal(line));
            kept.map(|line| format!("{line}\n")).collect()
        }
        Change::DropType => {
            unchanged + "[[tenants.endpoints]]\nname = \"portal\"\ntypes = [\"endpoint.*\"]\n"
        }
        Change::ReplaceSecret => tenant_in_file(portal, &secret_text(2)),
        Change::LowerShare => unchanged + "share_per_s = 0.1\n",
    }
}

fn make_change(
    gateway: &Gateway,
    folder: &Path,
    change: Change,
    newcomer: SocketAddr,
) -> Result<()> {
    let token = std::fs::read_to_string(folder.join("svid"))?;
    let address = gateway
        .admin
        .ok_or_else(|| Error::other("the administration interface is off"))?;
    let mut client = AdminClient::new(address, token);
    let mut request = |method: &str, path: &str, body: &serde_json::Value| {
        let text = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let response = client.request(method, path, "", &text);
        if response.status / 100 == 2 {
            return Ok(());
        }
        Err(Error::other(format!("{method} {path}: {response:?}")))
    };
    let nothing = serde_json::Value::Null;
    let endpoint = format!("{TENANT}/endpoints/portal");
    match change {
        Change::Remove => request("DELETE", TENANT, &nothing),
        Change::RemoveAndFoundAnew => {
            request("DELETE", TENANT, &nothing)?;
            let portal = format!("http://{newcomer}/in");
            let spec = json!({ "portal": portal, "secrets": [secret_text(2)] });
            request("PUT", TENANT, &spec)
        }
        Change::RemoveEndpoint => request("DELETE", &endpoint, &nothing),
        Change::DropType => request("PUT", &endpoint, &json!({ "types": ["endpoint.*"] })),
        Change::ReplaceSecret => request("PUT", TENANT, &json!({ "secrets": [secret_text(2)] })),
        Change::LowerShare => request("PUT", TENANT, &json!({ "share_per_s": 0.1 })),
    }
}
