//! The settings of a participant.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::consensus::voter::{self, DisabledVoterGuards};
use crate::lease::{self, LeaseName};

/// The settings of one participant.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The gateway's name.
    pub name: Arc<str>,
    /// The ID of the process; no other process of this gateway has it.
    pub process: u64,
    /// The configured voters, to which this gateway connects before it knows the agreed voters.
    pub contacts: BTreeSet<Arc<str>>,
    /// The configured leases.
    pub leases: BTreeSet<LeaseName>,
    /// The duration of leases and the maximum clock drift.
    pub lease: lease::Settings,
    /// The timing of the voter.
    pub voter: voter::Settings,
    /// The seed of the randomized timeouts.
    pub seed: u64,
    /// Guards that a test disables.
    pub disabled_guards: DisabledGuards,
}

/// Safety guards that a test disables to show that each of them is necessary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledGuards {
    /// The guards of the voter.
    pub voter: DisabledVoterGuards,
    /// The receivers' check of an effect's term.
    pub term_check: bool,
    /// The holder's check of its lease before it creates an effect.
    pub lease_check: bool,
    /// The holder's second check of its lease, when the bytes of an effect are queued.
    pub queue_check: bool,
}
