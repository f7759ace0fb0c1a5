//! The workers of a recorded stream: what becomes of an attempt or an order at one of them.

use std::collections::BTreeMap;

use molelug::api::{
    CellId, CopyStart, FunctionId, LoadReport, Micros, OnMiss, Outcome, WorkerEntry, WorkerId,
    WorkerStatus, ZoneId,
};

use crate::combinations::MILLISECOND;
use crate::random::Random;

/// Functions that a worker holds at once; the one used longest ago is evicted.
const MAX_FUNCTIONS: usize = 4;

/// How a worker behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Healthy,
    Slow,
    Hung,
    Refusing,
    Resetting,
    /// It turns most calls away after a while: a limit of their class.
    Limiting,
}

/// Copies of one function.
#[derive(Clone, Copy, Debug)]
struct Copies {
    count: u32,
    used_at: Micros,
    /// From when on they stand.
    ready_at: Micros,
}

/// A worker.
pub struct Worker {
    pub id: WorkerId,
    pub status: WorkerStatus,
    pub started: Option<Micros>,
    pub mode: Mode,
    /// Requests that other instances have there.
    pub others: u32,
    zone: ZoneId,
    cell: CellId,
    inflight: u32,
    max_inflight: u32,
    busy: BTreeMap<FunctionId, u32>,
    copies: BTreeMap<FunctionId, Copies>,
}

/// How something at a worker will end.
pub struct End {
    pub outcome: Outcome,
    pub latency: Micros,
    pub warmth: Option<CopyStart>,
    /// Requests of the function there before this one.
    pub crowd: u32,
}

impl End {
    fn plain(outcome: Outcome, latency: Micros) -> End {
        End {
            outcome,
            latency,
            warmth: None,
            crowd: 0,
        }
    }
}

/// A function's usual run time.
fn run_time(function: FunctionId) -> Micros {
    (15 + function.0 % 7 * 25) * MILLISECOND
}

/// A function's usual time to load.
pub fn load_time(function: FunctionId) -> Micros {
    (200 + function.0 % 5 * 150) * MILLISECOND
}

impl Worker {
    /// One of the first list.
    pub fn new(number: u32, started: Option<Micros>) -> Worker {
        Worker {
            id: WorkerId(number.wrapping_mul(0x0101_6b35)),
            status: WorkerStatus::Ready,
            started,
            mode: Mode::Healthy,
            others: 0,
            zone: ZoneId((number % 3) as u8),
            cell: CellId((number % 6) as u16),
            inflight: 0,
            max_inflight: 6 + number % 11,
            busy: BTreeMap::new(),
            copies: BTreeMap::new(),
        }
    }

    /// Its line of the list.
    pub fn member(&self) -> WorkerEntry {
        WorkerEntry {
            worker: self.id,
            zone: self.zone,
            cell: self.cell,
            status: self.status,
            capacity: 1.0,
            started_at: self.started,
        }
    }

    /// Its process begins anew: no copy stands.
    pub fn restart(&mut self, now: Micros) {
        self.started = Some(now);
        self.mode = Mode::Healthy;
        self.copies.clear();
    }

    /// Copies of a function that stand.
    pub fn standing(&self, now: Micros, function: FunctionId) -> u32 {
        self.copies
            .get(&function)
            .filter(|c| c.ready_at <= now)
            .map_or(0, |c| c.count)
    }

    /// A report of its load.
    pub fn report(&self, random: &mut Random) -> Option<LoadReport> {
        let held = self.inflight + self.others;
        let inflight = Some(held as f32);
        match random.below(4) {
            0 => None,
            1 => Some(LoadReport {
                in_flight: inflight,
                ..LoadReport::default()
            }),
            2 => Some(LoadReport {
                cpu_utilization: Some(0.5),
                ..LoadReport::default()
            }),
            _ => Some(LoadReport {
                queued: Some(held.saturating_sub(4) as f32),
                in_flight: inflight,
                cpu_utilization: Some(held as f32 / 8.0),
                pinned_memory: Some(0.25),
                active_loads: Some(self.copies.len() as f32),
            }),
        }
    }

