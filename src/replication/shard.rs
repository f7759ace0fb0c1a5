//! One shard at one gateway: what its disk holds, what the log says, and what a copy answers to whoever sends.

use std::collections::VecDeque;
use std::sync::Arc;

use super::error::Declined;
use super::primary::Primary;
use super::sets::ReplicaSet;
use super::wire::{Message, MAX_SNAPSHOT_BYTES};
use super::{Epoch, LogPosition, Name, ShardId};
use crate::api::Micros;

/// A snapshot that is coming.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Coming {
    epoch: Epoch,
    place: LogPosition,
    next: u32,
    bytes: Vec<u8>,
}

/// What is on its way to the disk here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pending {
    /// Under which epoch it came.
    pub epoch: Epoch,
    /// From whom; none if this process leads.
    pub from: Option<Name>,
    /// Where it leads.
    pub place: LogPosition,
    /// Whether it is a snapshot.
    pub whole: bool,
}

/// What a copy does with what it was sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// Say something to whoever sent.
    Say(Message),
    /// Have a record on the disk.
    Store(LogPosition, Arc<[u8]>),
    /// Have a snapshot take the place of what the disk holds.
    Install(LogPosition, Vec<u8>),
    /// An older primary was refused.
    Declined(Declined),
}

/// One shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Shard {
    /// What the log says.
    pub set: ReplicaSet,
    /// The last record that came, on the disk or on its way there.
    pub place: LogPosition,
    /// What is on its way there, in order.
    pub pending: VecDeque<Pending>,
    /// Since when the oldest of it is.
    pub since: Option<Micros>,
    /// The ranges that are not what was written, if the disk was found to be damaged.
    pub unsound: Option<Vec<u8>>,
    /// This process.
    pub process: u64,
    /// Whether it was told that a damaged disk waits for another that has the shard whole.
    pub waiting: bool,
    /// The shard while it is led here.
    pub leading: Option<Primary>,
    coming: Option<Coming>,
    /// Who waits to hear how far the disk has come.
    waits: Option<(Name, Epoch)>,
}

impl Shard {
    /// One that is not known of yet, at a process.
    pub fn of(process: u64) -> Shard {
        Shard {
            process,
            ..Shard::default()
        }
    }

    /// How far the disk has come.
    pub fn stored(&self) -> u64 {
        self.pending.front().map_or(self.place.number, |_| {
            self.pending.front().map_or(0, |p| {
                if p.whole {
                    0
                } else {
                    p.place.number.saturating_sub(1)
                }
            })
        })
    }

    /// Something is on its way to the disk here.
    pub fn push(&mut self, now: Micros, pending: Pending) {
        self.since.get_or_insert(now);
        self.pending.push_back(pending);
    }

    /// Whether the disk here has had nothing to say for so long, although it owes something.
    pub fn is_stuck(&self, now: Micros, stall: Micros) -> bool {
        self.since.is_some_and(|t| t + stall <= now)
    }

    fn epoch_of(
        &self,
        shard: ShardId,
        from: &Name,
        epoch: Epoch,
        without: bool,
    ) -> Result<bool, Declined> {
        if without {
            return Ok(true);
        }
        if epoch < self.set.epoch {
            return Err(Declined::Stale {
                shard,
                theirs: epoch,
                ours: self.set.epoch,
            });
        }
        // Of an epoch that was not heard of here yet: said again until it is.
        Ok(epoch == self.set.epoch && self.set.primary.as_ref() == Some(from))
    }

    /// The primary asks how far this copy has come.
    pub fn asked(
        &mut self,
        shard: ShardId,
        from: &Name,
        epoch: Epoch,
        without: bool,
    ) -> Option<Taken> {
        match self.epoch_of(shard, from, epoch, without) {
            Err(e) => Some(Taken::Declined(e)),
            Ok(false) => None,
            Ok(true) if self.unsound.is_some() => Some(Taken::Say(Message::Corrupt(shard, epoch))),
            Ok(true) if self.pending.is_empty() => Some(Taken::Say(Message::Position(
                shard,
                epoch,
                self.place,
                self.process,
            ))),
            Ok(true) => {
                self.waits = Some((from.clone(), epoch));
                None
            }
        }
    }

