//! What a seed draws.

use std::time::Duration;

use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The deadline of all classes.
pub const DEADLINE: Duration = Duration::from_millis(1_000);
/// How long the clients go on.
pub const DURATION: Duration = Duration::from_millis(4_500);

/// What some clients do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rudeness {
    /// Pings at full speed.
    Pings,
    /// Calls of an unknown class at full speed.
    UnknownClass,
    /// Calls of ever new functions at full speed.
    NewFunctions,
    /// Bytes that are no request, each on a new connection.
    Garbage,
    /// Connections that stop within a large body.
    HalfBodies,
    /// Connections whose heads have no end and grow byte by byte.
    EndlessHeads,
    /// Connections with heads of very many short fields.
    ManyFields,
    /// Calls with large bodies that are sent ahead; no answer is read.
    NeverRead,
    /// Many calls are sent ahead, and the client leaves with its answers unread.
    LeaveUnread,
    /// Unsafe calls whose clients leave at once.
    LeaveAtOnce,
    /// Unsafe calls that come again under the same identity after their clients left.
    RepeatIdentity,
}

impl Rudeness {
    const ALL: [Rudeness; 11] = [
        Rudeness::Pings,
        Rudeness::UnknownClass,
        Rudeness::NewFunctions,
        Rudeness::Garbage,
        Rudeness::HalfBodies,
        Rudeness::EndlessHeads,
        Rudeness::ManyFields,
        Rudeness::NeverRead,
        Rudeness::LeaveUnread,
        Rudeness::LeaveAtOnce,
        Rudeness::RepeatIdentity,
    ];

    /// Whether one thread holds many connections rather than one that is busy.
    pub fn is_crowd(self) -> bool {
        matches!(
            self,
            Rudeness::HalfBodies
                | Rudeness::EndlessHeads
                | Rudeness::ManyFields
                | Rudeness::NeverRead
        )
    }
}

/// Clients of one kind.
#[derive(Clone, Copy, Debug)]
pub struct RudeGroup {
    /// What they do.
    pub rudeness: Rudeness,
    /// How many they are.
    pub clients: usize,
}

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed.
    pub seed: u64,
    /// The rude clients.
    pub groups: Vec<RudeGroup>,
    /// The gateway's limit on memory, in MB.
    pub memory_mb: u64,
    /// The gateway's limit on descriptors.
    pub sockets: usize,
    /// Busy threads on the gateway's core.
    pub busy_neighbours: usize,
    /// How long workers take for a call.
    pub run_time: Duration,
    /// When the process is told to end, if it is restarted.
    pub restart_at: Option<Duration>,
}

impl Scenario {
    /// Draws a scenario.
    pub fn draw(seed: u64) -> Scenario {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut below = |bound: u64| random.next_u64() % bound;
        let mut one_of = |all: &[u64]| all[below(all.len() as u64) as usize];
        let sockets = one_of(&[512, 1024, 4096]) as usize;
        let memory_mb = one_of(&[32, 32, 64, 192]);
        let busy_neighbours = one_of(&[0, 0, 4, 9]) as usize;
        let run_time = Duration::from_millis(one_of(&[5, 20, 100, 700]));
        let restart_at = [None, Some(Duration::from_millis(1_000))][one_of(&[0, 1]) as usize];
        let count = one_of(&[1, 1, 2, 3]);
        // Sound clients hold at most a third of the descriptors; so do the rude ones here.
        let most = sockets as u64 / 3 / count;
        let groups = (0..count)
            .map(|_| {
                let kind = one_of(&(0..Rudeness::ALL.len() as u64).collect::<Vec<_>>());
                let rudeness = Rudeness::ALL[kind as usize];
                let clients = if rudeness.is_crowd() {
                    one_of(&[20, most / 2, most]) as usize
                } else {
                    one_of(&[1, 2, 8]) as usize
                };
                RudeGroup { rudeness, clients }
            })
            .collect();
        Scenario {
            seed,
            groups,
            memory_mb,
            sockets,
            busy_neighbours,
            run_time,
            restart_at,
        }
    }
}
