//! Calls that are owed an answer while the operator's file changes between two starts.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::by_hand::*;
use common::signed::*;
use common::*;

const UNSAFE_CLASS: &str = "confirmar-traslado";
const SAFE_CLASS: &str = "disponibilidad";
const NEWCOMER_KEY: &[u8] = b"the newcomer's key of 32 bytes..";

/// Where a call is when the first process ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// A safe call runs at a worker, and the process is killed.
    RunningAtKill,
    /// An unsafe call runs at a worker, and the process is killed.
    UnsafeAtKill,
    /// The process answers what it took, and leaves the callback to the next one.
    CallbackWaits,
    /// The portal dropped the first attempt at the callback, and the process is killed.
    BetweenAttempts,
}

const STEPS: [Step; 4] = [
    Step::RunningAtKill,
    Step::UnsafeAtKill,
    Step::CallbackWaits,
    Step::BetweenAttempts,
];

impl Step {
    fn class(self) -> &'static str {
        match self {
            Step::UnsafeAtKill => UNSAFE_CLASS,
            _ => SAFE_CLASS,
        }
    }
}

/// A gateway's files, its worker and the portal of its tenant.
struct Site {
    folder: PathBuf,
    head: String,
    portal: Portal,
    worker: WorkerByHand,
}

impl Site {
    fn new(operator_settings: &str, webhook_settings: &str) -> Site {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("changed-file-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let head = format!(
            "{operator_settings}[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\n\
             schedule_s = [0.5, 0.5, 0.5, 0.5, 0.5, 0.5]\n{webhook_settings}"
        );
        Site {
            folder,
            head,
            portal: Portal::start(WEBHOOK_KEY),
            worker: WorkerByHand::start(),
        }
    }

    /// Starts a process with these tenants in the operator's file.
    fn start(&self, tenants: &str) -> Gateway {
        let workers = [endpoint("s-00000001", self.worker.address(), "SERVING")];
        let operator = format!("{}{tenants}", self.head);
        Gateway::start_named("g1", &self.folder, &settings(8000.0), &workers, &operator)
    }

    /// The tenant as it is at the first start.
    fn tenant(&self) -> String {
        tenant(self.portal.address, WEBHOOK_KEY)
    }

    /// Starts the first process, and ends it when its call is at a step. The portal answers no
    /// attempt of that process.
    fn end_first_process_at(&self, step: Step) {
        const ALL: usize = 1_000;
        let gateway = self.start(&self.tenant());
        self.portal.drops.store(ALL, Ordering::SeqCst);
        assert_eq!(SignedCall::new("call-1", step.class()).send(&gateway), 202);
        let mut connection = self.worker.accept();
        let attempt = connection.next_go();
        match step {
            Step::RunningAtKill | Step::UnsafeAtKill => gateway.kill(),
            Step::CallbackWaits => {
                gateway.signal(rustix::process::Signal::TERM);
                connection.answer(&attempt, "200", "remark=w");
                gateway.end();
            }
            Step::BetweenAttempts => {
                connection.answer(&attempt, "200", "remark=w");
                until("the first attempt is dropped", || self.portal.count() > 0);
                gateway.kill();
            }
        }
        self.portal.drops.store(0, Ordering::SeqCst);
        self.portal.seen.lock().unwrap().clear();
    }

    /// Answers the call's attempt at the second process, if its step permits one.
    fn finish_call(&self, step: Step) {
        if step == Step::RunningAtKill {
            let mut connection = self.worker.accept();
            let attempt = connection.next_go();
            connection.answer(&attempt, "200", "remark=w");
        }
    }

    fn expect_one_callback(&self, step: Step, case: &str) {
        let outcome = match step {
            Step::UnsafeAtKill => "unknown",
            _ => "served",
        };
        until("the callback is delivered", || self.portal.count() > 0);
        let seen = self.portal.by_call();
        assert!(seen.keys().eq(["call-1"]), "{case}: {seen:?}");
        let deliveries = &seen["call-1"];
        assert_eq!(deliveries.len(), 1, "{case}: {deliveries:?}");
        assert!(deliveries[0].signed, "{case}: under the portal's secret");
        assert_eq!(deliveries[0].outcome, outcome, "{case}");
    }

    fn remove(self) {
        std::fs::remove_dir_all(&self.folder).expect("the folder");
    }
}

fn tenant(portal: SocketAddr, key: &[u8]) -> String {
    format!(
        "[[tenants]]\nname = \"{TENANT}\"\nshare_per_s = 50.0\nportal = \"http://{portal}/in\"\n\
         secrets = [\"{}\"]\n",
        secret_text(key)
    )
}

/// Guards against answers that never come: a restart with a file that lacks the tenant dropped them.
#[test]
fn tenant_gone_from_file_gets_its_answers() {
    for step in STEPS {
        for operator_settings in ["", "state = \"tenants.json\"\n"] {
            let case = format!("{step:?}, {operator_settings:?}");
            let site = Site::new(operator_settings, "");
            site.end_first_process_at(step);
            let gateway = site.start("");
            site.finish_call(step);
            site.expect_one_callback(step, &case);
            let later = SignedCall::new("call-2", SAFE_CLASS);
            assert_eq!(later.send(&gateway), 401, "{case}: no new calls");
            drop(gateway);
            site.remove();
        }
    }
}

