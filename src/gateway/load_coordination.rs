//! Drives load coordination: load orders of the decision module wait for the holder of their
//! shard's lease. It decides nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{json, Value};

use super::{Gateway, GatewayDeadline};
use crate::api::{FunctionId, LoadRateLimit, Micros, WorkerId};
use crate::completion::{CloseReason, SendProgress};
use crate::consensus::participant;
use crate::core::LoadOrderKey;
use crate::lease::LeaseName;
use crate::load_coordination::{
    CopyKey, Input, LoadCoordinator, LoadMessage, Output, MAX_ORDER_DELAY, SHARD_LEASE_PREFIX,
};

/// A load order of the decision module.
#[derive(Clone, Copy, Debug)]
pub(super) struct Order {
    pub(super) key: LoadOrderKey,
    pub(super) worker: WorkerId,
    pub(super) function: FunctionId,
    pub(super) copies: u8,
}

/// The driver of load coordination; exists only while leases of its shards are configured.
#[derive(Debug)]
pub(super) struct LoadDriver {
    coordinator: LoadCoordinator,
    /// Orders that wait to be sent or have been sent, by number.
    orders: BTreeMap<u64, Order>,
    numbers: BTreeMap<LoadOrderKey, u64>,
    last_number: u64,
    /// When the scheduled deadline is due.
    scheduled_at: Option<Micros>,
}