    /// Takes an attempt; `time_left` is that of its client.
    pub fn send(
        &mut self,
        now: Micros,
        function: FunctionId,
        on_miss: OnMiss,
        time_left: Micros,
        random: &mut Random,
    ) -> End {
        let end = self.end_of_attempt(now, function, on_miss, time_left, random);
        self.inflight += 1;
        *self.busy.entry(function).or_default() += 1;
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
        let late = time_left + random.below(2) * 20 * MILLISECOND;
        match self.mode {
            Mode::Hung => return End::plain(Outcome::Timeout, late),
            Mode::Refusing => return End::plain(Outcome::ConnectFailed, MILLISECOND),
            Mode::Resetting if random.percent(60) => {
                return End::plain(Outcome::Reset, random.below(30) * MILLISECOND)
            }
            Mode::Limiting if random.percent(70) => {
                return End::plain(Outcome::Rejected, 250 * MILLISECOND)
            }
            _ => {}
        }
        let crowd = self.busy.get(&function).copied().unwrap_or(0) + self.others / 2;
        if self.inflight + self.others >= self.max_inflight {
            // At once, or after a while: a limit of the class.
            let latency = if random.percent(15) {
                250 * MILLISECOND
            } else {
                2 * MILLISECOND
            };
            return End {
                crowd,
                ..End::plain(Outcome::Rejected, latency)
            };
        }
        match random.below(200) {
            0 => return End::plain(Outcome::NotSent, MILLISECOND),
            1 | 2 => return End::plain(Outcome::Error, 5 * MILLISECOND),
            3 => return End::plain(Outcome::Timeout, late),
            _ => {}
        }
        let slowness = if self.mode == Mode::Slow { 6 } else { 1 };
        let run = run_time(function) * slowness * u64::from(4 + self.inflight) / 4;
        let run = run + random.below(10 * MILLISECOND);
        let (warmth, wait) = match self.copies.get(&function).copied() {
            Some(copies) if copies.ready_at <= now => (CopyStart::Warm, 0),
            Some(copies) => (CopyStart::Joined, copies.ready_at - now),
            None if on_miss == OnMiss::Reject => return End::plain(Outcome::Miss, 2 * MILLISECOND),
            None if random.percent(6) => {
                return End {
                    warmth: Some(CopyStart::LoadFailed),
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
                crowd,
                ..End::plain(Outcome::Timeout, late)
            };
        }
        End {
            outcome: Outcome::Ok,
            latency: run + wait,
            warmth: Some(warmth),
            crowd,
        }
    }

    /// An attempt there has ended.
    pub fn ended(&mut self, function: FunctionId) {
        self.inflight = self.inflight.saturating_sub(1);
        self.busy
            .entry(function)
            .and_modify(|count| *count = count.saturating_sub(1));
    }

    /// Takes an order to load; one for no copies only asks how many stand.
    pub fn load(
        &mut self,
        now: Micros,
        function: FunctionId,
        copies: u8,
        order_limit: Micros,
        random: &mut Random,
    ) -> End {
        match self.mode {
            Mode::Refusing => return End::plain(Outcome::ConnectFailed, MILLISECOND),
            Mode::Hung => return End::plain(Outcome::Timeout, order_limit),
            _ if copies == 0 || self.standing(now, function) > 0 => {
                return End::plain(Outcome::Ok, 2 * MILLISECOND)
            }
            _ => {}
        }
        match random.below(20) {
            0 => End::plain(Outcome::Error, 40 * MILLISECOND),
            1 => End::plain(Outcome::Rejected, 2 * MILLISECOND),
            2 => End::plain(Outcome::Timeout, order_limit),
            _ => {
                self.begin_load(now, function);
                End::plain(Outcome::Ok, load_time(function))
            }
        }
    }

    /// Lets go of a function.
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
        let crowd = self.busy.get(&function).copied().unwrap_or(0);
        if let Some(copies) = self.copies.get_mut(&function) {
            copies.used_at = now;
            copies.count = copies.count.max(crowd / 2).clamp(1, 3);
        }
    }
}
