//! A worker's answer comes a second time, some milliseconds late ("spoilt answers"), while the call's next attempt is out.
//!
//! Calls of a safe class for functions that no worker has loaded. With TROUBLE=1 each `404` is sent twice, the second time
//! a few milliseconds later. At no moment may a call have two attempts out.

#[path = "common.rs"]
mod common;
use common::*;
use std::fs;
use std::thread;

fn play(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let late = std::env::var("LATE_MS").ok().and_then(|v| v.parse().ok()).unwrap_or(15);
    let conduct = Conduct { work_ms: 200, load_ms: 300, all_loaded: false, second_miss_after_ms: case.trouble.then_some(late) };
    let workers: Vec<Worker> = (0..4).map(|n| Worker::start(&format!("s-0000000{}", n + 1), record, conduct.clone())).collect();
    let board = Board::start();
    let listen = free_address();
    let config = case.temp.join("config.json");
    let all: Vec<&Worker> = workers.iter().collect();
    fs::write(&config, configuration("n1", listen, board.address, &all, unix_micros(), 1)).map_err(|e| e.to_string())?;
    let mut gateway = Gateway::start(case, "n1", listen, &config, "")?;
    let mut clients = Vec::new();
    for n in 0..30u64 {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("{:016x}", 0xabc0_0000_0000_0000u64 + n);
            let headers = [
                ("X-Class", "disponibilidad"), ("X-Org", "franq-bajio"), ("X-Correlation-Id", id.as_str()),
                ("X-Deadline-Ms", "2500"), ("X-Extras", "memory_mb:300;lanes:4;load_ms:300"),
            ];
            let path = format!("/call/{:016x}/trigger", 0x7f3a_0000_0000_0000u64 + n / 10);
            let answer = http(listen, "POST", &path, &headers, format!("body {n}").as_bytes(), 4000);
            let text = answer.map_or_else(|e| e, |(status, _, body)| format!("{status} {}", String::from_utf8_lossy(&body)));
            record.say(format!("client: {id} answered {text}"));
        }));
        sleep_ms(300);
    }
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(500);
    let mut broken: Vec<String> = Vec::new();
    for worker in &workers {
        for (id, most) in worker.most_out() {
            if most > 1 {
                broken.push(format!("{id} had {most} attempts out"));
            }
        }
    }
    for n in 0..30u64 {
        let runs: u64 = workers.iter().map(|w| w.runs_of(format!("body {n}").as_bytes())).sum();
        if runs > 1 {
            broken.push(format!("call {n} ran {runs} times"));
        }
    }
    if !gateway.is_running() {
        return Err("the gateway ended".into());
    }
    if broken.is_empty() { Ok(Verdict::Held) } else { Ok(Verdict::Broken(broken.join("; "))) }
}

fn main() {
    let case = Case::start("second-answer");
    let verdict = play(&case).unwrap_or_else(Verdict::CouldNotRun);
    case.end(verdict)
}
