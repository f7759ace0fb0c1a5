//! Calls that are owed an answer while the administration API changes or removes their tenant.

mod common;

use std::path::PathBuf;
use std::sync::atomic::Ordering;

use common::administration::*;
use common::by_hand::*;
use common::signed::*;
use common::*;
use serde_json::json;

const UNSAFE_CLASS: &str = "confirmar-traslado";
const SAFE_CLASS: &str = "disponibilidad";
const NEWCOMER_KEY: &[u8] = b"the newcomer's key of 32 bytes..";

/// A gateway with a worker and a portal that the test drives.
struct Site {
    folder: PathBuf,
    settings: String,
    gateway: Gateway,
    worker: WorkerByHand,
    portal: Portal,
}

impl Site {
    fn start(name: &str, webhook_settings: &str) -> Site {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("owed-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let portal = Portal::start(WEBHOOK_KEY);
        let path = |file: &str| folder.join(file).display().to_string();
        let webhooks = operator_file_with(
            portal.address,
            &format!("store = {:?}\n{webhook_settings}", path("store")),
        );
        let state = path("tenants.json");
        let settings = format!("state = {state:?}\n{webhooks}{}", admin_settings(&folder));
        let worker = WorkerByHand::start();
        let gateway = start_gateway(&worker, &settings);
        Site {
            folder,
            settings,
            gateway,
            worker,
            portal,
        }
    }

    /// Sends a call, and returns it with the worker's connection and the attempt.
    fn begin_call(&self, id: &str, class: &str) -> (SignedCall, WorkerConn, String) {
        let call = SignedCall::new(id, class);
        assert_eq!(call.send(&self.gateway), 202);
        let mut connection = self.worker.accept();
        let attempt = connection.next_go();
        (call, connection, attempt)
    }

    fn administer(&self, request: &str, body: &str) -> u16 {
        administer(&self.gateway, request, body)
    }

    fn remove_tenant(&self) {
        let status = self.administer(&format!("DELETE /v1/tenants/{TENANT}"), "");
        assert_eq!(status, 204);
    }

    /// Waits for the one callback of a call.
    fn expect_one_callback(&self, id: &str) {
        expect_one_callback(&self.portal, id);
    }

    /// Kills the gateway and starts another process with the same files.
    fn kill_and_restart(self) -> Site {
        self.gateway.kill();
        let gateway = start_gateway(&self.worker, &self.settings);
        Site { gateway, ..self }
    }

    fn end(self) {
        self.gateway.stop();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn start_gateway(worker: &WorkerByHand, operator: &str) -> Gateway {
    let workers = [endpoint("s-00000001", worker.address(), "SERVING")];
    Gateway::start(&settings(8000.0), &workers, None, Some(operator))
}

fn expect_one_callback(portal: &Portal, id: &str) {
    until("the callback is delivered", || portal.count() > 0);
    let seen = portal.by_call();
    assert!(seen.keys().eq([id]), "{seen:?}");
    let deliveries = &seen[id];
    assert_eq!(deliveries.len(), 1, "{deliveries:?}");
    assert!(deliveries[0].signed, "under the portal's secret");
    assert_eq!(deliveries[0].outcome, "served");
}

/// Guards against accepted calls that are never answered: their tenant is removed while they run.
#[test]
fn running_call_of_removed_tenant_is_answered() {
    for class in [SAFE_CLASS, UNSAFE_CLASS] {
        let site = Site::start("running", "");
        let (call, mut worker, attempt) = site.begin_call("call-1", class);
        site.remove_tenant();
        assert_eq!(call.state(&site.gateway), (200, "open".into()), "{class}");
        let later = SignedCall::new("call-2", class);
        assert_eq!(later.send(&site.gateway), 401, "no new calls are accepted");
        worker.answer(&attempt, "200", "remark=w");
        site.expect_one_callback("call-1");
        site.end();
    }
}

/// Guards against accepted calls that are never answered: they have not been sent to a worker yet.
#[test]
fn waiting_call_of_removed_tenant_is_answered() {
    let portal = Portal::start(WEBHOOK_KEY);
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("owed-waiting-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let operator = operator_file(portal.address) + &admin_settings(&folder);
    let worker = WorkerByHand::start();
    let board = BoardByHand::start();
    let board_address = Some(board.address());
    let g = Gateway::start(&settings(8000.0), &[], board_address, Some(&operator));
    wait_for_next_second();
    let mut poll = board.poll();
    assert_eq!(SignedCall::new("call-1", UNSAFE_CLASS).send(&g), 202);
    assert_eq!(
        administer(&g, &format!("DELETE /v1/tenants/{TENANT}"), ""),
        204
    );
    poll.tell(2, &[endpoint("s-00000001", worker.address(), "SERVING")]);
    let mut connection = worker.accept();
    let attempt = connection.next_go();
    connection.answer(&attempt, "200", "remark=w");
    expect_one_callback(&portal, "call-1");
    g.stop();
    std::fs::remove_dir_all(&folder).expect("the folder");
}

/// Guards against answers that go to another tenant of the same name, or nowhere.
#[test]
fn newcomer_of_same_name_gets_no_answer_of_removed_tenant() {
    let site = Site::start("newcomer", "");
    let (call, mut worker, attempt) = site.begin_call("call-1", UNSAFE_CLASS);
    site.remove_tenant();
    let newcomer = Portal::start(NEWCOMER_KEY);
    let spec = json!({ "portal": format!("http://{}/in", newcomer.address),
                       "secrets": [secret_text(NEWCOMER_KEY)] });
    let path = format!("PUT /v1/tenants/{TENANT}");
    assert_eq!(site.administer(&path, &spec.to_string()), 201);
    assert_eq!(call.state(&site.gateway), (200, "open".into()));
    let under_new_secret = call.clone().under(NEWCOMER_KEY);
    assert_eq!(under_new_secret.state(&site.gateway).0, 404);
    worker.answer(&attempt, "200", "remark=w");
    site.expect_one_callback("call-1");
    let own = SignedCall::new("call-2", SAFE_CLASS).under(NEWCOMER_KEY);
    assert_eq!(own.send(&site.gateway), 202);
    let attempt = worker.next_go();
    worker.answer(&attempt, "200", "remark=w");
    expect_one_callback(&newcomer, "call-2");
    site.expect_one_callback("call-1");
    site.end();
}

/// Guards against accepted calls that are never answered after the endpoint that was promised
/// their answers is changed.
#[test]
fn running_call_is_answered_after_change_of_its_endpoint() {
    let endpoint = format!("/v1/tenants/{TENANT}/endpoints/portal");
    let other_types = json!({ "types": ["endpoint.*"] }).to_string();
    let other_secret = json!({ "secrets": [secret_text(NEWCOMER_KEY)] }).to_string();
    let changes = [
        (format!("DELETE {endpoint}"), String::new(), 204),
        (format!("PUT {endpoint}"), other_types, 200),
        (format!("PUT {endpoint}"), other_secret.clone(), 200),
        (format!("PUT /v1/tenants/{TENANT}"), other_secret, 200),
    ];
    for (request, body, status) in changes {
        let site = Site::start("endpoint", "");
        let (_, mut worker, attempt) = site.begin_call("call-1", UNSAFE_CLASS);
        assert_eq!(site.administer(&request, &body), status, "{request} {body}");
        worker.answer(&attempt, "200", "remark=w");
        site.expect_one_callback("call-1");
        site.end();
    }
}

/// A call accepted after the change goes only where it is promised.
#[test]
fn removed_endpoint_gets_no_answer_to_later_calls() {
    let site = Site::start("later", "");
    let other = Portal::start(WEBHOOK_KEY);
    let spec = json!({ "url": format!("http://{}/in", other.address) }).to_string();
    let endpoints = format!("/v1/tenants/{TENANT}/endpoints");
    assert_eq!(
        site.administer(&format!("PUT {endpoints}/other"), &spec),
        201
    );
    let (_, mut worker, attempt) = site.begin_call("call-1", SAFE_CLASS);
    assert_eq!(
        site.administer(&format!("DELETE {endpoints}/portal"), ""),
        204
    );
    let later = SignedCall::new("call-2", SAFE_CLASS);
    assert_eq!(later.send(&site.gateway), 202);
    let second = worker.next_go();
    worker.answer(&second, "200", "remark=w");
    worker.answer(&attempt, "200", "remark=w");
    until("all callbacks are delivered", || other.count() == 2);
    site.expect_one_callback("call-1");
    site.end();
}

/// Guards against callbacks that are given up at once when their tenant is removed.
#[test]
fn callback_waiting_for_retry_survives_removal_of_tenant() {
    let site = Site::start("retry", "schedule_s = [1]");
    site.portal.drops.store(1, Ordering::SeqCst);
    let (_, mut worker, attempt) = site.begin_call("call-1", SAFE_CLASS);
    worker.answer(&attempt, "200", "remark=w");
    until("the first callback is dropped", || site.portal.count() == 1);
    site.remove_tenant();
    until("it is delivered", || site.portal.count() == 2);
    let counters = site.gateway.stop();
    assert_eq!(counters["callbacks_delivered"], 1, "{counters}");
    std::fs::remove_dir_all(&site.folder).expect("the folder");
}

/// Guards against accepted calls that are never answered: the gateway is killed after the removal.
#[test]
fn call_of_removed_tenant_is_answered_after_kill() {
    let site = Site::start("kill", "");
    let (call, worker, _) = site.begin_call("call-1", SAFE_CLASS);
    site.remove_tenant();
    drop(worker);
    let site = site.kill_and_restart();
    assert_eq!(call.state(&site.gateway), (200, "open".into()));
    let later = SignedCall::new("call-2", SAFE_CLASS);
    assert_eq!(later.send(&site.gateway), 401, "the tenant stays removed");
    let mut worker = site.worker.accept();
    let attempt = worker.next_go();
    worker.answer(&attempt, "200", "remark=w");
    site.expect_one_callback("call-1");
    site.end();
}

/// Guards against accepted calls that are never answered: no time is given to waiting callbacks,
/// and the call runs for longer than two checks of what is owed.
#[test]
fn running_call_is_answered_without_any_grace() {
    let site = Site::start("no-grace", "removed_grace_s = 0");
    let (_, mut worker, attempt) = site.begin_call("call-1", UNSAFE_CLASS);
    site.remove_tenant();
    let removed_at = now_s();
    until("what is owed was checked twice", || {
        now_s() > removed_at + 2
    });
    worker.answer(&attempt, "200", "remark=w");
    site.expect_one_callback("call-1");
    site.end();
}
