//! Connections to portals, and what administrators ask of the store.

use super::{
    answer, answered, fault_injection_point, io, message, net, plain, Bad, CloseReason, ConnKey,
    DeliveryReport, Effect, Endpoint, Gateway, Input, MessageRecord, Micros, Op, PendingStoreOp,
    PortalLink, Progress, Role, SendProgress, Seq, MOST_IDLE, PORTAL_IDLE,
};

impl Gateway {
    /// Makes an attempt at a message, on a connection that is idle or a new one.
    pub(super) fn attempt(&mut self, now: Micros, mut record: MessageRecord, body: &[u8]) {
        let Some(hooks) = &mut self.secondary.hooks else {
            return;
        };
        let (seq, id) = (record.waiting.seq, record.waiting.endpoint);
        let tenant = self.secondary.tenants.same(&record.tenant, record.serial);
        let Some((tenant, e)) = tenant.and_then(|t| t.endpoint(id).map(|(_, e)| (t, e))) else {
            // Removed at this very moment; its end is kept by the removal.
            return hooks
                .delivery
                .handle(now, Input::AttemptEnded(seq, DeliveryReport::VOID));
        };
        let (address, secrets) = (e.portal.address, tenant.signing(e, now));
        let failed = |ending| DeliveryReport {
            close_reason: ending,
            send_progress: SendProgress::Unsent,
            status: None,
            retry_after: None,
        };
        if !hooks.networks.allows(address.ip()) || secrets.is_empty() {
            // Nothing is sent where the operator does not allow it, or unsigned.
            return hooks.delivery.handle(
                now,
                Input::AttemptEnded(seq, failed(CloseReason::ConnectTimeout)),
            );
        }
        // One that must not come twice has a connection of its own: an idle one may be at its end unseen.
        let reuse = record.waiting.effect == Effect::Idempotent;
        let bytes = message::request(&e.portal, &record.id, &secrets, now, body, reuse);
        record.waiting.due = now;
        hooks.out.insert(seq, Box::new(record));
        let deadline = now + hooks.answer_limit;
        let idle = hooks.idle.get_mut(&id).filter(|_| reuse).and_then(Vec::pop);
        let key = match idle {
            Some(key) => Ok(key),
            None => {
                let link = PortalLink {
                    endpoint: id,
                    address,
                    current: None,
                    status: None,
                };
                net::connect(address)
                    .and_then(|s| self.add_connection(s, false, Role::Portal(link)))
            }
        };
        match key {
            Ok(key) => {
                let Some((conn, Role::Portal(link))) = self.connections.get_mut(key) else {
                    return;
                };
                (link.current, link.status) = (Some((seq, now)), None);
                conn.outbox.push(seq.0, bytes);
                self.set_deadline(key, Some(deadline));
                self.dirty.push(key);
            }
            Err(e) => {
                let ending = match e.kind() {
                    io::ErrorKind::ConnectionRefused => CloseReason::Refused,
                    // Out of descriptors: nothing is known of the portal.
                    _ if e.raw_os_error().is_some_and(|n| n == 24 || n == 23) => {
                        CloseReason::LocalLimit
                    }
                    _ => CloseReason::ConnectTimeout,
                };
                if let Some(hooks) = &mut self.secondary.hooks {
                    hooks
                        .delivery
                        .handle(now, Input::AttemptEnded(seq, failed(ending)));
                }
            }
        }
    }

