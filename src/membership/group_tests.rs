//! Ten instances on a simulated network, one of which may lie.

use super::super::keys::tests::each;
use super::*;

const N: u8 = 10;

fn address(n: u8) -> SocketAddr {
    ([127, 0, 0, 1], 2000 + u16::from(n)).into()
}

fn name(n: u8) -> String {
    char::from(b'a' + n).to_string()
}

fn settings(n: u8) -> Settings {
    Settings {
        name: name(n),
        address: address(n),
        bytes_per_s: 8000,
        datagrams_per_s: 20,
        swim: swim::Settings::default(),
        bounds: Bounds::default(),
    }
}

/// Instances on a network without delay, with the advice that each one received.
struct World {
    now: Micros,
    groups: Vec<Group>,
    advice: Vec<BTreeMap<WorkerId, HealthAdvice>>,
    first_down: Vec<Option<Micros>>,
    /// The first 500 datagrams sent, for replays.
    captured: Vec<Vec<u8>>,
}

impl World {
    fn new() -> World {
        let now = 1_000 * SECOND;
        let mut groups: Vec<Group> = (0..N)
            .map(|n| Group::new(settings(n), each(n, N), u64::from(n), now))
            .collect();
        for g in &mut groups {
            g.handle(
                now,
                Input::KnownMembers(Vec::new(), vec![address(0), address(1)]),
            );
            g.handle(now, Input::Ready((0..12).map(WorkerId).collect()));
        }
        let n = groups.len();
        World {
            now,
            groups,
            advice: vec![BTreeMap::new(); n],
            first_down: vec![None; n],
            captured: Vec::new(),
        }
    }

