//! Hierarchical timing wheel with reused nodes.
//!
//! Six levels of 64 slots; a slot of one level spans all slots of the level below. The distance of
//! an entry's deadline selects its level, and the entry moves to lower levels as the deadline
//! approaches. Inserting and cancelling therefore take constant time, whatever the number of
//! entries. Deadlines have microsecond resolution: no entry expires early, and entries that expire
//! together are returned in the order of their deadlines.

use crate::api::Micros;

/// Slots per level: the bits of one word of `occupied`.
const SLOTS: usize = 64;
const LEVELS: usize = 6;
/// Length of a tick, the span of a slot of the lowest level, as a power of two in microseconds:
/// 16.384 ms.
const TICK_SHIFT: u32 = 14;
/// Bits of a tick that select the slot of a level.
const SLOT_BITS: u32 = 6;
/// Node index that marks the end of a list.
const NO_NODE: u32 = u32::MAX;

/// Identifies an entry until it expires or is cancelled. A stale key matches no entry.
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
    previous: u32,
    /// Number of times the node was released; a key of an earlier use does not match.
    generation: u32,
    /// Level and slot of the list that contains the node.
    location: (u8, u8),
}

/// Timers with a value each.
#[derive(Debug)]
pub struct TimingWheel<T> {
    /// The current tick. Every entry of an earlier tick has expired.
    current_tick: u64,
    /// First node of each slot's list.
    heads: [[u32; SLOTS]; LEVELS],
    /// Bit set of the non-empty slots of each level.
    occupied: [u64; LEVELS],
    nodes: Vec<TimerNode<T>>,
    /// First node of the list of free nodes.
    free: u32,
    len: usize,
}

