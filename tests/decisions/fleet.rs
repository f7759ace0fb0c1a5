//! The simulated workers of a recorded stream, which decide how an attempt or a load order ends.

use std::collections::BTreeMap;

use molelug::api::{
    CellId, CopyStart, FunctionId, LoadReport, Micros, OnMiss, Outcome, WorkerEntry, WorkerId,
    WorkerStatus, ZoneId,
};

use crate::combinations::MILLISECOND;
use crate::random::Random;

/// The number of functions that a worker keeps loaded. The least recently used one is evicted.
const MAX_FUNCTIONS: usize = 4;

/// How a worker behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Healthy,
    Slow,
    Hung,
    Refusing,
    Resetting,
    /// Rejects most calls after a delay, as a limit of their class does.
    Limiting,
}

/// Copies of one function.
#[derive(Clone, Copy, Debug)]
struct Copies {
    count: u32,
    used_at: Micros,
    /// The instant from which calls can use the copies.
    ready_at: Micros,
}

/// A simulated worker.
pub struct Worker {
    pub id: WorkerId,
    pub status: WorkerStatus,
    pub started: Option<Micros>,
    pub mode: Mode,
    /// Requests of other instances in flight.
    pub others_in_flight: u32,
    zone: ZoneId,
    cell: CellId,
    in_flight: u32,
    max_in_flight: u32,
    in_flight_by_function: BTreeMap<FunctionId, u32>,
    copies: BTreeMap<FunctionId, Copies>,
}

/// The end of an attempt or a load order at a worker.
pub struct End {
    pub outcome: Outcome,
    pub latency: Micros,
    pub copy_start: Option<CopyStart>,
    /// Requests of the function that were in flight at the worker before this one.
    pub function_in_flight: u32,
}

impl End {
    fn plain(outcome: Outcome, latency: Micros) -> End {
        End {
            outcome,
            latency,
            copy_start: None,
            function_in_flight: 0,
        }
    }
}

/// Returns a function's usual run time.
fn run_time(function: FunctionId) -> Micros {
    (15 + function.0 % 7 * 25) * MILLISECOND
}

/// Returns a function's usual load time.
pub fn load_time(function: FunctionId) -> Micros {
    (200 + function.0 % 5 * 150) * MILLISECOND
}

impl Worker {
    /// Creates a worker of the first list.
    pub fn new(number: u32, started: Option<Micros>) -> Worker {
        Worker {
            id: WorkerId(number.wrapping_mul(0x0101_6b35)),
            status: WorkerStatus::Ready,
            started,
            mode: Mode::Healthy,
            others_in_flight: 0,
            zone: ZoneId((number % 3) as u8),
            cell: CellId((number % 6) as u16),
            in_flight: 0,
            max_in_flight: 6 + number % 11,
            in_flight_by_function: BTreeMap::new(),
            copies: BTreeMap::new(),
        }
    }

    /// Returns the worker's entry in the worker list.
    pub fn entry(&self) -> WorkerEntry {
        WorkerEntry {
            worker: self.id,
            zone: self.zone,
            cell: self.cell,
            status: self.status,
            capacity: 1.0,
            started_at: self.started,
        }
    }

    /// Restarts the process, which drops all copies.
    pub fn restart(&mut self, now: Micros) {
        self.started = Some(now);
        self.mode = Mode::Healthy;
        self.copies.clear();
    }

    /// Returns the number of ready copies of a function.
    pub fn ready_copies(&self, now: Micros, function: FunctionId) -> u32 {
        self.copies
            .get(&function)
            .filter(|c| c.ready_at <= now)
            .map_or(0, |c| c.count)
    }

    /// Returns a load report with a random set of fields, or none.
    pub fn load_report(&self, random: &mut Random) -> Option<LoadReport> {
        let total = self.in_flight + self.others_in_flight;
        let in_flight = Some(total as f32);
        match random.below(4) {
            0 => None,
            1 => Some(LoadReport {
                in_flight,
                ..LoadReport::default()
            }),
            2 => Some(LoadReport {
                cpu_utilization: Some(0.5),
                ..LoadReport::default()
            }),
            _ => Some(LoadReport {
                queued: Some(total.saturating_sub(4) as f32),
                in_flight,
                cpu_utilization: Some(total as f32 / 8.0),
                pinned_memory: Some(0.25),
                active_loads: Some(self.copies.len() as f32),
            }),
        }
    }

    /// Starts an attempt. `time_left` is the time to the client's deadline.
    pub fn send(
        &mut self,
        now: Micros,
        function: FunctionId,
        on_miss: OnMiss,
        time_left: Micros,
        random: &mut Random,
    ) -> End {
        let end = self.end_of_attempt(now, function, on_miss, time_left, random);
        self.in_flight += 1;
        *self.in_flight_by_function.entry(function).or_default() += 1;
        if end.outcome == Outcome::Ok {
            self.touch(now, function);
        }
        End {
            latency: end.latency.max(100),
            ..end
        }
    }

