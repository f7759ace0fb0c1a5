//! Scenario of one run: the fleet's size, the gateways' share of a core, and what happens when.

use std::time::Duration;

use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How discovery sends the changes of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the workers that changed.
    Deltas,
    /// The complete list each time.
    Snapshots,
}

/// The names of the workers that replace others in a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewNames {
    /// New workers at new addresses.
    Fresh,
    /// The same names and addresses, with a later start.
    Kept,
}

/// A release of the workers: half of the groups are replaced, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// Start of the first step.
    pub at: Duration,
    /// Time between two steps.
    pub step: Duration,
    /// Time for which a group drains before its processes end.
    pub drain: Duration,
    /// Time after which its replacement is ready.
    pub replacement: Duration,
    /// The names of the replacements.
    pub names: NewNames,
}

/// How the first gateway is killed before it is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kill {
    /// SIGKILL.
    AtOnce,
    /// SIGTERM several times, then SIGKILL at the earliest time that the platform allows.
    AfterSignals,
}

/// A suspension of the first gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Its start.
    pub at: Duration,
    /// Its duration.
    pub duration: Duration,
}

/// Parameters of a run. Times count from its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Seed; the gateways' seeds derive from it.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of workers.
    pub workers: usize,
    /// Busy threads on each gateway's core; 0 leaves the gateways unpinned.
    pub busy_neighbours: usize,
    /// How discovery sends changes.
    pub updates: UpdateKind,
    /// The release, if there is one.
    pub release: Option<Release>,
    /// Kill of the first gateway, its kind, and the time until it is started again.
    pub kill: Option<(Duration, Kill, Duration)>,
    /// Interval in which discovery is unreachable.
    pub outage: Option<(Duration, Duration)>,
    /// Suspensions of the first gateway.
    pub stops: Vec<Stop>,
    /// Percentage of calls that workers never answer.
    pub unanswered_percent: u64,
    /// Number of functions that are called.
    pub functions: u64,
    /// Calls per second at each gateway.
    pub rate: u64,
    /// Deadline of each call.
    pub deadline: Duration,
    /// Time at which a crowd of clients opens new connections at the first gateway.
    pub crowd_at: Option<Duration>,
    /// End of the calls.
    pub ends_at: Duration,
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Scenario {
    /// The release of the incident's report: half of 3,200 workers are replaced in five steps, and
    /// one gateway is killed and started again between two lists.
    pub fn reported(seed: u64) -> Scenario {
        Scenario {
            seed,
            gateways: 4,
            workers: 3_200,
            busy_neighbours: 9,
            updates: UpdateKind::Deltas,
            release: Some(Release {
                at: ms(4_000),
                step: ms(1_200),
                drain: ms(700),
                replacement: ms(500),
                names: NewNames::Fresh,
            }),
            kill: Some((ms(5_000), Kill::AtOnce, ms(1_400))),
            outage: None,
            stops: Vec::new(),
            unanswered_percent: 0,
            functions: 60,
            rate: 12,
            deadline: ms(1_818),
            crowd_at: None,
            ends_at: ms(16_000),
        }
    }

    /// A release of a fleet of this size, each list a whole snapshot, and two outages of discovery
    /// in which all evidence expires or not.
    pub fn cost(workers: usize) -> Scenario {
        Scenario {
            gateways: 1,
            workers,
            busy_neighbours: 0,
            updates: UpdateKind::Snapshots,
            kill: None,
            outage: Some((ms(11_000), ms(21_000))),
            ends_at: ms(26_000),
            ..Scenario::reported(1)
        }
    }

    /// Few workers, most calls never answered, and a gateway whose process is suspended several
    /// times while requests arrive on open and on new connections.
    pub fn held_loop(seed: u64) -> Scenario {
        Scenario {
            gateways: 2,
            workers: 60,
            busy_neighbours: 0,
            release: None,
            kill: None,
            stops: (0..4)
                .map(|n| Stop {
                    at: ms(2_000 + 2_600 * n),
                    duration: ms(900),
                })
                .collect(),
            unanswered_percent: 60,
            rate: 30,
            deadline: ms(1_500),
            crowd_at: Some(ms(4_900)),
            ends_at: ms(13_000),
            ..Scenario::reported(seed)
        }
    }

    /// Draws a scenario from a seed, deterministically.
    pub fn draw(seed: u64) -> Scenario {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut below = |n: u64| random.next_u64() % n;
        let release_at = ms(2_500 + below(2_000));
        let deadline = ms([700, 1_200, 1_818, 2_300][below(4) as usize]);
        let kill_at = release_at + ms(below(4_000));
        let outage_at = release_at.saturating_sub(ms(below(9_000)));
        let stop_count = [0, 0, 1, 3][below(4) as usize];
        Scenario {
            seed,
            gateways: 2 + below(3) as usize,
            workers: [50, 200, 800, 1_600, 3_200][below(5) as usize],
            busy_neighbours: [0, 2, 4, 9][below(4) as usize],
            updates: [UpdateKind::Deltas, UpdateKind::Snapshots][below(2) as usize],
            release: Some(Release {
                at: release_at,
                step: ms(300 + below(1_500)),
                drain: ms(700 + below(2_500)),
                replacement: ms(below(1_000)),
                names: [NewNames::Fresh, NewNames::Kept][below(2) as usize],
            }),
            kill: (below(3) > 0).then(|| {
                let kind = [Kill::AtOnce, Kill::AfterSignals][below(2) as usize];
                (kill_at, kind, ms(200 + below(1_500)))
            }),
            outage: (below(3) == 0).then(|| (outage_at, outage_at + ms(2_000 + below(10_000)))),
            stops: (0..stop_count)
                .map(|n| Stop {
                    at: ms(1_000 + 3_000 * n + below(1_000)),
                    duration: ms(200 + below(1_200)),
                })
                .collect(),
            unanswered_percent: [0, 0, 10, 50][below(4) as usize],
            functions: [20, 60, 400][below(3) as usize],
            rate: [6, 12, 30][below(3) as usize],
            deadline,
            crowd_at: (below(3) == 0).then(|| ms(2_000 + below(8_000))),
            ends_at: ms(14_000),
        }
    }
}
