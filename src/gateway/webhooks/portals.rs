//! Connections to portals, and store requests of administrators.

use std::net::SocketAddr;

use super::{
    answer, answer_report, fault_injection_point, io, message, net, request_error, CloseReason,
    ConnKey, DeliveryReport, Effect, Endpoint, EndpointId, Gateway, Input, MessageRecord, Micros,
    Op, PendingStoreOp, PortalConnection, Progress, RequestError, Role, SendProgress, Seq,
    MAX_IDLE_PER_ENDPOINT, PORTAL_IDLE_TIMEOUT,
};

impl Gateway {
    /// Sends a message on an idle connection or a new one.
    pub(super) fn send_message(&mut self, now: Micros, mut record: MessageRecord, body: &[u8]) {
        let Some(hooks) = &mut self.secondary.webhooks else {
            return;
        };
        let (seq, id) = (record.waiting.seq, record.waiting.endpoint);
        let target = self
            .secondary
            .tenants
            .delivery_target(&record.tenant, record.serial, id, now);
        let Some(target) = target else {
            // The endpoint was removed meanwhile; the removal ends its messages.
            return hooks
                .delivery
                .handle(now, Input::AttemptEnded(seq, DeliveryReport::VOID));
        };
        let (address, secrets) = (target.portal.address, target.secrets);
        let unsent = |ending| DeliveryReport {
            close_reason: ending,
            send_progress: SendProgress::Unsent,
            status: None,
            retry_after: None,
        };
        if !hooks.egress_policy.allows(address.ip()) || secrets.is_empty() {
            // Messages go only to allowed networks, and only signed.
            return hooks.delivery.handle(
                now,
                Input::AttemptEnded(seq, unsent(CloseReason::ConnectTimeout)),
            );
        }
        // A message that must not arrive twice gets a new connection: the portal may have closed an
        // idle one without the gateway having noticed.
        let reuse = record.waiting.effect == Effect::Idempotent;
        let bytes = message::request(target.portal, &record.id, &secrets, now, body, reuse);
        record.waiting.due = now;
        hooks.out.insert(seq, Box::new(record));
        let deadline = now + hooks.answer_timeout;
        let idle = if reuse {
            self.take_idle_portal_connection(id, address)
        } else {
            None
        };
        let key = match idle {
            Some(key) => Ok(key),
            None => {
                let link = PortalConnection {
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
                    // Out of file descriptors (ENFILE, EMFILE): says nothing about the portal.
                    _ if e.raw_os_error().is_some_and(|n| n == 24 || n == 23) => {
                        CloseReason::LocalLimit
                    }
                    _ => CloseReason::ConnectTimeout,
                };
                if let Some(hooks) = &mut self.secondary.webhooks {
                    hooks
                        .delivery
                        .handle(now, Input::AttemptEnded(seq, unsent(ending)));
                }
            }
        }
    }

    /// Takes an idle connection to an endpoint at an address. Connections to its former addresses
    /// are closed: another portal may answer there by now.
    fn take_idle_portal_connection(
        &mut self,
        id: EndpointId,
        address: SocketAddr,
    ) -> Option<ConnKey> {
        self.close_idle_portal_connections(id, Some(address));
        let hooks = self.secondary.webhooks.as_mut()?;
        let idle = hooks.idle.get_mut(&id)?;
        let key = idle.pop();
        if idle.is_empty() {
            hooks.idle.remove(&id);
        }
        key
    }

    /// Closes the idle connections to an endpoint, except those to its address, if it has one.
    pub(super) fn close_idle_portal_connections(
        &mut self,
        id: EndpointId,
        address: Option<SocketAddr>,
    ) {
        let idle = self
            .secondary
            .webhooks
            .as_ref()
            .and_then(|hooks| hooks.idle.get(&id));
        let is_outdated = |key: &ConnKey| match self.connections.get(*key) {
            Some((_, Role::Portal(link))) => Some(link.address) != address,
            _ => true,
        };
        let outdated: Vec<ConnKey> = idle
            .into_iter()
            .flatten()
            .copied()
            .filter(is_outdated)
            .collect();
        for key in outdated {
            // Its end removes it from the idle ones.
            self.close(key, CloseReason::Closed);
        }
    }

