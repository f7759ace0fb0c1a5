//! One gateway's part in changes of tenants: its proposals, and the changes that it adopts.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::error::Refusal;
use super::history::{digest, HistoryEvent};
use super::state::{Answer, Entry, Follows, Tenants};
use super::Origin;
use crate::api::Micros;

/// Maximum number of open changes at this gateway.
pub const MAX_OPEN_CHANGES: usize = 64;

/// Identifies the requester that waits for a change.
pub type Ticket = u64;

/// Settings of [`Changes`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this gateway.
    pub name: Arc<str>,
    /// Unique identifier of this process.
    pub process: u64,
    /// Minimum number of disks that store a change.
    pub replicas: usize,
    /// Timeout for agreement on a change.
    pub agreement_timeout: Micros,
    /// For tests: reports changes as done before agreement, which disables the safeguard.
    pub confirm_before_agreement: bool,
}

/// A change requested at this gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// The new contents of the tenant; `None` for a removal.
    pub encoded: Option<Vec<u8>>,
    /// Whether the operator's file lists the tenant.
    pub listed: bool,
    /// Answer for repeated requests, if the request had an idempotency key.
    pub answer: Option<Answer>,
}

/// Events that [`Changes`] handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A change requested here, based on the state adopted so far.
    Change(Ticket, ChangeRequest),
    /// The agreed state, and the number of voters.
    StateChanged(Arc<Tenants>, usize),
    /// The deadline from [`Changes::next_deadline`] has passed.
    Tick,
}

/// Actions for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Propose an entry to the log; the proposal may get lost.
    Propose(Entry),
    /// Adopt new contents of a tenant; `None` for a removal.
    Adopt(String, Option<Vec<u8>>),
    /// The number of tenants removed by all gateways changed.
    Removals(u64),
    /// A change is agreed and adopted here.
    Done(Ticket),
    /// A change is not confirmed.
    Refused(Ticket, Refusal),
    /// Record an event.
    RecordEvent(HistoryEvent),
}

#[derive(Clone, Debug)]
struct OpenChange {
    ticket: Ticket,
    entry: Entry,
    /// Number of agreed changes when the change was requested.
    changes: u64,
    /// Time at which the change is refused.
    until: Micros,
    /// Time of the next proposal.
    next_proposal: Micros,
}

/// State machine for the changes of tenants at one gateway.
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
    /// Creates a state machine without any agreed state.
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

    /// Returns the latest known agreed state.
    pub fn agreed(&self) -> &Tenants {
        &self.agreed
    }

    /// Returns the latest known number of voters.
    pub fn voters(&self) -> usize {
        self.voters
    }

    /// Returns the next pending action, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the time of the next [`Input::Tick`].
    pub fn next_deadline(&self) -> Option<Micros> {
        self.open
            .values()
            .map(|o| o.next_proposal.min(o.until))
            .min()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Change(ticket, request) => {
                if let Err(why) = self.change(now, ticket, request) {
                    self.outputs.push_back(Output::Refused(ticket, why));
                }
            }
            Input::StateChanged(agreed, voters) => {
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
        request: ChangeRequest,
    ) -> Result<(), Refusal> {
        // An agreed change is stored on the disks of a majority of the voters.
        let have = if self.voters == 0 {
            0
        } else {
            self.voters / 2 + 1
        };
        let want = self.settings.replicas;
        if have < want {
            return Err(Refusal::TooFewDisks { have, want });
        }
        if self.open.len() >= MAX_OPEN_CHANGES {
            return Err(Refusal::Busy {
                open: self.open.len(),
            });
        }
        self.agreed
            .room(&request.tenant, request.encoded.as_deref())?;
        self.number += 1;
        let ChangeRequest {
            tenant,
            encoded: kept,
            listed,
            answer,
        } = request;
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
        if self.settings.confirm_before_agreement {
            let version = self.agreed.changes + 1;
            self.outputs
                .push_back(Output::RecordEvent(HistoryEvent::Told {
                    tenant: entry.tenant.clone(),
                    version,
                }));
            self.outputs.push_back(Output::Propose(entry));
            self.outputs.push_back(Output::Done(ticket));
            return Ok(());
        }
        let (changes, until) = (self.agreed.changes, now + self.settings.agreement_timeout);
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

    /// Adopts a new agreed state and answers the requesters of decided changes.
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
            self.outputs
                .push_back(Output::RecordEvent(HistoryEvent::Adopted {
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
            let outcome = if let Some(version) = agreed.held(o.entry.origin) {
                self.outputs
                    .push_back(Output::RecordEvent(HistoryEvent::Told { tenant, version }));
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
                // Other tenants were removed meanwhile, and this one still does not exist: the
                // earlier proposal can no longer take effect, so the change gets a new base.
                (o.entry.follows, o.next_proposal) = (Follows::Nothing(removals), now);
                continue;
            } else {
                Output::Refused(o.ticket, Refusal::Changed { tenant })
            };
            self.open.remove(&number);
            self.outputs.push_back(outcome);
        }
    }

    fn tick(&mut self, now: Micros) {
        let (ask, mut expired) = (self.settings.agreement_timeout, Vec::new());
        for (number, o) in &mut self.open {
            if now >= o.until {
                expired.push(*number);
            } else if now >= o.next_proposal {
                o.next_proposal = now + ask / 8;
                self.outputs.push_back(Output::Propose(o.entry.clone()));
            }
        }
        for o in expired.into_iter().filter_map(|n| self.open.remove(&n)) {
            let why = Refusal::AgreementTimeout {
                tenant: o.entry.tenant,
            };
            self.outputs.push_back(Output::Refused(o.ticket, why));
        }
    }
}
