//! What clients and workers recorded.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// An attempt as a worker received it.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// When the worker read it.
    pub at: Instant,
    /// How often the gateway had been started before.
    pub process: u64,
    /// Whether its class must not run twice.
    pub is_unsafe: bool,
}

/// The answer to a call of a usual client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A status.
    Answered(u16),
    /// The connection ended without an answer, or none came in time.
    Lost,
    /// No connection was possible.
    Unreachable,
}

/// A call of a usual client.
#[derive(Clone, Copy, Debug)]
pub struct UsualCall {
    /// How long its client waited for the connection.
    pub connect_time: Duration,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub outcome: Outcome,
}

/// The records of one run.
#[derive(Debug, Default)]
pub struct Records {
    /// When the last client of each call left, if it did.
    departures: Mutex<HashMap<u64, Instant>>,
    attempts: Mutex<HashMap<u64, Vec<Attempt>>>,
    calls: Mutex<Vec<UsualCall>>,
    next_identity: AtomicU64,
    process: AtomicU64,
    over: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Records {
    /// Returns an identity that was not used before.
    pub fn new_identity(&self) -> u64 {
        self.next_identity.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes that the client of a call leaves now.
    pub fn note_departure(&self, identity: u64) {
        lock(&self.departures).insert(identity, Instant::now());
    }

    /// Notes that a client of the call is there again.
    pub fn note_return(&self, identity: u64) {
        lock(&self.departures).remove(&identity);
    }

    /// Notes that a worker received an attempt.
    pub fn note_attempt(&self, identity: u64, is_unsafe: bool) {
        let attempt = Attempt {
            at: Instant::now(),
            process: self.process.load(Ordering::Relaxed),
            is_unsafe,
        };
        let mut attempts = lock(&self.attempts);
        attempts.entry(identity).or_default().push(attempt);
    }

    /// Notes a call of a usual client.
    pub fn note_call(&self, call: UsualCall) {
        lock(&self.calls).push(call);
    }

    /// Notes that the gateway is started again.
    pub fn begin_process(&self) {
        self.process.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends the run.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Whether the run has ended.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// The calls of usual clients.
    pub fn calls(&self) -> Vec<UsualCall> {
        lock(&self.calls).clone()
    }

    /// The attempts of each call, with the time when its last client left, if it did.
    pub fn attempts(&self) -> Vec<(u64, Vec<Attempt>, Option<Instant>)> {
        let departures = lock(&self.departures);
        lock(&self.attempts)
            .iter()
            .map(|(identity, attempts)| {
                let departure = departures.get(identity).copied();
                (*identity, attempts.clone(), departure)
            })
            .collect()
    }
}
