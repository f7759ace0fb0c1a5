//! The second front: an operator's file, signed calls, and a portal that keeps what it is told.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use crate::common::{base64, folder, free_port, hmac_sha256, log, require, unix_ms, wait_for, Gateway};
use crate::net::{is_ready, json_text, portal, request};
use crate::site::Site;

pub const KEY: &[u8; 32] = b"a secret of thirty-two bytes ok!";

pub fn secret() -> String {
    format!("whsec_{}", base64(KEY))
}

/// Writes an operator's file with one tenant, whose calls and callbacks are kept in a store.
pub fn operator_file(listen: SocketAddr, portal: SocketAddr, more: &str) -> PathBuf {
    let path = folder().join("webhooks.toml");
    let text = format!(
        "state = \"tenants.json\"\n[webhooks]\nlisten = \"{listen}\"\nstore = \"store\"\nschedule_s = [1, 2, 4]\n{more}\n\
         [[tenants]]\nname = \"hospital-norte\"\nshare_per_s = 50.0\nportal = \"http://{portal}/trips\"\nsecrets = [\"{}\"]\n",
        secret()
    );
    std::fs::write(&path, text).expect("an operator's file");
    path
}

/// A signed call, as bytes.
pub fn signed_call(id: &str, class: &str, function: &str, deadline_ms: u64, payload: &[u8]) -> Vec<u8> {
    let body = format!(
        "{{\"type\":\"call.requested\",\"data\":{{\"class\":\"{class}\",\"function\":\"{function}\",\"deadline_ms\":{deadline_ms},\
         \"lanes\":2,\"memory_mb\":300,\"load_ms\":300,\"payload\":\"{}\"}}}}",
        base64(payload)
    );
    let stamp = unix_ms() / 1000;
    let signed = format!("{id}.{stamp}.{body}");
    let signature = base64(&hmac_sha256(KEY, signed.as_bytes()));
    format!(
        "POST /webhooks/hospital-norte HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nwebhook-id: {id}\r\n\
         webhook-timestamp: {stamp}\r\nwebhook-signature: v1,{signature}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends a call; returns the answer's status.
pub fn send(listen: SocketAddr, id: &str, bytes: &[u8]) -> Option<u16> {
    let answer = request(listen, bytes, 3000);
    log(format!("portal: {id} answered {:?}", answer.as_ref().map(|(status, _)| *status)));
    answer.map(|(status, _)| status)
}

/// Signs and sends a call; returns the answer's status.
pub fn send_call(listen: SocketAddr, id: &str, class: &str, function: &str, deadline_ms: u64, payload: &[u8]) -> Option<u16> {
    send(listen, id, &signed_call(id, class, function, deadline_ms, payload))
}

/// The outcomes that callbacks told, by call.
pub type Outcomes = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// A portal that confirms each callback.
pub fn confirming_portal() -> (SocketAddr, Outcomes) {
    let outcomes: Outcomes = Arc::default();
    let told = outcomes.clone();
    let address = portal(Arc::new(move |message| {
        let json = String::from_utf8_lossy(&message.body).into_owned();
        let call = json_text(&json, "call").unwrap_or_default();
        let outcome = json_text(&json, "outcome").unwrap_or_default();
        log(format!("portal: callback for {call}: {outcome}"));
        told.lock().unwrap().entry(call).or_default().push(outcome);
        200
    }));
    (address, outcomes)
}

/// Starts two further gateways, n2 and n3, so that one that dies or restarts is a third of the fleet. Each is a machine of
/// its own, with a folder and an operator's file of its own.
pub fn further_gateways(site: &Site, portal: SocketAddr) -> Vec<Gateway> {
    (2..=3)
        .map(|number| {
            let name = format!("n{number}");
            let machine = folder().join(&name);
            std::fs::create_dir_all(&machine).expect("a folder");
            let [listen, door]: [SocketAddr; 2] = [free_port(), free_port()].map(|port| ([127, 0, 0, 1], port).into());
            let operator = machine.join("webhooks.toml");
            let text = format!(
                "[webhooks]\nlisten = \"{door}\"\n\n[[tenants]]\nname = \"hospital-norte\"\nshare_per_s = 50.0\n\
                 portal = \"http://{portal}/trips\"\nsecrets = [\"{}\"]\n",
                secret()
            );
            std::fs::write(&operator, text).expect("an operator's file");
            let other = Site { name: &name, me: number - 1, listen, ..*site };
            let arguments = format!("--operator {}", operator.display());
            let gateway = Gateway::start(&name, &other.write(), &arguments, &machine.join("tmp"));
            require(wait_for(10_000, || is_ready(listen)), "the gateway is ready");
            gateway
        })
        .collect()
}
