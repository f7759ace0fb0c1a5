//! `gossip`: real gateway processes that gossip on loopback, beside malicious fake peers.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base64::prelude::{Engine, BASE64_STANDARD};
use molelug::api::WorkerId;
use molelug::membership::keys::Keys;
use molelug::membership::observations::Observation;
use molelug::membership::swim::{Message, MessageKind};
use molelug::membership::wire;

use crate::fakes::gateway::{TempFolder, READ_CLASS};
use crate::fakes::{status, Caller, Gateway, Worker, WAIT_TIMEOUT};

/// Configured limit on the gossip that each instance sends, in bytes per second.
pub const BYTES_PER_S: u32 = 16_384;

fn private(n: usize) -> String {
    BASE64_STANDARD.encode([n as u8 + 1; 32])
}

fn name(n: usize) -> String {
    format!("gw-{n}")
}

fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// Finds a free UDP port.
fn free_udp_address() -> Result<SocketAddr> {
    UdpSocket::bind("127.0.0.1:0")?.local_addr()
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// Calls sent.
    pub calls: u64,
    /// Calls answered 200.
    pub served: u64,
    /// Highest mean rate at which any instance sent gossip, in bytes per second.
    pub most_bytes_per_s: f64,
    /// Honest instances that at the end counted at least as many live peers as there are other
    /// honest instances.
    pub agreeing: usize,
}

