//! A tenant's portal moves to another address, through the administration API, while both portals are up.
//!
//! Four safe calls get their callbacks at the first portal. With TROUBLE=1 the administrator then names the second portal and
//! gets a 200. Callbacks of calls that are taken after that have to come to the portal that is configured, and to no other.

#[path = "common.rs"]
mod common;
use common::*;
use std::fs;

const TENANT: &str = "hospital-norte";
const CALLS: usize = 4;

fn calls(case: &Case, webhooks: std::net::SocketAddr, round: &str) -> Result<Vec<String>, String> {
    let mut ids = Vec::new();
    for n in 0..CALLS {
        let id = format!("{round}-{n}-{}", unix_micros());
        let call = signed_call(&id, unix_seconds(), "disponibilidad", "7f3a9c21e0b4d655", format!("work=150;{id}").as_bytes());
        if call.send(&case.record, webhooks, TENANT)? != 202 {
            return Err("a call was not accepted".into());
        }
        ids.push(id);
    }
    Ok(ids)
}

fn play(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let conduct = Conduct { work_ms: 100, load_ms: 300, all_loaded: false, second_miss_after_ms: None };
    let workers: Vec<Worker> = (0..4).map(|n| Worker::start(&format!("s-0000000{}", n + 1), record, conduct.clone())).collect();
    let (first, second) = (Portal::start("first", record, SECRET), Portal::start("second", record, SECRET));
    let board = Board::start();
    let (listen, webhooks, admin) = (free_address(), free_address(), free_address());
    let operator = case.temp.join("operator.toml");
    fs::write(case.temp.join("trust-bundle.json"), BUNDLE).map_err(|e| e.to_string())?;
    fs::write(&operator, operator_file(webhooks, Some(admin), TENANT, first.address, "")).map_err(|e| e.to_string())?;
    let config = case.temp.join("config.json");
    let all: Vec<&Worker> = workers.iter().collect();
    fs::write(&config, configuration("n1", listen, board.address, &all, unix_micros(), 1)).map_err(|e| e.to_string())?;
    let mut gateway = Gateway::start(case, "n1", listen, &config, &format!("--operator {}", operator.display()))?;
    sleep_ms(1100);

    let before = calls(case, webhooks, "before")?;
    if !wait_until(8000, || before.iter().all(|id| first.callbacks_of(id).len() == 1)) {
        return Err("the calls before the move did not get their callbacks".into());
    }
    let (configured, other) = if case.trouble {
        let body = format!(r#"{{"portal":"http://{}/trips"}}"#, second.address);
        if administer(record, admin, "PUT", &format!("/v1/tenants/{TENANT}"), &body)? != 200 {
            return Err("the administrator's change was not accepted".into());
        }
        (&second, &first)
    } else {
        (&first, &second)
    };
    record.say(format!("the portal that is configured from now on: {} ({})", configured.name, configured.address));
    let after = calls(case, webhooks, "after")?;
    // Twice the time after which a callback is tried again, and more than a call's deadline.
    wait_until(12_000, || after.iter().all(|id| configured.callbacks_of(id).len() == 1));
    let told: usize = after.iter().map(|id| configured.callbacks_of(id).len().min(1)).sum();
    let foreign: usize = after.iter().map(|id| other.callbacks_of(id).len()).sum();
    record.say(format!("of {CALLS} calls taken after the change, {told} were told to the configured portal; {foreign} callbacks went to the other"));
    if !gateway.is_running() {
        return Err("the gateway ended".into());
    }
    if told < CALLS || foreign > 0 {
        return Ok(Verdict::Broken(format!(
            "of {CALLS} accepted calls {} were never told to the portal that is configured, and {foreign} callbacks went to another address",
            CALLS - told
        )));
    }
    Ok(Verdict::Held)
}

fn main() {
    let case = Case::start("moved-portal");
    let verdict = play(&case).unwrap_or_else(Verdict::CouldNotRun);
    case.end(verdict)
}