impl<T> TimingWheel<T> {
    /// Creates an empty wheel whose time begins at `now`, in microseconds.
    pub fn new(now: Micros) -> TimingWheel<T> {
        TimingWheel {
            current_tick: now >> TICK_SHIFT,
            heads: [[NO_NODE; SLOTS]; LEVELS],
            occupied: [0; LEVELS],
            nodes: Vec::new(),
            free: NO_NODE,
            len: 0,
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the wheel has no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Inserts a value that expires at `at`. A deadline in the past expires with the next call of
    /// [`TimingWheel::expire`].
    pub fn insert(&mut self, at: Micros, value: T) -> TimerKey {
        let node_index = if self.free == NO_NODE {
            self.nodes.push(TimerNode {
                at,
                value: None,
                next: NO_NODE,
                previous: NO_NODE,
                generation: 0,
                location: (0, 0),
            });
            (self.nodes.len() - 1) as u32
        } else {
            let node_index = self.free;
            self.free = self.nodes[node_index as usize].next;
            node_index
        };
        let node = &mut self.nodes[node_index as usize];
        (node.at, node.value) = (at, Some(value));
        let node_generation = node.generation;
        self.len += 1;
        self.link(node_index);
        TimerKey {
            index: node_index,
            generation: node_generation,
        }
    }

    /// Cancels an entry. Returns its value, unless the entry has expired or was cancelled.
    pub fn cancel(&mut self, timer: TimerKey) -> Option<T> {
        let node = self
            .nodes
            .get(timer.index as usize)
            .filter(|n| n.generation == timer.generation)?;
        node.value.as_ref()?;
        self.unlink(timer.index);
        self.release(timer.index)
    }

    /// Returns when to call [`TimingWheel::expire`] next; none if the wheel is empty. No entry
    /// expires before that time. It is the earliest deadline if the lowest level has an entry, and
    /// otherwise the time at which entries move to a lower level.
    pub fn next_deadline(&self) -> Option<Micros> {
        for level in 0..LEVELS {
            if self.occupied[level] == 0 {
                continue;
            }
            let shift = SLOT_BITS * level as u32;
            let now = self.current_tick >> shift;
            let ahead = u64::from(
                self.occupied[level]
                    .rotate_right((now % 64) as u32)
                    .trailing_zeros(),
            );
            if level > 0 {
                return Some(((now + ahead) << shift) << TICK_SHIFT);
            }
            let mut node_index = self.heads[0][((now + ahead) % 64) as usize];
            let mut first = Micros::MAX;
            while node_index != NO_NODE {
                first = first.min(self.nodes[node_index as usize].at);
                node_index = self.nodes[node_index as usize].next;
            }
            return Some(first);
        }
        None
    }

    /// Removes all entries that are due at `now` and appends them in the order of their deadlines.
    pub fn expire(&mut self, now: Micros, expired: &mut Vec<(Micros, T)>) {
        let (target_tick, begin) = (now >> TICK_SHIFT, expired.len());
        loop {
            self.take_due(now, expired);
            if self.current_tick >= target_tick {
                break;
            }
            // The current tick has no more due entries: skip to the next tick with work.
            let next = self
                .next_deadline()
                .map_or(target_tick, |t| {
                    (t >> TICK_SHIFT).max(self.current_tick + 1)
                })
                .min(target_tick);
            let crossed = self.current_tick ^ next;
            self.current_tick = next;
            for level in (1..LEVELS).rev() {
                if crossed >> (SLOT_BITS * level as u32) != 0 {
                    self.cascade(level);
                }
            }
        }
        expired[begin..].sort_by_key(|(at, _)| *at);
    }

    /// Removes the due entries from the current tick's slot.
    fn take_due(&mut self, now: Micros, expired: &mut Vec<(Micros, T)>) {
        let mut node_index = self.heads[0][(self.current_tick % 64) as usize];
        while node_index != NO_NODE {
            let next = self.nodes[node_index as usize].next;
            if self.nodes[node_index as usize].at <= now {
                let due = self.nodes[node_index as usize].at;
                self.unlink(node_index);
                expired.extend(self.release(node_index).map(|value| (due, value)));
            }
            node_index = next;
        }
    }

    /// Moves the entries of a level's current slot to lower levels.
    fn cascade(&mut self, level: usize) {
        let slot = ((self.current_tick >> (SLOT_BITS * level as u32)) % 64) as usize;
        let mut node_index = std::mem::replace(&mut self.heads[level][slot], NO_NODE);
        self.occupied[level] &= !(1 << slot);
        while node_index != NO_NODE {
            let next = self.nodes[node_index as usize].next;
            self.link(node_index);
            node_index = next;
        }
    }

    fn link(&mut self, node_index: u32) {
        let tick = (self.nodes[node_index as usize].at >> TICK_SHIFT).max(self.current_tick);
        let differ = (tick ^ self.current_tick) >> SLOT_BITS;
        let level =
            (((64 - differ.leading_zeros()) as usize).div_ceil(SLOT_BITS as usize)).min(LEVELS - 1);
        // An entry beyond the range of the wheel goes to the last slot of the top level and is
        // linked again each time that slot is reached.
        let shift = SLOT_BITS * level as u32;
        let last_slot_tick = (self.current_tick >> shift) + 63;
        let slot = ((tick >> shift).min(last_slot_tick) % 64) as usize;
        let head = self.heads[level][slot];
        let node = &mut self.nodes[node_index as usize];
        (node.next, node.previous, node.location) = (head, NO_NODE, (level as u8, slot as u8));
        if head != NO_NODE {
            self.nodes[head as usize].previous = node_index;
        }
        self.heads[level][slot] = node_index;
        self.occupied[level] |= 1 << slot;
    }

    fn unlink(&mut self, node_index: u32) {
        let node = &self.nodes[node_index as usize];
        let (next, previous, (level, slot)) = (node.next, node.previous, node.location);
        if next != NO_NODE {
            self.nodes[next as usize].previous = previous;
        }
        if previous != NO_NODE {
            self.nodes[previous as usize].next = next;
        } else {
            self.heads[level as usize][slot as usize] = next;
            if next == NO_NODE {
                self.occupied[level as usize] &= !(1 << slot);
            }
        }
    }

    fn release(&mut self, node_index: u32) -> Option<T> {
        let free = self.free;
        let node = &mut self.nodes[node_index as usize];
        node.generation = node.generation.wrapping_add(1);
        node.next = free;
        self.free = node_index;
        self.len -= 1;
        node.value.take()
    }

    /// Returns the allocated size in bytes, including free nodes.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.nodes.capacity() * size_of::<TimerNode<T>>()
    }
}

#[cfg(test)]
mod tests;
