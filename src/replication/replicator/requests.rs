//! Requests to the primaries of shards.

use super::{Output, PendingRequest, Replicator, MAX_FORWARDED_REQUESTS};
use crate::api::Micros;
use crate::replication::error::ReplicationError;
use crate::replication::primary::CommitWaiter;
use crate::replication::wire::{Message, RequestOutcome};
use crate::replication::{Name, ShardId};

impl Replicator {
    /// Sends a request to a shard's primary, which may be this process. Every request gets a
    /// response before its deadline.
    pub(super) fn request(
        &mut self,
        now: Micros,
        shard: ShardId,
        waiter: CommitWaiter,
        request: Vec<u8>,
    ) {
        let Some(replica) = self.shards.get(&shard) else {
            return;
        };
        let is_primary = replica.primary.is_some();
        let primary = replica.set.primary.clone();
        let open = self.pending_requests.len();
        if open >= MAX_FORWARDED_REQUESTS {
            return self.reject_request(waiter, ReplicationError::TooManyRequests { open });
        }
        let recipient = primary
            .clone()
            .filter(|name| is_primary || *name != self.settings.name);
        let Some(recipient) = recipient else {
            return self.reject_request(waiter, ReplicationError::NotPrimary { shard, primary });
        };
        let number = self.add_pending_request(now, shard, waiter);
        if is_primary {
            self.outputs.push_back(Output::HandleRequest {
                shard,
                peer: recipient,
                number,
                request,
            });
        } else {
            let message = Message::Request {
                shard,
                number,
                request,
            };
            self.send(recipient, message);
        }
    }

    fn add_pending_request(&mut self, now: Micros, shard: ShardId, waiter: CommitWaiter) -> u64 {
        self.last_request += 1;
        let request = PendingRequest {
            waiter,
            shard,
            deadline: now + self.settings.request_timeout,
        };
        self.pending_requests.insert(self.last_request, request);
        self.last_request
    }

    fn reject_request(&mut self, waiter: CommitWaiter, error: ReplicationError) {
        let outcome = RequestOutcome::Rejected(error);
        self.outputs.push_back(Output::Response(waiter, outcome));
    }

    /// Rejects the requests whose deadlines have passed.
    pub(super) fn expire_requests(&mut self, now: Micros) {
        let expired: Vec<u64> = self
            .pending_requests
            .iter()
            .filter(|(_, request)| request.deadline <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            if let Some(request) = self.pending_requests.remove(&number) {
                let shard = request.shard;
                let error = ReplicationError::PrimaryUnreachable { shard };
                self.reject_request(request.waiter, error);
            }
        }
    }

    /// Handles a request of another gateway, if this process is the primary.
    pub(super) fn request_received(
        &mut self,
        from: Name,
        shard: ShardId,
        number: u64,
        request: Vec<u8>,
    ) {
        if self.is_primary(shard) {
            return self.outputs.push_back(Output::HandleRequest {
                shard,
                peer: from,
                number,
                request,
            });
        }
        let replica = self.shards.get(&shard);
        let primary = replica.and_then(|replica| replica.set.primary.clone());
        let error = ReplicationError::NotPrimary { shard, primary };
        let outcome = RequestOutcome::Rejected(error);
        self.send(from, Message::Reply(number, outcome));
    }

    /// Sends the response to a request that was handled here.
    pub(super) fn respond(&mut self, peer: Name, number: u64, outcome: RequestOutcome) {
        if peer == self.settings.name {
            self.response_received(number, outcome);
        } else {
            self.send(peer, Message::Reply(number, outcome));
        }
    }

    /// Reports a response, unless its request has expired.
    pub(super) fn response_received(&mut self, number: u64, outcome: RequestOutcome) {
        if let Some(request) = self.pending_requests.remove(&number) {
            self.outputs
                .push_back(Output::Response(request.waiter, outcome));
        }
    }
}
