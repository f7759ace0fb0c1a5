//! Signatures: `v1,` and the base64 of HMAC-SHA256 over `id.timestamp.body`.

use base64::prelude::{Engine, BASE64_STANDARD};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::tenants::Secret;

fn mac(secret: &Secret, id: &str, timestamp: u64, body: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.key()).ok()?;
    mac.update(format!("{id}.{timestamp}.").as_bytes());
    mac.update(body);
    Some(mac)
}

/// The value of `webhook-signature`: one signature for each secret that counts.
pub fn sign<'a>(secrets: impl Iterator<Item = &'a Secret>, id: &str, timestamp: u64, body: &[u8]) -> String {
    let signed = secrets.filter_map(|s| mac(s, id, timestamp, body));
    let text = signed.map(|m| format!("v1,{}", BASE64_STANDARD.encode(m.finalize().into_bytes())));
    text.collect::<Vec<_>>().join(" ")
}

/// Whether one of the signatures is one of the secrets'. The comparison takes the same time wherever they
/// differ.
pub fn verify<'a>(
    secrets: impl Iterator<Item = &'a Secret>,
    id: &str,
    timestamp: u64,
    body: &[u8],
    header: &str,
) -> bool {
    let given: Vec<Vec<u8>> = header
        .split(' ')
        .filter_map(|s| s.strip_prefix("v1,"))
        .take(16)
        .filter_map(|s| BASE64_STANDARD.decode(s).ok())
        .collect();
    secrets
        .filter_map(|s| mac(s, id, timestamp, body))
        .any(|m| given.iter().any(|g| m.clone().verify_slice(g).is_ok()))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The example of the Standard Webhooks specification's libraries.
    #[test]
    fn the_specifications_example_holds_and_any_change_breaks_it() {
        let secret = Secret::parse("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw").unwrap();
        let (id, at, body) = ("msg_p5jXN8AQM9LWM0D4loKWxJek", 1614265330, &b"{\"test\": 2432232314}"[..]);
        let good = "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=";
        let one = || std::iter::once(&secret);
        assert_eq!(sign(one(), id, at, body), good);
        assert!(verify(one(), id, at, body, &format!("v1a,xx v1,AAAA {good}")));
        assert!(!verify(one(), id, at + 1, body, good));
        assert!(!verify(one(), "msg_other", at, body, good));
        assert!(!verify(one(), id, at, b"{\"test\": 2432232315}", good));
        let short = &good[..good.len() - 4];
        assert!(!verify(one(), id, at, body, short) && !verify(one(), id, at, body, ""));
        assert!(!verify(std::iter::empty(), id, at, body, good), "no secret lets nothing in");
    }
}
