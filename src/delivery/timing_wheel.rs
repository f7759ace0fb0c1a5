//! A hierarchical timer wheel: the deadlines of all that waits, in memory that does not move.
//!
//! Six levels of 64 slots; a slot of one level is as long as all slots of the level below. An entry
//! hangs in the level that its distance asks for and sinks as its time comes nearer, so that
//! inserting and cancelling take the same few steps however many there are. Times are kept to the
//! microsecond: an entry is never told early, and those that fall due together are told in the
//! order of their times.

use crate::api::Micros;

/// Slots of a level; the bits of one word.
const SLOTS: usize = 64;
const LEVELS: usize = 6;
/// How long a slot of the lowest level is, as a power of two: 16.384 ms.
const SHIFT: u32 = 14;
const BITS: u32 = 6;
const NONE: u32 = u32::MAX;

/// Names an entry until it is told or cancelled; a stale one names nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct TimerNode<T> {
    at: Micros,
    value: Option<T>,
    next: u32,
    back: u32,
    turn: u32,
    /// Where it hangs: level and slot.
    home: (u8, u8),
}

/// The wheel.
#[derive(Debug)]
pub struct TimingWheel<T> {
    /// The tick up to which all has been told.
    expired_until: u64,
    heads: [[u32; SLOTS]; LEVELS],
    used: [u64; LEVELS],
    nodes: Vec<TimerNode<T>>,
    free: u32,
    len: usize,
}

impl<T> TimingWheel<T> {
    /// An empty wheel whose time begins at `now`, in microseconds.
    pub fn new(now: Micros) -> TimingWheel<T> {
        TimingWheel {
            expired_until: now >> SHIFT,
            heads: [[NONE; SLOTS]; LEVELS],
            used: [0; LEVELS],
            nodes: Vec::new(),
            free: NONE,
            len: 0,
        }
    }

    /// How many entries hang.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Hangs a value up to be told at `at`; a time that has passed falls due with the next call.
    pub fn insert(&mut self, at: Micros, value: T) -> TimerKey {
        let place = if self.free == NONE {
            self.nodes.push(TimerNode {
                at,
                value: None,
                next: NONE,
                back: NONE,
                turn: 0,
                home: (0, 0),
            });
            (self.nodes.len() - 1) as u32
        } else {
            let place = self.free;
            self.free = self.nodes[place as usize].next;
            place
        };
        let node = &mut self.nodes[place as usize];
        (node.at, node.value) = (at, Some(value));
        let turn = node.turn;
        self.len += 1;
        self.link(place);
        TimerKey {
            index: place,
            generation: turn,
        }
    }

    /// Takes an entry away; its value, if it still hung.
    pub fn cancel(&mut self, timer: TimerKey) -> Option<T> {
        let node = self
            .nodes
            .get(timer.index as usize)
            .filter(|n| n.turn == timer.generation)?;
        node.value.as_ref()?;
        self.unlink(timer.index);
        self.release(timer.index)
    }

    /// A time at or before which nothing falls due, and at which [`TimingWheel::expire`] is to be
    /// called; none while nothing hangs. It is the exact time of an entry when that is near, else
    /// when one comes nearer.
    pub fn next_deadline(&self) -> Option<Micros> {
        for level in 0..LEVELS {
            if self.used[level] == 0 {
                continue;
            }
            let shift = BITS * level as u32;
            let now = self.expired_until >> shift;
            let ahead = u64::from(
                self.used[level]
                    .rotate_right((now % 64) as u32)
                    .trailing_zeros(),
            );
            if level > 0 {
                return Some(((now + ahead) << shift) << SHIFT);
            }
            let mut at = self.heads[0][((now + ahead) % 64) as usize];
            let mut first = Micros::MAX;
            while at != NONE {
                first = first.min(self.nodes[at as usize].at);
                at = self.nodes[at as usize].next;
            }
            return Some(first);
        }
        None
    }

    /// Takes off all that is due at `now`, in the order of time.
    pub fn expire(&mut self, now: Micros, told: &mut Vec<(Micros, T)>) {
        let (target, begin) = (now >> SHIFT, told.len());
        loop {
            self.take(now, told);
            if self.expired_until >= target {
                break;
            }
            // Nothing is left in this tick: on to the next one in which anything happens.
            let next = self
                .next_deadline()
                .map_or(target, |t| (t >> SHIFT).max(self.expired_until + 1))
                .min(target);
            let crossed = self.expired_until ^ next;
            self.expired_until = next;
            for level in (1..LEVELS).rev() {
                if crossed >> (BITS * level as u32) != 0 {
                    self.sink(level);
                }
            }
        }
        told[begin..].sort_by_key(|(at, _)| *at);
    }

    /// Takes what is due out of the present tick's slot.
    fn take(&mut self, now: Micros, told: &mut Vec<(Micros, T)>) {
        let mut at = self.heads[0][(self.expired_until % 64) as usize];
        while at != NONE {
            let next = self.nodes[at as usize].next;
            if self.nodes[at as usize].at <= now {
                let due = self.nodes[at as usize].at;
                self.unlink(at);
                told.extend(self.release(at).map(|value| (due, value)));
            }
            at = next;
        }
    }

    /// Hangs the entries of a level's present slot anew, further down.
    fn sink(&mut self, level: usize) {
        let slot = ((self.expired_until >> (BITS * level as u32)) % 64) as usize;
        let mut at = std::mem::replace(&mut self.heads[level][slot], NONE);
        self.used[level] &= !(1 << slot);
        while at != NONE {
            let next = self.nodes[at as usize].next;
            self.link(at);
            at = next;
        }
    }

    fn link(&mut self, place: u32) {
        let tick = (self.nodes[place as usize].at >> SHIFT).max(self.expired_until);
        let differ = (tick ^ self.expired_until) >> BITS;
        let level =
            (((64 - differ.leading_zeros()) as usize).div_ceil(BITS as usize)).min(LEVELS - 1);
        // What is further off than the wheel reaches hangs in its last slot and sinks again and
        // again.
        let shift = BITS * level as u32;
        let most = (self.expired_until >> shift) + 63;
        let slot = ((tick >> shift).min(most) % 64) as usize;
        let head = self.heads[level][slot];
        let node = &mut self.nodes[place as usize];
        (node.next, node.back, node.home) = (head, NONE, (level as u8, slot as u8));
        if head != NONE {
            self.nodes[head as usize].back = place;
        }
        self.heads[level][slot] = place;
        self.used[level] |= 1 << slot;
    }

    fn unlink(&mut self, place: u32) {
        let node = &self.nodes[place as usize];
        let (next, back, (level, slot)) = (node.next, node.back, node.home);
        if next != NONE {
            self.nodes[next as usize].back = back;
        }
        if back != NONE {
            self.nodes[back as usize].next = next;
        } else {
            self.heads[level as usize][slot as usize] = next;
            if next == NONE {
                self.used[level as usize] &= !(1 << slot);
            }
        }
    }

    fn release(&mut self, place: u32) -> Option<T> {
        let free = self.free;
        let node = &mut self.nodes[place as usize];
        node.turn = node.turn.wrapping_add(1);
        node.next = free;
        self.free = place;
        self.len -= 1;
        node.value.take()
    }

    /// Bytes that the wheel holds, whatever hangs.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.nodes.capacity() * size_of::<TimerNode<T>>()
    }
}

#[cfg(test)]
mod tests;
