//! The second front end to end, as processes on loopback: kills, portals that misbehave, ends in order.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use molelug_testbed::fakes::gateway::{Folder, PROGRAM, SAFE, UNSAFE};
use molelug_testbed::fakes::*;
use molelug_testbed::{conformance, crash, demo};

/// The lab's own program, which runs the gateway.
fn ready() {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn tenant(name: &str, portal: &Portal, more: &str) -> String {
    format!(
        "[[tenants]]\nname = \"{name}\"\nportal = \"http://{}/in\"\nsecrets = [\"{}\"]\n{more}",
        portal.address,
        secret_text(1)
    )
}

const HEAD: &str =
    "[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\ncallback_answer_ms = 400\n\
                    schedule_s = [0.1, 0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6]\n";

struct Scene {
    folder: Folder,
    workers: Vec<Worker>,
    operator: String,
}

impl Scene {
    fn new(name: &str, operator: String) -> Scene {
        ready();
        let workers = vec![Worker::start(Duration::ZERO, 0).unwrap()];
        Scene {
            folder: Folder::new(name).unwrap(),
            workers,
            operator,
        }
    }

    fn start(&self) -> Gateway {
        Gateway::start(&self.folder.0, &self.workers, &self.operator, 900.0).unwrap()
    }
}

fn call(g: &Gateway, tenant: &str, id: &str, class: &str) -> u16 {
    let mut caller = Caller::new(g.webhooks.unwrap());
    status(
        &caller
            .call(tenant, &secret(1), id, &call_body(class, 1, None))
            .unwrap(),
    )
}

#[test]
fn kills_at_random_moments_lose_and_double_nothing() {
    ready();
    assert!(
        crash::run(1, 4).unwrap(),
        "the seed of what failed is in the output"
    );
}

#[test]
fn the_conformance_suite_and_the_demo_pass() {
    ready();
    assert!(conformance::receiver(true, None, "", None, "").unwrap());
    assert!(conformance::sender(true, None, None).unwrap());
    assert!(demo::run().unwrap());
}

/// Every way in which a portal can misbehave, each at a tenant of its own, next to one that is well.
#[test]
fn portals_that_misbehave_are_met_by_class_and_harm_nobody_else() {
    let start = |manner| Portal::start(secret(1), manner).unwrap();
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    let to: &'static str =
        format!("Location: http://{}/\r\n", elsewhere.local_addr().unwrap()).leak();
    let manners = [
        ("well", Manner::Good),
        ("silent", Manner::Silent),
        ("drips", Manner::Drips(40)),
        ("cuts", Manner::Cuts(1)),
        ("redirects", Manner::Says(302, to)),
        ("gone", Manner::Says(410, "")),
        ("junk", Manner::Says(429, "Retry-After: soon\r\n")),
        ("year", Manner::Says(503, "Retry-After: 31536000\r\n")),
    ];
    let portals: BTreeMap<&str, Portal> = manners.iter().map(|(n, m)| (*n, start(*m))).collect();
    let operator: String = portals.iter().map(|(n, p)| tenant(n, p, "")).collect();
    let scene = Scene::new("portals", HEAD.to_owned() + &operator);
    let mut g = scene.start();
    let came = |name: &str, call: &str| {
        portals[name]
            .all()
            .iter()
            .filter(|s| s.call == call)
            .count()
    };
    // The one that must not come twice goes first everywhere: behind an answer to the other that says to wait, or that the
    // endpoint is gone, it would rightly not come at all, and which is first would hang on timing.
    for (id, class) in [("u", UNSAFE), ("s", SAFE)] {
        for name in portals.keys() {
            assert_eq!(call(&g, name, id, class), 202, "{name}");
        }
        until("the first ones have come", || {
            portals.keys().all(|n| came(n, "u") == 1)
        });
    }
    until("the well one has both", || {
        came("well", "u") + came("well", "s") == 2
    });
    until("the safe ones are sent again", || {
        ["cuts", "redirects", "junk"]
            .iter()
            .all(|n| came(n, "s") >= 3)
    });
    until("the slow ones too", || {
        came("silent", "s") >= 2 && came("drips", "s") >= 2
    });
    for name in portals.keys() {
        assert_eq!(came(name, "u"), 1, "{name}: what must not come twice");
        assert!(portals[name].all().iter().all(|s| s.signed));
    }
    // Asked to wait, and switched off: at most what was out already, and nothing again.
    assert!(came("year", "s") <= 1 && came("gone", "s") <= 1);
    elsewhere.set_nonblocking(true).unwrap();
    assert!(elsewhere.accept().is_err(), "no redirect is followed");
    // They come back: what waits arrives, but at the one that is switched off.
    ["silent", "drips", "cuts", "redirects", "junk"]
        .iter()
        .for_each(|n| portals[n].set(Manner::Good));
    let back = |n: &str| {
        portals[n]
            .all()
            .iter()
            .any(|s| s.call == "s" && s.confirmed)
    };
    until("all that wait arrive", || {
        ["cuts", "redirects", "junk", "drips"]
            .iter()
            .all(|n| back(n))
    });
    let counters = g.stop().unwrap();
    assert!(
        counters["callbacks_unknown"].as_u64() >= Some(6),
        "{counters}"
    );
    assert!(g
        .log
        .iter()
        .any(|l| l.contains("switched off") && l.contains("gone")));
}

/// SIGTERM does not wait for a portal: what waits goes on at the next start, in the order of its key.
#[test]
fn an_end_in_order_leaves_what_waits_to_the_next_start() {
    let portal = Portal::start(secret(1), Manner::Says(503, "")).unwrap();
    let ordered = format!(
        "[[tenants.endpoints]]\nname = \"ordered\"\nurl = \"http://{}/in\"\nordered = true\n",
        portal.address
    );
    let one = format!(
        "[[tenants]]\nname = \"t\"\nsecrets = [\"{}\"]\n{ordered}",
        secret_text(1)
    );
    let scene = Scene::new("sigterm", HEAD.to_owned() + &one);
    let mut g = scene.start();
    let mut caller = Caller::new(g.webhooks.unwrap());
    for n in 0..6 {
        let text = call_body(SAFE, 1, Some("patient-7"));
        let answer = caller
            .call("t", &secret(1), &format!("c{n}"), &text)
            .unwrap();
        assert_eq!(
            (status(&answer), header(&answer, "x-kept-in").as_str()),
            (202, "store")
        );
    }
    until("the first was tried", || !portal.all().is_empty());
    g.stop().unwrap();
    assert!(
        portal.all().iter().all(|s| s.call == "c0"),
        "the others stand behind the first"
    );
    portal.set(Manner::Good);
    let mut g = scene.start();
    until("all arrive", || {
        portal.all().iter().filter(|s| s.confirmed).count() == 6
    });
    let order: Vec<String> = portal
        .all()
        .into_iter()
        .filter(|s| s.confirmed)
        .map(|s| s.call)
        .collect();
    assert_eq!(order, ["c0", "c1", "c2", "c3", "c4", "c5"]);
    // One store is never held by two processes.
    let second = Gateway::again(&scene.folder.0, &scene.operator);
    assert!(second
        .unwrap_err()
        .to_string()
        .contains("held by another process"));
    g.stop().unwrap();
}

/// A tenant asks how its own call stands, signed; nobody else learns anything.
#[test]
fn a_caller_asks_for_its_own_call() {
    let portal = Portal::start(secret(1), Manner::Good).unwrap();
    let scene = Scene::new("asks", HEAD.to_owned() + &tenant("t", &portal, ""));
    let mut g = scene.start();
    assert_eq!(call(&g, "t", "mine", SAFE), 202);
    until("it is answered", || portal.all().len() == 1);
    let ask = |id: &str, path: &str, key| {
        let stamp = now_s();
        let signed =
            molelug::front::webhook::signature::sign(std::iter::once(&secret(key)), id, stamp, b"");
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: t\r\nwebhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\n\
             webhook-signature: {signed}\r\n\r\n"
        );
        let answer = Caller::new(g.webhooks.unwrap())
            .exchange(text.as_bytes())
            .unwrap();
        (
            status(&answer),
            String::from_utf8_lossy(body(&answer)).into_owned(),
        )
    };
    let (status, text) = ask("mine", "/webhooks/t/calls/mine", 1);
    assert!(
        status == 200 && text.contains("\"outcome\":\"served\""),
        "{status} {text}"
    );
    assert_eq!(ask("none", "/webhooks/t/calls/none", 1).0, 404);
    assert_eq!(
        ask("mine", "/webhooks/t/calls/mine", 2).0,
        401,
        "another key"
    );
    assert_eq!(
        ask("other", "/webhooks/t/calls/mine", 1).0,
        401,
        "signed for another call"
    );
    g.stop().unwrap();
}