    fn settle(&mut self) {
        let mut more = true;
        while more {
            more = false;
            for n in 0..self.groups.len() {
                while let Some(output) = self.groups[n].output() {
                    more = true;
                    match output {
                        Output::Datagram(to, bytes) => {
                            if self.captured.len() < 500 {
                                self.captured.push(bytes.clone());
                            }
                            if let Some(at) = (0..N).position(|i| address(i) == to) {
                                let now = self.now;
                                self.groups[at]
                                    .handle(now, Input::Datagram(address(n as u8), &bytes));
                            }
                        }
                        Output::Advice(worker, advice) => {
                            self.advice[n].insert(worker, advice);
                            if matches!(advice, HealthAdvice::Demote(_)) {
                                self.first_down[n].get_or_insert(self.now);
                            }
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    /// Runs for `seconds`. Each instance tries each worker ten times per second with the outcome
    /// that `seen` returns.
    fn run(
        &mut self,
        seconds: u64,
        seen: impl Fn(usize, u32) -> AttemptOutcome,
        mut each_second: impl FnMut(&mut World),
    ) {
        for _ in 0..seconds * 10 {
            self.now += SECOND / 10;
            for n in 0..self.groups.len() {
                let now = self.now;
                for w in 0..12 {
                    self.groups[n].handle(now, Input::Outcome(WorkerId(w), seen(n, w)));
                }
                if self.groups[n].next_deadline().is_some_and(|t| t <= now) {
                    self.groups[n].handle(now, Input::Tick);
                }
            }
            self.settle();
            if self.now.is_multiple_of(SECOND) {
                each_second(self);
            }
        }
    }

    fn all_alive(&self) -> bool {
        (0..9).all(|n| {
            (0..9)
                .filter(|m| *m != n)
                .all(|m| self.groups[n].state(&name(m as u8)) == Some(MemberState::Alive))
        })
    }
}

#[test]
fn silent_worker_is_demoted_by_instances_without_attempts() {
    let mut w = World::new();
    w.run(20, |_, _| AttemptOutcome::Answered, |_| {});
    assert!(w.all_alive() && w.advice.iter().all(BTreeMap::is_empty));
    let started = w.now;
    // Three instances find worker 5 silent; the others record no attempts at it.
    let silent = |n: usize, worker: u32| {
        if worker == 5 {
            if n < 3 {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::Failed
            }
        } else {
            AttemptOutcome::Answered
        }
    };
    w.run(15, silent, |w| {
        for n in 3..10 {
            w.groups[n].window.remove(&WorkerId(5));
        }
    });
    let demotions = w
        .first_down
        .iter()
        .skip(3)
        .filter_map(|t| *t)
        .filter(|t| *t < started + 10 * SECOND)
        .count();
    assert!(
        demotions >= 6,
        "{:?}",
        w.first_down
            .iter()
            .map(|t| t.map(|t| t - started))
            .collect::<Vec<_>>()
    );
    assert!(w
        .advice
        .iter()
        .flat_map(BTreeMap::keys)
        .all(|worker| *worker == WorkerId(5)));
    // The worker answers again: its observations expire and no advice remains.
    w.run(30, |_, _| AttemptOutcome::Answered, |_| {});
    w.advice.iter_mut().for_each(BTreeMap::clear);
    w.run(10, |_, _| AttemptOutcome::Answered, |_| {});
    assert!(w.advice.iter().all(BTreeMap::is_empty));
    assert!(
        w.groups.iter().all(|g| g.relay_queue.len() < 40),
        "{:?}",
        w.groups.iter().map(Group::queue_sizes).collect::<Vec<_>>()
    );
}

/// Guards against one malicious member: the tenth instance sends false observations and
/// accusations, forgeries, replays and malformed datagrams. The other nine keep each other alive,
/// demote no worker, and stay within their budgets.
#[test]
fn lying_member_demotes_no_worker_and_kills_no_member() {
    let mut w = World::new();
    let all_dead = |n: usize, _| {
        if n == 9 {
            AttemptOutcome::Refused
        } else {
            AttemptOutcome::Answered
        }
    };
    w.run(20, |_, _| AttemptOutcome::Answered, |_| {});
    let before: Vec<u64> = w.groups.iter().map(|g| g.sent_bytes).collect();
    let keys = each(9, N);
    let mut forged = 0;
    w.run(30, all_dead, |w| {
        let now = w.now;
        forged += 1;
        for to in 0..9usize {
            let victim = name((to as u8 + 1) % 9);
            // Accusations in its own name with the current and a huge incarnation, datagrams forged
            // in other names, replays, malformed datagrams and oversized ones.
            let known = w.groups[to]
                .swim
                .members()
                .find(|m| m.record.name == victim)
                .map_or(0, |m| m.record.incarnation);
            let accusations = vec![
                wire::seal_accusation(&keys, &victim, known, "j"),
                wire::seal_accusation(&keys, &victim, u64::MAX, "j"),
            ];
            let records = vec![wire::seal_record(
                &keys,
                &victim,
                address(9),
                u64::MAX,
                true,
            )];
            let message = Message {
                kind: swim::MessageKind::Sync(true),
                records,
                accusations,
            };
            let ill = Observation {
                at: now,
                refused: 3,
                ..Observation::default()
            };
            let seen = (0..12).map(|worker| (WorkerId(worker), ill)).collect();
            let mut lie = Some(wire::seal_observation(&keys, "j", now, seen));
            w.groups[9].number += 1;
            let number = w.groups[9].number;
            let sealed =
                wire::pack(&keys, "j", number, now, &message, MTU, |_| lie.take()).unwrap();
            let as_other =
                wire::pack(&keys, &victim, now + forged, now, &message, MTU, |_| None).unwrap();
            for bytes in [sealed, as_other, vec![7; 900], vec![0; 9000]] {
                w.groups[to].handle(now, Input::Datagram(address(9), &bytes));
            }
            for bytes in w.captured.clone().iter().rev().take(20) {
                w.groups[to].handle(now, Input::Datagram(address(9), bytes));
            }
        }
        w.settle();
    });
    assert!(w.all_alive());
    assert!(
        w.advice.iter().take(9).all(BTreeMap::is_empty),
        "no worker was demoted"
    );
    for (n, g) in w.groups.iter().enumerate().take(9) {
        assert!(
            g.reputation.weight(w.now, "j") < 0.1,
            "{}",
            g.reputation.weight(w.now, "j")
        );
        let (refused, _) = g.rejections();
        assert!(
            ["seal", "replayed", "garbled", "too_long", "part"]
                .iter()
                .all(|why| refused.contains_key(why)),
            "{refused:?}"
        );
        assert!((g.sent_bytes - before[n]) / 30 <= 8000, "the byte budget");
        assert!(g.queue_sizes().0 <= 12 * 10 && g.queue_sizes().1 <= MAX_RELAY_QUEUE);
    }
}

#[test]
fn key_rotation_rejects_no_datagram() {
    use super::super::keys::{tests::private, Keys};
    let mut w = World::new();
    w.run(20, |_, _| AttemptOutcome::Answered, |_| {});
    let public = |n: u8| Keys::public(&private(n)).unwrap();
    // Instance `a` changes from key 1 to key 101: all accept both keys, then `a` signs with the new
    // key, then all stop accepting the old key.
    let accepted = |a: &[u8]| -> BTreeMap<String, Vec<String>> {
        (0..N)
            .map(|n| {
                (
                    name(n),
                    if n == 0 {
                        a.iter().map(|k| public(*k)).collect()
                    } else {
                        vec![public(n + 1)]
                    },
                )
            })
            .collect()
    };
    for (own, accepted) in [
        (1, accepted(&[1, 101])),
        (101, accepted(&[1, 101])),
        (101, accepted(&[101])),
    ] {
        for n in 0..N {
            let key = if n == 0 { own } else { n + 1 };
            let keys = Keys::per_instance(&name(n), &private(key), &accepted).unwrap();
            let now = w.now;
            w.groups[n as usize].handle(now, Input::Keys(keys));
        }
        w.run(20, |_, _| AttemptOutcome::Answered, |_| {});
        assert!(w.all_alive());
    }
    let refused = w.groups[3].rejections().0.get("seal").copied().unwrap_or(0);
    assert_eq!(refused, 0, "no datagram was rejected during the rotation");
}
