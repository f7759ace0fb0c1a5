//! Signed calls of one tenant, and the operator's file that names it.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::json;

use super::*;

/// The tenant's secret key.
pub const WEBHOOK_KEY: &[u8] = b"a test key of thirty-two bytes..";
/// The tenant's name.
pub const TENANT: &str = "clinic";

/// The Unix time in seconds.
pub fn now_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970")
        .as_secs()
}

/// Waits until the current second has passed.
pub fn wait_for_next_second() {
    let current = now_s();
    until("the second has passed", || now_s() > current);
}

/// An operator's file with webhooks and one tenant.
pub fn operator_file(portal: SocketAddr) -> String {
    operator_file_with(portal, "")
}

/// An operator's file with webhooks, further lines of their settings, and one tenant.
pub fn operator_file_with(portal: SocketAddr, webhook_settings: &str) -> String {
    format!(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\n{webhook_settings}\n[[tenants]]\nname = \"{TENANT}\"\n\
         portal = \"http://{portal}/in\"\nsecrets = [\"{}\"]\n",
        secret_text(WEBHOOK_KEY)
    )
}

/// A secret as settings name it.
pub fn secret_text(key: &[u8]) -> String {
    format!("whsec_{}", BASE64_STANDARD.encode(key))
}

/// A signed call, whose bytes can be sent several times.
#[derive(Clone, Debug)]
pub struct SignedCall {
    id: String,
    stamp: u64,
    key: Vec<u8>,
    body: Vec<u8>,
}

impl SignedCall {
    /// A call that is signed now.
    pub fn new(id: &str, class: &str) -> SignedCall {
        let data = json!({ "class": class, "function": "00000000000000aa", "lanes": 4,
                           "payload": BASE64_STANDARD.encode(id) });
        SignedCall {
            id: id.to_owned(),
            stamp: now_s(),
            key: WEBHOOK_KEY.to_vec(),
            body: json!({ "type": "call.requested", "data": data })
                .to_string()
                .into_bytes(),
        }
    }

    /// The same call with another time stamp.
    pub fn at(self, stamp: u64) -> SignedCall {
        SignedCall { stamp, ..self }
    }

    /// The same call under another secret.
    pub fn under(self, key: &[u8]) -> SignedCall {
        SignedCall {
            key: key.to_vec(),
            ..self
        }
    }

    /// Sends the call and returns the status.
    pub fn send(&self, g: &Gateway) -> u16 {
        let head = self.send_for_head(g);
        head[9..12].parse().expect("a status")
    }

    /// Sends the call and returns the head of the response.
    pub fn send_for_head(&self, g: &Gateway) -> String {
        let path = format!("POST /webhooks/{TENANT}");
        self.request(g, &path, &self.body).0
    }

    /// Asks for the state of the call. Returns the status and the outcome.
    pub fn state(&self, g: &Gateway) -> (u16, String) {
        let path = format!("GET /webhooks/{TENANT}/calls/{}", self.id);
        let (head, body) = self.request(g, &path, b"");
        let status = head[9..12].parse().expect("a status");
        let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
        let outcome = answer["outcome"].as_str().unwrap_or_default();
        (status, outcome.to_owned())
    }

    fn request(&self, g: &Gateway, path: &str, body: &[u8]) -> (String, Vec<u8>) {
        let (id, stamp) = (&self.id, self.stamp.to_string());
        let head = format!(
            "{path} HTTP/1.1\r\nwebhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\nwebhook-signature: {}",
            signature(&self.key, id, &stamp, body)
        );
        http_exchange(g.webhooks.expect("webhooks are on"), &head, body)
    }
}
