//! Clients with open connections, and a crowd with new ones, that record when each call was sent
//! and answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::scenario::Scenario;
use crate::fakes::gateway::{NON_IDEMPOTENT_CLASS, READ_CLASS};
use crate::fakes::{status, Caller};

/// Number of clients with open connections at each gateway.
pub const CLIENTS: u64 = 16;
/// Number of clients of a crowd; each calls once on a new connection.
const CROWD: u64 = 60;
/// How long a client waits beyond a call's deadline before it gives up.
const PATIENCE: Duration = Duration::from_secs(6);
/// A call that fails within this time is sent once more, as the gateway may have closed the idle
/// connection at the same moment.
const IDLE_CLOSE_RACE: Duration = Duration::from_millis(50);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It was answered with this status.
    Answered(u16),
    /// The connection was refused.
    Unreachable,
    /// The connection ended, or the client gave up, without an answer.
    Unanswered,
}

/// The record of one call.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Index of the gateway.
    pub gateway: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub result: CallResult,
}

/// A client of one gateway.
#[derive(Debug)]
pub struct Client {
    /// Index of the gateway.
    pub gateway: usize,
    /// The gateway's address, which a restart keeps.
    pub address: SocketAddr,
    /// Number of the client.
    pub number: u64,
    /// The scenario.
    pub scenario: Scenario,
    /// The run's start.
    pub started_at: Instant,
    /// Set when the run is over.
    pub over: Arc<AtomicBool>,
}

impl Client {
    /// Calls until the run is over; returns the records.
    pub fn run(&self) -> Vec<Call> {
        let interval = Duration::from_secs_f64(CLIENTS as f64 / self.scenario.rate.max(1) as f64);
        let mut caller = self.caller();
        let mut calls = Vec::new();
        let mut due = self.started_at + interval.mul_f64(self.number as f64 / CLIENTS as f64);
        let mut number = 0;
        while !self.over.load(Ordering::Relaxed) {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            due = (due + interval).max(Instant::now());
            number += 1;
            calls.push(self.call(&mut caller, number));
        }
        calls
    }

    fn caller(&self) -> Caller {
        let patience = self.scenario.deadline + PATIENCE;
        Caller::with_timeout(self.address, patience.as_secs())
    }

    fn call(&self, caller: &mut Caller, number: u64) -> Call {
        let request = self.request(number);
        let mut sent_at = Instant::now();
        let mut answer = caller.exchange(&request);
        if answer.is_err() && sent_at.elapsed() < IDLE_CLOSE_RACE {
            sent_at = Instant::now();
            answer = caller.exchange(&request);
        }
        let result = match answer {
            Ok(answer) => CallResult::Answered(status(&answer)),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                CallResult::Unreachable
            }
            Err(_) => CallResult::Unanswered,
        };
        Call {
            gateway: self.gateway,
            sent_at,
            ended_at: Instant::now(),
            result,
        }
    }

    fn request(&self, number: u64) -> Vec<u8> {
        let id = (self.gateway as u64) << 56 | self.number << 40 | number;
        let function = (self.number * 31 + number * 7) % self.scenario.functions.max(1);
        let class = if number.is_multiple_of(5) {
            NON_IDEMPOTENT_CLASS
        } else {
            READ_CLASS
        };
        let deadline_ms = self.scenario.deadline.as_millis();
        format!(
            "POST /call/{function:016x}/trigger HTTP/1.1\r\nHost: lab\r\nX-Class: {class}\r\nX-Org: franq-bajio\r\n\
             X-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
             X-Extras: memory_mb:64;lanes:4;load_ms:40\r\nContent-Length: 0\r\n\r\n"
        )
        .into_bytes()
    }

    /// Calls once on a new connection for each client of a crowd, all at the same time.
    pub fn crowd(&self) -> Vec<Call> {
        let threads: Vec<_> = (0..CROWD)
            .map(|number| {
                let client = Client {
                    gateway: self.gateway,
                    address: self.address,
                    number: self.number + 1 + number,
                    scenario: self.scenario.clone(),
                    started_at: self.started_at,
                    over: self.over.clone(),
                };
                std::thread::spawn(move || client.call(&mut client.caller(), 1))
            })
            .collect();
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    }
}
