//! Model of a worker: copies that load from a shared store, a service time that grows with the
//! number of running calls, and unresponsiveness.

use std::collections::BTreeMap;

use molelug::api::{FunctionId, Micros};

const MS: Micros = 1_000;
/// Time that a copy takes to load.
pub const LOAD_TIME: Micros = 300 * MS;
/// Duration of a call at an idle worker.
const SERVICE_TIME: Micros = 20 * MS;
/// Maximum number of loaded copies; the least recently used copy is evicted.
const MAX_COPIES: usize = 48;
/// Number of running calls above which calls take longer.
const CALLS_AT_FULL_SPEED: usize = 8;

/// An emulated worker.
#[derive(Debug, Default)]
pub struct Worker {
    /// Set while the worker accepts commands and answers none.
    pub silent: bool,
    /// Loaded copies, and the time of the last use of each.
    copies: BTreeMap<FunctionId, Micros>,
    /// Copies being loaded, and the time at which each is ready.
    loads: BTreeMap<FunctionId, Micros>,
    /// End time of each running call.
    run_ends: Vec<Micros>,
}

/// Outcome of a call at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The worker does not answer.
    Silent,
    /// No copy is loaded.
    NotLoaded,
    /// The call ends after this time.
    Runs(Micros),
}

impl Worker {
    /// Completes the loads that are due and removes ended calls.
    pub fn advance(&mut self, now: Micros) {
        let completed: Vec<FunctionId> = self
            .loads
            .iter()
            .filter(|(_, t)| **t <= now)
            .map(|(f, _)| *f)
            .collect();
        for f in completed {
            self.loads.remove(&f);
            self.copies.insert(f, now);
            if self.copies.len() > MAX_COPIES {
                let oldest = self.copies.iter().min_by_key(|(_, t)| **t).map(|(f, _)| *f);
                oldest.map(|f| self.copies.remove(&f));
            }
        }
        self.run_ends.retain(|t| *t > now);
    }

    /// Handles a call.
    pub fn call(&mut self, now: Micros, function: FunctionId) -> CallOutcome {
        if self.silent {
            return CallOutcome::Silent;
        }
        self.advance(now);
        if let Some(used) = self.copies.get_mut(&function) {
            *used = now;
            let duration = SERVICE_TIME
                + SERVICE_TIME * self.run_ends.len().saturating_sub(CALLS_AT_FULL_SPEED) as Micros
                    / CALLS_AT_FULL_SPEED as Micros;
            self.run_ends.push(now + duration);
            return CallOutcome::Runs(duration);
        }
        CallOutcome::NotLoaded
    }

    /// Handles a load order, or a query if `loads` is false. Returns the time until the answer and
    /// the number of copies loaded then.
    pub fn load_order(
        &mut self,
        now: Micros,
        function: FunctionId,
        loads: bool,
        fetches: &mut u64,
    ) -> (Micros, u32) {
        self.advance(now);
        if self.copies.contains_key(&function) {
            return (0, 1);
        }
        if let Some(at) = self.loads.get(&function) {
            return (at - now, 1);
        }
        if !loads {
            return (0, 0);
        }
        *fetches += 1;
        self.loads.insert(function, now + LOAD_TIME);
        (LOAD_TIME, 1)
    }
}
