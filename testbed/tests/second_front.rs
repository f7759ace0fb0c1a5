//! End-to-end tests of the webhook front with real processes on loopback: kills, misbehaving
//! portals and shutdowns.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use molelug_testbed::fakes::gateway::{TempFolder, NON_IDEMPOTENT_CLASS, PROGRAM, READ_CLASS};
use molelug_testbed::fakes::*;
use molelug_testbed::{conformance, crash, demo};

/// Sets the test bed's program, which also runs the gateway.
fn set_program() {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
}

/// Waits until a condition holds.
fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
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

/// Folder, workers and operator's file of a gateway under test.
struct Setup {
    folder: TempFolder,
    workers: Vec<Worker>,
    operator: String,
}

impl Setup {
    fn new(name: &str, operator: String) -> Setup {
        set_program();
        let workers = vec![Worker::start(Duration::ZERO, 0).unwrap()];
        Setup {
            folder: TempFolder::new(name).unwrap(),
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
fn kills_at_random_moments_lose_and_repeat_nothing() {
    set_program();
    assert!(
        crash::run(1, 4).unwrap(),
        "the output has the seed of the failed round"
    );
}

#[test]
fn conformance_suite_and_demo_pass() {
    set_program();
    assert!(conformance::receiver(true, None, "", None, "").unwrap());
    assert!(conformance::sender(true, None, None).unwrap());
    assert!(demo::run().unwrap());
}

/// Portals misbehave in every known way, each for its own tenant, next to a healthy portal.
#[test]
fn misbehaving_portals_affect_only_their_own_callbacks() {
    let start = |manner| Portal::start(secret(1), manner).unwrap();
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    let to: &'static str =
        format!("Location: http://{}/\r\n", elsewhere.local_addr().unwrap()).leak();
    let manners = [
        ("well", PortalBehavior::Good),
        ("silent", PortalBehavior::Silent),
        ("drips", PortalBehavior::Drips(40)),
        ("cuts", PortalBehavior::Cuts(1)),
        ("redirects", PortalBehavior::Says(302, to)),
        ("gone", PortalBehavior::Says(410, "")),
        ("junk", PortalBehavior::Says(429, "Retry-After: soon\r\n")),
        (
            "year",
            PortalBehavior::Says(503, "Retry-After: 31536000\r\n"),
        ),
    ];
    let portals: BTreeMap<&str, Portal> = manners.iter().map(|(n, m)| (*n, start(*m))).collect();
    let operator: String = portals.iter().map(|(n, p)| tenant(n, p, "")).collect();
    let setup = Setup::new("portals", HEAD.to_owned() + &operator);
    let mut g = setup.start();
    let came = |name: &str, call: &str| {
        portals[name]
            .deliveries()
            .iter()
            .filter(|s| s.call == call)
            .count()
    };
    // The callback that must not be repeated is sent first everywhere. After a response to the
    // other callback that demands a wait or says that the endpoint is gone, it would correctly not
    // be sent at all, and the order would depend on timing.
    for (id, class) in [("u", NON_IDEMPOTENT_CLASS), ("s", READ_CLASS)] {
        for name in portals.keys() {
            assert_eq!(call(&g, name, id, class), 202, "{name}");
        }
        wait_until("the first ones have come", || {
            portals.keys().all(|n| came(n, "u") == 1)
        });
    }
    wait_until("the well one has both", || {
        came("well", "u") + came("well", "s") == 2
    });
    wait_until("the safe ones are sent again", || {
        ["cuts", "redirects", "junk"]
            .iter()
            .all(|n| came(n, "s") >= 3)
    });
    wait_until("the slow ones too", || {
        came("silent", "s") >= 2 && came("drips", "s") >= 2
    });
    for name in portals.keys() {
        assert_eq!(came(name, "u"), 1, "{name}: what must not come twice");
        assert!(portals[name].deliveries().iter().all(|s| s.signed));
    }
    // A portal that demands a wait, or whose endpoint is disabled, gets at most the attempt already
    // in flight.
    assert!(came("year", "s") <= 1 && came("gone", "s") <= 1);
    elsewhere.set_nonblocking(true).unwrap();
    assert!(elsewhere.accept().is_err(), "no redirect is followed");
    // The portals recover: all waiting callbacks arrive, except at the disabled endpoint.
    ["silent", "drips", "cuts", "redirects", "junk"]
        .iter()
        .for_each(|n| portals[n].set(PortalBehavior::Good));
    let back = |n: &str| {
        portals[n]
            .deliveries()
            .iter()
            .any(|s| s.call == "s" && s.confirmed)
    };
    wait_until("all that wait arrive", || {
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

/// SIGTERM does not wait for a portal: waiting callbacks continue after the next start, in the
/// order of their key.
#[test]
fn waiting_callbacks_continue_in_order_after_restart() {
    let portal = Portal::start(secret(1), PortalBehavior::Says(503, "")).unwrap();
    let ordered = format!(
        "[[tenants.endpoints]]\nname = \"ordered\"\nurl = \"http://{}/in\"\nordered = true\n",
        portal.address
    );
    let one = format!(
        "[[tenants]]\nname = \"t\"\nsecrets = [\"{}\"]\n{ordered}",
        secret_text(1)
    );
    let setup = Setup::new("sigterm", HEAD.to_owned() + &one);
    let mut g = setup.start();
    let mut caller = Caller::new(g.webhooks.unwrap());
    for n in 0..6 {
        let text = call_body(READ_CLASS, 1, Some("patient-7"));
        let answer = caller
            .call("t", &secret(1), &format!("c{n}"), &text)
            .unwrap();
        assert_eq!(
            (status(&answer), header(&answer, "x-kept-in").as_str()),
            (202, "store")
        );
    }
    wait_until("the first was tried", || !portal.deliveries().is_empty());
    g.stop().unwrap();
    assert!(
        portal.deliveries().iter().all(|s| s.call == "c0"),
        "the others stand behind the first"
    );
    portal.set(PortalBehavior::Good);
    let mut g = setup.start();
    wait_until("all arrive", || {
        portal.deliveries().iter().filter(|s| s.confirmed).count() == 6
    });
    let order: Vec<String> = portal
        .deliveries()
        .into_iter()
        .filter(|s| s.confirmed)
        .map(|s| s.call)
        .collect();
    assert_eq!(order, ["c0", "c1", "c2", "c3", "c4", "c5"]);
    // Two processes cannot hold the same store.
    let second = Gateway::restart(&setup.folder.0, &setup.operator);
    assert!(second
        .unwrap_err()
        .to_string()
        .contains("held by another process"));
    g.stop().unwrap();
}

/// A tenant queries the state of its own call with a signed request; other requests are refused.
#[test]
fn only_the_tenant_can_query_its_call() {
    let portal = Portal::start(secret(1), PortalBehavior::Good).unwrap();
    let setup = Setup::new("asks", HEAD.to_owned() + &tenant("t", &portal, ""));
    let mut g = setup.start();
    assert_eq!(call(&g, "t", "mine", READ_CLASS), 202);
    wait_until("it is answered", || portal.deliveries().len() == 1);
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

/// One tenant sends ten thousand signed calls at once: each is accepted, or refused with a
/// `Retry-After`; each accepted call has exactly one callback, and a client of the platform's front
/// still gets a response.
#[test]
fn ten_thousand_concurrent_calls_are_accepted_or_refused() {
    let portal = Portal::start(secret(1), PortalBehavior::Good).unwrap();
    let setup = Setup::new("flood", HEAD.to_owned() + &tenant("t", &portal, ""));
    let mut g = setup.start();
    let to = g.webhooks.unwrap();
    let callers: Vec<_> = (0..40)
        .map(|c| {
            std::thread::spawn(move || {
                // Each caller writes all calls before it reads the first response.
                let mut text = Vec::new();
                for n in 0..250 {
                    let (id, stamp, b) = (format!("c{c}-{n}"), now_s(), call_body(READ_CLASS, n % 8, None));
                    let key = secret(1);
                    let signed = molelug::front::webhook::signature::sign(std::iter::once(&key), &id, stamp, &b);
                    text.extend(format!("POST /webhooks/t HTTP/1.1\r\nHost: t\r\nwebhook-id: {id}\r\n\
                        webhook-timestamp: {stamp}\r\nwebhook-signature: {signed}\r\nContent-Length: {}\r\n\r\n", b.len()).bytes());
                    text.extend(b);
                }
                let mut stream = TcpStream::connect(to).unwrap();
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
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
        "POST /call/{:016x}/trigger HTTP/1.1\r\nHost: t\r\nX-Class: {READ_CLASS}\r\nX-Org: franq-bajio\r\n\
         X-Correlation-Id: {:016x}\r\nX-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n",
        99, 99
    );
    let answer = Caller::new(g.platform)
        .exchange(request.as_bytes())
        .unwrap();
    assert!(
        [200, 429, 503].contains(&status(&answer)),
        "the platform's client got no expected response"
    );
    let taken: BTreeSet<String> = callers
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect();
    assert!(taken.len() >= 100, "{}", taken.len());
    wait_until("each that was taken has its callback", || {
        portal.deliveries().len() >= taken.len()
    });
    let came: Vec<String> = portal.deliveries().into_iter().map(|s| s.call).collect();
    assert_eq!(came.iter().cloned().collect::<BTreeSet<_>>(), taken);
    assert_eq!(came.len(), taken.len(), "some callbacks came twice");
    g.stop().unwrap();
}

/// An endpoint that responds with 410 is disabled, and the tenant's operations endpoint is
/// notified. A callback to a portal that listens and never accepts is given up after its deadline.
#[test]
fn operations_endpoint_is_notified_of_failed_deliveries() {
    let gone = Portal::start(secret(1), PortalBehavior::Says(410, "")).unwrap();
    let ops = Portal::start(secret(1), PortalBehavior::Good).unwrap();
    let never = TcpListener::bind("127.0.0.1:0").unwrap();
    let events = format!(
        "[[tenants.endpoints]]\nname = \"ops\"\nurl = \"http://{}/in\"\ntypes = [\"endpoint.*\", \"message.exhausted\"]\n\
         [[tenants.endpoints]]\nname = \"never\"\nurl = \"http://{}/in\"\n",
        ops.address,
        never.local_addr().unwrap()
    );
    let setup = Setup::new("off", HEAD.to_owned() + &tenant("t", &gone, &events));
    let mut g = setup.start();
    assert_eq!(call(&g, "t", "booking", NON_IDEMPOTENT_CLASS), 202);
    let heard = |kind: &str| {
        ops.deliveries()
            .iter()
            .filter(|s| s.kind == kind && s.signed)
            .count()
    };
    wait_until("operations hear that it is off", || {
        heard("endpoint.disabled") == 1
    });
    // One message for each endpoint: the one that responded with 410 has received the booking's
    // callback, the one that never accepts possibly.
    wait_until("and that nobody can tell", || {
        heard("message.exhausted") == 2
    });
    assert_eq!(gone.deliveries().len(), 1);
    let counters = g.stop().unwrap();
    assert_eq!(counters["callbacks_unknown"], 2, "{counters}");
}
