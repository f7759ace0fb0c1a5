//! What a shard's primary knows of its records and of those who are to have them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::wire::{Message, MAX_RECORD_BYTES, SNAPSHOT_PART_BYTES};
use super::{Epoch, LogPosition, Name, SequenceNumber, ShardId};
use crate::api::Micros;

/// Bytes of records kept for those who are behind.
pub const MOST_TAIL: usize = 4 << 20;
/// Bytes of records that may wait for other disks.
pub const MOST_OWED: usize = 4 << 20;
/// Records and bytes on their way to one copy at once.
const WINDOW: SequenceNumber = 256;
/// Parts of a snapshot on their way at once.
const PARTS: u32 = 3;

/// Where a record's promise is told.
pub type CommitWaiter = u64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    before: LogPosition,
    bytes: Arc<[u8]>,
    ticket: Option<CommitWaiter>,
    /// On how many disks it is to stand before it is promised.
    want: usize,
}

/// How one copy is brought along.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// It was asked how far it has come.
    Asked,
    /// Records are sent to it, up to this one so far.
    Tail(SequenceNumber),
    /// The disk here is read for it.
    Reads,
    /// A snapshot is sent: as of where, its bytes, the next part and how many it has taken.
    Sends(LogPosition, Arc<[u8]>, u32, u32),
}

/// One copy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// How it is brought along.
    pub step: Step,
    /// All up to this is on its disk, of the history here.
    pub has: SequenceNumber,
    /// Since when it owes a word; none if it owes none.
    pub owes: Option<Micros>,
    /// When it was asked or sent something again last.
    again: Micros,
}

/// A shard while it is led here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Primary {
    shard: ShardId,
    /// Under which epoch.
    pub epoch: Epoch,
    /// The agreed set.
    pub set: BTreeSet<Name>,
    /// Those that a change under this epoch may already have let in: promises wait for them too.
    pub maybe: BTreeSet<Name>,
    /// The last record.
    pub head: LogPosition,
    /// How far this process's own disk has come.
    pub stored: SequenceNumber,
    /// How far all that count have come.
    pub promised: SequenceNumber,
    /// Records up to there that are not told promised, as fewer machines hold the shard than they ask for.
    pub held: usize,
    tail: VecDeque<Record>,
    bytes: usize,
    owed: usize,
    /// Since when it is led; and the members of the set that have not told yet how far they have come. Nothing is taken before.
    began: Micros,
    untold: BTreeSet<Name>,
    /// Whether something is taken.
    pub open: bool,
    /// The copies.
    pub peers: BTreeMap<Name, Peer>,
    /// When a change of the set was last proposed.
    pub proposed: Option<Micros>,
    /// Since when somebody of the set owes its word.
    pub late: Option<Micros>,
}

impl Primary {
    /// Begins under an epoch, with what the disk here holds.
    pub fn new(
        now: Micros,
        me: &Name,
        shard: ShardId,
        (epoch, set): (Epoch, BTreeSet<Name>),
        (head, stored): (LogPosition, SequenceNumber),
    ) -> Primary {
        Primary {
            shard,
            epoch,
            began: now,
            untold: set.iter().filter(|n| *n != me).cloned().collect(),
            open: false,
            set,
            maybe: BTreeSet::new(),
            head,
            stored,
            // What stands here may lack at others; it counts as promised once they have it.
            promised: 0,
            held: 0,
            tail: VecDeque::new(),
            bytes: 0,
            owed: 0,
            peers: BTreeMap::new(),
            proposed: None,
            late: None,
        }
    }

    /// Whether it may be opened: all members that can be heard have told how far they have come, or had long enough to.
    pub fn may_open(&self, now: Micros, stall: Micros, is_heard: impl Fn(&Name) -> bool) -> bool {
        let waits = |n: &&Name| self.set.contains(*n) && is_heard(n);
        !self.open && (self.untold.iter().find(waits).is_none() || self.began + stall <= now)
    }

    /// A member has told how far it has come.
    pub fn told(&mut self, name: &Name) {
        self.untold.remove(name);
    }

