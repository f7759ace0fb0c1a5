//! Clients that call at a steady rate on persistent connections and record the result of each call.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::scenario::Scenario;
use crate::fakes::gateway::{NON_IDEMPOTENT_CLASS, READ_CLASS};
use crate::fakes::{status, Caller};

/// Number of functions that are called in turn, besides new ones.
const FUNCTIONS: u64 = 24;
/// Every n-th call is to a function that was never called before.
const NEW_FUNCTION_EVERY: u64 = 8;
/// Tolerated delay of an answer after its deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A call that fails within this time is sent once more, as the gateway may have closed the idle
/// connection at the same moment.
const IDLE_CLOSE_RACE: Duration = Duration::from_millis(50);
/// Number of clients per gateway.
pub const CALLERS: u64 = 4;

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    Served,
    Rejected,
    Failed,
    /// The answer came later than the deadline plus [`ANSWER_SLACK`], or the connection ended
    /// without an answer.
    Lost,
    /// The connection was refused.
    Unreachable,
}

/// A call and its result.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub gateway: usize,
    pub sent_at: Instant,
    pub end: CallResult,
}

/// Addresses of the gateways; a restart changes an address.
pub type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

/// A client of one gateway.
#[derive(Debug)]
pub struct Client {
    pub gateway: usize,
    pub number: u64,
    pub scenario: Scenario,
    pub addresses: Addresses,
    pub started_at: Instant,
    pub over: Arc<AtomicBool>,
}

impl Client {
    /// Calls until the run is over; returns all calls.
    pub fn run(&self) -> Vec<Call> {
        let interval = Duration::from_secs_f64(CALLERS as f64 / self.scenario.rate.max(1) as f64);
        let mut calls = Vec::new();
        let mut caller: Option<(SocketAddr, Caller)> = None;
        let mut due = self.started_at + interval.mul_f64(self.number as f64 / CALLERS as f64);
        let mut number = 0;
        while !self.over.load(Ordering::Relaxed) {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            due = (due + interval).max(Instant::now());
            if !self.scenario.is_busy(self.started_at.elapsed()) {
                continue;
            }
            let address = self.address();
            if caller.as_ref().is_none_or(|(to, _)| *to != address) {
                let patience_s = (self.scenario.deadline + ANSWER_SLACK).as_secs() + 1;
                caller = Some((address, Caller::with_timeout(address, patience_s)));
            }
            let Some((_, connection)) = &mut caller else {
                continue;
            };
            number += 1;
            let sent_at = Instant::now();
            let request = self.request(number);
            let mut answer = connection.exchange(&request);
            if answer.is_err() && sent_at.elapsed() < IDLE_CLOSE_RACE {
                // The gateway probably closed the idle connection; sends the request once more on a
                // new connection.
                answer = connection.exchange(&request);
            }
            let end = match answer {
                Ok(_) if sent_at.elapsed() > self.scenario.deadline + ANSWER_SLACK => {
                    CallResult::Lost
                }
                Ok(answer) => match status(&answer) {
                    200 => CallResult::Served,
                    429 | 503 => CallResult::Rejected,
                    _ => CallResult::Failed,
                },
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                    CallResult::Unreachable
                }
                Err(_) => CallResult::Lost,
            };
            calls.push(Call {
                gateway: self.gateway,
                sent_at,
                end,
            });
        }
        calls
    }

    fn address(&self) -> SocketAddr {
        self.addresses
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)[self.gateway]
    }

    fn request(&self, number: u64) -> Vec<u8> {
        let id = (self.gateway as u64) << 48 | self.number << 40 | number;
        let function = if number.is_multiple_of(NEW_FUNCTION_EVERY) {
            0x1_0000_0000 + id % 0xff_ffff
        } else {
            number % FUNCTIONS
        };
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
}
