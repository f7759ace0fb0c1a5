//! One gateway's part in all shards, as one value: copy of some, primary of others, and whoever has a question for a primary.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::config::Settings;
use super::error::{Declined, ReplicationError};
use super::history::{short_digest, HistoryEvent};
use super::placement;
use super::primary::{fits, CommitWaiter, Primary, MOST_OWED};
use super::sets::{Disk, Entry, MembershipChange, ReplicaSet, ReplicaSets};
use super::shard::{Pending, Shard, Taken};
use super::wire::{Message, RequestOutcome, MAX_RECORD_BYTES};
use super::{Epoch, LogPosition, Name, ShardId};
use crate::api::Micros;

mod agreed;
mod integrity;
mod records;

/// Questions to other gateways under way at most.
pub const MAX_FORWARDED_REQUESTS: usize = 4096;
/// So many times the stall a set that owes its word waits for another to come before it is left smaller.
const GIVES_UP: Micros = 10;

/// What happens.
#[derive(Clone, Debug)]
pub enum Input {
    /// The disk here was begun: which it is, and how far each shard on it has come.
    Disk {
        /// Its number.
        id: u64,
        /// How often it was begun.
        incarnation: u64,
        /// The shards on it.
        positions: BTreeMap<ShardId, LogPosition>,
    },
    /// What is agreed has changed.
    SetsChanged(Arc<ReplicaSets>),
    /// Another gateway said something.
    Received(Name, Message),
    /// The connection to another has ended.
    Disconnected(Name),
    /// Something is to be promised by this gateway, which leads; `want` disks are asked for.
    Append {
        /// In which shard.
        shard: ShardId,
        /// Where the promise is told.
        waiter: CommitWaiter,
        /// The record.
        record: Vec<u8>,
        /// How many disks it asks for; 0 for as many as there are.
        min_replicas: usize,
    },
    /// The oldest of a shard's that was on its way to the disk is there.
    Persisted(ShardId),
    /// What the disk holds of a shard, asked for by [`Output::Read`].
    SnapshotRead(ShardId, Name, LogPosition, Vec<u8>),
    /// The disk was not read for a copy.
    SnapshotReadFailed(ShardId, Name),
    /// What the disk was looked at for: the ranges of each shard on it that are not what was written; none if it could not be
    /// read.
    Verified(Option<Vec<(ShardId, Vec<u8>)>>),
    /// Ranges of a shard were found not to be what was written.
    Corrupt(ShardId, Vec<u8>),
    /// What is left of a shard counts from here on.
    DamageAccepted(ShardId),
    /// A question for a shard's primary.
    Request {
        /// Which shard.
        shard: ShardId,
        /// Of whoever asks here.
        waiter: CommitWaiter,
        /// What.
        bytes: Vec<u8>,
    },
    /// The answer to a question that came from another.
    Respond(Name, u64, RequestOutcome),
    /// The process is about to end: what it leads is handed to others that have all of it.
    GracefulShutdown,
    /// A deadline fell due.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Say something to another gateway; it may get lost.
    Send(Name, Message),
    /// Have an entry agreed; it may get lost.
    Propose(Entry),
    /// Have a record on the disk, behind all before it; report it by [`Input::PersistentState`]. With the ticket, if it is led here.
    StoreRecord(ShardId, LogPosition, Arc<[u8]>, Option<CommitWaiter>),
    /// Have a snapshot take the place of what the disk holds; report it likewise.
    InstallSnapshot(ShardId, LogPosition, Vec<u8>),
    /// Read what the disk holds of a shard, for a copy.
    ReadSnapshot(ShardId, Name),
    /// Look at whether the disk still holds what was written, beside all else.
    VerifyDisk,
    /// No other disk has a shard that is damaged here: let what is left of it count.
    AcceptDamage(ShardId),
    /// A record is promised, on so many disks.
    Committed(CommitWaiter, usize),
    /// It is not.
    Rejected(CommitWaiter, ReplicationError),
    /// This process leads a shard from here on.
    BecomePrimary(ShardId, Epoch),
    /// It does so no more.
    StepDown(ShardId),
    /// A question for this primary: whose, and its number there.
    HandleRequest(ShardId, Name, u64, Vec<u8>),
    /// A question of one's own is answered.
    Response(CommitWaiter, RequestOutcome),
    /// The disk here is not the one that it was: its content counts for nothing, and it needs a number of its own.
    DiskRejected,
    /// Something to be recorded.
    RecordEvent(HistoryEvent),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Question {
    ticket: CommitWaiter,
    shard: ShardId,
    until: Micros,
}

/// One gateway's part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replicator {
    settings: Settings,
    disk: Option<Disk>,
    /// Whether the log knows this process as the one that has its disk.
    known: bool,
    sets: Arc<ReplicaSets>,
    /// The process of each name whose words count.
    processes: BTreeMap<Name, u64>,
    shards: BTreeMap<ShardId, Shard>,
    heard: BTreeMap<Name, Micros>,
    /// Since when somebody who was left out may come back.
    calm: BTreeMap<Name, Micros>,
    asked: BTreeMap<u64, Question>,
    questions: u64,
    proposed: Micros,
    beat: Micros,
    ticked: Micros,
    /// When the disk is looked at next; none while it is.
    verify: Option<Micros>,
    /// Whether the process is about to end.
    leaving: bool,
    outputs: VecDeque<Output>,
}