    /// A record came.
    #[allow(clippy::too_many_arguments)]
    pub fn record(
        &mut self,
        now: Micros,
        shard: ShardId,
        from: &Name,
        (epoch, before): (Epoch, LogPosition),
        bytes: Vec<u8>,
        without: (bool, bool),
    ) -> Option<Taken> {
        match self.epoch_of(shard, from, epoch, without.0) {
            Err(e) => return Some(Taken::Declined(e)),
            Ok(false) => return None,
            Ok(true) => {}
        }
        let fits = before == self.place || without.1 && before.number == self.place.number;
        if self.leading.is_some() || !fits {
            return self
                .asked(shard, from, epoch, without.0)
                .filter(|_| self.leading.is_none());
        }
        self.coming = None;
        self.place = before.advance(&bytes);
        let (from, place) = (Some(from.clone()), self.place);
        self.push(
            now,
            Pending {
                epoch,
                from,
                place,
                whole: false,
            },
        );
        Some(Taken::Store(self.place, bytes.into()))
    }

    /// A part of a snapshot came.
    #[allow(clippy::too_many_arguments)]
    pub fn part(
        &mut self,
        now: Micros,
        shard: ShardId,
        from: &Name,
        epoch: Epoch,
        place: LogPosition,
        (part, last): (u32, bool),
        bytes: &[u8],
        without: bool,
    ) -> Vec<Taken> {
        match self.epoch_of(shard, from, epoch, without) {
            Err(e) => return vec![Taken::Declined(e)],
            Ok(false) => return Vec::new(),
            Ok(true) if self.leading.is_some() => return Vec::new(),
            Ok(true) => {}
        }
        if part == 0 {
            self.coming = Some(Coming {
                epoch,
                place,
                next: 0,
                bytes: Vec::new(),
            });
        }
        let of = |c: &&mut Coming| c.epoch == epoch && c.place == place;
        let Some(coming) = self.coming.as_mut().filter(of) else {
            return Vec::new();
        };
        if part > coming.next {
            return Vec::new();
        }
        let took = Taken::Say(Message::SnapshotPartReceived(shard, epoch, part));
        if part < coming.next {
            return vec![took];
        }
        if coming.bytes.len() + bytes.len() > MAX_SNAPSHOT_BYTES {
            self.coming = None;
            return vec![Taken::Declined(Declined::TooLong {
                shard,
                most: MAX_SNAPSHOT_BYTES,
            })];
        }
        coming.bytes.extend(bytes);
        coming.next += 1;
        if !last {
            return vec![took];
        }
        let bytes = std::mem::take(&mut coming.bytes);
        self.coming = None;
        self.place = place;
        self.push(
            now,
            Pending {
                epoch,
                from: Some(from.clone()),
                place,
                whole: true,
            },
        );
        vec![took, Taken::Install(place, bytes)]
    }

    /// The oldest that was on its way is on the disk: what it was, and what is to be said to whom.
    pub fn kept(
        &mut self,
        now: Micros,
        shard: ShardId,
        without: bool,
    ) -> (Option<Pending>, Vec<(Name, Message)>) {
        let Some(done) = self.pending.pop_front() else {
            return (None, Vec::new());
        };
        self.since = (!self.pending.is_empty()).then_some(now);
        if done.whole {
            // All of it was written anew.
            (self.unsound, self.waiting) = (None, false);
        }
        let mut said = Vec::new();
        // What came under an older epoch is told by its place only, which whoever leads now compares.
        let counts = self.leading.is_none()
            && self.unsound.is_none()
            && (without || done.epoch == self.set.epoch);
        if let Some(from) = done.from.clone().filter(|_| counts) {
            said.push((
                from,
                Message::Acknowledge(shard, done.epoch, done.place.number, self.process),
            ));
        }
        if self.pending.is_empty() {
            if let Some((to, epoch)) = self.waits.take() {
                if epoch == self.set.epoch && self.leading.is_none() && self.unsound.is_none() {
                    said.push((to, Message::Position(shard, epoch, self.place, self.process)));
                }
            }
        }
        (Some(done), said)
    }
}
