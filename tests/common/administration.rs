//! Callers of the administration API, with tokens of a test issuer.

use std::path::Path;

use jsonwebtoken::jwk::{Jwk, PublicKeyUse};
use jsonwebtoken::{Algorithm, EncodingKey, Header};
use serde_json::{json, Value};

use super::{http, Gateway};

/// A caller that may only read.
pub const VIEWER: &str = "spiffe://aurora.example/desk/viewer";
/// A caller that may change everything.
pub const OPERATOR: &str = "spiffe://aurora.example/desk/operator";

/// A P-256 key in PKCS #8 whose 32 secret bytes are all `byte`.
pub fn key(byte: u8) -> EncodingKey {
    let head = "308141020100301306072a8648ce3d020106082a8648ce3d030107042730250201010420";
    let head = head.replacen("308141", "3041", 1);
    let mut der: Vec<u8> = (0..head.len() / 2)
        .map(|i| u8::from_str_radix(&head[2 * i..2 * i + 2], 16).unwrap())
        .collect();
    der.extend([byte; 32]);
    EncodingKey::from_ec_der(&der)
}

pub fn bundle(kid: &str, byte: u8, usage: &str) -> String {
    let mut jwk = Jwk::from_encoding_key(&key(byte), Algorithm::ES256).expect("a public key");
    jwk.common.key_id = Some(kid.into());
    jwk.common.public_key_use = Some(PublicKeyUse::Other(usage.into()));
    json!({ "keys": [jwk], "spiffe_sequence": 1 }).to_string()
}

pub fn token(kid: &str, byte: u8, claims: &Value) -> String {
    let header = Header {
        kid: Some(kid.into()),
        ..Header::new(Algorithm::ES256)
    };
    jsonwebtoken::encode(&header, claims, &key(byte)).expect("a token")
}

pub fn claims(sub: &str, aud: Value, exp: u64) -> Value {
    json!({ "sub": sub, "aud": aud, "exp": exp })
}

/// The lines of an operator's file that admit [`OPERATOR`] by the bundle in a folder. Writes the
/// bundle.
pub fn admin_settings(folder: &Path) -> String {
    let path = folder.join("bundle.json");
    std::fs::write(&path, bundle("k1", 7, "jwt-svid")).expect("a bundle");
    format!(
        "[admin]\nlisten = \"127.0.0.1:0\"\ntrust_domain = \"aurora.example\"\n\
         audience = \"molelug\"\nbundle = {:?}\n\
         [[admin.callers]]\nspiffe_id = \"{OPERATOR}\"\nrole = \"operator\"\n",
        path.display().to_string()
    )
}

/// Sends a request of [`OPERATOR`], `METHOD PATH`, and returns the status.
pub fn administer(g: &Gateway, request: &str, body: &str) -> u16 {
    let valid = claims(OPERATOR, json!("molelug"), u64::from(u32::MAX));
    let token = token("k1", 7, &valid);
    let head = format!("{request} HTTP/1.1\r\nAuthorization: Bearer {token}");
    http(g.admin.expect("the API is on"), &head, body.as_bytes()).0
}
