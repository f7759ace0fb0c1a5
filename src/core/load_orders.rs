//! The life cycle of load orders, which tell a worker to load copies of a function.

use slotmap::Key;

use super::deadlines::Deadline;
use super::{Command, Core, HexFunctionId, LoadOrderKey};
use crate::api::{Event, FunctionId, Micros, Outcome, WorkerId};
use crate::completion::{CloseReason, SendProgress};

/// The timeout of a load order if the settings state none.
pub(super) const DEFAULT_LOAD_ORDER_TIMEOUT: Micros = 10_000_000;

/// A load order in flight.
#[derive(Debug)]
pub(super) struct LoadOrder {
    worker: WorkerId,
    function: FunctionId,
    expires_at: Micros,
}

impl<O: Clone + std::fmt::Debug> Core<O> {
    /// Sends a load order. An order for 0 copies queries the number of loaded copies.
    pub(super) fn send_load_order(
        &mut self,
        now: Micros,
        worker: WorkerId,
        function: FunctionId,
        copies: u8,
    ) {
        let expires_at = now + self.load_order_timeout;
        let order = self.load_orders.insert(LoadOrder {
            worker,
            function,
            expires_at,
        });
        self.deadlines
            .insert(expires_at, Deadline::LoadOrder(order.data().as_ffi()));
        if copies > 0 {
            self.counters.load_orders += 1;
        } else {
            self.counters.load_queries += 1;
        }
        tracing::debug!(
            worker = worker.0,
            function = %HexFunctionId(function.0),
            copies,
            "load order sent"
        );
        self.commands.push_back(Command::Load {
            order,
            worker,
            function,
            copies,
        });
    }

    /// Handles the end of a load order that the driver reports; `copies` is the number of loaded copies.
    pub fn load_ended(
        &mut self,
        now: Micros,
        key: LoadOrderKey,
        reason: CloseReason,
        progress: SendProgress,
        copies: u32,
    ) {
        let Some(order) = self.load_orders.remove(key) else {
            return;
        };
        self.deadlines
            .remove(order.expires_at, Deadline::LoadOrder(key.data().as_ffi()));
        let outcome = reason.outcome(progress);
        if outcome == Outcome::Rejected {
            self.counters.load_orders_rejected += 1;
        }
        tracing::debug!(
            worker = order.worker.0,
            function = %HexFunctionId(order.function.0),
            reason = reason.name(),
            copies,
            "load order ended"
        );
        self.handle_event(
            now,
            Event::LoadEnded {
                worker: order.worker,
                function: order.function,
                outcome,
                copies,
            },
        );
    }
}
