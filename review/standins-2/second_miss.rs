//! Case: a worker's `miss` comes twice, and the gateway takes the second one for the end of the next attempt.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::common::{begin, end, folder, free_port, log, require, sleep_ms, trouble, wait_for, Gateway, BROKEN, HELD};
use crate::net::{is_ready, quiet_board, request, Call};
use crate::pack_worker::{Attempts, PackWorker};
use crate::site::{Site, AURORA_CLASSES};

pub fn run(record: &str) -> ! {
    begin(record);
    let attempts = Arc::new(Mutex::new(Attempts::default()));
    let mut workers = Vec::new();
    for number in 1..=3 {
        let name = format!("s-0000000{number}");
        // One miss in two is answered twice, "some milliseconds" apart.
        let second = move |miss: u64| match miss % 2 {
            1 if trouble() => 6 + 3 * (miss / 2 % 5),
            _ => 0,
        };
        let address = PackWorker::start(&name, (400, 100), attempts.clone(), Box::new(second));
        workers.push((name, address));
    }
    let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let site = Site { name: "n1", me: 0, gateways: 1, listen, board: Some(quiet_board()), workers: &workers, classes: AURORA_CLASSES };
    let _gateway = Gateway::start("n1", &site.write(), "", &folder().join("tmp"));
    require(wait_for(10_000, || is_ready(listen)), "the gateway is ready");
    let mut clients = Vec::new();
    for number in 0..240u64 {
        sleep_ms(100);
        clients.push(std::thread::spawn(move || {
            let function = format!("{:016x}", 0xa000 + number / 6);
            let id = format!("{:016x}", 0x51c0_0000_0000 + number);
            let call = Call {
                function: &function,
                class: "disponibilidad",
                tenant: "franq-bajio",
                id: &id,
                deadline_ms: 2500,
                extras: "memory_mb:300;lanes:2;load_ms:400",
                body: id.as_bytes(),
            };
            let answer = request(listen, &call.bytes(), 4000);
            let status = answer.map(|(status, _)| status);
            log(format!("client: {id} answered {status:?}"));
            status
        }));
    }
    let answered: Vec<_> = clients.into_iter().map(|client| client.join().ok().flatten()).collect();
    let served = answered.iter().filter(|status| **status == Some(200)).count();
    sleep_ms(500);
    let attempts = attempts.lock().unwrap();
    let twice: Vec<_> = attempts.runs.iter().filter(|(_, runs)| **runs > 1).collect();
    log(format!("{served} of {} calls served; {} ran twice: {twice:?}", answered.len(), twice.len()));
    log(format!("calls with two attempts out at once: {:?}", attempts.overlaps));
    require(served > answered.len() / 2, "most calls are served");
    end(if attempts.overlaps.is_empty() { HELD } else { BROKEN })
}
