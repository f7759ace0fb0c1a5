//! A tenant is removed, through the administration API, while its calls are still waiting.
//!
//! Four calls are accepted with 202 and kept in the store; they run for a while at the workers. With TROUBLE=1 the
//! administrator then removes the tenant and gets a 204. Each call still has to get one final answer.

#[path = "common.rs"]
mod common;
use common::*;
use std::fs;

const TENANT: &str = "hospital-norte";
const CLASSES: [&str; 4] = ["disponibilidad", "confirmar-traslado", "disponibilidad", "confirmar-traslado"];

fn play(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let conduct = Conduct { work_ms: 100, load_ms: 300, all_loaded: false, second_miss_after_ms: None };
    let workers: Vec<Worker> = (0..4).map(|n| Worker::start(&format!("s-0000000{}", n + 1), record, conduct.clone())).collect();
    let portal = Portal::start("hospital", record, SECRET);
    let board = Board::start();
    let (listen, webhooks, admin) = (free_address(), free_address(), free_address());
    let operator = case.temp.join("operator.toml");
    fs::write(case.temp.join("trust-bundle.json"), BUNDLE).map_err(|e| e.to_string())?;
    let text = operator_file(webhooks, Some(admin), TENANT, portal.address, "store = \"store\"\n");
    fs::write(&operator, text).map_err(|e| e.to_string())?;
    let config = case.temp.join("config.json");
    let all: Vec<&Worker> = workers.iter().collect();
    fs::write(&config, configuration("n1", listen, board.address, &all, unix_micros(), 1)).map_err(|e| e.to_string())?;
    let mut gateway = Gateway::start(case, "n1", listen, &config, &format!("--operator {}", operator.display()))?;

    let mut calls = Vec::new();
    for (n, class) in CLASSES.iter().enumerate() {
        let id = format!("call-{n}-{}", unix_micros());
        let payload = format!("work=1000;{id}").into_bytes();
        let call = signed_call(&id, unix_seconds(), class, &format!("7f3a9c21e0b4d65{n}"), &payload);
        if call.send(record, webhooks, TENANT)? != 202 {
            return Err("a call was not accepted".into());
        }
        calls.push((id, payload));
    }
    let runs = |payload: &[u8]| workers.iter().map(|w| w.runs_of(payload)).sum::<u64>();
    if !wait_until(2000, || calls.iter().all(|(_, payload)| runs(payload) > 0)) {
        return Err("the calls did not begin to run".into());
    }
    if case.trouble && administer(record, admin, "DELETE", &format!("/v1/tenants/{TENANT}"), "")? != 204 {
        return Err("the tenant was not removed".into());
    }
    // Far beyond the calls' deadlines of 2.5 and 3 s, and the 0.25 and 5 s of further attempts at a callback.
    wait_until(15_000, || calls.iter().all(|(id, _)| portal.callbacks_of(id).len() == 1));
    sleep_ms(500);
    let answers: Vec<usize> = calls.iter().map(|(id, _)| portal.callbacks_of(id).len()).collect();
    for (id, _) in &calls {
        call_state(record, webhooks, TENANT, id);
    }
    record.say(format!("final answers of the accepted calls: {answers:?}"));
    if !gateway.is_running() {
        return Err("the gateway ended".into());
    }
    let unanswered = answers.iter().filter(|n| **n == 0).count();
    let several = answers.iter().filter(|n| **n > 1).count();
    if unanswered + several > 0 {
        return Ok(Verdict::Broken(format!(
            "of {} accepted calls {unanswered} never got a final answer and {several} got several",
            calls.len()
        )));
    }
    Ok(Verdict::Held)
}

fn main() {
    let case = Case::start("removed-tenant");
    let verdict = play(&case).unwrap_or_else(Verdict::CouldNotRun);
    case.end(verdict)
}
