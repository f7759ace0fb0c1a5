//! Groups on a seeded simulated network with loss, partitions and delay.

use std::collections::{BTreeMap, BTreeSet};

use super::*;

struct Net {
    now: Micros,
    nodes: BTreeMap<String, Swim>,
    /// Delivery time and sequence number of each message in flight.
    in_flight: BTreeSet<(Micros, u64)>,
    messages: BTreeMap<u64, (SocketAddr, String, Message)>,
    random: ChaCha8Rng,
    loss: u64,
    /// Sender and receiver of each blocked direction.
    cut: BTreeSet<(String, String)>,
    sent: BTreeMap<String, u64>,
    count: u64,
    /// Time, observer and subject of each change to `Dead`.
    deaths: Vec<(Micros, String, String)>,
}

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + n).into()
}

fn name(n: u16) -> String {
    format!("g{n:03}")
}

fn record(n: u16, incarnation: u64) -> Record {
    Record {
        name: name(n),
        address: address(n),
        incarnation,
        leaving: false,
        seal: Vec::new(),
    }
}

impl Net {
    fn new(n: u16, seed: u64, loss: u64) -> Net {
        let mut net = Net {
            now: SECOND,
            nodes: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            messages: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss,
            cut: BTreeSet::new(),
            sent: BTreeMap::new(),
            count: 0,
            deaths: Vec::new(),
        };
        (0..n).for_each(|i| net.start(i, 1));
        net
    }

    fn start(&mut self, n: u16, incarnation: u64) {
        let seed = self.random.next_u64();
        let mut swim = Swim::new(Settings::default(), record(n, incarnation), seed, self.now);
        swim.handle(
            self.now,
            Input::KnownMembers(Vec::new(), vec![address(0), address(1)]),
        );
        self.nodes.insert(name(n), swim);
    }

