//! One gateway's part in all shards, as one value: copy of some, primary of others, and whoever has a question for a primary.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::config::Settings;
use super::error::{Declined, Refusal};
use super::history::{short, Note};
use super::leading::{fits, Leading, Ticket, MOST_OWED};
use super::order;
use super::sets::{Disk, Entry, Set, Sets};
use super::shard::{Shard, Taken};
use super::wire::{Body, Told, LONGEST_RECORD};
use super::{Epoch, Name, Place, ShardId};
use crate::api::Micros;

/// Questions to other gateways under way at most.
pub const MOST_ASKED: usize = 4096;
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
        boot: u64,
        /// The shards on it.
        places: BTreeMap<ShardId, Place>,
    },
    /// What is agreed has changed.
    Agreed(Arc<Sets>),
    /// Another gateway said something.
    Frame(Name, Body),
    /// The connection to another has ended.
    Lost(Name),
    /// Something is to be promised by this gateway, which leads; `want` disks are asked for.
    Append {
        /// In which shard.
        shard: ShardId,
        /// Where the promise is told.
        ticket: Ticket,
        /// The record.
        bytes: Vec<u8>,
        /// How many disks it asks for; 0 for as many as there are.
        want: usize,
    },
    /// The oldest of a shard's that was on its way to the disk is there.
    Kept(ShardId),
    /// What the disk holds of a shard, asked for by [`Output::Read`].
    Read(ShardId, Name, Place, Vec<u8>),
    /// A question for a shard's primary.
    Ask {
        /// Which shard.
        shard: ShardId,
        /// Of whoever asks here.
        ticket: Ticket,
        /// What.
        bytes: Vec<u8>,
    },
    /// The answer to a question that came from another.
    Tell(Name, u64, Told),
    /// A deadline fell due.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Say something to another gateway; it may get lost.
    Send(Name, Body),
    /// Have an entry agreed; it may get lost.
    Propose(Entry),
    /// Have a record on the disk, behind all before it; report it by [`Input::Kept`]. With the ticket, if it is led here.
    Store(ShardId, Place, Arc<[u8]>, Option<Ticket>),
    /// Have a snapshot take the place of what the disk holds; report it likewise.
    Install(ShardId, Place, Vec<u8>),
    /// Read what the disk holds of a shard, for a copy.
    Read(ShardId, Name),
    /// A record is promised, on so many disks.
    Promised(Ticket, usize),
    /// It is not.
    Refused(Ticket, Refusal),
    /// This process leads a shard from here on.
    Lead(ShardId, Epoch),
    /// It does so no more.
    Rest(ShardId),
    /// A question for this primary: whose, and its number there. One's own has the ticket for a number.
    Hear(ShardId, Name, u64, Vec<u8>),
    /// A question of one's own is answered.
    Told(Ticket, Told),
    /// The disk here is not the one that it was: its content counts for nothing, and it needs a number of its own.
    DiskRefused,
    /// Something to be recorded.
    Noted(Note),
}

#[derive(Clone, Debug)]
struct Question {
    ticket: Ticket,
    shard: ShardId,
    until: Micros,
}

/// One gateway's part.
#[derive(Clone, Debug)]
pub struct Copies {
    settings: Settings,
    disk: Option<Disk>,
    /// Whether the log knows this process as the one that has its disk.
    known: bool,
    sets: Arc<Sets>,
    shards: BTreeMap<ShardId, Shard>,
    heard: BTreeMap<Name, Micros>,
    /// Since when somebody who was left out may come back.
    calm: BTreeMap<Name, Micros>,
    asked: BTreeMap<u64, Question>,
    questions: u64,
    proposed: Micros,
    beat: Micros,
    ticked: Micros,
    outputs: VecDeque<Output>,
}

