//! A signed call is replayed after the gateway was killed and came back.
//!
//! The portal's clock is 30 s ahead, a tenth of what `tolerance_s` allows. The call is taken, runs and gets its callback.
//! With TROUBLE=1 the gateway, one of three, is then killed and is back 1.5 s later. The same bytes, sent once more to the
//! same gateway, have to be refused. The other two gateways serve the same workers and are left alone.

#[path = "common.rs"]
mod common;
use common::*;
use std::fs;

const TENANT: &str = "hospital-norte";
const FUNCTION: &str = "7f3a9c21e0b4d655";
const PORTAL_CLOCK_AHEAD_S: u64 = 30;
const GATEWAYS: [&str; 3] = ["n1", "n2", "n3"];

fn play(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let conduct = Conduct { work_ms: 100, load_ms: 300, all_loaded: false, second_miss_after_ms: None };
    let workers: Vec<Worker> = (0..4).map(|n| Worker::start(&format!("s-0000000{}", n + 1), record, conduct.clone())).collect();
    let portal = Portal::start("hospital", record, SECRET);
    let board = Board::start();
    let addresses: Vec<_> = GATEWAYS.iter().map(|_| (free_address(), free_address())).collect();
    let start = |index: usize| -> Result<Gateway, String> {
        let (name, (listen, webhooks)) = (GATEWAYS[index], addresses[index]);
        let operator = case.temp.join(format!("operator-{name}.toml"));
        fs::write(&operator, operator_file(webhooks, None, TENANT, portal.address, "")).map_err(|e| e.to_string())?;
        let config = case.temp.join(format!("config-{name}.json"));
        let all: Vec<&Worker> = workers.iter().collect();
        let text = configuration(name, listen, board.address, &all, unix_micros(), GATEWAYS.len());
        fs::write(&config, text).map_err(|e| e.to_string())?;
        Gateway::start(case, name, listen, &config, &format!("--operator {}", operator.display()))
    };
    let webhooks = addresses[0].1;
    let mut gateway = start(0)?;
    let mut others = [start(1)?, start(2)?];
    // A new process without a file of identities takes no time stamp from before its start.
    sleep_ms(1100);

    let payload = format!("trip {}", unix_micros()).into_bytes();
    let id = format!("call-{}", unix_micros());
    let call = signed_call(&id, unix_seconds() + PORTAL_CLOCK_AHEAD_S, "confirmar-traslado", FUNCTION, &payload);
    if call.send(record, webhooks, TENANT)? != 202 {
        return Err("the call was not accepted".into());
    }
    if !wait_until(6000, || !portal.callbacks_of(&id).is_empty()) {
        return Err("the first call got no callback".into());
    }
    if call.send(record, webhooks, TENANT)? / 100 == 2 {
        return Ok(Verdict::Broken("a replay was accepted by the same process".into()));
    }
    if case.trouble {
        record.say("gateway n1, one of three, is killed (SIGKILL)");
        gateway.kill();
        sleep_ms(1500);
        gateway = start(0)?;
    } else {
        sleep_ms(1500);
    }
    let replay = call.send(record, webhooks, TENANT)?;
    sleep_ms(5000);
    let runs: u64 = workers.iter().map(|w| w.runs_of(&payload)).sum();
    let callbacks = portal.callbacks_of(&id).len();
    record.say(format!("the replay was answered {replay}; the booking ran {runs} times; {callbacks} callbacks tell of it"));
    if !gateway.is_running() || others.iter_mut().any(|other| !other.is_running()) {
        return Err("a gateway ended".into());
    }
    if replay / 100 == 2 || runs > 1 {
        let why = format!("the replay was answered {replay} and the booking ran {runs} times, with {callbacks} callbacks");
        return Ok(Verdict::Broken(why));
    }
    Ok(Verdict::Held)
}

fn main() {
    let case = Case::start("replay");
    let verdict = play(&case).unwrap_or_else(Verdict::CouldNotRun);
    case.end(verdict)
}