/// Ten thousand signed calls at once from one tenant: each is taken or turned away with a time to come back, each that
/// was taken has its one callback, and the platform's client next to them is served.
#[test]
fn ten_thousand_calls_at_once_are_each_taken_or_turned_away() {
    let portal = Portal::start(secret(1), Manner::Good).unwrap();
    let scene = Scene::new("flood", HEAD.to_owned() + &tenant("t", &portal, ""));
    let mut g = scene.start();
    let to = g.webhooks.unwrap();
    let callers: Vec<_> = (0..40)
        .map(|c| {
            std::thread::spawn(move || {
                // All of a caller's calls are written before one answer is read.
                let mut text = Vec::new();
                for n in 0..250 {
                    let (id, stamp, b) = (format!("c{c}-{n}"), now_s(), call_body(SAFE, n % 8, None));
                    let key = secret(1);
                    let signed = molelug::front::webhook::signature::sign(std::iter::once(&key), &id, stamp, &b);
                    text.extend(format!("POST /webhooks/t HTTP/1.1\r\nHost: t\r\nwebhook-id: {id}\r\n\
                        webhook-timestamp: {stamp}\r\nwebhook-signature: {signed}\r\nContent-Length: {}\r\n\r\n", b.len()).bytes());
                    text.extend(b);
                }
                let mut stream = TcpStream::connect(to).unwrap();
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                let mut writer = stream.try_clone().unwrap();
                let writes = std::thread::spawn(move || writer.write_all(&text).unwrap());
                let (mut held, mut taken) = (Vec::new(), BTreeSet::new());
                for n in 0..250 {
                    let answer = read_http(&mut stream, &mut held).unwrap().expect("each has an answer");
                    match status(&answer) {
                        202 => drop(taken.insert(format!("c{c}-{n}"))),
                        503 => assert!(!header(&answer, "retry-after").is_empty()),
                        other => panic!("{other}"),
                    }
                }
                writes.join().unwrap();
                taken
            })
        })
        .collect();
    let request = format!(
        "POST /call/{:016x}/trigger HTTP/1.1\r\nHost: t\r\nX-Class: {SAFE}\r\nX-Org: franq-bajio\r\n\
         X-Correlation-Id: {:016x}\r\nX-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n",
        99, 99
    );
    let answer = Caller::new(g.platform)
        .exchange(request.as_bytes())
        .unwrap();
    assert!(
        [200, 429, 503].contains(&status(&answer)),
        "the platform's client has its answer"
    );
    let taken: BTreeSet<String> = callers
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect();
    assert!(taken.len() >= 100, "{}", taken.len());
    until("each that was taken has its callback", || {
        portal.all().len() >= taken.len()
    });
    let came: Vec<String> = portal.all().into_iter().map(|s| s.call).collect();
    assert_eq!(came.iter().cloned().collect::<BTreeSet<_>>(), taken);
    assert_eq!(came.len(), taken.len(), "and one only");
    g.stop().unwrap();
}