/// Guards against answers that only the first of several further starts remembers.
#[test]
fn answers_of_tenant_gone_from_file_outlive_further_restarts() {
    for end_first in [Gateway::kill, |gateway: Gateway| drop(gateway.stop())] {
        let site = Site::new("", "");
        site.end_first_process_at(Step::RunningAtKill);
        for _ in 0..2 {
            let gateway = site.start("");
            let mut connection = site.worker.accept();
            connection.next_go();
            gateway.kill();
        }
        let gateway = site.start("");
        site.finish_call(Step::RunningAtKill);
        site.expect_one_callback(Step::RunningAtKill, "after three restarts");
        end_first(gateway);
        site.remove();
    }
}

/// Guards against answers that go to another tenant whom the new file gives the name.
#[test]
fn newcomer_in_file_gets_no_answer_of_former_tenant() {
    for step in STEPS {
        let case = format!("{step:?}");
        let site = Site::new("", "");
        site.end_first_process_at(step);
        let newcomer = Portal::start(NEWCOMER_KEY);
        let gateway = site.start(&tenant(newcomer.address, NEWCOMER_KEY));
        let former = SignedCall::new("call-1", step.class());
        let by_newcomer = former.clone().under(NEWCOMER_KEY);
        assert_eq!(by_newcomer.state(&gateway).0, 404, "{case}");
        site.finish_call(step);
        site.expect_one_callback(step, &case);
        assert_eq!(newcomer.count(), 0, "{case}");
        let own = SignedCall::new("call-2", SAFE_CLASS).under(NEWCOMER_KEY);
        assert_eq!(own.send(&gateway), 202, "{case}");
        let mut connection = site.worker.accept();
        let attempt = connection.next_go();
        connection.answer(&attempt, "200", "remark=w");
        until("its own callback", || newcomer.count() == 1);
        // The next start knows the newcomer by the serial number that it got.
        gateway.kill();
        let gateway = site.start(&tenant(newcomer.address, NEWCOMER_KEY));
        assert_eq!(own.state(&gateway), (200, "served".into()), "{case}");
        assert_eq!(by_newcomer.state(&gateway).0, 404, "{case}");
        drop(gateway);
        site.remove();
    }
}

/// A tenant that the file changes in part gets its answers as after the same change by the
/// administration API.
#[test]
fn changes_of_tenant_in_file_mean_the_same_as_by_administration() {
    for step in STEPS {
        let site = Site::new("", "");
        let address = site.portal.address;
        let portal = format!("portal = \"http://{address}/in\"\n");
        let name = format!("[[tenants]]\nname = \"{TENANT}\"\n");
        let secrets = format!("secrets = [\"{}\"]\n", secret_text(WEBHOOK_KEY));
        let types = "[[tenants.endpoints]]\nname = \"portal\"\ntypes = [\"endpoint.*\"]\n";
        let changes = [
            ("endpoint gone", format!("{name}{secrets}")),
            (
                "no longer subscribed",
                format!("{name}{portal}{secrets}{types}"),
            ),
            ("another secret", tenant(address, NEWCOMER_KEY)),
            ("without a share", format!("{name}{portal}{secrets}")),
        ];
        site.remove();
        for (change, tenants) in changes {
            let case = format!("{change}, {step:?}");
            let site = Site {
                portal: Portal::start(WEBHOOK_KEY),
                ..Site::new("", "")
            };
            let tenants = tenants.replace(&address.to_string(), &site.portal.address.to_string());
            site.end_first_process_at(step);
            let gateway = site.start(&tenants);
            site.finish_call(step);
            site.expect_one_callback(step, &case);
            drop(gateway);
            site.remove();
        }
    }
}

/// A portal that moved gets its answers at the new address.
#[test]
fn portal_moved_by_file_gets_its_answers() {
    let mut site = Site::new("", "");
    site.end_first_process_at(Step::CallbackWaits);
    site.portal = Portal::start(WEBHOOK_KEY);
    let gateway = site.start(&site.tenant());
    site.expect_one_callback(Step::CallbackWaits, "moved");
    drop(gateway);
    site.remove();
}

/// A restart does not make the file of an administrator's changes, which replaces the tenants of
/// the operator's file.
#[test]
fn answers_of_former_tenant_leave_file_in_force() {
    let site = Site::new("state = \"tenants.json\"\n", "");
    site.end_first_process_at(Step::CallbackWaits);
    let gateway = site.start("");
    site.expect_one_callback(Step::CallbackWaits, "tenant gone");
    let settled_at = now_s();
    until("what is owed was checked", || now_s() > settled_at + 2);
    drop(gateway.stop());
    let gateway = site.start(&site.tenant());
    assert_eq!(SignedCall::new("call-2", SAFE_CLASS).send(&gateway), 202);
    drop(gateway);
    site.remove();
}