impl Replicator {
    /// Knows nothing yet.
    pub fn new(settings: Settings, now: Micros) -> Replicator {
        let heard = settings
            .hosts
            .iter()
            .map(|h| (h.name.clone(), now))
            .collect();
        Replicator {
            shards: (1..=settings.shards)
                .map(|s| (s, Shard::of(settings.process)))
                .collect(),
            settings,
            disk: None,
            known: false,
            sets: Arc::default(),
            processes: BTreeMap::new(),
            heard,
            calm: BTreeMap::new(),
            asked: BTreeMap::new(),
            questions: 0,
            proposed: 0,
            beat: 0,
            ticked: now,
            verify: Some(now),
            leaving: false,
            outputs: VecDeque::new(),
        }
    }

    /// The next thing to be done, if any.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Those with whom it keeps a connection.
    pub fn peers(&self) -> impl Iterator<Item = &Name> {
        self.settings
            .hosts
            .iter()
            .map(|h| &h.name)
            .filter(|n| **n != self.settings.name)
    }

    /// When `Tick` is due.
    pub fn next_deadline(&self) -> Micros {
        self.ticked + self.settings.failure_timeout / 8
    }

    /// Whether this process leads any shard.
    pub fn is_any_primary(&self) -> bool {
        self.shards.values().any(|s| s.leading.is_some())
    }

    /// Whether this process leads a shard.
    pub fn is_primary(&self, shard: ShardId) -> bool {
        self.shards.get(&shard).is_some_and(|s| s.leading.is_some())
    }

    /// The shards, for those who look.
    pub fn shards(&self) -> &BTreeMap<ShardId, Shard> {
        &self.shards
    }

    /// What is asked of it.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    fn say(&mut self, to: Name, body: Message) {
        self.outputs.push_back(Output::Send(to, body));
    }

    fn note(&mut self, note: HistoryEvent) {
        self.outputs.push_back(Output::RecordEvent(note));
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Disk { id, incarnation: boot, positions: places } => {
                self.disk = Some(Disk {
                    id,
                    incarnation: boot,
                    process: self.settings.process,
                });
                self.known = false;
                for (id, place) in places {
                    if let Some(s) = self.shards.get_mut(&id) {
                        s.place = place;
                    }
                }
                self.look_at_disk(now);
                self.take_up(now);
            }
            Input::SetsChanged(sets) => {
                self.sets = sets;
                self.look_at_disk(now);
                self.take_up(now);
            }
            Input::Received(from, body) => self.frame(now, from, body),
            Input::Disconnected(name) => {
                for s in self.shards.values_mut() {
                    if let Some(l) = &mut s.leading {
                        l.lost(&name);
                    }
                }
            }
            Input::Append {
                shard,
                waiter: ticket,
                record: bytes,
                min_replicas: want,
            } => self.append(now, shard, ticket, bytes, want),
            Input::Persisted(shard) => self.kept(now, shard),
            Input::SnapshotRead(shard, to, place, bytes) => {
                if let Some(l) = self.shards.get_mut(&shard).and_then(|s| s.leading.as_mut()) {
                    l.read(now, &to, place, bytes.into());
                }
            }
            Input::SnapshotReadFailed(shard, to) => {
                if let Some(l) = self.shards.get_mut(&shard).and_then(|s| s.leading.as_mut()) {
                    l.unread(now, &to);
                }
            }
            Input::Verified(found) => self.verified(now, found),
            Input::Corrupt(shard, ranges) => self.unsound(shard, ranges),
            Input::DamageAccepted(shard) => self.accepted(shard),
            Input::Request {
                shard,
                waiter: ticket,
                bytes,
            } => self.ask(now, shard, ticket, bytes),
            Input::Respond(to, number, told) => {
                if to == self.settings.name {
                    self.told(number, told);
                } else {
                    self.say(to, Message::Reply(number, told));
                }
            }
            Input::GracefulShutdown => {
                self.leaving = true;
                self.tick(now);
            }
            Input::Tick => self.tick(now),
        }
        self.bring_along(now);
    }
}

fn led(shard: ShardId, epoch: Epoch, place: LogPosition, members: &BTreeSet<Name>) -> Output {
    let members = members.iter().cloned().collect();
    Output::RecordEvent(HistoryEvent::BecamePrimary {
        shard,
        epoch,
        number: place.number,
        chain: short_digest(&place.chain),
        members,
    })
}