    fn end_of_attempt(
        &mut self,
        now: Micros,
        function: FunctionId,
        on_miss: OnMiss,
        time_left: Micros,
        random: &mut Random,
    ) -> End {
        let timeout = time_left + random.below(2) * 20 * MILLISECOND;
        match self.mode {
            Mode::Hung => return End::plain(Outcome::Timeout, timeout),
            Mode::Refusing => return End::plain(Outcome::ConnectFailed, MILLISECOND),
            Mode::Resetting if random.percent(60) => {
                return End::plain(Outcome::Reset, random.below(30) * MILLISECOND)
            }
            Mode::Limiting if random.percent(70) => {
                return End::plain(Outcome::Rejected, 250 * MILLISECOND)
            }
            _ => {}
        }
        let function_in_flight = self
            .in_flight_by_function
            .get(&function)
            .copied()
            .unwrap_or(0)
            + self.others_in_flight / 2;
        if self.in_flight + self.others_in_flight >= self.max_in_flight {
            // A full worker rejects at once, and a limit of the class after a delay.
            let latency = if random.percent(15) {
                250 * MILLISECOND
            } else {
                2 * MILLISECOND
            };
            return End {
                function_in_flight,
                ..End::plain(Outcome::Rejected, latency)
            };
        }
        match random.below(200) {
            0 => return End::plain(Outcome::NotSent, MILLISECOND),
            1 | 2 => return End::plain(Outcome::Error, 5 * MILLISECOND),
            3 => return End::plain(Outcome::Timeout, timeout),
            _ => {}
        }
        let slowness = if self.mode == Mode::Slow { 6 } else { 1 };
        let run = run_time(function) * slowness * u64::from(4 + self.in_flight) / 4;
        let run = run + random.below(10 * MILLISECOND);
        let (copy_start, wait) = match self.copies.get(&function).copied() {
            Some(copies) if copies.ready_at <= now => (CopyStart::Warm, 0),
            Some(copies) => (CopyStart::Joined, copies.ready_at - now),
            None if on_miss == OnMiss::Reject => return End::plain(Outcome::Miss, 2 * MILLISECOND),
            None if random.percent(6) => {
                return End {
                    copy_start: Some(CopyStart::LoadFailed),
                    ..End::plain(Outcome::Error, 80 * MILLISECOND)
                }
            }
            None => {
                self.begin_load(now, function);
                (CopyStart::Triggered, load_time(function))
            }
        };
        if run + wait > time_left {
            return End {
                function_in_flight,
                ..End::plain(Outcome::Timeout, timeout)
            };
        }
        End {
            outcome: Outcome::Ok,
            latency: run + wait,
            copy_start: Some(copy_start),
            function_in_flight,
        }
    }

    /// Ends an attempt.
    pub fn end_attempt(&mut self, function: FunctionId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_by_function
            .entry(function)
            .and_modify(|count| *count = count.saturating_sub(1));
    }

    /// Handles a load order. An order for 0 copies only queries the number of ready copies.
    pub fn load(
        &mut self,
        now: Micros,
        function: FunctionId,
        copies: u8,
        timeout: Micros,
        random: &mut Random,
    ) -> End {
        match self.mode {
            Mode::Refusing => return End::plain(Outcome::ConnectFailed, MILLISECOND),
            Mode::Hung => return End::plain(Outcome::Timeout, timeout),
            _ if copies == 0 || self.ready_copies(now, function) > 0 => {
                return End::plain(Outcome::Ok, 2 * MILLISECOND)
            }
            _ => {}
        }
        match random.below(20) {
            0 => End::plain(Outcome::Error, 40 * MILLISECOND),
            1 => End::plain(Outcome::Rejected, 2 * MILLISECOND),
            2 => End::plain(Outcome::Timeout, timeout),
            _ => {
                self.begin_load(now, function);
                End::plain(Outcome::Ok, load_time(function))
            }
        }
    }

    /// Drops the copies of a function.
    pub fn unload(&mut self, function: FunctionId) {
        self.copies.remove(&function);
    }

    fn begin_load(&mut self, now: Micros, function: FunctionId) {
        let ready_at = now + load_time(function);
        self.copies.entry(function).or_insert(Copies {
            count: 1,
            used_at: now,
            ready_at,
        });
        if self.copies.len() > MAX_FUNCTIONS {
            let others = self.copies.iter().filter(|(other, _)| **other != function);
            let oldest = others
                .min_by_key(|(id, copies)| (copies.used_at, **id))
                .map(|(id, _)| *id);
            oldest.into_iter().for_each(|id| self.unload(id));
        }
    }

    fn touch(&mut self, now: Micros, function: FunctionId) {
        let in_flight = self
            .in_flight_by_function
            .get(&function)
            .copied()
            .unwrap_or(0);
        if let Some(copies) = self.copies.get_mut(&function) {
            copies.used_at = now;
            copies.count = copies.count.max(in_flight / 2).clamp(1, 3);
        }
    }
}
