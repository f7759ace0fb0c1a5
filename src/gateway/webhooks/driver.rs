//! The state of webhooks: operations of the store, and what other drivers ask of it.

use super::{
    Backend, ConnKey, Endpoint, EndpointId, Input, Micros, Op, PendingStoreOp, ReplicatedOp, Reply,
    Seq, StoreError, TenantsRecord, WebhookDriver, SHUTDOWN_STORE_TIMEOUT,
};

impl WebhookDriver {
    /// Returns the number of callbacks that wait in memory; 0 if they are on disk.
    pub(super) fn waiting(&self) -> usize {
        match &self.backend {
            Backend::Memory(both) => both.1.stats().waiting as usize,
            Backend::Disk(_) => 0,
        }
    }

    pub(in crate::gateway) fn durable(&self) -> bool {
        matches!(self.backend, Backend::Disk(_))
    }

    /// Stores the tenants, unless calls last only as long as the process.
    pub(in crate::gateway) fn store_tenants(&mut self, tenants: TenantsRecord) {
        if self.durable() {
            self.submit(PendingStoreOp::RecordOnly, Op::StoreTenants(tenants));
        }
    }

    pub(super) fn submit(&mut self, purpose: PendingStoreOp, op: Op) {
        self.submit_for_replicas(purpose, op, 0);
    }

    /// Submits an operation. An operation of a shard is replicated to `min_replicas` replicas at
    /// least.
    pub(super) fn submit_for_replicas(
        &mut self,
        purpose: PendingStoreOp,
        op: Op,
        min_replicas: usize,
    ) {
        self.last_store_op += 1;
        let number = self.last_store_op;
        self.pending_store_ops.insert(number, purpose);
        if let (Some(shard), Some(shared)) = (op.shard(), ReplicatedOp::from_op(&op)) {
            match shared.encode() {
                Ok(bytes) => self
                    .pending_appends
                    .push_back((number, shard, bytes, min_replicas)),
                Err(e) => self.replies.push_back((number, Err(e))),
            }
            return;
        }
        match &mut self.backend {
            Backend::Disk(writer) => writer.submit(number, op),
            Backend::Memory(both) => {
                let (space, tables) = &mut **both;
                let reply = tables.apply(space, op);
                self.replies.push_back((number, reply));
            }
        }
    }

    pub(super) fn seq(&mut self) -> Seq {
        self.last_seq += 1;
        Seq(self.last_seq)
    }

    /// Returns whether shutdown has waited too long for the store.
    pub(in crate::gateway) fn is_shutdown_overdue(&self, now: Micros) -> bool {
        self.stopping
            .is_some_and(|t| now > t + SHUTDOWN_STORE_TIMEOUT)
    }

    /// Returns whether the process can end without losing calls or leaving outcomes unknown.
    pub(in crate::gateway) fn is_idle(&self, now: Micros) -> bool {
        let late = self.is_shutdown_overdue(now);
        let kept = if self.durable() {
            self.delivery.attempts_in_flight() == 0 && (self.pending_store_ops.is_empty() || late)
        } else {
            self.waiting() == 0 && self.pending_store_ops.is_empty()
        };
        self.jobs.is_empty() && kept
    }

    /// Returns how long callbacks to a removed tenant or endpoint are tried.
    pub(in crate::gateway) fn removal_grace(&self) -> Micros {
        self.removal_grace
    }

    /// Returns the serial numbers of the tenants of all open calls, with the times at which the
    /// calls were accepted. A call is open from its acceptance until its callbacks are stored.
    pub(in crate::gateway) fn open_calls(&self) -> Vec<(u64, Micros)> {
        let running = self
            .jobs
            .values()
            .map(|open_call| (open_call.job.serial, open_call.job.accepted_at));
        let in_store = self
            .pending_store_ops
            .values()
            .filter_map(|operation| match operation {
                PendingStoreOp::AcceptCall { call, .. } => {
                    Some((call.origin.serial, call.origin.accepted_at))
                }
                PendingStoreOp::CompleteCall(serial) => Some((*serial, 0)),
                _ => None,
            });
        running.chain(in_store).collect()
    }

    /// Returns whether pending operations of the store may bring a message to an endpoint.
    pub(in crate::gateway) fn awaits_store(&self) -> bool {
        let brings_messages =
            |operation: &PendingStoreOp| matches!(operation, PendingStoreOp::EnqueueMessages);
        self.pending_store_ops.values().any(brings_messages)
    }

    /// Returns whether messages to an endpoint wait or are in flight.
    pub(in crate::gateway) fn has_messages(&self, id: EndpointId) -> bool {
        self.delivery.has_messages(id)
    }

    /// Returns whether a message to an endpoint is in flight.
    pub(in crate::gateway) fn is_sending(&self, id: EndpointId) -> bool {
        self.health(id).is_some_and(|health| health.in_flight > 0)
    }

    /// Reads the state of a call for a client. The call is of the first of the tenants that has it.
    pub(super) fn read_call_state(&mut self, conn: ConnKey, id: String, mut serials: Vec<u64>) {
        if serials.is_empty() {
            return;
        }
        let serial = serials.remove(0);
        let operation = Op::GetCall(serial, id.clone());
        let purpose = PendingStoreOp::ReadCallState {
            conn,
            id,
            others: serials,
        };
        self.submit(purpose, operation);
    }

    /// Passes the settings of an endpoint to delivery.
    pub(in crate::gateway) fn set_delivery_endpoint(
        &mut self,
        now: Micros,
        serial: u64,
        endpoint: &Endpoint,
    ) {
        let settings = endpoint.settings(serial, &self.schedule);
        self.delivery
            .handle(now, Input::EndpointChanged(endpoint.id, settings));
    }

    /// Returns the state of an endpoint for operators.
    pub(in crate::gateway) fn health(&self, id: EndpointId) -> Option<crate::delivery::Health> {
        self.delivery.health(id)
    }

    /// Queues a reply of the store's thread.
    pub(in crate::gateway) fn reply(&mut self, number: u64, reply: Result<Reply, StoreError>) {
        self.replies.push_back((number, reply));
    }
}
