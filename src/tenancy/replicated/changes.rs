//! One gateway's part in changes of tenants: what it proposed, and what it has taken over.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::error::Refusal;
use super::history::{digest, HistoryEvent};
use super::state::{Answer, Entry, Follows, Tenants};
use super::Origin;
use crate::api::Micros;

/// Changes under way here at most.
pub const MAX_OPEN_CHANGES: usize = 64;

/// Whose answer a change is.
pub type Ticket = u64;

/// What the machine goes by.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's name.
    pub name: Arc<str>,
    /// This process, unlike any other.
    pub process: u64,
    /// On how many disks a change has to stand.
    pub copies: usize,
    /// How long a change may take to be agreed on.
    pub ask: Micros,
    /// A change is told done before it is agreed on: a guard taken out, for tests.
    pub without_agreed: bool,
}

/// A change that somebody here wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The tenant.
    pub tenant: String,
    /// The tenant from then on; none if it is to be removed.
    pub kept: Option<Vec<u8>>,
    /// Whether the operator's file names it.
    pub listed: bool,
    /// The answer to be given again, if the request had a key.
    pub answer: Option<Answer>,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Input {
    /// Somebody here wants a change, made on what was taken over so far.
    Change(Ticket, ChangeRequest),
    /// What is agreed, and how many vote.
    Agreed(Arc<Tenants>, usize),
    /// A deadline fell due.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Have the log agree on this; it may get lost.
    Propose(Entry),
    /// A tenant is so from here on; none if it was removed.
    Adopt(String, Option<Vec<u8>>),
    /// How many have been removed by all.
    Removals(u64),
    /// A change is agreed, and taken over here.
    Done(Ticket),
    /// It is not told done.
    Refused(Ticket, Refusal),
    /// Something to be recorded.
    Noted(HistoryEvent),
}

#[derive(Clone, Debug)]
struct OpenChange {
    ticket: Ticket,
    entry: Entry,
    /// How many changes had been agreed on when it was made.
    changes: u64,
    until: Micros,
    next_proposal: Micros,
}

/// The machine.
#[derive(Clone, Debug)]
pub struct Changes {
    settings: Settings,
    agreed: Arc<Tenants>,
    voters: usize,
    open: BTreeMap<u64, OpenChange>,
    number: u64,
    outputs: VecDeque<Output>,
}

impl Changes {
    /// One that has heard of nothing.
    pub fn new(settings: Settings) -> Changes {
        Changes {
            settings,
            agreed: Arc::default(),
            voters: 0,
            open: BTreeMap::new(),
            number: 0,
            outputs: VecDeque::new(),
        }
    }

    /// What is agreed, as far as was heard.
    pub fn agreed(&self) -> &Tenants {
        &self.agreed
    }

