//! Administration of a fleet's tenants at any of its gateways.

use std::collections::BTreeSet;
use std::io::{Error, Result};
use std::net::SocketAddr;

use serde_json::Value;

use super::fleet::Fleet;
use crate::fakes::{body, call_body, header, status, Caller};
use crate::history::tenants::{check, read, TenantNote, Violation};
use crate::lease_trials::instance_name;

/// Client of one gateway's administration interface, which other threads can use.
#[derive(Debug)]
pub struct AdminClient {
    to: Caller,
    token: String,
}

/// Response of the administration interface.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminResponse {
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// JSON body; null if there is none.
    pub body: Value,
    /// Value of the `ETag` header.
    pub etag: String,
}

impl AdminClient {
    /// Creates a client for an address, with a bearer token.
    pub fn new(at: SocketAddr, token: String) -> AdminClient {
        AdminClient {
            to: Caller::new(at),
            token,
        }
    }

    /// Sends a request for a tenant path, with additional header lines.
    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        more: &str,
        body_text: &str,
    ) -> AdminResponse {
        let request = format!(
            "{method} /v1/tenants/{path} HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {}\r\n{more}Content-Length: {}\r\n\r\n{body_text}",
            self.token,
            body_text.len()
        );
        match self.to.exchange(request.as_bytes()) {
            Ok(answer) => AdminResponse {
                status: status(&answer),
                body: serde_json::from_slice(body(&answer)).unwrap_or(Value::Null),
                etag: header(&answer, "etag"),
            },
            Err(_) => AdminResponse {
                status: 0,
                body: Value::Null,
                etag: String::new(),
            },
        }
    }

    /// Creates or changes a tenant.
    pub fn put(&mut self, tenant: &str, spec: &Value) -> AdminResponse {
        self.request("PUT", tenant, "", &spec.to_string())
    }

    /// Reads a tenant.
    pub fn get(&mut self, tenant: &str) -> AdminResponse {
        self.request("GET", tenant, "", "")
    }
}

impl Fleet {
    /// Returns an administration client for one instance.
    pub fn admin_client(&self, n: usize) -> Result<AdminClient> {
        let at = self
            .gateway(n)?
            .admin
            .ok_or_else(|| Error::other("the instance has no administration interface"))?;
        let token = std::fs::read_to_string(self.folder().join("svid"))?;
        Ok(AdminClient::new(at, token))
    }

    /// Sends a signed call of a tenant to an instance. Returns the status, or 0 without a response.
    pub fn send_as(
        &self,
        n: usize,
        tenant: &str,
        secret: &molelug::tenancy::Secret,
        id: &str,
    ) -> Result<u16> {
        let at = self
            .gateway(n)?
            .webhooks
            .ok_or_else(|| Error::other("the gateway has no webhook listener"))?;
        let text = call_body(crate::fakes::gateway::READ_CLASS, 7, None);
        Ok(Caller::new(at)
            .call(tenant, secret, id, &text)
            .map_or(0, |a| status(&a)))
    }

    /// Returns the names of the running instances.
    pub fn running(&self) -> BTreeSet<String> {
        (0..self.gateways.len())
            .filter(|n| self.gateways[*n].is_some())
            .map(instance_name)
            .collect()
    }

    /// Waits until all running instances have adopted the newest recorded version of each tenant.
    pub fn wait_for_tenants(&self) -> Result<()> {
        let running = self.running();
        self.wait_until("all to know all tenants", || {
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

    /// Checks the recorded tenant histories. Returns the number of acknowledged changes and all
    /// violations.
    pub fn check_tenants(&self) -> Result<(usize, Vec<Violation>)> {
        Ok(check(&read(&self.histories())?, &self.running()))
    }
}
