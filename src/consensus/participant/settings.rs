//! What a participant is started with.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::consensus::voter::{self, DisabledVoterGuards};
use crate::lease::{self, LeaseName};

/// The settings of one participant.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The gateway's name.
    pub name: Arc<str>,
    /// A number that no other process of this name has.
    pub process: u64,
    /// The configured voters: the gateways to connect to before the agreed voters are known.
    pub contacts: BTreeSet<Arc<str>>,
    /// The configured leases.
    pub leases: BTreeSet<LeaseName>,
    /// The duration of leases and the bound on clock drift.
    pub lease: lease::Settings,
    /// The tick of the voters.
    pub voter: voter::Settings,
    /// The seed of the randomized timeouts.
    pub seed: u64,
    /// Guards that a test has switched off.
    pub disabled_guards: DisabledGuards,
}

/// Guards that a test switches off, to show what each of them prevents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledGuards {
    /// The guards of the voter.
    pub voter: DisabledVoterGuards,
    /// Receivers do not check the term of an effect.
    pub terms: bool,
    /// A holder does not check its lease before it acts.
    pub lease: bool,
    /// A holder does not check its lease again when the bytes of an effect are queued.
    pub queue: bool,
}