/// An endpoint that says 410 is switched off, and the tenant's endpoint for operations hears of it. A portal that
/// listens and never accepts is given up by its deadline, by class.
#[test]
fn operations_hear_of_an_endpoint_switched_off_and_one_that_never_accepts_is_given_up() {
    let gone = Portal::start(secret(1), Manner::Says(410, "")).unwrap();
    let ops = Portal::start(secret(1), Manner::Good).unwrap();
    let never = TcpListener::bind("127.0.0.1:0").unwrap();
    let events = format!(
        "[[tenants.endpoints]]\nname = \"ops\"\nurl = \"http://{}/in\"\ntypes = [\"endpoint.*\", \"message.exhausted\"]\n\
         [[tenants.endpoints]]\nname = \"never\"\nurl = \"http://{}/in\"\n",
        ops.address,
        never.local_addr().unwrap()
    );
    let scene = Scene::new("off", HEAD.to_owned() + &tenant("t", &gone, &events));
    let mut g = scene.start();
    assert_eq!(call(&g, "t", "booking", UNSAFE), 202);
    let heard = |kind: &str| {
        ops.all()
            .iter()
            .filter(|s| s.kind == kind && s.signed)
            .count()
    };
    until("operations hear that it is off", || {
        heard("endpoint.disabled") == 1
    });
    // Both copies of the booking's callback: seen by the one that said 410, perhaps by the one that never accepted.
    until("and that nobody can tell", || {
        heard("message.exhausted") == 2
    });
    assert_eq!(gone.all().len(), 1);
    let counters = g.stop().unwrap();
    assert_eq!(counters["callbacks_unknown"], 2, "{counters}");
}