    /// Handles input from a portal.
    pub(in crate::gateway) fn handle_portal_input(&mut self, key: ConnKey, now: Micros) {
        let Some((conn, Role::Portal(link))) = self.connections.get_mut(key) else {
            return;
        };
        let Some((seq, _)) = link.current else {
            // The portal sent data without a request.
            if !conn.input.bytes().is_empty() {
                self.close(key, CloseReason::Malformed);
            }
            return;
        };
        match answer::read(conn.input.bytes(), now) {
            Progress::Incomplete => {}
            Progress::Status(status, advice) => link.status = Some((status, advice)),
            Progress::Malformed => self.close(key, CloseReason::Malformed),
            Progress::Complete(status, advice, size, keep) => {
                conn.input.consume(size);
                (link.current, link.status) = (None, None);
                let (id, address) = (link.endpoint, link.address);
                // If the answer came before the whole request was sent, the portal would read the
                // rest of the request as the next one.
                let clean = keep
                    && conn.outbox.is_empty()
                    && conn.input.bytes().is_empty()
                    && !conn.peer_closed;
                self.delivery_ended(now, seq, answer_report(status, advice));
                let Some(hooks) = &mut self.secondary.webhooks else {
                    return;
                };
                let tenants = &self.secondary.tenants;
                let same = |e: &Endpoint| e.id == id && e.portal.address == address;
                let known = tenants
                    .iter()
                    .any(|(_, t)| t.endpoint(id).is_some_and(|(_, e)| same(e)));
                let idle = hooks.idle.entry(id).or_default();
                if clean && known && idle.len() < MAX_IDLE_PER_ENDPOINT && hooks.stopping.is_none()
                {
                    idle.push(key);
                    self.set_deadline(key, Some(now + PORTAL_IDLE_TIMEOUT));
                } else {
                    if idle.is_empty() {
                        hooks.idle.remove(&id);
                    }
                    self.close(key, CloseReason::Closed);
                }
            }
        }
    }

    /// Handles the end of a portal's connection.
    pub(in crate::gateway) fn portal_closed(
        &mut self,
        now: Micros,
        key: ConnKey,
        link: &PortalConnection,
        ending: CloseReason,
        untouched: bool,
    ) {
        if let Some(hooks) = &mut self.secondary.webhooks {
            if let Some(idle) = hooks.idle.get_mut(&link.endpoint) {
                idle.retain(|k| *k != key);
                if idle.is_empty() {
                    hooks.idle.remove(&link.endpoint);
                }
            }
        }
        let Some((seq, _)) = link.current else { return };
        let report = match link.status {
            // The head of the answer has the status; the missing body is not needed.
            Some((status, advice)) => answer_report(status, advice),
            None => {
                let progress = if untouched {
                    SendProgress::Unsent
                } else {
                    SendProgress::Started
                };
                DeliveryReport {
                    close_reason: ending,
                    send_progress: progress,
                    status: None,
                    retry_after: None,
                }
            }
        };
        self.delivery_ended(now, seq, report);
    }

    pub(super) fn delivery_ended(&mut self, now: Micros, seq: Seq, report: DeliveryReport) {
        fault_injection_point("callback answered");
        if let Some(hooks) = &mut self.secondary.webhooks {
            hooks.delivery.handle(now, Input::AttemptEnded(seq, report));
        }
    }

    /// Stops deliveries: waiting messages resume at the next start, and attempts in flight end now
    /// and are retried if their class permits. Without a store, all deliveries continue to their
    /// end.
    pub(in crate::gateway) fn stop_webhooks(&mut self, now: Micros) {
        let Some(hooks) = self.secondary.webhooks.as_mut().filter(|h| h.durable()) else {
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

    /// Submits an administrator's operation to the store.
    pub(in crate::gateway) fn submit_admin_request(
        &mut self,
        conn: ConnKey,
        op: Op,
        key: Option<(String, String)>,
    ) -> Result<(), RequestError> {
        let hooks = self
            .secondary
            .webhooks
            .as_mut()
            .ok_or(request_error(404, "webhooks are off"))?;
        let limit = match &op {
            Op::ListMessages(filter) => Some(filter.limit),
            _ => None,
        };
        hooks.submit(PendingStoreOp::AdminRequest { conn, limit, key }, op);
        Ok(())
    }
}