    fn settle(&mut self, who: &str) {
        while let Some(output) = self.nodes.get_mut(who).and_then(Swim::output) {
            match output {
                Output::Send(to, message) => {
                    *self.sent.entry(who.to_owned()).or_default() += 1;
                    if self.random.next_u64() % 100 < self.loss {
                        continue;
                    }
                    self.count += 1;
                    let at = self.now + 1000 + self.random.next_u64() % 20_000;
                    self.in_flight.insert((at, self.count));
                    self.messages
                        .insert(self.count, (to, who.to_owned(), message));
                }
                Output::Accuse(accused, incarnation) => {
                    let a = Suspicion {
                        accused,
                        incarnation,
                        by: who.to_owned(),
                        seal: Vec::new(),
                    };
                    self.nodes.get_mut(who).unwrap().accuse(self.now, a);
                }
                Output::Renew(incarnation, leaving) => {
                    let node = self.nodes.get_mut(who).unwrap();
                    let record = Record {
                        incarnation,
                        leaving,
                        ..node.own().clone()
                    };
                    node.renew(record);
                }
                Output::Changed(of, MemberState::Dead) => {
                    self.deaths.push((self.now, who.to_owned(), of))
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        self.nodes
            .keys()
            .cloned()
            .collect::<Vec<_>>()
            .iter()
            .for_each(|n| self.settle(n));
        loop {
            let tick = self
                .nodes
                .iter()
                .filter_map(|(n, s)| Some((s.next_deadline()?, n.clone())))
                .min();
            let delivery = self.in_flight.first().copied();
            let at = tick
                .as_ref()
                .map_or(Micros::MAX, |t| t.0)
                .min(delivery.map_or(Micros::MAX, |l| l.0));
            if at > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(at);
            if let Some((_, number)) = delivery.filter(|l| l.0 == at) {
                self.in_flight.pop_first();
                let Some((to, from, message)) = self.messages.remove(&number) else {
                    continue;
                };
                let Some(who) = self
                    .nodes
                    .values()
                    .find(|s| s.own().address == to)
                    .map(|s| s.own().name.clone())
                else {
                    continue;
                };
                if self.cut.contains(&(from.clone(), who.clone())) {
                    continue;
                }
                let Some(source) = self.nodes.get(&from).map(|s| s.own().address) else {
                    continue;
                };
                self.nodes
                    .get_mut(&who)
                    .unwrap()
                    .handle(self.now, Input::Message(from, source, message));
                self.settle(&who);
            } else if let Some((_, who)) = tick {
                self.nodes
                    .get_mut(&who)
                    .unwrap()
                    .handle(self.now, Input::Tick);
                self.settle(&who);
            }
        }
    }

    /// Returns whether all running instances consider exactly each other alive.
    fn agree(&self) -> bool {
        self.nodes.iter().all(|(me, s)| {
            let alive: BTreeSet<String> = s
                .members()
                .filter(|m| m.state == MemberState::Alive)
                .map(|m| m.record.name)
                .collect();
            let there: BTreeSet<String> = self.nodes.keys().filter(|n| *n != me).cloned().collect();
            alive == there
        })
    }
}

#[test]
fn group_forms_and_all_members_detect_a_death() {
    let mut net = Net::new(20, 1, 0);
    net.run(30 * SECOND);
    assert!(net.agree());
    net.nodes.remove(&name(7));
    let at = net.now;
    net.run(60 * SECOND);
    assert!(net.agree());
    let known: Vec<Micros> = net.deaths.iter().map(|(t, ..)| t - at).collect();
    assert!(
        net.deaths.iter().all(|(_, _, of)| *of == name(7)),
        "no other member was considered dead"
    );
    assert!(known.iter().all(|t| *t < 40 * SECOND), "{known:?}");
    // The same name returns as a new process with an incarnation from the clock.
    net.start(7, 1_000_000);
    net.run(30 * SECOND);
    assert!(net.agree());
    // A member that stays away is removed without remains.
    net.nodes.remove(&name(3));
    net.run(400 * SECOND);
    assert!(net
        .nodes
        .values()
        .all(|s| s.state(&name(3)).is_none() && s.members.len() == 18));
    assert!(net.nodes.values().all(|s| !s.probe_order.contains(&name(3))
        && s.probes.len() < 4
        && s.indirect_requests.len() < 8));
}

/// With 30 % datagram loss, no running member stays dead at any other.
#[test]
fn group_tolerates_thirty_percent_loss() {
    let mut net = Net::new(12, 3, 30);
    net.run(120 * SECOND);
    net.loss = 0;
    net.run(60 * SECOND);
    assert!(net.agree());
    let mut net = Net::new(12, 4, 10);
    net.run(200 * SECOND);
    assert!(
        net.deaths.len() < 12,
        "false deaths at 10 % loss: {}",
        net.deaths.len()
    );
}

#[test]
fn partitioned_halves_merge_again() {
    let mut net = Net::new(10, 5, 0);
    net.run(30 * SECOND);
    for a in 0..5 {
        for b in 5..10 {
            net.cut.extend([(name(a), name(b)), (name(b), name(a))]);
        }
    }
    net.run(90 * SECOND);
    assert_eq!(net.nodes[&name(2)].state(&name(8)), Some(MemberState::Dead));
    net.cut.clear();
    net.run(90 * SECOND);
    assert!(net.agree());
}

/// With one direction between two members blocked, indirect probes prevent false deaths.
#[test]
fn one_way_partition_between_two_kills_no_member() {
    let mut net = Net::new(10, 6, 0);
    net.run(30 * SECOND);
    net.cut.insert((name(1), name(2)));
    net.run(200 * SECOND);
    assert!(net.agree() && net.deaths.is_empty(), "{:?}", net.deaths);
}

#[test]
fn gracefully_leaving_member_is_not_suspected() {
    let mut net = Net::new(8, 7, 0);
    net.run(30 * SECOND);
    let now = net.now;
    net.nodes
        .get_mut(&name(4))
        .unwrap()
        .handle(now, Input::Leave);
    net.settle(&name(4));
    net.run(SECOND);
    net.nodes.remove(&name(4));
    net.run(30 * SECOND);
    assert!(net.deaths.is_empty() && net.agree());
    assert!(net
        .nodes
        .values()
        .all(|s| s.state(&name(4)) == Some(MemberState::Left)));
}

/// Guards against a member that continually accuses all others, with current and huge incarnations,
/// and sends unsealed records (the wire format drops those; here they have incarnation 0): all
/// members stay alive, and incarnations rise only by their own refutations.
#[test]
fn false_accusations_cause_only_refutations() {
    let mut net = Net::new(10, 8, 0);
    net.run(30 * SECOND);
    for _ in 0..60 {
        for victim in 0..9 {
            let known = net.nodes[&name(victim)].own().incarnation;
            for incarnation in [known, u64::MAX] {
                let a = Suspicion {
                    accused: name(victim),
                    incarnation,
                    by: name(9),
                    seal: Vec::new(),
                };
                let say = MessageKind::Sync(false);
                let message = Message {
                    kind: say,
                    records: vec![record(victim, 0)],
                    accusations: vec![a],
                };
                for to in 0..9 {
                    let (now, source) = (net.now, address(9));
                    let node = net.nodes.get_mut(&name(to)).unwrap();
                    node.handle(now, Input::Message(name(9), source, message.clone()));
                    net.settle(&name(to));
                }
            }
        }
        net.run(SECOND);
    }
    assert!(net.deaths.is_empty(), "{:?}", net.deaths);
    net.run(60 * SECOND);
    assert!(net.agree());
    assert!(net.nodes.values().all(|s| s.own().incarnation < 200));
}

/// An instance's traffic does not grow with the size of the group.
#[test]
fn traffic_per_instance_is_independent_of_group_size() {
    let mut rates = Vec::new();
    for n in [5, 20, 60] {
        let mut net = Net::new(n, 9, 0);
        net.run(60 * SECOND);
        assert!(net.agree(), "{n}");
        net.sent.clear();
        net.run(60 * SECOND);
        rates.push(net.sent.values().max().copied().unwrap_or(0));
    }
    assert!(rates.iter().all(|r| *r < 60 * 6), "{rates:?}");
}