    /// The set has changed under the same primary.
    pub fn changed(&mut self, epoch: Epoch, set: BTreeSet<Name>) {
        (self.epoch, self.set, self.proposed) = (epoch, set, None);
        self.maybe.clear();
        for peer in self.peers.values_mut() {
            // What was under way was under the old epoch, and does not count.
            (peer.step, peer.again) = (Step::Asked, 0);
        }
    }

    /// Bytes that wait for other disks.
    pub fn owed(&self) -> usize {
        self.owed
    }

    /// One more record.
    pub fn append(&mut self, bytes: Arc<[u8]>, ticket: CommitWaiter, want: usize) -> LogPosition {
        let before = self.head;
        self.head = before.advance(&bytes);
        self.bytes += bytes.len();
        self.owed += bytes.len();
        self.tail.push_back(Record {
            before,
            bytes,
            ticket: Some(ticket),
            want,
        });
        self.head
    }

    /// How many disks a record is promised on.
    pub fn disks(&self) -> usize {
        self.set.len()
    }

    /// Those whose word a promise waits for, this process apart.
    fn needed<'a>(&'a self, me: &'a Name) -> impl Iterator<Item = &'a Name> {
        self.set
            .iter()
            .chain(self.maybe.difference(&self.set))
            .filter(move |n| *n != me)
    }

    /// What can be promised now: tickets with their places, in order. A set may have become smaller since a record was taken:
    /// one that asks for more disks waits until it is whole again, and holds up nothing behind it.
    pub fn promise(
        &mut self,
        me: &Name,
        (without_all, without_want): (bool, bool),
    ) -> Vec<(CommitWaiter, LogPosition)> {
        let disks = self.disks();
        let has = |n: &Name| self.peers.get(n).map_or(0, |p| p.has);
        let all = self
            .needed(me)
            .map(has)
            .min()
            .unwrap_or(SequenceNumber::MAX);
        let upto = if without_all {
            self.stored
        } else {
            self.stored.min(all)
        };
        let mut told = Vec::new();
        if upto > self.promised || self.held > 0 {
            self.promised = self.promised.max(upto);
            self.held = 0;
            for r in self
                .tail
                .iter_mut()
                .filter(|r| r.before.number < upto && r.ticket.is_some())
            {
                if r.want > disks && !without_want {
                    self.held += 1;
                } else if let Some(ticket) = r.ticket.take() {
                    self.owed -= r.bytes.len();
                    told.push((ticket, r.before.advance(&r.bytes)));
                }
            }
        }
        // The oldest that all have go first; none that somebody is still owed a promise for.
        let over = |r: &Record| r.before.number < self.promised && r.ticket.is_none();
        while self.bytes > MOST_TAIL && self.tail.front().is_some_and(over) {
            if let Some(r) = self.tail.pop_front() {
                self.bytes -= r.bytes.len();
            }
        }
        told
    }

    /// Tickets of what was never promised, for the end.
    pub fn unpromised(&self) -> Vec<CommitWaiter> {
        self.tail.iter().filter_map(|r| r.ticket).collect()
    }

    /// Begins to bring somebody along.
    pub fn meet(&mut self, name: &Name) {
        let peer = Peer {
            step: Step::Asked,
            has: 0,
            owes: None,
            again: 0,
        };
        self.peers.entry(name.clone()).or_insert(peer);
    }

    /// The connection to somebody has ended: it is asked anew.
    pub fn lost(&mut self, name: &Name) {
        if let Some(peer) = self.peers.get_mut(name) {
            (peer.step, peer.again) = (Step::Asked, 0);
        }
    }

    /// Another process has begun under a name: what the one before told counts for nothing.
    pub fn renewed(&mut self, name: &Name) {
        if let Some(peer) = self.peers.get_mut(name) {
            (peer.step, peer.has, peer.again) = (Step::Asked, 0, 0);
        }
    }

