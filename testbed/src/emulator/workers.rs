//! Workers as the emulator has them: copies that load from a shared store, lanes, and silence.

use std::collections::BTreeMap;

use molelug::api::{FunctionId, Micros};

const MS: Micros = 1_000;
/// How long a copy takes to load.
pub const LOAD: Micros = 300 * MS;
/// How long a call takes at a worker at rest.
const SERVES: Micros = 20 * MS;
/// Copies that a worker holds; the longest unused gives way.
const MOST_COPIES: usize = 48;
/// Calls at once beyond which each takes longer.
const AT_ONCE: usize = 8;

/// A worker.
#[derive(Debug, Default)]
pub struct Worker {
    /// Whether it takes everything and answers nothing.
    pub silent: bool,
    /// Copies that stand, and when each was used last.
    copies: BTreeMap<FunctionId, Micros>,
    /// Copies that load, and when they stand.
    loads: BTreeMap<FunctionId, Micros>,
    /// When each call under way ends.
    runs: Vec<Micros>,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// Nothing.
    Silent,
    /// The copy does not stand.
    Missed,
    /// It ends after this long.
    Runs(Micros),
}

impl Worker {
    /// Loads that are done stand.
    pub fn settle(&mut self, now: Micros) {
        let done: Vec<FunctionId> = self
            .loads
            .iter()
            .filter(|(_, t)| **t <= now)
            .map(|(f, _)| *f)
            .collect();
        for f in done {
            self.loads.remove(&f);
            self.copies.insert(f, now);
            if self.copies.len() > MOST_COPIES {
                let oldest = self.copies.iter().min_by_key(|(_, t)| **t).map(|(f, _)| *f);
                oldest.map(|f| self.copies.remove(&f));
            }
        }
        self.runs.retain(|t| *t > now);
    }

    /// A call comes.
    pub fn meet(&mut self, now: Micros, function: FunctionId) -> Met {
        if self.silent {
            return Met::Silent;
        }
        self.settle(now);
        if let Some(used) = self.copies.get_mut(&function) {
            *used = now;
            let span = SERVES
                + SERVES * self.runs.len().saturating_sub(AT_ONCE) as Micros / AT_ONCE as Micros;
            self.runs.push(now + span);
            return Met::Runs(span);
        }
        Met::Missed
    }

    /// An order to load, or a question: how long until its answer, and how many copies stand then.
    pub fn order(
        &mut self,
        now: Micros,
        function: FunctionId,
        loads: bool,
        fetches: &mut u64,
    ) -> (Micros, u32) {
        self.settle(now);
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
        self.loads.insert(function, now + LOAD);
        (LOAD, 1)
    }
}