/// Encodes a message for other gateways.
fn encode(message: &LoadMessage) -> Vec<u8> {
    // Messages always encode.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes a message under a lease of load coordination.
fn decode(lease: &str, content: &[u8]) -> Option<LoadMessage> {
    if !lease.starts_with(SHARD_LEASE_PREFIX) {
        return None;
    }
    postcard::from_bytes(content).ok()
}

impl Gateway {
    /// Starts load coordination. As an order may be sent later than it was decided on, the rate
    /// limit's window grows by the maximum delay.
    pub(super) fn set_up_load_coordination(&mut self, now: Micros, coordinator: LoadCoordinator) {
        let settings = &self.config.settings;
        if let Some(limit) = settings.load_rate_limit {
            let widened = LoadRateLimit {
                window: limit.window + MAX_ORDER_DELAY,
                ..limit
            };
            self.core
                .set_instance_limits(now, Some(widened), settings.overload_multiple, 0.0);
        }
        self.cluster.loads = Some(LoadDriver {
            coordinator,
            orders: BTreeMap::new(),
            numbers: BTreeMap::new(),
            last_number: 0,
            scheduled_at: None,
        });
    }

    fn handle_load_coordination(&mut self, now: Micros, input: Input) {
        if let Some(driver) = &mut self.cluster.loads {
            driver.coordinator.handle(now, input);
        }
    }

    /// Delays an order until a holder answers; returns whether the order is delayed.
    pub(super) fn delay_order(&mut self, now: Micros, order: Order) -> bool {
        // An order of zero copies only requests the worker's state.
        if order.copies == 0 {
            return false;
        }
        let Some(driver) = &mut self.cluster.loads else {
            return false;
        };
        driver.last_number += 1;
        let number = driver.last_number;
        driver.orders.insert(number, order);
        driver.numbers.insert(order.key, number);
        let copy = CopyKey {
            worker: order.worker,
            function: order.function,
        };
        driver.coordinator.handle(now, Input::Order(number, copy));
        true
    }

    /// Cancels an order that the decision module no longer needs; returns whether it was still
    /// waiting.
    pub(super) fn cancel_delayed_order(&mut self, now: Micros, order: LoadOrderKey) -> bool {
        let Some(driver) = &mut self.cluster.loads else {
            return false;
        };
        let Some(number) = driver.numbers.get(&order).copied() else {
            return false;
        };
        // An order that was sent ends by itself, and the holder is notified.
        if self.routes.load_orders.contains_key(order) {
            return false;
        }
        driver.coordinator.handle(now, Input::Cancel(number));
        driver.numbers.remove(&order);
        driver.orders.remove(&number);
        true
    }

    /// Informs the coordinator of the end of an order that was sent.
    pub(super) fn on_load_order_ended(&mut self, now: Micros, order: LoadOrderKey, copies: u32) {
        let Some(driver) = &mut self.cluster.loads else {
            return;
        };
        if let Some(number) = driver.numbers.remove(&order) {
            driver.orders.remove(&number);
            driver.coordinator.handle(now, Input::Ended(number, copies));
        }
    }

    /// Informs the coordinator that this gateway has acquired or lost a lease.
    pub(super) fn set_load_lease(&mut self, now: Micros, lease: &LeaseName, held: bool) {
        if lease.starts_with(SHARD_LEASE_PREFIX) {
            self.handle_load_coordination(now, Input::LeaseChanged(lease.clone(), held));
        }
    }

    /// Informs the coordinator whether a lease has a holder in the agreed state.
    pub(super) fn set_load_holder_known(&mut self, now: Micros, lease: &LeaseName, known: bool) {
        if lease.starts_with(SHARD_LEASE_PREFIX) {
            self.handle_load_coordination(now, Input::HolderKnown(lease.clone(), known));
        }
    }

    /// Passes a message that the holder of a lease has announced to the coordinator.
    pub(super) fn on_load_effect(&mut self, now: Micros, lease: &str, content: &[u8]) {
        if let Some(message) = decode(lease, content) {
            self.handle_load_coordination(now, Input::Announced(message));
        }
    }

    /// Passes another gateway's message for the holder of a lease to the coordinator.
    pub(super) fn on_load_report(
        &mut self,
        now: Micros,
        lease: &str,
        from: &Arc<str>,
        content: &[u8],
    ) {
        if let Some(message) = decode(lease, content) {
            let report = Input::ReportReceived(from.clone(), message);
            self.handle_load_coordination(now, report);
        }
    }

    /// Carries out the coordinator's outputs and schedules its deadline.
    pub(super) fn step_load_coordination(&mut self, now: Micros) {
        while let Some(output) = self
            .cluster
            .loads
            .as_mut()
            .and_then(|driver| driver.coordinator.output())
        {
            self.on_load_output(now, output);
        }
        let Some(driver) = &mut self.cluster.loads else {
            return;
        };
        let next = driver.coordinator.next_deadline().map(|at| at.max(now));
        if next == driver.scheduled_at {
            return;
        }
        let previous = std::mem::replace(&mut driver.scheduled_at, next);
        if let Some(at) = previous {
            self.core
                .unschedule(at, GatewayDeadline::LoadCoordination.into());
        }
        if let Some(at) = next {
            self.core
                .schedule(at, GatewayDeadline::LoadCoordination.into());
        }
    }

    fn on_load_output(&mut self, now: Micros, output: Output) {
        match output {
            Output::Report(lease, message) => {
                let report = participant::Input::Report(lease, encode(&message));
                self.handle_consensus(report);
            }
            Output::Announce(lease, message) => {
                let effect = participant::Input::SendEffect(lease, encode(&message));
                self.handle_consensus(effect);
            }
            Output::Load(number) => {
                let driver = self.cluster.loads.as_ref();
                let order = driver
                    .and_then(|driver| driver.orders.get(&number))
                    .copied();
                if let Some(order) = order {
                    self.send_delayed_order(now, order);
                }
            }
            Output::AlreadyResident(number, copies) => {
                self.on_already_resident(now, number, copies);
            }
        }
    }

    /// Ends an order that is not needed, as a copy that another gateway ordered is loaded.
    fn on_already_resident(&mut self, now: Micros, number: u64, copies: u32) {
        let Some(driver) = &mut self.cluster.loads else {
            return;
        };
        let Some(order) = driver.orders.remove(&number) else {
            return;
        };
        driver.numbers.remove(&order.key);
        self.core.load_ended(
            now,
            order.key,
            CloseReason::Served,
            SendProgress::Unsent,
            copies,
        );
    }

    /// Sends an order that waited, unless its worker was removed or started to drain meanwhile.
    fn send_delayed_order(&mut self, now: Micros, order: Order) {
        let ready = self.cluster.ready_workers.as_ref();
        if ready.is_none_or(|ready| ready.contains(&order.worker)) {
            return self.send_load_order(now, order);
        }
        self.on_load_order_ended(now, order.key, 0);
        self.core.load_ended(
            now,
            order.key,
            CloseReason::Withdrawn,
            SendProgress::Unsent,
            0,
        );
    }

    /// Handles the deadline of the driver.
    pub(super) fn tick_load_coordination(&mut self, now: Micros) {
        if let Some(driver) = &mut self.cluster.loads {
            driver.scheduled_at = None;
        }
        self.handle_load_coordination(now, Input::Tick);
    }

    /// Describes load coordination for operators; null while no shards are configured.
    pub(super) fn load_coordination_view(&self) -> Value {
        let Some(driver) = &self.cluster.loads else {
            return Value::Null;
        };
        json!({
            "orders_waiting_or_out": driver.orders.len(),
            "orders_spared": driver.coordinator.avoided_orders,
        })
    }
}
