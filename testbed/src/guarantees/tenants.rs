//! Accepted calls whose tenant is changed at some step, by the administration interface, with and
//! without an end of the process between.

use std::io::{Error, Result};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::json;

use super::{Draw, End, RackWorker, Verdict, DEADLINE_MS, SAFE_CLASS, UNSAFE_CLASS};
use crate::fakes::gateway::Gateway;
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
    let workers = RackWorker::start_rack(2, Duration::from_millis(400))?;
    let portal = Portal::start(secret(1), PortalBehavior::Good)?;
    let newcomer = Portal::start(secret(2), PortalBehavior::Good)?;
    if step == Step::Retrying {
        portal.set(PortalBehavior::Says(500, ""));
    }
    let operator = format!(
        "state = \"tenants.json\"\n[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\n\
         schedule_s = [2, 2, 2]\n{}[[tenants]]\nname = \"{TENANT}\"\nportal = \"http://{}/in\"\nsecrets = [\"{}\"]\n",
        admin::write(folder)?,
        portal.address,
        secret_text(1)
    );
    let addresses: Vec<SocketAddr> = workers.iter().map(|worker| worker.address).collect();
    let start = || Gateway::start_as("a", folder, &addresses, &operator, DEADLINE_MS);
    let mut gateway = start()?;
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
    make_change(&gateway, folder, change, newcomer.address)?;
    portal.set(PortalBehavior::Good);
    if let Some(end) = end {
        end.apply(&mut gateway)?;
        gateway = start()?;
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
    for number in 0..CALLS {
        let deliveries = told(number);
        let confirmed = deliveries.iter().filter(|d| d.confirmed).count();
        let is_unsafe = number % 2 == 1;
        // An unsafe callback that a portal failed may have had its effect: it comes once.
        let is_answered = confirmed == 1 || (is_unsafe && deliveries.len() == 1);
        if !is_answered || deliveries.iter().any(|delivery| !delivery.signed) {
            violations.push(format!("call-{number} was told: {deliveries:?}"));
        }
    }
    if !newcomer.deliveries().is_empty() {
        violations.push(format!(
            "the newcomer was told: {:?}",
            newcomer.deliveries()
        ));
    }
    gateway.stop()?;
    let ended = end.map_or("runs on".to_owned(), |end| format!("{end:?}"));
    Ok(Verdict {
        seed,
        scenario: format!("tenants, {change:?} when {step:?}, {ended}"),
        violations,
    })
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