/// Runs a malicious peer, which reports every worker as refusing, accuses other instances, and
/// sends forged, replayed, excessive and invalid datagrams.
fn run_malicious_peer(
    socket: &UdpSocket,
    keys: &Keys,
    me: &str,
    peers: &[SocketAddr],
    workers: &[u32],
    stop: &AtomicBool,
) -> Result<()> {
    let mut number = now();
    let mut captured: Vec<Vec<u8>> = Vec::new();
    socket.set_nonblocking(true)?;
    let own = wire::seal_record(keys, me, socket.local_addr()?, now(), false);
    while !stop.load(Ordering::Relaxed) {
        let at = now();
        let mut buffer = [0; 2048];
        while let Ok((n, _)) = socket.recv_from(&mut buffer) {
            if captured.len() < 200 {
                captured.push(buffer[..n].to_vec());
            }
        }
        for (n, peer) in peers.iter().enumerate() {
            let victim = name((n + 1) % peers.len());
            let ill = Observation {
                at,
                refused: 9,
                ..Observation::default()
            };
            let seen = workers.iter().map(|w| (WorkerId(*w), ill)).collect();
            let mut sighting = Some(wire::seal_observation(keys, me, at, seen));
            let accusations = vec![wire::seal_accusation(keys, &victim, u64::MAX, me)];
            let records = vec![
                own.clone(),
                wire::seal_record(keys, &victim, *peer, u64::MAX, true),
            ];
            let message = Message {
                kind: MessageKind::Sync(true),
                records,
                accusations,
            };
            number += 1;
            let sealed = wire::pack(keys, me, number, at, &message, wire::MTU, |_| {
                sighting.take()
            });
            let forged = wire::pack(keys, &victim, number, at, &message, wire::MTU, |_| None);
            for bytes in sealed
                .into_iter()
                .chain(forged)
                .chain([vec![7; 600], vec![0; 4000]])
            {
                // Send errors are ignored: a peer whose queue is full loses the datagram.
                let _ = socket.send_to(&bytes, peer);
            }
            for bytes in captured.iter().rev().take(5) {
                let _ = socket.send_to(bytes, peer);
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Runs instances for `seconds`, each gateway with a steady caller; with gossip on, fake peers take
/// the place of `malicious` instances.
pub fn run_fleet(
    instances: usize,
    malicious: usize,
    seconds: u64,
    gossip: bool,
) -> Result<RunResult> {
    if malicious >= instances {
        return Err(Error::other("some instances must be honest"));
    }
    let folder = TempFolder::new("gossip")?;
    let workers: Vec<Worker> = (0..6)
        .map(|_| Worker::start(Duration::from_millis(2), 0))
        .collect::<Result<_>>()?;
    let ports: Vec<SocketAddr> = (0..instances)
        .map(|_| free_udp_address())
        .collect::<Result<_>>()?;
    let accepted: BTreeMap<String, Vec<String>> = (0..instances)
        .map(|n| {
            Ok((
                name(n),
                vec![Keys::public(&private(n)).map_err(Error::other)?],
            ))
        })
        .collect::<Result<_>>()?;
    let accepted_text: String = accepted
        .iter()
        .map(|(n, k)| format!("{n} = {k:?}\n"))
        .collect();
    let honest = instances - malicious;
    let started = Instant::now();
    let mut gateways = Vec::new();
    for n in 0..honest {
        let home = folder.0.join(name(n));
        std::fs::create_dir_all(&home)?;
        let file = gossip.then(|| home.join("gossip.toml"));
        if let Some(file) = &file {
            std::fs::write(home.join("own.key"), private(n))?;
            std::fs::write(home.join("accepted.toml"), &accepted_text)?;
            let seeds = &ports[..2.min(honest)];
            let text = format!(
                "listen = \"{}\"\nname = \"{}\"\nseeds = {:?}\nbytes_per_s = {BYTES_PER_S}\n\
                 own_key = \"own.key\"\naccepted = \"accepted.toml\"\nstate = \"members.json\"\n",
                ports[n],
                name(n),
                seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>()
            );
            std::fs::write(file, text)?;
        }
        gateways.push(Gateway::start_with_gossip(
            &home,
            &workers,
            file.as_deref(),
        )?);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let malicious: Vec<_> = (honest..instances)
        .filter(|_| gossip)
        .map(|n| {
            let (stop, peers, at) = (stop.clone(), ports[..honest].to_vec(), ports[n]);
            let accepted = accepted.clone();
            let ids: Vec<u32> = (0..workers.len() as u32).collect();
            std::thread::spawn(move || -> Result<()> {
                let keys =
                    Keys::per_instance(&name(n), &private(n), &accepted).map_err(Error::other)?;
                run_malicious_peer(&UdpSocket::bind(at)?, &keys, &name(n), &peers, &ids, &stop)
            })
        })
        .collect();
    let callers: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(g, gateway)| {
            let (to, stop) = (gateway.platform, stop.clone());
            std::thread::spawn(move || -> Result<(u64, u64)> {
                let (mut caller, mut calls, mut served) = (Caller::new(to), 0u64, 0);
                while !stop.load(Ordering::Relaxed) {
                    let id = ((g as u64) << 48) | calls;
                    let request = format!(
                        "POST /call/{:016x}/trigger HTTP/1.1\r\nHost: lab\r\nX-Class: {READ_CLASS}\r\nX-Org: franq-bajio\r\n\
                         X-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 900\r\nX-Extras: lanes:4\r\nContent-Length: 0\r\n\r\n",
                        calls % 24
                    );
                    calls += 1;
                    served += u64::from(caller.exchange(request.as_bytes()).is_ok_and(|a| status(&a) == 200));
                    std::thread::sleep(Duration::from_millis(20));
                }
                Ok((calls, served))
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(seconds));
    let mut result = RunResult::default();
    // The malicious peers still run. The loop gives slow machines more time to agree.
    let patience = Instant::now() + WAIT_TIMEOUT;
    while gossip && result.agreeing < honest && Instant::now() < patience {
        result.agreeing = 0;
        for gateway in &mut gateways {
            let counters = gateway.counters()?;
            result.agreeing +=
                usize::from(counters["gossip_alive"].as_u64() >= Some(honest as u64 - 1));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let (calls, served) = caller
            .join()
            .map_err(|_| Error::other("a caller failed"))??;
        (result.calls, result.served) = (result.calls + calls, result.served + served);
    }
    for peer in malicious {
        peer.join()
            .map_err(|_| Error::other("a malicious peer failed"))??;
    }
    for gateway in &mut gateways {
        let counters = gateway.counters()?;
        let sent = counters["gossip_bytes"].as_f64().unwrap_or(0.0);
        // The limit allows a burst of one second's bytes at the start.
        let whole = started.elapsed().as_secs_f64() + 1.0;
        result.most_bytes_per_s = result.most_bytes_per_s.max(sent / whole);
    }
    for gateway in &mut gateways {
        gateway.kill()?;
    }
    Ok(result)
}

/// Runs the fleet without gossip, then with gossip and malicious peers, and compares the shares of
/// served calls.
pub fn run(instances: usize, malicious: usize, seconds: u64) -> Result<bool> {
    let share = |r: &RunResult| 100.0 * r.served as f64 / r.calls.max(1) as f64;
    let without = run_fleet(instances, malicious, seconds, false)?;
    let with = run_fleet(instances, malicious, seconds, true)?;
    let honest = instances - malicious;
    println!("{instances} instances, {malicious} of them lying, for {seconds} s");
    println!(
        "without gossip: {} calls, {:.2}% served",
        without.calls,
        share(&without)
    );
    println!(
        "with gossip:    {} calls, {:.2}% served",
        with.calls,
        share(&with)
    );
    println!(
        "most sent by one: {:.0} bytes/s of {BYTES_PER_S}",
        with.most_bytes_per_s
    );
    println!(
        "{} of {honest} hold all the others for alive",
        with.agreeing
    );
    let passed = share(&with) >= share(&without) - 3.0
        && with.most_bytes_per_s <= f64::from(BYTES_PER_S)
        && with.agreeing == honest;
    println!("{}", if passed { "held" } else { "NOT held" });
    Ok(passed)
}
