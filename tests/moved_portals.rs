//! Callbacks after a portal moves to another address.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use common::administration::*;
use common::signed::*;
use common::*;
use serde_json::json;

/// A portal that keeps its connections open and counts what arrives.
struct OpenPortal {
    address: SocketAddr,
    received: Arc<AtomicUsize>,
}

impl OpenPortal {
    fn start() -> OpenPortal {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let received = Arc::<AtomicUsize>::default();
        let count = received.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let count = count.clone();
                std::thread::spawn(move || {
                    let mut buffer = Vec::new();
                    while read_message(&mut stream, &mut buffer, http_length).is_some() {
                        count.fetch_add(1, Ordering::SeqCst);
                        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                        if stream.write_all(answer).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        OpenPortal { address, received }
    }

    fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }
}

/// Guards against callbacks on connections that were opened to a portal's former address.
#[test]
fn moved_portal_gets_all_later_callbacks() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("moved-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (former, current) = (OpenPortal::start(), OpenPortal::start());
    let operator = operator_file(former.address) + &admin_settings(&folder);
    let worker = Worker::start();
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let g = Gateway::start(&settings(900.0), &workers, None, Some(&operator));
    wait_for_next_second();
    let send = |id: &str| assert_eq!(SignedCall::new(id, "disponibilidad").send(&g), 202);
    send("before");
    until("the former address is told", || former.received() == 1);
    let spec = json!({ "portal": format!("http://{}/in", current.address) }).to_string();
    let path = format!("PUT /v1/tenants/{TENANT}");
    assert_eq!(administer(&g, &path, &spec), 200);
    for n in 1..=4 {
        send(&format!("after-{n}"));
        until("the new address is told", || {
            current.received() + former.received() > n
        });
    }
    assert_eq!((former.received(), current.received()), (1, 4));
    g.stop();
    std::fs::remove_dir_all(&folder).expect("the folder");
}
