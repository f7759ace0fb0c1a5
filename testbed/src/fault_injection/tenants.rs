//! Tenants of a fleet, administered at any of its gateways.

use std::collections::BTreeSet;
use std::io::{Error, Result};
use std::net::SocketAddr;

use serde_json::Value;

use super::fleet::Fleet;
use crate::fakes::{body, call_body, header, status, Caller};
use crate::history::tenants::{check, read, TenantNote, Wrong};
use crate::lease_trials::name;

/// An administrator at one gateway; may be taken to other threads.
#[derive(Debug)]
pub struct Administrator {
    to: Caller,
    token: String,
}

/// What a gateway answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    /// The status; 0 if there was no answer.
    pub status: u16,
    /// The body.
    pub body: Value,
    /// The entity tag.
    pub tag: String,
}

impl Administrator {
    /// One at an address, with a token.
    pub fn new(at: SocketAddr, token: String) -> Administrator {
        Administrator {
            to: Caller::new(at),
            token,
        }
    }

    /// Asks for something; with further header lines.
    pub fn ask(&mut self, method: &str, path: &str, more: &str, body_text: &str) -> Answered {
        let request = format!(
            "{method} /v1/tenants/{path} HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {}\r\n{more}Content-Length: {}\r\n\r\n{body_text}",
            self.token,
            body_text.len()
        );
        match self.to.exchange(request.as_bytes()) {
            Ok(answer) => Answered {
                status: status(&answer),
                body: serde_json::from_slice(body(&answer)).unwrap_or(Value::Null),
                tag: header(&answer, "etag"),
            },
            Err(_) => Answered {
                status: 0,
                body: Value::Null,
                tag: String::new(),
            },
        }
    }

    /// Makes or changes a tenant.
    pub fn put(&mut self, tenant: &str, spec: &Value) -> Answered {
        self.ask("PUT", tenant, "", &spec.to_string())
    }

    /// Shows a tenant.
    pub fn get(&mut self, tenant: &str) -> Answered {
        self.ask("GET", tenant, "", "")
    }
}

impl Fleet {
    /// An administrator at one instance.
    pub fn administrator(&self, n: usize) -> Result<Administrator> {
        let at = self
            .gateway(n)?
            .admin
            .ok_or_else(|| Error::other("it is not administered"))?;
        let token = std::fs::read_to_string(self.folder().join("svid"))?;
        Ok(Administrator::new(at, token))
    }

    /// Sends a signed call of a tenant to an instance; its status, 0 for none.
    pub fn call_of(
        &self,
        n: usize,
        tenant: &str,
        secret: &molelug::tenancy::Secret,
        id: &str,
    ) -> Result<u16> {
        let at = self
            .gateway(n)?
            .webhooks
            .ok_or_else(|| Error::other("no webhooks"))?;
        let text = call_body(crate::fakes::gateway::SAFE, 7, None);
        Ok(Caller::new(at)
            .call(tenant, secret, id, &text)
            .map_or(0, |a| status(&a)))
    }

    /// The instances that run.
    pub fn running(&self) -> BTreeSet<String> {
        (0..self.gateways.len())
            .filter(|n| self.gateways[*n].is_some())
            .map(name)
            .collect()
    }

    /// Waits until all that run have taken over the newest version of each tenant that any of them has.
    pub fn tenants_settle(&self) -> Result<()> {
        let running = self.running();
        self.await_that("all to know all tenants", || {
            let lines = read(&self.histories()).unwrap_or_default();
            let mut newest = std::collections::BTreeMap::new();
            let mut last = std::collections::BTreeMap::new();
            for l in &lines {
                let (tenant, version) = match &l.note {
                    TenantNote::Begun => {
                        last.retain(|(_, name), _| *name != l.name);
                        continue;
                    }
                    TenantNote::Adopted {
                        tenant, version, ..
                    }
                    | TenantNote::Told { tenant, version } => (tenant, version),
                };
                let most = newest.entry(tenant.clone()).or_insert(0);
                *most = (*most).max(*version);
                if matches!(l.note, TenantNote::Adopted { .. }) {
                    last.insert((tenant.clone(), l.name.clone()), *version);
                }
            }
            newest.iter().all(|(t, v)| {
                running
                    .iter()
                    .all(|n| last.get(&(t.clone(), n.clone())) >= Some(v))
            })
        })
    }

    /// Judges what all recorded of tenants: how many changes were told done, and what is wrong.
    pub fn judge_tenants(&self) -> Result<(usize, Vec<Wrong>)> {
        Ok(check(&read(&self.histories())?, &self.running()))
    }
}
