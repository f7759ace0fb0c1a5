//! Credentials of a fake administrator: a trust bundle, and a JWT-SVID signed with a key in it.

use std::io::{Error, Result};
use std::path::Path;

use jsonwebtoken::jwk::{Jwk, PublicKeyUse};
use jsonwebtoken::{Algorithm, EncodingKey, Header};
use serde_json::json;

use super::now_s;

const CALLER_SPIFFE_ID: &str = "spiffe://aurora.example/desk/operator";

/// Returns a fixed P-256 private key, built as PKCS #8 from its 32 bytes.
fn key() -> EncodingKey {
    let der_prefix: [u8; 35] = [
        0x30, 0x41, 0x02, 0x01, 0x00, 0x30, 0x13, 0x06, 0x07, 0x2a, 0x86, 0x48, 0xce, 0x3d, 0x02,
        0x01, 0x06, 0x08, 0x2a, 0x86, 0x48, 0xce, 0x3d, 0x03, 0x01, 0x07, 0x04, 0x27, 0x30, 0x25,
        0x02, 0x01, 0x01, 0x04, 0x20,
    ];
    EncodingKey::from_ec_der(&[&der_prefix[..], &[7; 32]].concat())
}

/// Writes the bundle and the caller's token to a folder, and returns the `[admin]` section of the
/// operator file that admits the caller.
pub fn write(folder: &Path) -> Result<String> {
    let mut jwk = Jwk::from_encoding_key(&key(), Algorithm::ES256).map_err(Error::other)?;
    jwk.common.key_id = Some("k1".into());
    jwk.common.public_key_use = Some(PublicKeyUse::Other("jwt-svid".into()));
    std::fs::write(
        folder.join("bundle.json"),
        json!({ "keys": [jwk], "spiffe_sequence": 1 }).to_string(),
    )?;
    let header = Header {
        kid: Some("k1".into()),
        ..Header::new(Algorithm::ES256)
    };
    let claims = json!({ "sub": CALLER_SPIFFE_ID, "aud": "molelug", "exp": now_s() + 3600 });
    let token = jsonwebtoken::encode(&header, &claims, &key()).map_err(Error::other)?;
    std::fs::write(folder.join("svid"), token)?;
    Ok(format!(
        "[admin]\nlisten = \"127.0.0.1:0\"\ntrust_domain = \"aurora.example\"\naudience = \"molelug\"\nbundle = {:?}\n\
         [[admin.callers]]\nspiffe_id = \"{CALLER_SPIFFE_ID}\"\nrole = \"operator\"\n",
        folder.join("bundle.json").display().to_string()
    ))
}
