//! Lease trials with real gateway processes that share duties over failing links, judged by the
//! recorded histories.

use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, TryLockError};

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::fault_proxy::{Direction, Faults};
use molelug_testbed::history::{Note, Violation};
use molelug_testbed::lease_trials::{instance_name, run_round, Fleet, FleetConfig, OBSERVED_DUTY};

/// Limits the tests to three fleets at a time: with more, the machine is too slow for the leases.
static SLOTS: [Mutex<()>; 3] = [Mutex::new(()), Mutex::new(()), Mutex::new(())];

fn acquire_slot() -> MutexGuard<'static, ()> {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    loop {
        for slot in &SLOTS {
            match slot.try_lock() {
                Ok(guard) => return guard,
                Err(TryLockError::Poisoned(guard)) => return guard.into_inner(),
                Err(TryLockError::WouldBlock) => {}
            }
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

/// The owner of the duty is stopped past its lease, killed, cut off or shut down, as drawn from the
/// seed, with calls in progress: the histories are sound, and each fault has a next owner.
#[test]
fn failed_owners_leave_sound_histories_and_get_successors() {
    let _slot = acquire_slot();
    for seed in [1, 2, 3] {
        let round = run_round(&FleetConfig::default(), seed, 4, None)
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(
            round.counts.terms >= 5 && round.counts.accepted > 0,
            "{round:?}"
        );
    }
}

/// An old owner's frames are held back until the next owner's frames arrive, and are refused by
/// their term. With the term check disabled, the checker finds that they were accepted.
#[test]
fn late_effects_are_refused_by_their_term() {
    let _slot = acquire_slot();
    for without in [None, Some("terms".to_owned())] {
        let config = FleetConfig {
            lease_ms: 2_500,
            disabled_guard: without.clone(),
            ..FleetConfig::default()
        };
        let mut fleet = Fleet::start(config, 5).unwrap();
        fleet.start_callers().unwrap();
        let (owner, term, _) = fleet.wait_for_owner_after(0).unwrap();
        fleet.wait_for_effect(term).unwrap();
        let from = fleet.notes.len();
        fleet.set_instance_faults(
            owner,
            Faults {
                cut: true,
                ..Faults::default()
            },
            Faults::default(),
        );
        fleet
            .wait_for_note(from, "an effect that is held", |s| {
                s.instance == owner && matches!(s.note, Note::Sent { .. })
            })
            .unwrap();
        let (next, later, _) = fleet.wait_for_owner_after(term).unwrap();
        assert_ne!(next, owner);
        fleet.wait_for_effect(later).unwrap();
        let from = fleet.notes.len();
        fleet.set_instance_faults(owner, Faults::default(), Faults::default());
        let late = |n: &Note| match n {
            Note::Refused { term: t, .. } | Note::Accepted { term: t, .. } => *t == term,
            _ => false,
        };
        fleet
            .wait_for_note(from, "the held effect", |s| late(&s.note))
            .unwrap();
        let (counts, wrong) = fleet.judge().unwrap();
        let stale = wrong.iter().any(|w| matches!(w, Violation::Stale { .. }));
        assert_eq!(stale, without.is_some(), "{wrong:?}");
        assert!(
            without.is_some() || wrong.is_empty() && counts.refused > 0,
            "{wrong:?} {counts:?}"
        );
    }
}

/// The owner is stopped past its lease and continued with probes due. The lease check keeps it from
/// acting.
#[test]
fn owner_continued_after_its_lease_does_not_act() {
    let _slot = acquire_slot();
    for without in [None, Some("lease".to_owned())] {
        let mut fleet = Fleet::start(
            FleetConfig {
                disabled_guard: without.clone(),
                ..FleetConfig::default()
            },
            6,
        )
        .unwrap();
        fleet.start_callers().unwrap();
        let (owner, term, _) = fleet.wait_for_owner_after(0).unwrap();
        fleet.wait_for_effect(term).unwrap();
        fleet.gateway(owner).unwrap().suspend().unwrap();
        let (_, later, _) = fleet.wait_for_owner_after(term).unwrap();
        fleet.wait_for_effect(later).unwrap();
        let from = fleet.notes.len();
        fleet.gateway(owner).unwrap().resume().unwrap();
        let ended = |n: &Note| matches!(n, Note::Ended { duty, term: t } if duty == OBSERVED_DUTY && *t == term);
        fleet
            .wait_for_note(from, "the end of its lease", |s| {
                s.instance == owner && ended(&s.note)
            })
            .unwrap();
        let (_, wrong) = fleet.judge().unwrap();
        let acted = wrong.iter().any(
            |w| matches!(w, Violation::NoLease { owner: o, .. } if *o == instance_name(owner)),
        );
        assert!(without.is_some() || wrong.is_empty(), "{wrong:?}");
        // Without the check the owner may act before it learns that the lease has ended, but need
        // not; the rounds drawn from seeds search for such cases.
        assert!(!acted || without.is_some());
    }
}

/// While three of five voters are down, no instance owns the duty and calls continue. Once two
/// voters are back, the duty has an owner.
#[test]
fn without_a_majority_calls_continue_and_duties_pause() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(
        FleetConfig {
            instances: 6,
            ..FleetConfig::default()
        },
        7,
    )
    .unwrap();
    fleet.start_callers().unwrap();
    let (owner, term, _) = fleet.wait_for_owner_after(0).unwrap();
    let gone: Vec<usize> = (0..5).filter(|n| *n != owner).take(3).collect();
    for n in &gone {
        fleet.kill(*n).unwrap();
    }
    let from = fleet.notes.len();
    let ended = |n: &Note| matches!(n, Note::Ended { term: t, .. } if *t == term);
    fleet
        .wait_for_note(from, "the end of the last lease", |s| ended(&s.note))
        .unwrap();
    // A gateway that still runs answers ten more calls meanwhile.
    let file = fleet.histories().join("calls-5-0.jsonl");
    let served = || {
        std::fs::read_to_string(&file)
            .unwrap_or_default()
            .matches("\"status\":200")
            .count()
    };
    let before = served();
    let end = std::time::Instant::now() + molelug_testbed::fakes::WAIT_TIMEOUT;
    while served() < before + 10 {
        assert!(
            std::time::Instant::now() < end,
            "calls stopped with the loss of the majority"
        );
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    fleet.read_notes().unwrap();
    assert_eq!(
        fleet.owner().map(|(_, t)| t),
        Some(term),
        "an instance owned the duty without a majority"
    );
    let from = fleet.notes.len();
    for n in &gone[..2] {
        fleet.start_instance(*n).unwrap();
    }
    // Either the old owner continues under its term, as no other was granted since, or another
    // instance starts under the next term.
    let began = |n: &Note| matches!(n, Note::Began { duty, .. } if duty == OBSERVED_DUTY);
    fleet
        .wait_for_note(from, "an owner", |s| began(&s.note))
        .unwrap();
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// A voter returns with an outdated seat, and then without a seat: it does not vote under its old
/// identity, reports the reason, and the other voters continue.
#[test]
fn voter_with_outdated_or_missing_seat_does_not_vote() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(
        FleetConfig {
            instances: 3,
            voters: 3,
            ..FleetConfig::default()
        },
        8,
    )
    .unwrap();
    fleet.start_callers().unwrap();
    let (owner, mut term, _) = fleet.wait_for_owner_after(0).unwrap();
    let victim = (owner + 1) % 3;
    let (seat, copy) = (
        fleet.home(victim).join("seat"),
        fleet.home(victim).join("yesterday"),
    );
    // Saves the seat from before one more start.
    fleet.kill(victim).unwrap();
    std::fs::copy(&seat, &copy).unwrap();
    fleet.start_instance(victim).unwrap();
    let votes = |s: &molelug_testbed::lease_trials::ObservedNote| {
        s.instance == victim && matches!(s.note, Note::Agreed { .. })
    };
    let from = fleet.notes.len();
    fleet.kill(owner).unwrap();
    let (_, later, _) = fleet.wait_for_owner_after(term).unwrap();
    fleet.wait_for_note(from, "its vote", votes).unwrap();
    term = later;
    fleet.start_instance(owner).unwrap();
    fleet.kill(victim).unwrap();
    std::fs::copy(&copy, &seat).unwrap();
    let from = fleet.notes.len();
    fleet.start_instance(victim).unwrap();
    let retired = |s: &molelug_testbed::lease_trials::ObservedNote| {
        s.instance == victim && matches!(s.note, Note::Retired { .. })
    };
    fleet
        .wait_for_note(from, "the refusal of the outdated seat", retired)
        .unwrap();
    // The other two voters continue without the victim.
    let (owner, _) = fleet.owner().unwrap();
    if owner != victim {
        fleet.gateway(owner).unwrap().terminate().unwrap();
        fleet.gateways[owner].take().unwrap().wait().unwrap();
        fleet.start_instance(owner).unwrap();
        fleet.wait_for_owner_after(term).unwrap();
    }
    // Without a seat the instance follows, and logs that it does not vote.
    fleet.kill(victim).unwrap();
    std::fs::remove_file(&seat).unwrap();
    fleet.start_instance(victim).unwrap();
    let log = &fleet.gateways[victim].as_ref().unwrap().log;
    assert!(
        log.iter()
            .any(|l| l.contains("does not vote") && l.contains("there is none")),
        "{log:?}"
    );
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// A second process starts under the same name, as during an upgrade: while the first runs, the
/// second follows, and once the first has exited, the second takes over address and seat.
#[test]
fn newer_process_votes_after_older_namesake_exits() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(
        FleetConfig {
            instances: 3,
            voters: 3,
            ..FleetConfig::default()
        },
        9,
    )
    .unwrap();
    fleet.start_callers().unwrap();
    let (owner, term, _) = fleet.wait_for_owner_after(0).unwrap();
    let second = fleet.start_process(owner).unwrap();
    assert!(
        second.log.iter().any(|l| l.contains("is in use")),
        "{:?}",
        second.log
    );
    fleet.gateway(owner).unwrap().terminate().unwrap();
    fleet.gateways[owner].take().unwrap().wait().unwrap();
    fleet.gateways[owner] = Some(second);
    fleet.wait_for_owner_after(term).unwrap();
    // With a third voter down, nothing can be agreed without the newer process's vote.
    let other = (owner + 1) % 3;
    let (_, term) = fleet.owner().unwrap();
    fleet.kill(other).unwrap();
    let (last, _) = fleet.owner().unwrap();
    if last != other {
        fleet.gateway(last).unwrap().suspend().unwrap();
        fleet.gateway(last).unwrap().resume().unwrap();
    }
    let from = fleet.notes.len();
    fleet.start_instance(other).unwrap();
    let again = |n: &Note| matches!(n, Note::Agreed { .. } | Note::Restored { .. });
    fleet
        .wait_for_note(from, "what was agreed", |s| {
            s.instance == other && again(&s.note)
        })
        .unwrap();
    assert!(fleet.owner().is_some_and(|(_, t)| t >= term));
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// Links flap, a third of all frames is lost, some are duplicated, and only one other instance
/// hears the leader: no term has two leaders, and the duty has an owner once the network is
/// healthy.
#[test]
fn lossy_flapping_and_partial_links_leave_one_owner() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(FleetConfig::default(), 10).unwrap();
    fleet.start_callers().unwrap();
    let (_, mut term, _) = fleet.wait_for_owner_after(0).unwrap();
    fleet.set_all_faults(Faults {
        drop_percent: 30,
        duplicate_percent: 3,
        jitter_ms: 20,
        ..Faults::default()
    });
    let leader = fleet
        .notes
        .iter()
        .rfind(|s| matches!(s.note, Note::Leads { .. }))
        .unwrap()
        .instance;
    let one = (leader + 1) % 5;
    for round in 0..6 {
        for ((from, to), link) in &fleet.links {
            let hears = [*from, *to].contains(&leader) && ![*from, *to].contains(&one);
            link.set(
                Direction::Forward,
                Faults {
                    cut: hears && round % 2 == 0,
                    drop_percent: 30,
                    ..Faults::default()
                },
            );
        }
        std::thread::sleep(std::time::Duration::from_millis(400));
    }
    fleet.set_all_faults(Faults::default());
    fleet.read_notes().unwrap();
    if let Some((owner, t)) = fleet.owner().filter(|(_, t)| *t >= term) {
        // Any owner that is killed has a successor.
        fleet.kill(owner).unwrap();
        term = t;
    }
    fleet.wait_for_owner_after(term).unwrap();
    let (counts, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, [], "{counts:?}");
}

/// Clients use up nearly all descriptors of the owner: it gives up the duty by itself, and the duty
/// has an owner again later.
#[test]
fn owner_without_descriptors_gives_up_its_duty() {
    let _slot = acquire_slot();
    let config = FleetConfig {
        instances: 3,
        voters: 3,
        max_descriptors: 90,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(config, 13).unwrap();
    fleet.start_callers().unwrap();
    let (owner, term, _) = fleet.wait_for_owner_after(0).unwrap();
    let to = fleet.gateway(owner).unwrap().platform;
    let mut clients = std::collections::VecDeque::new();
    let from = fleet.notes.len();
    let gone = |s: &molelug_testbed::lease_trials::ObservedNote| {
        s.instance == owner && matches!(&s.note, Note::Ended { term: t, .. } if *t == term)
    };
    let end = std::time::Instant::now() + molelug_testbed::fakes::WAIT_TIMEOUT;
    while !fleet.notes[from..].iter().any(gone) {
        assert!(std::time::Instant::now() < end, "the owner kept the duty");
        // The gateway closes an idle connection after two seconds; further connections replace it.
        clients.extend(std::net::TcpStream::connect(to));
        if clients.len() > 300 {
            clients.pop_front();
        }
        std::thread::sleep(std::time::Duration::from_millis(2));
        fleet.read_notes().unwrap();
    }
    fleet.wait_for_owner_after(term).unwrap();
    drop(clients);
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// With a truncated or invalid seat file, the gateway reports the damage, follows and serves.
#[test]
fn gateway_with_damaged_seat_follows_and_serves() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(
        FleetConfig {
            instances: 3,
            voters: 3,
            ..FleetConfig::default()
        },
        11,
    )
    .unwrap();
    fleet.start_callers().unwrap();
    let (owner, ..) = fleet.wait_for_owner_after(0).unwrap();
    let victim = (owner + 1) % 3;
    fleet.kill(victim).unwrap();
    let seat = fleet.home(victim).join("seat");
    let whole = std::fs::read(&seat).unwrap();
    for damaged in [&whole[..whole.len() / 3], &b"not a seat"[..]] {
        std::fs::write(&seat, damaged).unwrap();
        let from = fleet.notes.len();
        fleet.start_instance(victim).unwrap();
        let log = &fleet.gateway(victim).unwrap().log;
        assert!(log.iter().any(|l| l.contains("does not vote")), "{log:?}");
        let restored = |n: &Note| matches!(n, Note::Restored { .. });
        fleet
            .wait_for_note(from, "the restored state", |s| {
                s.instance == victim && restored(&s.note)
            })
            .unwrap();
        fleet.kill(victim).unwrap();
    }
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// Unknown clients connect to the consensus port and send garbage, an excessive length, nothing, or
/// a frame sealed with an unaccepted key. Invalid input closes only its own connection, and the
/// owner continues.
#[test]
fn unknown_clients_on_the_consensus_port_do_no_harm() {
    use std::io::{Read, Write};
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(
        FleetConfig {
            instances: 3,
            voters: 3,
            lease_ms: 1_500,
            ..FleetConfig::default()
        },
        12,
    )
    .unwrap();
    fleet.start_callers().unwrap();
    let (owner, term, _) = fleet.wait_for_owner_after(0).unwrap();
    let text = std::fs::read_to_string(fleet.home(owner).join("council.toml")).unwrap();
    let listen = text
        .lines()
        .find_map(|l| l.strip_prefix("listen = "))
        .unwrap()
        .trim_matches('"')
        .to_owned();
    let mut silent = Vec::new();
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0xff; 64],
        &[3, 0, 0, 0, 1, 2, 3],
        &[],
    ] {
        let mut s = std::net::TcpStream::connect(&listen).unwrap();
        s.set_read_timeout(Some(molelug_testbed::fakes::WAIT_TIMEOUT))
            .unwrap();
        s.write_all(bytes).unwrap();
        let mut word = [0; molelug::consensus::wire::CHALLENGE_BYTES];
        s.read_exact(&mut word).unwrap();
        if bytes.is_empty() {
            silent.push(s);
        } else {
            // The gateway closes the connection, or resets it because of unread bytes.
            assert_eq!(s.read(&mut [0; 8]).unwrap_or(0), 0);
        }
    }
    let keys = molelug::membership::keys::Keys::shared(&[base64::Engine::encode(
        &base64::prelude::BASE64_STANDARD,
        [9; 32],
    )])
    .unwrap();
    use molelug::consensus::wire::{challenge, Body, Session};
    let mut s = std::net::TcpStream::connect(&listen).unwrap();
    s.set_read_timeout(Some(molelug_testbed::fakes::WAIT_TIMEOUT))
        .unwrap();
    let mut first = [0; molelug::consensus::wire::CHALLENGE_BYTES];
    s.read_exact(&mut first).unwrap();
    let mut session = Session::connector("gw-1", &instance_name(owner), challenge("gw-1", 1, 1));
    session.read_frame(&keys, &first).unwrap();
    let poll = Body::Poll(molelug::consensus::wire::Poll::default());
    s.write_all(&session.seal_frame(&keys, &poll).unwrap())
        .unwrap();
    assert_eq!(
        s.read(&mut [0; 8]).unwrap_or(0),
        0,
        "a forged frame got an answer"
    );
    let from = fleet.notes.len();
    let acts = |s: &molelug_testbed::lease_trials::ObservedNote| {
        s.instance == owner && matches!(s.note, Note::Acted { .. })
    };
    fleet
        .wait_for_note(from, "the owner to go on", acts)
        .unwrap();
    assert_eq!(fleet.owner(), Some((owner, term)));
    drop(silent);
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// During a partition that isolates one voter, operator commands replace this voter with a fourth
/// gateway, which has a seat. After the partition the old voter no longer votes, and the new one's
/// vote counts.
#[test]
fn operator_exchanges_voters_during_a_partition() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(
        FleetConfig {
            instances: 4,
            voters: 3,
            spare_seats: 1,
            ..FleetConfig::default()
        },
        14,
    )
    .unwrap();
    fleet.start_callers().unwrap();
    let (_, term, _) = fleet.wait_for_owner_after(0).unwrap();
    let leads = |f: &Fleet| {
        f.notes
            .iter()
            .rfind(|s| matches!(s.note, Note::Leads { .. }))
            .unwrap()
            .instance
    };
    let leader = leads(&fleet);
    let gone = (leader + 1) % 3;
    let cut = Faults {
        cut: true,
        ..Faults::default()
    };
    fleet.set_instance_faults(gone, cut, cut);
    let wait_for_output = |f: &Fleet, at: usize, what: &[&str], has: &str| {
        let end = std::time::Instant::now() + molelug_testbed::fakes::WAIT_TIMEOUT;
        loop {
            let said = f.run_command(at, what).unwrap_or_else(|e| e.to_string());
            if said.contains(has) {
                return said;
            }
            assert!(
                std::time::Instant::now() < end,
                "{what:?} lacks '{has}': {said}"
            );
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
    };
    // Cuts the fourth gateway's links to all voters but the leader, so that it follows the leader.
    for (from, to) in fleet
        .links
        .keys()
        .copied()
        .filter(|(from, to)| *from == 3 && *to != leader)
    {
        fleet.links[&(from, to)].set_both(cut);
    }
    wait_for_output(
        &fleet,
        leader,
        &["council", "show"],
        "could vote        gw-3",
    );
    fleet
        .run_command(leader, &["council", "exchange", "--joins", "gw-3"])
        .unwrap();
    wait_for_output(
        &fleet,
        leader,
        &["council", "show"],
        "voter             gw-3",
    );
    fleet
        .links
        .iter()
        .filter(|((from, _), _)| *from == 3)
        .for_each(|(_, l)| l.set_both(Faults::default()));
    fleet.set_instance_faults(gone, cut, cut);
    wait_for_output(&fleet, 3, &["council", "show"], "votes             true");
    let refused = fleet
        .run_command(leader, &["council", "exchange", "--leaves", "gw-9"])
        .unwrap_err()
        .to_string();
    assert!(refused.contains("does not vote"), "{refused}");
    let at = leads(&fleet);
    fleet
        .run_command(
            at,
            &["council", "exchange", "--leaves", &instance_name(gone)],
        )
        .unwrap();
    let said = wait_for_output(&fleet, 3, &["council", "show", "--json"], "\"voters\"");
    assert!(said.contains("gw-3"), "{said}");
    fleet.set_all_faults(Faults::default());
    wait_for_output(&fleet, gone, &["council", "show"], "voter             gw-3");
    // Without the old voter, two of three are a majority: the new voter and one other suffice.
    let other = (0..3).find(|n| *n != gone && *n != at).unwrap();
    fleet.kill(other).unwrap();
    let (owner, now) = fleet.owner().unwrap();
    if owner == other {
        fleet.wait_for_owner_after(now).unwrap();
    }
    let duties = wait_for_output(&fleet, at, &["duties", "--explain"], "trials  term");
    assert!(duties.contains("owner gw-"), "{duties}");
    assert!(fleet.owner().unwrap().1 >= term);
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// SIGHUP rotates the shared keys in operation: the old key and the new one, the new one first, the
/// new one alone. The owner keeps its duty and continues.
#[test]
fn key_rotation_keeps_the_owner() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(
        FleetConfig {
            instances: 4,
            voters: 3,
            lease_ms: 1_500,
            ..FleetConfig::default()
        },
        15,
    )
    .unwrap();
    fleet.start_callers().unwrap();
    let (owner, term, _) = fleet.wait_for_owner_after(0).unwrap();
    for keys in [&[7u8, 8][..], &[8, 7], &[8]] {
        fleet.rotate_keys(keys).unwrap();
        let from = fleet.notes.len();
        let took = |n: &Note| matches!(n, Note::Accepted { term: t, .. } if *t == term);
        fleet
            .wait_for_note(from, "an effect under these keys", |s| {
                s.instance == 3 && took(&s.note)
            })
            .unwrap();
    }
    assert_eq!(fleet.owner(), Some((owner, term)));
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}