    /// How many vote, as far as was heard.
    pub fn voters(&self) -> usize {
        self.voters
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When `Tick` is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.open
            .values()
            .map(|o| o.next_proposal.min(o.until))
            .min()
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Change(ticket, wanted) => {
                if let Err(why) = self.change(now, ticket, wanted) {
                    self.outputs.push_back(Output::Refused(ticket, why));
                }
            }
            Input::Agreed(agreed, voters) => {
                self.voters = voters;
                self.apply_agreed(now, agreed);
            }
            Input::Tick => {}
        }
        self.tick(now);
    }

    fn change(
        &mut self,
        now: Micros,
        ticket: Ticket,
        wanted: ChangeRequest,
    ) -> Result<(), Refusal> {
        // An agreed change stands on the disks of a majority.
        let have = if self.voters == 0 {
            0
        } else {
            self.voters / 2 + 1
        };
        let want = self.settings.copies;
        if have < want {
            return Err(Refusal::Fewer { have, want });
        }
        if self.open.len() >= MAX_OPEN_CHANGES {
            return Err(Refusal::Busy {
                open: self.open.len(),
            });
        }
        self.agreed.room(&wanted.tenant, wanted.kept.as_deref())?;
        self.number += 1;
        let ChangeRequest {
            tenant,
            kept,
            listed,
            answer,
        } = wanted;
        let entry = Entry {
            follows: self.agreed.follows(&tenant),
            tenant,
            by: self.settings.name.clone(),
            origin: Origin {
                process: self.settings.process,
                number: self.number,
            },
            kept,
            listed,
            answer,
        };
        if self.settings.without_agreed {
            let version = self.agreed.changes + 1;
            self.outputs.push_back(Output::Noted(HistoryEvent::Told {
                tenant: entry.tenant.clone(),
                version,
            }));
            self.outputs.push_back(Output::Propose(entry));
            self.outputs.push_back(Output::Done(ticket));
            return Ok(());
        }
        let (changes, until) = (self.agreed.changes, now + self.settings.ask);
        self.open.insert(
            self.number,
            OpenChange {
                ticket,
                entry,
                changes,
                until,
                next_proposal: now,
            },
        );
        Ok(())
    }

    /// What is agreed has changed: what others changed is taken over, and whoever waits is told.
    fn apply_agreed(&mut self, now: Micros, agreed: Arc<Tenants>) {
        let before = std::mem::replace(&mut self.agreed, agreed);
        let agreed = self.agreed.clone();
        if before.removals != agreed.removals {
            self.outputs.push_back(Output::Removals(agreed.removals));
        }
        let version = |t: &Tenants, name: &str| t.lines.get(name).map(|l| l.version);
        let names = before
            .lines
            .keys()
            .filter(|n| !agreed.lines.contains_key(*n))
            .chain(agreed.lines.keys());
        for name in names.filter(|n| version(&before, n) != version(&agreed, n)) {
            let kept = agreed.lines.get(name).and_then(|l| l.kept.clone());
            let (tenant, digest) = (name.clone(), kept.as_deref().map(digest));
            let version = version(&agreed, name).unwrap_or(agreed.changes);
            self.outputs.push_back(Output::Adopt(name.clone(), kept));
            self.outputs.push_back(Output::Noted(HistoryEvent::Adopted {
                tenant,
                version,
                digest,
            }));
        }
        let open: Vec<u64> = self.open.keys().copied().collect();
        for number in open {
            let Some(o) = self.open.get_mut(&number) else {
                continue;
            };
            let tenant = o.entry.tenant.clone();
            let since = agreed.changes.saturating_sub(o.changes);
            let told = if let Some(version) = agreed.held(o.entry.origin) {
                self.outputs
                    .push_back(Output::Noted(HistoryEvent::Told { tenant, version }));
                Output::Done(o.ticket)
            } else if since > super::MAX_RECENT_CHANGES as u64 {
                Output::Refused(o.ticket, Refusal::Unknown { tenant, since })
            } else if let Err(why) = agreed.room(&tenant, o.entry.kept.as_deref()) {
                Output::Refused(o.ticket, why)
            } else if o.entry.follows == agreed.follows(&tenant) {
                continue;
            } else if let (Follows::Nothing(_), Follows::Nothing(removals)) =
                (o.entry.follows, agreed.follows(&tenant))
            {
                // Others were removed meanwhile, and this one still is not there: what was said
                // before cannot take hold any more.
                (o.entry.follows, o.next_proposal) = (Follows::Nothing(removals), now);
                continue;
            } else {
                Output::Refused(o.ticket, Refusal::Changed { tenant })
            };
            self.open.remove(&number);
            self.outputs.push_back(told);
        }
    }

    fn tick(&mut self, now: Micros) {
        let (ask, mut over) = (self.settings.ask, Vec::new());
        for (number, o) in &mut self.open {
            if now >= o.until {
                over.push(*number);
            } else if now >= o.next_proposal {
                o.next_proposal = now + ask / 8;
                self.outputs.push_back(Output::Propose(o.entry.clone()));
            }
        }
        for o in over.into_iter().filter_map(|n| self.open.remove(&n)) {
            let why = Refusal::Unreached {
                tenant: o.entry.tenant,
            };
            self.outputs.push_back(Output::Refused(o.ticket, why));
        }
    }
}