impl Copies {
    /// Knows nothing yet.
    pub fn new(settings: Settings, now: Micros) -> Copies {
        let heard = settings.hosts.iter().map(|h| (h.name.clone(), now)).collect();
        Copies {
            shards: (1..=settings.shards).map(|s| (s, Shard::default())).collect(),
            settings,
            disk: None,
            known: false,
            sets: Arc::default(),
            heard,
            calm: BTreeMap::new(),
            asked: BTreeMap::new(),
            questions: 0,
            proposed: 0,
            beat: 0,
            ticked: now,
            outputs: VecDeque::new(),
        }
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Those with whom it keeps a connection.
    pub fn peers(&self) -> impl Iterator<Item = &Name> {
        self.settings.hosts.iter().map(|h| &h.name).filter(|n| **n != self.settings.name)
    }

    /// When `Tick` is due.
    pub fn next_deadline(&self) -> Micros {
        self.ticked + self.settings.silent / 8
    }

    /// Whether this process leads a shard.
    pub fn leads(&self, shard: ShardId) -> bool {
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

    fn say(&mut self, to: Name, body: Body) {
        self.outputs.push_back(Output::Send(to, body));
    }

    fn note(&mut self, note: Note) {
        self.outputs.push_back(Output::Noted(note));
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Disk { id, boot, places } => {
                self.disk = Some(Disk { id, boot, process: self.settings.process });
                self.known = false;
                for (id, place) in places {
                    if let Some(s) = self.shards.get_mut(&id) {
                        s.place = place;
                    }
                }
                self.look_at_disk(now);
                self.take_up();
            }
            Input::Agreed(sets) => {
                self.sets = sets;
                self.look_at_disk(now);
                self.take_up();
            }
            Input::Frame(from, body) => self.frame(now, from, body),
            Input::Lost(name) => {
                for s in self.shards.values_mut() {
                    if let Some(l) = &mut s.leading {
                        l.lost(&name);
                    }
                }
            }
            Input::Append { shard, ticket, bytes, want } => self.append(shard, ticket, bytes, want),
            Input::Kept(shard) => self.kept(shard),
            Input::Read(shard, to, place, bytes) => {
                if let Some(l) = self.shards.get_mut(&shard).and_then(|s| s.leading.as_mut()) {
                    l.read(now, &to, place, bytes.into());
                }
            }
            Input::Ask { shard, ticket, bytes } => self.ask(now, shard, ticket, bytes),
            Input::Tell(to, number, told) => {
                if to == self.settings.name {
                    self.outputs.push_back(Output::Told(number, told));
                } else {
                    self.say(to, Body::Told(number, told));
                }
            }
            Input::Tick => self.tick(now),
        }
        self.bring_along(now);
    }

    /// The log is told which process has which disk; only then does it count for anything.
    fn look_at_disk(&mut self, now: Micros) {
        let Some(disk) = self.disk else { return };
        match self.sets.disks.get(&self.settings.name) {
            Some(k) if *k == disk => self.known = true,
            Some(k) if k.id == disk.id && k.boot >= disk.boot => {
                // Another process has begun on this disk since: it is yesterday's copy, or it was taken away.
                (self.known, self.disk) = (false, None);
                for s in self.shards.values_mut() {
                    s.place = Place::default();
                }
                self.outputs.push_back(Output::DiskRefused);
            }
            _ => {
                self.known = false;
                if now >= self.proposed + self.settings.stall / 2 || self.proposed == 0 {
                    self.proposed = now.max(1);
                    let name = self.settings.name.clone();
                    self.outputs.push_back(Output::Propose(Entry::Begun { name, disk }));
                }
            }
        }
    }

    /// Takes up what the log says of each shard.
    fn take_up(&mut self) {
        let me = self.settings.name.clone();
        for id in 1..=self.settings.shards {
            let set = self.sets.of(id);
            let Some(s) = self.shards.get_mut(&id) else { continue };
            let older = std::mem::replace(&mut s.set, set);
            let process = s.set.process == self.settings.process || self.settings.without.process;
            let mine = self.known && s.set.primary.as_ref() == Some(&me) && process;
            let (epoch, members) = (s.set.epoch, s.set.members.clone());
            let mut events = Vec::new();
            match (&mut s.leading, mine) {
                (Some(l), true) if l.epoch != epoch => {
                    l.changed(epoch, members.clone());
                    events.push(led(id, epoch, l.head, &members));
                }
                (Some(l), false) => {
                    let ours = l.epoch;
                    for ticket in l.unpromised() {
                        let why = Refusal::Deposed { shard: id, ours, theirs: epoch };
                        events.push(Output::Refused(ticket, why));
                    }
                    events.push(Output::Noted(Note::Rested { shard: id, epoch: ours }));
                    events.push(Output::Rest(id));
                    s.leading = None;
                }
                (None, true) => {
                    let stored = s.stored();
                    s.leading = Some(Leading::new(id, epoch, members.clone(), s.place, stored));
                    if older.epoch > 0 && older.members.is_empty() {
                        events.push(Output::Noted(Note::Lost { shard: id }));
                    }
                    events.push(led(id, epoch, s.place, &members));
                    events.push(Output::Lead(id, epoch));
                }
                _ => {}
            }
            self.outputs.extend(events);
        }
    }

    fn frame(&mut self, now: Micros, from: Name, body: Body) {
        self.heard.insert(from.clone(), now);
        let without = self.settings.without;
        match body {
            Body::Here => {}
            Body::Where(shard, epoch) => {
                let taken = self.shard(shard).and_then(|s| s.asked(shard, &from, epoch, without.epochs));
                self.taken(shard, &from, taken);
            }
            Body::Record(shard, epoch, before, bytes) if self.known => {
                let guards = (without.epochs, without.chain);
                let taken =
                    self.shard(shard).and_then(|s| s.record(shard, &from, (epoch, before), bytes, guards));
                self.taken(shard, &from, taken);
            }
            Body::Part(shard, epoch, place, part, last, bytes) if self.known => {
                let taken = self.shard(shard).map_or(Vec::new(), |s| {
                    s.part(shard, &from, epoch, place, (part, last), &bytes, without.epochs)
                });
                self.taken(shard, &from, taken);
            }
            Body::Record(..) | Body::Part(..) => {}
            Body::At(shard, epoch, place) => {
                if let Some(l) = self.leading(shard, epoch) {
                    if l.at(now, &from, place, without.chain) {
                        self.outputs.push_back(Output::Read(shard, from));
                    }
                }
            }
            Body::Has(shard, epoch, number) => {
                if let Some(l) = self.leading(shard, epoch) {
                    l.has(now, &from, number);
                }
                self.promise(shard);
            }
            Body::Took(shard, epoch, part) => {
                if let Some(l) = self.leading(shard, epoch) {
                    l.took(now, &from, part);
                }
            }
            Body::Declined(shard, why) => {
                tracing::debug!(shard, remedy = why.remedy(), "a copy does not take what was sent: {why}");
            }
            Body::Ask(shard, number, bytes) => {
                if self.leads(shard) {
                    self.outputs.push_back(Output::Hear(shard, from, number, bytes));
                } else {
                    let primary = self.shards.get(&shard).and_then(|s| s.set.primary.clone());
                    self.say(from, Body::Told(number, Told::Refused(Refusal::NotPrimary { shard, primary })));
                }
            }
            Body::Told(number, told) => {
                if let Some(q) = self.asked.remove(&number) {
                    self.outputs.push_back(Output::Told(q.ticket, told));
                }
            }
        }
    }

    fn shard(&mut self, shard: ShardId) -> Option<&mut Shard> {
        self.shards.get_mut(&shard)
    }

    fn leading(&mut self, shard: ShardId, epoch: Epoch) -> Option<&mut Leading> {
        self.shards.get_mut(&shard)?.leading.as_mut().filter(|l| l.epoch == epoch)
    }

    fn taken(&mut self, shard: ShardId, from: &Name, taken: impl IntoIterator<Item = Taken>) {
        for taken in taken {
            match taken {
                Taken::Say(body) => self.say(from.clone(), body),
                Taken::Store(place, bytes) => {
                    self.outputs.push_back(Output::Store(shard, place, bytes, None));
                }
                Taken::Install(place, bytes) => self.outputs.push_back(Output::Install(shard, place, bytes)),
                Taken::Declined(why) => {
                    if let Declined::Stale { theirs, ours, .. } = why {
                        self.note(Note::Declined { shard, theirs, ours });
                    }
                    self.say(from.clone(), Body::Declined(shard, why));
                }
            }
        }
    }

    fn append(&mut self, shard: ShardId, ticket: Ticket, bytes: Vec<u8>, want: usize) {
        let refuse = |why| Output::Refused(ticket, why);
        let Some(s) = self.shards.get_mut(&shard) else { return };
        let primary = s.set.primary.clone();
        let Some(l) = &mut s.leading else {
            return self.outputs.push_back(refuse(Refusal::NotPrimary { shard, primary }));
        };
        let have = l.disks();
        let why = if !fits(bytes.len()) {
            Some(Refusal::TooLong { bytes: bytes.len(), most: LONGEST_RECORD })
        } else if have < want {
            Some(Refusal::Fewer { shard, have, want })
        } else if want > 0 && l.owed() > MOST_OWED {
            Some(Refusal::Behind { shard, bytes: l.owed() })
        } else {
            None
        };
        if let Some(why) = why {
            return self.outputs.push_back(refuse(why));
        }
        let bytes: Arc<[u8]> = bytes.into();
        let place = l.append(bytes.clone(), ticket);
        s.place = place;
        let epoch = s.set.epoch;
        s.pending.push_back(super::shard::Pending { epoch, from: None, place, whole: false });
        self.outputs.push_back(Output::Store(shard, place, bytes, Some(ticket)));
    }

    fn kept(&mut self, shard: ShardId) {
        let without = self.settings.without.epochs;
        let Some(s) = self.shards.get_mut(&shard) else { return };
        let (done, said) = s.kept(shard, without);
        let stored = s.stored();
        if let Some(l) = &mut s.leading {
            l.stored = stored.min(l.head.number);
        }
        if let Some(done) = done {
            let (number, chain) = (done.place.number, short(&done.place.chain));
            self.note(match done.whole {
                true => Note::Installed { shard, number, chain },
                false => Note::Stored { shard, epoch: done.epoch, number, chain },
            });
        }
        said.into_iter().for_each(|(to, body)| self.say(to, body));
        self.promise(shard);
    }

    fn promise(&mut self, shard: ShardId) {
        let (me, all) = (self.settings.name.clone(), self.settings.without.all);
        let Some(l) = self.shards.get_mut(&shard).and_then(|s| s.leading.as_mut()) else { return };
        let (told, epoch, disks) = (l.promise(&me, all), l.epoch, l.disks());
        for (ticket, place) in told {
            let (number, chain) = (place.number, short(&place.chain));
            self.note(Note::Promised { shard, epoch, number, chain, disks });
            self.outputs.push_back(Output::Promised(ticket, disks));
        }
    }

    fn ask(&mut self, now: Micros, shard: ShardId, ticket: Ticket, bytes: Vec<u8>) {
        let Some(s) = self.shards.get(&shard) else { return };
        if s.leading.is_some() {
            let me = self.settings.name.clone();
            return self.outputs.push_back(Output::Hear(shard, me, ticket, bytes));
        }
        let open = self.asked.len();
        let why = match &s.set.primary {
            _ if open >= MOST_ASKED => Refusal::Busy { open },
            Some(primary) if *primary != self.settings.name => {
                let primary = primary.clone();
                self.questions += 1;
                let until = now + self.settings.ask;
                self.asked.insert(self.questions, Question { ticket, shard, until });
                return self.say(primary, Body::Ask(shard, self.questions, bytes));
            }
            primary => Refusal::NotPrimary { shard, primary: primary.clone() },
        };
        self.outputs.push_back(Output::Told(ticket, Told::Refused(why)));
    }

    fn tick(&mut self, now: Micros) {
        // Nothing can be said of others' silence by one that was stopped itself.
        if now > self.ticked + self.settings.silent / 2 {
            self.heard.values_mut().for_each(|t| *t = now);
        }
        self.ticked = now;
        let over: Vec<u64> = self.asked.iter().filter(|(_, q)| q.until <= now).map(|(n, _)| *n).collect();
        for number in over {
            if let Some(q) = self.asked.remove(&number) {
                let why = Refusal::Unreached { shard: q.shard };
                self.outputs.push_back(Output::Told(q.ticket, Told::Refused(why)));
            }
        }
        if now >= self.beat + self.settings.silent / 5 {
            self.beat = now;
            let to: Vec<Name> = self.peers().cloned().collect();
            to.into_iter().for_each(|to| self.say(to, Body::Here));
        }
        self.look_at_disk(now);
        if self.known {
            self.look_at_sets(now);
        }
    }

    fn is_heard(&self, now: Micros, name: &Name, silent: Micros) -> bool {
        *name == self.settings.name || self.heard.get(name).is_some_and(|t| now < t + silent)
    }

    /// Proposes what each shard's set lacks.
    fn look_at_sets(&mut self, now: Micros) {
        let me = self.settings.name.clone();
        let mut joining = self.shards.values().filter_map(|s| s.leading.as_ref()?.joining()).count();
        // What has the fewest copies comes first.
        let mut all: Vec<ShardId> = self.shards.keys().copied().collect();
        all.sort_by_key(|id| (self.shards[id].set.members.len(), *id));
        for id in all {
            let set = self.shards[&id].set.clone();
            if self.shards[&id].leading.is_some() {
                joining += usize::from(self.lead(now, id, joining < self.settings.repairs));
            } else if set.members.is_empty() {
                let order = order::order(id, &self.settings.hosts);
                let first = order.iter().find(|n| self.is_heard(now, n, self.settings.silent));
                if first == Some(&me) {
                    self.propose(now, id, &set, [me.clone()].into());
                }
            } else if set.members.contains(&me) {
                let members = set.members.clone();
                match &set.primary {
                    // Of one's own name, and another process: a new epoch for this one.
                    Some(p) if *p == me => self.propose(now, id, &set, members),
                    primary => {
                        // The others one after the other, so that the first is done before the second begins.
                        let turn =
                            members.iter().filter(|m| primary.as_ref() != Some(m)).position(|m| *m == me);
                        let waits =
                            self.settings.silent + self.settings.silent / 2 * turn.unwrap_or(0) as Micros;
                        // The one before stays in the set until another has come: it has all that was promised.
                        if primary.as_ref().is_none_or(|p| !self.is_heard(now, p, waits)) {
                            self.propose(now, id, &set, members);
                        }
                    }
                }
            }
        }
    }

    /// What the primary of a shard does for its set; whether somebody new begins to be brought along.
    ///
    /// One that owes its word leaves the set by the same change by which another comes: until then it counts, as it has all
    /// that was promised before. Only where nobody else comes is the set left smaller.
    fn lead(&mut self, now: Micros, id: ShardId, room: bool) -> bool {
        let (me, stall, silent) = (self.settings.name.clone(), self.settings.stall, self.settings.silent);
        let Some(l) = self.shards.get(&id).and_then(|s| s.leading.as_ref()) else { return false };
        let (mut members, again) = (l.set.clone(), l.proposed.is_none_or(|t| t + stall / 2 <= now));
        let set = Set { epoch: l.epoch, primary: Some(me.clone()), process: 0, members: members.clone() };
        let unheard = || l.set.iter().find(|n| !self.is_heard(now, n, silent)).cloned();
        let late = l.stalled(now, &me, stall).or_else(unheard);
        let since = late.is_some().then(|| l.late.unwrap_or(now));
        let (arrived, joining) = (l.arrived(), l.joining().cloned());
        let gone = joining.as_ref().is_some_and(|n| !self.is_heard(now, n, silent) && !l.maybe.contains(n));
        let wanted = late.is_some() || members.len() < self.settings.copies;
        let given_up = since.is_some_and(|t| t + GIVES_UP * stall <= now);
        let next = joining.is_none().then(|| self.next_for(now, id, &members)).flatten();
        let Some(l) = self.shards.get_mut(&id).and_then(|s| s.leading.as_mut()) else { return false };
        l.late = since;
        if let (Some(comes), true) = (&arrived, wanted) {
            if again {
                l.maybe.insert(comes.clone());
                members.insert(comes.clone());
                self.leaves(now, late, &mut members);
                self.propose(now, id, &set, members);
            }
            return false;
        }
        if let Some(name) = joining.filter(|n| gone || !wanted && !l.maybe.contains(n)) {
            l.peers.remove(&name);
            return false;
        }
        match next.filter(|_| wanted) {
            Some(next) if room => {
                l.meet(&next);
                return true;
            }
            Some(_) => {}
            // Nobody is there to come, or none has come for long.
            None if late.is_some() && again && (l.joining().is_none() || given_up) => {
                self.leaves(now, late, &mut members);
                self.propose(now, id, &set, members);
            }
            None => {}
        }
        false
    }

    /// One that owes its word leaves. Not at once again, so that one that comes and goes costs no change each time.
    fn leaves(&mut self, now: Micros, late: Option<Name>, members: &mut BTreeSet<Name>) {
        if let Some(late) = late {
            members.remove(&late);
            self.calm.insert(late, now + 2 * self.settings.stall);
        }
    }

    /// Who is to be brought along next, if anybody can be.
    fn next_for(&self, now: Micros, id: ShardId, members: &BTreeSet<Name>) -> Option<Name> {
        let may = |n: &Name| {
            *n != self.settings.name
                && self.sets.disks.contains_key(n)
                && self.is_heard(now, n, self.settings.silent)
                && self.calm.get(n).is_none_or(|t| *t <= now)
        };
        order::next(id, &self.settings.hosts, members, may)
    }

    fn propose(&mut self, now: Micros, shard: ShardId, set: &Set, members: BTreeSet<Name>) {
        if let Some(l) = self.shards.get_mut(&shard).and_then(|s| s.leading.as_mut()) {
            l.proposed = Some(now);
        }
        let (me, process) = (self.settings.name.clone(), self.settings.process);
        self.outputs.push_back(Output::Propose(Entry::Change {
            shard,
            was: set.epoch,
            by: me.clone(),
            primary: me,
            process,
            members,
        }));
    }

    /// Says to copies what is to be said.
    fn bring_along(&mut self, now: Micros) {
        let (me, retry) = (self.settings.name.clone(), self.settings.stall / 4);
        let mut said = Vec::new();
        for s in self.shards.values_mut() {
            let Some(l) = &mut s.leading else { continue };
            for name in l.set.clone().into_iter().filter(|n| *n != me) {
                l.meet(&name);
            }
            said.extend(l.say(now, retry));
        }
        said.into_iter().for_each(|(to, body)| self.say(to, body));
        if !self.shards.values().any(|s| s.leading.as_ref().is_some_and(|l| l.promised < l.head.number)) {
            return;
        }
        let all: Vec<ShardId> = self.shards.keys().copied().collect();
        all.into_iter().for_each(|id| self.promise(id));
    }
}

fn led(shard: ShardId, epoch: Epoch, place: Place, members: &BTreeSet<Name>) -> Output {
    let members = members.iter().cloned().collect();
    Output::Noted(Note::Led { shard, epoch, number: place.number, chain: short(&place.chain), members })
}
