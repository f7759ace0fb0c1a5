//! Signed calls that are sent to several gateways of a group, each with a folder of its own or with
//! one file of identities.

mod common;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

use common::signed::*;
use common::*;

const UNSAFE_CLASS: &str = "confirmar-traslado";
const SAFE_CLASS: &str = "disponibilidad";
const GATEWAYS: usize = 3;

/// The gateways of a group, by number.
struct Group {
    folder: PathBuf,
    webhook_settings: String,
    portal: Portal,
    worker: Worker,
}

impl Group {
    fn new(webhook_settings: &str) -> Group {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("group-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Group {
            folder,
            webhook_settings: webhook_settings.to_owned(),
            portal: Portal::start(WEBHOOK_KEY),
            worker: Worker::start(),
        }
    }

    /// Starts a gateway with a folder of its own.
    fn start(&self, number: usize) -> Gateway {
        let folder = self.folder.join(number.to_string());
        std::fs::create_dir_all(&folder).expect("a folder");
        self.start_in(&folder, number)
    }

    fn start_in(&self, folder: &Path, number: usize) -> Gateway {
        let workers = [endpoint("s-00000001", self.worker.address, "SERVING")];
        let mut settings = settings(900.0);
        settings["groupSize"] = GATEWAYS.into();
        settings["me"] = number.into();
        let operator = operator_file_with(self.portal.address, &self.webhook_settings);
        Gateway::start_named(
            &format!("g{number}"),
            folder,
            &settings,
            &workers,
            &operator,
        )
    }

    fn start_all(&self) -> Vec<Gateway> {
        (0..GATEWAYS).map(|number| self.start(number)).collect()
    }

    fn runs(&self) -> usize {
        self.worker.gos.lock().unwrap().len()
    }

    fn remove(self) {
        std::fs::remove_dir_all(&self.folder).expect("the folder");
    }
}

/// Guards against replays that run twice: another gateway, with a memory of its own, took them.
#[test]
fn replay_at_gateway_with_own_memory_never_runs() {
    for webhook_settings in ["", "store = \"store\"", "replay_file = \"taken\""] {
        for class in [UNSAFE_CLASS, SAFE_CLASS] {
            let case = format!("{webhook_settings:?}, {class}");
            let group = Group::new(webhook_settings);
            let mut gateways = group.start_all();
            wait_for_next_second();
            let call = SignedCall::new("call-1", class);
            assert_eq!(call.send(&gateways[0]), 202, "{case}");
            until("the callback is delivered", || group.portal.count() == 1);
            assert_eq!(call.send(&gateways[1]), 421, "{case}: not run there");
            assert_eq!(call.send(&gateways[0]), 409, "{case}");
            // The home is away, and another gateway starts again.
            gateways.remove(0).kill();
            assert_eq!(
                call.send(&gateways[0]),
                421,
                "{case}: while the home is away"
            );
            gateways.remove(0).kill();
            let restarted = group.start(1);
            assert_eq!(call.send(&restarted), 421, "{case}: after a start");
            let home = group.start(0);
            assert!(
                [401, 409].contains(&call.send(&home)),
                "{case}: at home again"
            );
            assert_eq!(group.runs(), 1, "{case}");
            drop((gateways, restarted, home));
            group.remove();
        }
    }
}

/// The answer says that nothing ran and which gateway takes the call.
#[test]
fn misdirected_call_is_told_its_home() {
    let group = Group::new("store = \"store\"\n[webhooks.homes]\nclinic = 2");
    let gateways = group.start_all();
    let call = SignedCall::new("call-1", UNSAFE_CLASS);
    let head = call.send_for_head(&gateways[0]);
    assert!(head.starts_with("HTTP/1.1 421 "), "{head}");
    assert!(head.contains("X-Home-Gateway: 2\r\n"), "{head}");
    assert_eq!(
        call.clone()
            .under(b"not the tenant's key at all.....")
            .send(&gateways[0]),
        401
    );
    assert_eq!(
        call.send(&gateways[2]),
        202,
        "nothing was remembered of it elsewhere"
    );
    drop(gateways);
    group.remove();
}

/// Gateways that are all registered in one file take every call, and no replay.
#[test]
fn gateways_with_one_file_take_calls_once_all_are_registered() {
    let folder = Group::new("");
    let shared = folder.folder.join("shared").display().to_string();
    let group = Group::new(&format!("store = \"store\"\nreplay_file = {shared:?}"));
    let first = group.start(0);
    let second = group.start(1);
    wait_for_next_second();
    let call = SignedCall::new("call-1", UNSAFE_CLASS);
    assert_eq!(call.send(&second), 421, "the third may have another file");
    let third = group.start(2);
    assert_eq!(call.send(&second), 202);
    for gateway in [&first, &second, &third] {
        assert_eq!(call.send(gateway), 409);
    }
    third.kill();
    assert_eq!(
        SignedCall::new("call-2", UNSAFE_CLASS).send(&second),
        202,
        "one is away"
    );
    let third = group.start(2);
    assert_eq!(call.send(&third), 409, "after a start");
    until("both have run", || group.portal.count() == 2);
    assert_eq!(group.runs(), 2);
    drop((first, second, third));
    group.remove();
    folder.remove();
}

/// Gateways whose operator's files are in one folder share the file there.
#[test]
fn gateways_of_one_folder_take_every_call() {
    let group = Group::new("");
    let shared = group.folder.join("shared");
    std::fs::create_dir_all(&shared).expect("a folder");
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| group.start_in(&shared, number))
        .collect();
    wait_for_next_second();
    for (number, gateway) in gateways.iter().enumerate() {
        let call = SignedCall::new(&format!("call-{number}"), UNSAFE_CLASS);
        assert_eq!(call.send(gateway), 202, "at {number}");
        assert_eq!(call.send(&gateways[(number + 1) % GATEWAYS]), 409);
    }
    drop(gateways);
    group.remove();
}
