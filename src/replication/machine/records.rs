//! Records, words of copies and questions.

use super::*;

impl Replicator {
    pub(super) fn frame(&mut self, now: Micros, from: Name, body: Message) {
        self.heard.insert(from.clone(), now);
        let without = self.settings.disabled_guards;
        match body {
            Message::Heartbeat => {}
            Message::QueryPosition(shard, epoch) => {
                let taken = self
                    .shard(shard)
                    .and_then(|s| s.asked(shard, &from, epoch, without.epochs));
                self.taken(shard, &from, taken);
            }
            Message::Record(shard, epoch, before, bytes) if self.known => {
                let guards = (without.epochs, without.chain);
                let taken = self
                    .shard(shard)
                    .and_then(|s| s.record(now, shard, &from, (epoch, before), bytes, guards));
                self.taken(shard, &from, taken);
            }
            Message::SnapshotPart(shard, epoch, place, part, last, bytes) if self.known => {
                let taken = self.shard(shard).map_or(Vec::new(), |s| {
                    s.part(
                        now,
                        shard,
                        &from,
                        epoch,
                        place,
                        (part, last),
                        &bytes,
                        without.epochs,
                    )
                });
                self.taken(shard, &from, taken);
            }
            Message::Record(..) | Message::SnapshotPart(..) => {}
            // The process before it said so, or one of which the log has not told yet: it is asked anew.
            Message::Position(.., process) | Message::Acknowledge(.., process)
                if self.processes.get(&from) != Some(&process) => {}
            Message::Position(shard, epoch, place, _) => {
                let ahead = !without.ahead
                    && self
                        .leading(shard, epoch)
                        .is_some_and(|l| l.is_ahead(&from, place));
                if ahead {
                    // Its disk kept what this one had told kept and has not: it is to lead, and is overwritten by nobody.
                    return self.give_to(now, shard, from);
                }
                if let Some(l) = self.leading(shard, epoch) {
                    l.told(&from);
                    if l.at(now, &from, place, without.chain) {
                        self.outputs.push_back(Output::ReadSnapshot(shard, from));
                    }
                }
                self.open(now, shard);
            }
            Message::Acknowledge(shard, epoch, number, _) => {
                if let Some(l) = self.leading(shard, epoch) {
                    l.has(now, &from, number);
                }
                self.promise(shard);
            }
            Message::SnapshotPartReceived(shard, epoch, part) => {
                if let Some(l) = self.leading(shard, epoch) {
                    l.took(now, &from, part);
                }
            }
            Message::Declined(shard, why) => {
                tracing::debug!(
                    shard,
                    remedy = why.remedy(),
                    "a copy does not take what was sent: {why}"
                );
            }
            Message::Request(shard, number, bytes) => {
                if self.is_primary(shard) {
                    self.outputs
                        .push_back(Output::HandleRequest(shard, from, number, bytes));
                } else {
                    let primary = self.shards.get(&shard).and_then(|s| s.set.primary.clone());
                    self.say(
                        from,
                        Message::Reply(
                            number,
                            RequestOutcome::Rejected(ReplicationError::NotPrimary {
                                shard,
                                primary,
                            }),
                        ),
                    );
                }
            }
            Message::Reply(number, told) => self.told(number, told),
            Message::Corrupt(shard, epoch) => {
                if self
                    .leading(shard, epoch)
                    .is_some_and(|l| l.unsound(now, &from))
                {
                    self.outputs.push_back(Output::ReadSnapshot(shard, from));
                }
                self.open(now, shard);
            }
        }
    }

    /// A question of one's own is answered, unless it was given up on.
    pub(super) fn told(&mut self, number: u64, told: RequestOutcome) {
        if let Some(q) = self.asked.remove(&number) {
            self.outputs.push_back(Output::Response(q.ticket, told));
        }
    }

    pub(super) fn shard(&mut self, shard: ShardId) -> Option<&mut Shard> {
        self.shards.get_mut(&shard)
    }

    pub(super) fn leading(&mut self, shard: ShardId, epoch: Epoch) -> Option<&mut Primary> {
        self.shards
            .get_mut(&shard)?
            .leading
            .as_mut()
            .filter(|l| l.epoch == epoch)
    }

    pub(super) fn taken(
        &mut self,
        shard: ShardId,
        from: &Name,
        taken: impl IntoIterator<Item = Taken>,
    ) {
        for taken in taken {
            match taken {
                Taken::Say(body) => self.say(from.clone(), body),
                Taken::Store(place, bytes) => {
                    self.outputs
                        .push_back(Output::StoreRecord(shard, place, bytes, None));
                }
                Taken::Install(place, bytes) => {
                    self.outputs.push_back(Output::InstallSnapshot(shard, place, bytes))
                }
                Taken::Declined(why) => {
                    if let Declined::Stale { theirs, ours, .. } = why {
                        self.note(HistoryEvent::Declined {
                            shard,
                            theirs,
                            ours,
                        });
                    }
                    self.say(from.clone(), Message::Declined(shard, why));
                }
            }
        }
    }

