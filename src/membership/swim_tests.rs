//! Groups on a network that loses, cuts and delays, all from one seed.

use std::collections::{BTreeMap, BTreeSet};

use super::*;

struct Net {
    now: Micros,
    nodes: BTreeMap<String, Swim>,
    /// When, in which order, to whom, from whom.
    in_flight: BTreeSet<(Micros, u64)>,
    messages: BTreeMap<u64, (SocketAddr, String, Message)>,
    random: ChaCha8Rng,
    loss: u64,
    /// From whom nothing reaches whom.
    cut: BTreeSet<(String, String)>,
    sent: BTreeMap<String, u64>,
    count: u64,
    /// Who was ever thought dead by whom.
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
            Input::Known(Vec::new(), vec![address(0), address(1)]),
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

    /// Whether all who are there hold each other, and nobody else, for alive.
    fn agree(&self) -> bool {
        self.nodes.iter().all(|(me, s)| {
            let alive: BTreeSet<String> = s
                .members()
                .filter(|m| m.standing == MemberState::Alive)
                .map(|m| m.record.name)
                .collect();
            let there: BTreeSet<String> = self.nodes.keys().filter(|n| *n != me).cloned().collect();
            alive == there
        })
    }
}

#[test]
fn a_group_finds_itself_and_a_death_is_known_to_all() {
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
        "nobody else was thought dead"
    );
    assert!(known.iter().all(|t| *t < 40 * SECOND), "{known:?}");
    // The same name comes back as a new process: its incarnation is from the clock.
    net.start(7, 1_000_000);
    net.run(30 * SECOND);
    assert!(net.agree());
    // Forgotten after its time, nothing is left of one that stays away.
    net.nodes.remove(&name(3));
    net.run(400 * SECOND);
    assert!(net
        .nodes
        .values()
        .all(|s| s.standing(&name(3)).is_none() && s.members.len() == 18));
    assert!(net.nodes.values().all(|s| !s.probe_order.contains(&name(3))
        && s.probes.len() < 4
        && s.indirect_requests.len() < 8));
}

/// Loss of a third of all datagrams: nobody who is there stays dead to anybody.
#[test]
fn loss_of_thirty_percent_is_borne() {
    let mut net = Net::new(12, 3, 30);
    net.run(120 * SECOND);
    net.loss = 0;
    net.run(60 * SECOND);
    assert!(net.agree());
    let mut net = Net::new(12, 4, 10);
    net.run(200 * SECOND);
    assert!(
        net.deaths.len() < 12,
        "false deaths at a tenth lost: {}",
        net.deaths.len()
    );
}

#[test]
fn halves_that_were_apart_find_together_again() {
    let mut net = Net::new(10, 5, 0);
    net.run(30 * SECOND);
    for a in 0..5 {
        for b in 5..10 {
            net.cut.extend([(name(a), name(b)), (name(b), name(a))]);
        }
    }
    net.run(90 * SECOND);
    assert_eq!(
        net.nodes[&name(2)].standing(&name(8)),
        Some(MemberState::Dead)
    );
    net.cut.clear();
    net.run(90 * SECOND);
    assert!(net.agree());
}

/// A cut in one direction: others probe in one's place, and nobody is thought dead for it.
#[test]
fn a_cut_in_one_direction_between_two_kills_nobody() {
    let mut net = Net::new(10, 6, 0);
    net.run(30 * SECOND);
    net.cut.insert((name(1), name(2)));
    net.run(200 * SECOND);
    assert!(net.agree() && net.deaths.is_empty(), "{:?}", net.deaths);
}

#[test]
fn who_leaves_in_order_is_not_suspected() {
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
        .all(|s| s.standing(&name(4)) == Some(MemberState::Left)));
}

/// One that accuses everybody all the time, in their own and in huge incarnations, and brings records of others that
/// nobody sealed (the wire drops those; here they are as old as can be): all stay alive, and nobody's incarnation is
/// raised beyond what its own refutations need.
#[test]
fn a_liar_costs_refutations_and_nothing_else() {
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
                let say = Say::Sync(false);
                let message = Message {
                    say,
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

/// What an instance sends does not grow with the group.
#[test]
fn traffic_for_each_is_flat() {
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