    /// Something has come from a portal.
    pub(in crate::gateway) fn on_portal(&mut self, key: ConnKey, now: Micros) {
        let Some((conn, Role::Portal(link))) = self.connections.get_mut(key) else {
            return;
        };
        let Some((seq, _)) = link.current else {
            // It says something unasked.
            if !conn.input.bytes().is_empty() {
                self.close(key, CloseReason::Malformed);
            }
            return;
        };
        match answer::read(conn.input.bytes(), now) {
            Progress::Waits => {}
            Progress::Status(status, advice) => link.status = Some((status, advice)),
            Progress::Malformed => self.close(key, CloseReason::Malformed),
            Progress::Whole(status, advice, size, keep) => {
                conn.input.consume(size);
                (link.current, link.status) = (None, None);
                let (id, address) = (link.endpoint, link.address);
                // An answer ahead of the request's end: what is left of it would be read as the next request.
                let clean = keep
                    && conn.outbox.is_empty()
                    && conn.input.bytes().is_empty()
                    && !conn.peer_closed;
                self.portal_ended(now, seq, answered(status, advice));
                let Some(hooks) = &mut self.secondary.hooks else {
                    return;
                };
                let tenants = &self.secondary.tenants;
                let same = |e: &Endpoint| e.id == id && e.portal.address == address;
                let known = tenants
                    .iter()
                    .any(|(_, t)| t.endpoint(id).is_some_and(|(_, e)| same(e)));
                let idle = hooks.idle.entry(id).or_default();
                if clean && known && idle.len() < MOST_IDLE && hooks.stopping.is_none() {
                    idle.push(key);
                    self.set_deadline(key, Some(now + PORTAL_IDLE));
                } else {
                    if idle.is_empty() {
                        hooks.idle.remove(&id);
                    }
                    self.close(key, CloseReason::Closed);
                }
            }
        }
    }

    /// A portal's connection has ended.
    pub(in crate::gateway) fn portal_closed(
        &mut self,
        now: Micros,
        key: ConnKey,
        link: &PortalLink,
        ending: CloseReason,
        untouched: bool,
    ) {
        if let Some(hooks) = &mut self.secondary.hooks {
            if let Some(idle) = hooks.idle.get_mut(&link.endpoint) {
                idle.retain(|k| *k != key);
                if idle.is_empty() {
                    hooks.idle.remove(&link.endpoint);
                }
            }
        }
        let Some((seq, _)) = link.current else { return };
        let report = match link.status {
            // Its head told the answer; what was missing is of no use to anybody.
            Some((status, advice)) => answered(status, advice),
            None => {
                let left = if untouched {
                    SendProgress::Unsent
                } else {
                    SendProgress::Started
                };
                DeliveryReport {
                    close_reason: ending,
                    send_progress: left,
                    status: None,
                    retry_after: None,
                }
            }
        };
        self.portal_ended(now, seq, report);
    }

    pub(super) fn portal_ended(&mut self, now: Micros, seq: Seq, report: DeliveryReport) {
        fault_injection_point("callback answered");
        if let Some(hooks) = &mut self.secondary.hooks {
            hooks.delivery.handle(now, Input::AttemptEnded(seq, report));
        }
    }

    /// Nothing more is begun towards portals: what waits goes on at the next start, what is out ends now and
    /// follows its class. Without a store all of it is awaited as before.
    pub(in crate::gateway) fn stop_webhooks(&mut self, now: Micros) {
        let Some(hooks) = self.secondary.hooks.as_mut().filter(|h| h.durable()) else {
            return;
        };
        hooks.stopping = Some(now);
        hooks.delivery.handle(now, Input::Stop);
        let portals: Vec<ConnKey> = self
            .connections
            .iter()
            .filter(|(_, (_, r))| matches!(r, Role::Portal(_)))
            .map(|(k, _)| k)
            .collect();
        portals
            .into_iter()
            .for_each(|key| self.close(key, CloseReason::Shutdown));
    }

    /// Asks the store for an administrator.
    pub(in crate::gateway) fn ask_for_admin(
        &mut self,
        conn: ConnKey,
        op: Op,
        key: Option<(String, String)>,
    ) -> Result<(), Bad> {
        let hooks = self
            .secondary
            .hooks
            .as_mut()
            .ok_or(plain(404, "webhooks are off"))?;
        let limit = match &op {
            Op::ListMessages(filter) => Some(filter.limit),
            _ => None,
        };
        hooks.ask(PendingStoreOp::AdminRequest { conn, limit, key }, op);
        Ok(())
    }
}