    fn chain_at(&self, number: SequenceNumber) -> Option<super::ChainDigest> {
        if number == self.head.number {
            return Some(self.head.chain);
        }
        let first = self.tail.front()?.before.number;
        let at = usize::try_from(number.checked_sub(first)?).ok()?;
        self.tail.get(at).map(|r| r.before.chain)
    }

    /// A copy tells how far it has come; whether the disk here has to be read for it.
    pub fn at(
        &mut self,
        now: Micros,
        name: &Name,
        place: LogPosition,
        without_chain: bool,
    ) -> bool {
        let same = match without_chain {
            true => self.chain_at(place.number).is_some(),
            false => self.chain_at(place.number) == Some(place.chain),
        };
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        if matches!(peer.step, Step::Reads | Step::Sends(..)) && !same {
            return false;
        }
        peer.again = now;
        if same {
            (peer.step, peer.has) = (Step::Tail(place.number), place.number);
            if peer.has >= self.head.number {
                peer.owes = None;
            }
            return false;
        }
        peer.step = Step::Reads;
        true
    }

    /// The disk here was read for a copy.
    pub fn read(&mut self, now: Micros, name: &Name, place: LogPosition, bytes: Arc<[u8]>) {
        if let Some(peer) = self.peers.get_mut(name).filter(|p| p.step == Step::Reads) {
            (peer.step, peer.again) = (Step::Sends(place, bytes, 0, 0), now);
        }
    }

    /// A copy's disk is damaged: it counts for nothing until it has a snapshot. Whether the disk here has to be read for it.
    pub fn unsound(&mut self, now: Micros, name: &Name) -> bool {
        self.untold.remove(name);
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        peer.has = 0;
        peer.owes.get_or_insert(now);
        if matches!(peer.step, Step::Reads | Step::Sends(..)) {
            return false;
        }
        (peer.step, peer.again) = (Step::Reads, now);
        true
    }

    /// The disk here could not be read for a copy.
    pub fn unread(&mut self, now: Micros, name: &Name) {
        if let Some(peer) = self.peers.get_mut(name).filter(|p| p.step == Step::Reads) {
            (peer.step, peer.again) = (Step::Asked, now);
        }
    }

