//! Drives the duties `loads-...`: the module's orders wait for the word of a shard's owner. It decides nothing.

use super::*;
use crate::consensus::member::Input as Say;
use crate::lease::LeaseName;
use crate::load_coordination::{Input, Loads, Output, Word, LONGEST, PREFIX};

/// An order of the module's.
#[derive(Clone, Copy, Debug)]
pub(super) struct Order {
    pub(super) key: LoadOrderKey,
    pub(super) worker: WorkerId,
    pub(super) function: FunctionId,
    pub(super) copies: u8,
}

/// The duties, while there are shards on the operator's list.
#[derive(Debug)]
pub(super) struct LoadDriver {
    loads: Loads,
    /// Orders that wait or were given, by their numbers.
    orders: BTreeMap<u64, Order>,
    numbers: BTreeMap<LoadOrderKey, u64>,
    number: u64,
    hung: Option<Micros>,
}

impl Gateway {
    /// Begins the duties. An order may leave later than it was decided on: the ration's window is longer by that.
    pub(super) fn set_up_loads(&mut self, now: Micros, loads: Loads) {
        let settings = &self.config.settings;
        if let Some(ration) = settings.load_rate_limit {
            let longer = LoadRateLimit {
                window: ration.window + LONGEST,
                ..ration
            };
            self.core
                .set_instance_limits(now, Some(longer), settings.overload_multiple, 0.0);
        }
        let (orders, numbers) = (BTreeMap::new(), BTreeMap::new());
        self.cluster.loads = Some(LoadDriver {
            loads,
            orders,
            numbers,
            number: 0,
            hung: None,
        });
    }

    fn tell_loads(&mut self, now: Micros, input: Input) {
        if let Some(side) = &mut self.cluster.loads {
            side.loads.handle(now, input);
        }
    }

    /// The module orders copies; whether that waits for an owner's word.
    pub(super) fn order_waits(&mut self, now: Micros, order: Order) -> bool {
        // A question is no order.
        let Some(side) = self.cluster.loads.as_mut().filter(|_| order.copies > 0) else {
            return false;
        };
        side.number += 1;
        let number = side.number;
        side.orders.insert(number, order);
        side.numbers.insert(order.key, number);
        side.loads
            .handle(now, Input::Order(number, (order.worker, order.function)));
        true
    }

    /// The module needs an order no more; whether it had not been given yet.
    pub(super) fn order_forgotten(&mut self, now: Micros, order: LoadOrderKey) -> bool {
        let Some(side) = &mut self.cluster.loads else {
            return false;
        };
        let Some(number) = side.numbers.get(&order).copied() else {
            return false;
        };
        // One that was given ends by itself, and the owner hears of it.
        if self.routes.load_orders.contains_key(order) {
            return false;
        }
        side.loads.handle(now, Input::Forget(number));
        side.numbers.remove(&order);
        side.orders.remove(&number);
        true
    }

    /// An order has ended outside.
    pub(super) fn order_given_ended(&mut self, now: Micros, order: LoadOrderKey, copies: u32) {
        let Some(side) = &mut self.cluster.loads else {
            return;
        };
        if let Some(number) = side.numbers.remove(&order) {
            side.orders.remove(&number);
            side.loads.handle(now, Input::Ended(number, copies));
        }
    }

    pub(super) fn loads_owned(&mut self, now: Micros, duty: &LeaseName, owns: bool) {
        if duty.starts_with(PREFIX) {
            self.tell_loads(now, Input::Owns(duty.clone(), owns));
        }
    }

    /// Whether anybody owns a shard, as far as the log says here.
    pub(super) fn loads_known(&mut self, now: Micros, duty: &LeaseName, owned: bool) {
        if duty.starts_with(PREFIX) {
            self.tell_loads(now, Input::Owned(duty.clone(), owned));
        }
    }

    pub(super) fn loads_told(&mut self, now: Micros, duty: &str, content: &[u8]) {
        if let (true, Ok(word)) = (
            duty.starts_with(PREFIX),
            postcard::from_bytes::<Word>(content),
        ) {
            self.tell_loads(now, Input::Told(word));
        }
    }

    pub(super) fn loads_heard(
        &mut self,
        now: Micros,
        duty: &str,
        from: &std::sync::Arc<str>,
        content: &[u8],
    ) {
        if let (true, Ok(word)) = (
            duty.starts_with(PREFIX),
            postcard::from_bytes::<Word>(content),
        ) {
            self.tell_loads(now, Input::Heard(from.clone(), word));
        }
    }

    /// Does what follows.
    pub(super) fn step_loads(&mut self, now: Micros) {
        while let Some(output) = self
            .cluster
            .loads
            .as_mut()
            .and_then(|side| side.loads.output())
        {
            match output {
                Output::Report(duty, word) => {
                    self.tell_member_of_council(Say::Report(
                        duty,
                        postcard::to_stdvec(&word).unwrap_or_default(),
                    ));
                }
                Output::Tell(duty, word) => {
                    self.tell_member_of_council(Say::Act(
                        duty,
                        postcard::to_stdvec(&word).unwrap_or_default(),
                    ));
                }
                Output::Give(number) => {
                    let order = self
                        .cluster
                        .loads
                        .as_ref()
                        .and_then(|side| side.orders.get(&number))
                        .copied();
                    if let Some(order) = order {
                        self.give_order(now, order);
                    }
                }
                Output::Stands(number, copies) => {
                    let Some(side) = &mut self.cluster.loads else {
                        return;
                    };
                    if let Some(Order { key, .. }) = side.orders.remove(&number) {
                        side.numbers.remove(&key);
                        self.core.load_ended(
                            now,
                            key,
                            CloseReason::Served,
                            SendProgress::Unsent,
                            copies,
                        );
                    }
                }
            }
        }
        let Some(side) = &mut self.cluster.loads else {
            return;
        };
        let next = side.loads.next_deadline().map(|t| t.max(now));
        if next != side.hung {
            if let Some(old) = side.hung.take() {
                self.core
                    .unschedule(old, GatewayDeadline::LoadCoordination.into());
            }
            side.hung = next;
            if let Some(at) = next {
                self.core
                    .schedule(at, GatewayDeadline::LoadCoordination.into());
            }
        }
    }

    /// An order that waited leaves now, unless its worker has been told of as gone or draining meanwhile.
    fn give_order(&mut self, now: Micros, order: Order) {
        if self
            .cluster
            .ready
            .as_ref()
            .is_some_and(|ready| !ready.contains(&order.worker))
        {
            self.order_given_ended(now, order.key, 0);
            return self.core.load_ended(
                now,
                order.key,
                CloseReason::Withdrawn,
                SendProgress::Unsent,
                0,
            );
        }
        self.send_load_order(now, order);
    }

    pub(super) fn tick_loads(&mut self, now: Micros) {
        if let Some(side) = &mut self.cluster.loads {
            side.hung = None;
        }
        self.tell_loads(now, Input::Tick);
    }

    /// What can be seen of the duties.
    pub(super) fn loads_view(&self) -> serde_json::Value {
        let Some(side) = &self.cluster.loads else {
            return serde_json::Value::Null;
        };
        serde_json::json!({ "orders_waiting_or_out": side.orders.len(), "orders_spared": side.loads.spared })
    }
}