    pub(super) fn append(
        &mut self,
        now: Micros,
        shard: ShardId,
        ticket: CommitWaiter,
        bytes: Vec<u8>,
        want: usize,
    ) {
        let refuse = |why| Output::Rejected(ticket, why);
        let Some(s) = self.shards.get_mut(&shard) else {
            return;
        };
        let primary = s.set.primary.clone();
        let Some(l) = s.leading.as_mut().filter(|l| l.open) else {
            return self
                .outputs
                .push_back(refuse(ReplicationError::NotPrimary { shard, primary }));
        };
        let have = l.disks();
        let why = if !fits(bytes.len()) {
            Some(ReplicationError::TooLong {
                bytes: bytes.len(),
                most: MAX_RECORD_BYTES,
            })
        } else if have < want {
            Some(ReplicationError::TooFewReplicas { shard, have, want })
        } else if want > 0 && l.owed() > MOST_OWED {
            Some(ReplicationError::ReplicationLag {
                shard,
                bytes: l.owed(),
            })
        } else {
            None
        };
        if let Some(why) = why {
            return self.outputs.push_back(refuse(why));
        }
        let bytes: Arc<[u8]> = bytes.into();
        let place = l.append(bytes.clone(), ticket, want);
        s.place = place;
        let epoch = s.set.epoch;
        s.push(
            now,
            Pending {
                epoch,
                from: None,
                place,
                whole: false,
            },
        );
        self.outputs
            .push_back(Output::StoreRecord(shard, place, bytes, Some(ticket)));
    }

    pub(super) fn kept(&mut self, now: Micros, shard: ShardId) {
        let without = self.settings.disabled_guards.epochs;
        let Some(s) = self.shards.get_mut(&shard) else {
            return;
        };
        let damaged = s.unsound.is_some();
        let (done, said) = s.kept(now, shard, without);
        let mended = damaged && s.unsound.is_none();
        let stored = s.stored();
        if let Some(l) = &mut s.leading {
            l.stored = stored.min(l.head.number);
        }
        if let Some(done) = done {
            let (number, chain) = (done.place.number, short_digest(&done.place.chain));
            self.note(match done.whole {
                true => HistoryEvent::Installed {
                    shard,
                    number,
                    chain,
                },
                false => HistoryEvent::Stored {
                    shard,
                    epoch: done.epoch,
                    number,
                    chain,
                },
            });
        }
        if mended {
            self.note(HistoryEvent::Repaired {
                shard,
                accepted: false,
            });
        }
        said.into_iter().for_each(|(to, body)| self.say(to, body));
        self.promise(shard);
    }

    pub(super) fn promise(&mut self, shard: ShardId) {
        let (me, without) = (self.settings.name.clone(), self.settings.disabled_guards);
        let Some(l) = self.shards.get_mut(&shard).and_then(|s| s.leading.as_mut()) else {
            return;
        };
        let (told, epoch, disks) = (
            l.promise(&me, (without.all, without.want)),
            l.epoch,
            l.disks(),
        );
        for (ticket, place) in told {
            let (number, chain) = (place.number, short_digest(&place.chain));
            self.note(HistoryEvent::Committed {
                shard,
                epoch,
                number,
                chain,
                disks,
            });
            self.outputs.push_back(Output::Committed(ticket, disks));
        }
    }

    pub(super) fn ask(
        &mut self,
        now: Micros,
        shard: ShardId,
        ticket: CommitWaiter,
        bytes: Vec<u8>,
    ) {
        let Some(s) = self.shards.get(&shard) else {
            return;
        };
        let (open, until) = (self.asked.len(), now + self.settings.request_timeout);
        let why = match &s.set.primary {
            _ if open >= MAX_FORWARDED_REQUESTS => ReplicationError::TooManyRequests { open },
            Some(primary) if s.leading.is_some() || *primary != self.settings.name => {
                // Also one's own question has an end, whatever becomes of its record.
                let (primary, leads) = (primary.clone(), s.leading.is_some());
                self.questions += 1;
                self.asked.insert(
                    self.questions,
                    Question {
                        ticket,
                        shard,
                        until,
                    },
                );
                if leads {
                    return self.outputs.push_back(Output::HandleRequest(
                        shard,
                        primary,
                        self.questions,
                        bytes,
                    ));
                }
                return self.say(primary, Message::Request(shard, self.questions, bytes));
            }
            primary => ReplicationError::NotPrimary {
                shard,
                primary: primary.clone(),
            },
        };
        self.outputs
            .push_back(Output::Response(ticket, RequestOutcome::Rejected(why)));
    }

    /// Says to copies what is to be said.
    pub(super) fn bring_along(&mut self, now: Micros) {
        let (me, retry) = (self.settings.name.clone(), self.settings.acknowledgement_timeout / 4);
        let mut said = Vec::new();
        for s in self.shards.values_mut() {
            let Some(l) = &mut s.leading else { continue };
            for name in l.set.clone().into_iter().filter(|n| *n != me) {
                l.meet(&name);
            }
            said.extend(l.say(now, retry));
        }
        said.into_iter().for_each(|(to, body)| self.say(to, body));
        let waits = |l: &Primary| l.promised < l.head.number || l.held > 0;
        if !self
            .shards
            .values()
            .any(|s| s.leading.as_ref().is_some_and(waits))
        {
            return;
        }
        let all: Vec<ShardId> = self.shards.keys().copied().collect();
        all.into_iter().for_each(|id| self.promise(id));
    }
}