    /// A copy has taken a part of a snapshot.
    pub fn took(&mut self, now: Micros, name: &Name, part: u32) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if let Step::Sends(.., taken) = &mut peer.step {
            *taken = (*taken).max(part + 1);
            peer.again = now;
            peer.owes = Some(now);
        }
    }

    /// A copy has all up to a record on its disk.
    pub fn has(&mut self, now: Micros, name: &Name, number: SequenceNumber) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if let Step::Sends(place, ..) = &peer.step {
            if number != place.number {
                return;
            }
            peer.step = Step::Tail(number);
        }
        if number > peer.has {
            peer.has = number;
            peer.again = now;
            peer.owes = (number < self.head.number).then_some(now);
        }
    }

    /// What is to be said to copies now.
    pub fn say(&mut self, now: Micros, retry: Micros) -> Vec<(Name, Message)> {
        let (mut said, shard, epoch) = (Vec::new(), self.shard, self.epoch);
        let first = self
            .tail
            .front()
            .map_or(self.head.number, |r| r.before.number);
        for (name, peer) in &mut self.peers {
            if peer.has < self.head.number && peer.owes.is_none() {
                peer.owes = Some(now);
            }
            let late = peer.again + retry <= now || peer.again == 0;
            match &mut peer.step {
                Step::Asked if late => {
                    peer.again = now.max(1);
                    peer.owes.get_or_insert(now);
                    said.push((name.clone(), Message::QueryPosition(shard, epoch)));
                }
                Step::Asked | Step::Reads => {}
                // What was sent may have got lost: it tells where it stands.
                Step::Tail(sent) if late && peer.has < *sent => {
                    (peer.step, peer.again) = (Step::Asked, now);
                    said.push((name.clone(), Message::QueryPosition(shard, epoch)));
                }
                Step::Tail(sent) => {
                    while *sent < self.head.number && *sent < peer.has + WINDOW {
                        let at = sent
                            .checked_sub(first)
                            .and_then(|at| usize::try_from(at).ok());
                        let Some(r) = at.and_then(|at| self.tail.get(at)) else {
                            // Its next record is not kept any more.
                            (peer.step, peer.again) = (Step::Asked, 0);
                            break;
                        };
                        said.push((
                            name.clone(),
                            Message::Record(shard, epoch, r.before, r.bytes.to_vec()),
                        ));
                        *sent += 1;
                        peer.again = now;
                    }
                }
                Step::Sends(place, bytes, next, taken) => {
                    if peer.again + 4 * retry <= now {
                        *next = *taken;
                        peer.again = now;
                    }
                    let parts = bytes.len().div_ceil(SNAPSHOT_PART_BYTES).max(1) as u32;
                    while *next < parts && *next < *taken + PARTS {
                        let from = *next as usize * SNAPSHOT_PART_BYTES;
                        let part =
                            bytes[from..bytes.len().min(from + SNAPSHOT_PART_BYTES)].to_vec();
                        let body = Message::SnapshotPart(
                            shard,
                            epoch,
                            *place,
                            *next,
                            *next + 1 == parts,
                            part,
                        );
                        said.push((name.clone(), body));
                        *next += 1;
                    }
                }
            }
        }
        said
    }

    /// A member of the set that has owed its word for too long.
    pub fn stalled(&self, now: Micros, me: &Name, stall: Micros) -> Option<Name> {
        let owes = |n: &&Name| {
            self.peers
                .get(*n)
                .and_then(|p| p.owes)
                .is_some_and(|t| t + stall <= now)
        };
        self.set.iter().filter(|n| *n != me).find(owes).cloned()
    }

    /// Somebody outside the set who has all that was promised, and may be let in.
    pub fn arrived(&self) -> Option<Name> {
        let all =
            |p: &Peer| matches!(p.step, Step::Tail(_)) && p.has >= self.promised.max(self.stored);
        self.peers
            .iter()
            .find(|(n, p)| !self.set.contains(*n) && all(p))
            .map(|(n, _)| n.clone())
    }

    /// A member of the set that has all there is, once all of it is promised.
    pub fn heir(&self, me: &Name) -> Option<Name> {
        let has = |n: &&Name| {
            self.peers
                .get(*n)
                .is_some_and(|p| p.has >= self.head.number)
        };
        let all = self.promised >= self.head.number;
        self.set
            .iter()
            .filter(|n| *n != me && all)
            .find(has)
            .cloned()
    }

    /// The member of the set that has the most, of those who have all that was promised and may lead.
    pub fn fittest(&self, me: &Name, may: impl Fn(&Name) -> bool) -> Option<Name> {
        let has = |n: &Name| {
            self.peers
                .get(n)
                .map(|p| p.has)
                .filter(|has| *has >= self.promised)
        };
        let all = self
            .set
            .iter()
            .filter(|n| *n != me && may(n))
            .filter_map(|n| Some((has(n)?, n)));
        all.max_by_key(|(has, n)| (*has, std::cmp::Reverse(*n)))
            .map(|(_, n)| n.clone())
    }

    /// Whether a member of the set has come further than all that there was here when the lead began.
    pub fn is_ahead(&self, name: &Name, place: LogPosition) -> bool {
        self.tail.is_empty() && self.set.contains(name) && place.number > self.head.number
    }

    /// One outside the set that has owed its word for so long.
    pub fn is_slow(&self, now: Micros, name: &Name, stall: Micros) -> bool {
        self.peers
            .get(name)
            .and_then(|p| p.owes)
            .is_some_and(|t| t + stall <= now)
    }

    /// Whether somebody outside the set is being brought along.
    pub fn joining(&self) -> Option<&Name> {
        self.peers.keys().find(|n| !self.set.contains(*n))
    }
}

/// Whether a record is short enough.
pub fn fits(bytes: usize) -> bool {
    bytes <= MAX_RECORD_BYTES
}
