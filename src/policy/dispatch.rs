//! Carries out the selection's decision for a queued request.

use super::loads::{CopyKey, LOAD_CERTAIN};
use super::request::AttemptState;
use super::selection::{Decision, Selection};
use super::Policy;
use crate::api::{Action, FunctionId, Micros, RequestId, WorkerId};

/// Whether a request has left the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Placement {
    /// An attempt was sent.
    Sent,
    /// It is still queued.
    Queued,
}

/// Whether an attempt may have to wait for a load at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadWait {
    None,
    Possible,
}

impl Policy {
    /// Sends a queued request if a worker may take it now, or takes the preparatory step that the
    /// selection decided on.
    pub(super) fn place(
        &mut self,
        now: Micros,
        function: FunctionId,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Placement {
        self.refresh_candidates(now, function);
        let decision = Selection::new(self, now, function, id).decide();
        match decision {
            Decision::KeepQueued => return Placement::Queued,
            Decision::QueryCopies(worker) => {
                self.query_copies(now, CopyKey { worker, function }, actions);
                return Placement::Queued;
            }
            Decision::OrderLoad(worker) => {
                self.order_load(now, CopyKey { worker, function }, id, actions);
                return Placement::Queued;
            }
            Decision::SendToCopy(worker) => self.send(now, id, worker, LoadWait::None, actions),
            Decision::SendToLoading(worker) => {
                self.send(now, id, worker, LoadWait::Possible, actions)
            }
            Decision::SendToLoad {
                worker,
                load_probability,
            } => {
                self.begin_load(now, CopyKey { worker, function }, load_probability);
                self.send(now, id, worker, LoadWait::Possible, actions);
            }
        }
        Placement::Sent
    }

    /// Queries a worker for its number of copies without loading one.
    fn query_copies(&mut self, now: Micros, key: CopyKey, actions: &mut Vec<Action>) {
        if let Some(function) = self.functions.get_mut(&key.function) {
            self.known_copies.insert(key);
            function.copies.entry(key.worker).or_default().queried_at = now;
            function.last_query_at = now;
        }
        actions.push(Action::Load {
            worker: key.worker,
            function: key.function,
            copies: 0,
        });
    }

    /// Orders a worker to load a copy and lets the request wait for it. At most one order is open
    /// for each worker and function.
    pub(super) fn order_load(
        &mut self,
        now: Micros,
        key: CopyKey,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        if !self.load_orders.contains(&key) {
            if !self.may_order_load(now, key, id) {
                return;
            }
            self.recent_load_orders.record(now);
            self.evidence.on_sent(now, key.worker);
            self.load_orders.insert(key);
            self.begin_load(now, key, LOAD_CERTAIN);
            actions.push(Action::Load {
                worker: key.worker,
                function: key.function,
                copies: 1,
            });
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.await_load(now, key.worker, self.settings.tick);
        }
    }

    fn may_order_load(&mut self, now: Micros, key: CopyKey, id: RequestId) -> bool {
        let available =
            self.is_available(now, key.worker) && !self.load_backoffs.is_paused(now, key);
        let has_further_attempt = self
            .requests
            .get(&id)
            .is_some_and(|request| request.attempts + 1 < self.settings.max_attempts);
        self.settings.may_load && available && self.within_load_rate(now, has_further_attempt)
    }

    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        load_wait: LoadWait,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let function_id = request.function;
        request.attempts += 1;
        request.in_flight = Some(AttemptState {
            worker,
            sent_at: now,
            may_wait_for_load: load_wait == LoadWait::Possible,
            cancelled: false,
        });
        // An attempt at another worker keeps the load that was ordered for the request, so that the
        // request can return to it.
        request.awaited_load = request.awaited_load.filter(|load| load.worker != worker);
        let Some(function) = self.functions.get_mut(&function_id) else {
            return;
        };
        self.known_copies.insert(CopyKey {
            worker,
            function: function_id,
        });
        let copy = function.copies.entry(worker).or_default();
        copy.own_in_flight += 1;
        copy.last_used_at = now;
        self.remove_from_queue(function_id, id);
        if let Some(mut state) = self.workers.get_mut(&worker) {
            state.record_send(now, self.settings.overload_window);
        }
        self.evidence.on_sent(now, worker);
        actions.push(Action::Send {
            request: id,
            worker,
            timeout: None,
        });
    }
}
